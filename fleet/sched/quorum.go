package sched

import (
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/voter"
)

// How a lead detects that it is cut off and may have been replaced.
const (
	storeCheckAfter = 200 * time.Millisecond                          // the store is asked if it has not confirmed the lead for this long; it normally answers within 10 ms
	quorumAfter     = 300 * time.Millisecond                          // all peers are asked if the store has not confirmed the lead for this long
	quorumInterval  = 500 * time.Millisecond                          // between two rounds of asking the store or the peers
	confirmationAge = quorumAfter + quorumInterval + elect.AskTimeout // a lead grants leases and draws conclusions only by answers to questions that are at most this old
	aloneDetection  = confirmationAge + elect.BeatInterval            // upper bound on how long a lead goes on after it was replaced; a peer hears a new lead with its first heartbeat
)

// quorum is what the lead knows about its connection to the store and its peers.
type quorum struct {
	confirmedAt time.Time              // when the newest call was sent with which the store confirmed the lead
	checkedAt   time.Time              // when the store was last asked; zero while there is no need to ask
	askedAt     time.Time              // when the peers were last asked; zero while there is no need to ask
	counted     bool                   // the answers of the current round were counted
	answers     map[voter.Process]bool // that have answered in the current round
	alone       bool                   // neither the store nor a majority answers
	majorityAt  time.Time              // when the newest round was sent that a majority answered
}

// confirmLead records that the store showed no claim newer than this lead's to a call that
// was sent at the given time. An answer may arrive seconds after the store gave it, and then
// says nothing about the present.
func (sc *Scheduler) confirmLead(sentAt time.Time) {
	if sc.now.Sub(sentAt) < quorumAfter {
		sc.quorum = quorum{confirmedAt: sentAt}
		return
	}
	if sentAt.After(sc.quorum.confirmedAt) {
		sc.quorum.confirmedAt = sentAt
	}
}

// isConfirmed reports whether the store or a majority of the peers has lately confirmed the
// lead. That nothing tells of another lead is not enough: a lead that wakes from a freeze, or
// is cut off, has not been told yet.
func (sc *Scheduler) isConfirmed() bool {
	q := &sc.quorum
	byPeers := sc.isRecent(q.majorityAt) && sc.now.Sub(q.confirmedAt) < peersConfirmFor
	return !q.alone && (sc.isRecent(q.confirmedAt) || byPeers)
}

// isRecent reports whether a question was sent recently enough for its answer to count.
func (sc *Scheduler) isRecent(sentAt time.Time) bool { return sc.now.Sub(sentAt) <= confirmationAge }

// checkQuorum asks the store if it has not confirmed the lead for a moment, and then
// all peers if it does not answer. Load pattern: a site of a hundred daemons with
// little to store; a question to all peers costs far more than one to the store.
//
// If a failure domain is cut off together with the lead, another daemon may take over.
// The old lead continues to serve the workers on its side of the partition but stops
// renewing leases, and callers are better served by the other daemons.
func (sc *Scheduler) checkQuorum() {
	q := &sc.quorum
	silent := sc.now.Sub(q.confirmedAt)
	if silent >= storeCheckAfter && sc.outbox.inFlight == nil && (q.checkedAt.IsZero() || sc.now.Sub(q.checkedAt) >= quorumInterval) {
		q.checkedAt = sc.now
		sc.emit(Check{At: sc.outbox.end})
	}
	if silent < quorumAfter {
		return
	}
	switch since := sc.now.Sub(q.askedAt); {
	case q.askedAt.IsZero() || since >= quorumInterval:
		q.askedAt, q.counted, q.answers = sc.now, false, map[voter.Process]bool{}
		sc.emit(AskPeers{All: true})
	case !q.counted && since >= elect.AskTimeout:
		sc.countAnswers()
	}
}

// handleLeadCheck evaluates what was stored after the lead's newest append, if the
// lead has no append in flight.
func (sc *Scheduler) handleLeadCheck(e Checked) {
	switch {
	case e.Err != nil || sc.outbox.inFlight != nil || e.SentAt.Before(sc.leadingSince):
	case containsClaim(e.Records):
		sc.stepDown("another daemon has claimed", 0)
	case e.End == sc.outbox.end:
		sc.confirmLead(e.SentAt)
	}
}

// containsClaim reports whether any of the records is a claim to the lead.
func containsClaim(records []fleet.Record) bool {
	return slices.ContainsFunc(records, func(r fleet.Record) bool { return r.Key == LeadKey })
}

// countAnswers decides by the answers of the current round whether the lead is cut
// off.
func (sc *Scheduler) countAnswers() {
	q := &sc.quorum
	q.counted = true
	alone := !sc.majority(q.answers)
	if !alone {
		q.majorityAt = q.askedAt
	}
	if alone != q.alone {
		q.alone = alone
		sc.sendBeat()
	}
}

// handlePeerAnswer processes a peer's answer. A lead that learns of a newer term
// steps down. Answers to an earlier round are not counted.
func (sc *Scheduler) handlePeerAnswer(e PeerAnswered) {
	r := e.Reply
	sc.Elect.NoteAnswer(r)
	if sc.mode != leading {
		return
	}
	sc.watch.noteAnswer(e.Host)
	if r.Term > int64(sc.term) {
		sc.stepDown("a peer hears a newer lead", fleet.Term(r.Term))
		return
	}
	if !r.Left && !sc.quorum.askedAt.IsZero() && !e.AskedAt.Before(sc.quorum.askedAt) {
		sc.quorum.answers[voter.Process{Host: e.Host, Inc: fleet.Incarnation(r.Inc)}] = true
	}
	if r.Term == int64(sc.term) {
		sc.noteFollower(e.Host)
	}
}
