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
	quorumAfter = 300 * time.Millisecond                                    // without a word from the store for so long, all peers are asked
	quorumSpan  = 500 * time.Millisecond                                    // between two questions
	aloneSpan   = quorumAfter + quorumSpan + elect.AskSpan + elect.BeatSpan // a lead that is cut off knows it within
)

// quorum is what a lead knows of its peers.
type quorum struct {
	sure    time.Time // when the store or most peers last answered
	asked   time.Time // zero while it need not ask
	judged  bool      // of the newest question
	answers int       // to it
	alone   bool      // neither the store nor most peers answer
}

// confirm notes that the store has taken what this lead appended.
func (h *Helm) confirm() { h.quorum = quorum{sure: h.now} }

// reachPeers asks the peers while nothing is heard of the store. It answers a
// failure domain that is cut off with the lead in it: the lead goes on for the workers
// there but gives no longer leases, as another may lead by now, and its callers are
// better served by the others.
func (h *Helm) reachPeers() {
	q := &h.quorum
	if h.now.Sub(q.sure) < quorumAfter {
		return
	}
	switch since := h.now.Sub(q.asked); {
	case q.asked.IsZero() || since >= quorumSpan:
		q.asked, q.judged, q.answers = h.now, false, 0
		h.do(AskPeers{All: true})
		if h.box.sent == nil {
			h.do(Check{At: h.box.end})
		}
	case !q.judged && since >= elect.AskSpan:
		h.judge()
	}
}

// assured notes what lies behind the newest append of this lead, if it had none under
// way.
func (h *Helm) assured(e Checked) {
	switch {
	case e.Err != nil || h.box.sent != nil:
	case claimed(e.Records):
		h.yield("another daemon has claimed", 0)
	case e.End == h.box.end:
		h.confirm()
	}
}

// claimed reports whether there is a claim among some records.
func claimed(records []fleet.Record) bool {
	return slices.ContainsFunc(records, func(r fleet.Record) bool { return r.Key == LeadKey })
}

// judge decides by the answers to the newest question.
func (h *Helm) judge() {
	q := &h.quorum
	q.judged = true
	if alone := !h.Elect.Majority(q.answers); alone != q.alone {
		q.alone = alone
		h.sendBeat()
	}
}

// sighted notes a peer's answer. A lead that hears of a newer one steps down.
func (h *Helm) sighted(r *wire.SightReply) {
	h.Elect.Answer(r)
	if h.mode != leads {
		return
	}
	if r.Term > int64(h.term) {
		h.yield("a peer hears a newer lead", fleet.Term(r.Term))
		return
	}
	h.quorum.answers++
}
