package helm

import (
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/wire"
)

// How a lead makes sure that nobody has replaced it.
const (
	quorumAfter    = 300 * time.Millisecond                                        // without a word from the store for so long, all peers are asked
	quorumInterval = 500 * time.Millisecond                                        // between two questions
	aloneDetection = quorumAfter + quorumInterval + elect.AskSpan + elect.BeatSpan // a lead that is cut off knows it within
)

// quorum is what a lead knows of its peers.
type quorum struct {
	confirmedAt time.Time // when the store or most peers last answered
	askedAt     time.Time // zero while it need not ask
	counted     bool      // of the newest question
	answers     int       // to it
	alone       bool      // neither the store nor most peers answer
}

// confirm notes that the store has taken what this lead appended.
func (sc *Helm) confirmLead() { sc.quorum = quorum{confirmedAt: sc.now} }

// reachPeers asks the peers while nothing is heard of the store. It answers a
// failure domain that is cut off with the lead in it: the lead goes on for the workers
// there but gives no longer leases, as another may lead by now, and its callers are
// better served by the others.
func (sc *Helm) checkQuorum() {
	q := &sc.quorum
	if sc.now.Sub(q.confirmedAt) < quorumAfter {
		return
	}
	switch since := sc.now.Sub(q.askedAt); {
	case q.askedAt.IsZero() || since >= quorumInterval:
		q.askedAt, q.counted, q.answers = sc.now, false, 0
		sc.emit(AskPeers{All: true})
		if sc.outbox.inFlight == nil {
			sc.emit(Check{At: sc.outbox.end})
		}
	case !q.counted && since >= elect.AskSpan:
		sc.countAnswers()
	}
}

// assured notes what lies behind the newest append of this lead, if it had none under
// way.
func (sc *Helm) handleLeadCheck(e Checked) {
	switch {
	case e.Err != nil || sc.outbox.inFlight != nil:
	case containsClaim(e.Records):
		sc.stepDown("another daemon has claimed", 0)
	case e.End == sc.outbox.end:
		sc.confirmLead()
	}
}

// claimed reports whether there is a claim among some records.
func containsClaim(records []fleet.Record) bool {
	return slices.ContainsFunc(records, func(r fleet.Record) bool { return r.Key == LeadKey })
}

// judge decides by the answers to the newest question.
func (sc *Helm) countAnswers() {
	q := &sc.quorum
	q.counted = true
	if alone := !sc.Elect.Majority(q.answers); alone != q.alone {
		q.alone = alone
		sc.sendBeat()
	}
}

// sighted notes a peer's answer. A lead that hears of a newer one steps down.
func (sc *Helm) handlePeerAnswer(r *wire.SightReply) {
	sc.Elect.Answer(r)
	if sc.mode != leading {
		return
	}
	if r.Term > int64(sc.term) {
		sc.stepDown("a peer hears a newer lead", fleet.Term(r.Term))
		return
	}
	sc.quorum.answers++
}
