package helm

import (
	"time"

	"dragonflydeck.example/fleet/elect"
)

// How a lead that the store does not answer finds out whether it is cut off.
const (
	quorumAfter = 300 * time.Millisecond // an append of a few milliseconds that takes so long is a reason to ask
	quorumSpan  = 500 * time.Millisecond // between two questions
)

// quorum is what a lead knows of its peers.
type quorum struct {
	asked   time.Time // zero while it need not ask
	judged  bool      // of the newest question
	answers int       // to it
	alone   bool      // neither the store nor most peers answer
}

// reachPeers asks the peers while the store does not answer. It answers a failure
// domain that is cut off with the lead in it: the lead goes on for the workers there,
// but its callers are better served by the others.
func (h *Helm) reachPeers() {
	q := &h.quorum
	if s := h.box.sent; s == nil || h.now.Sub(s.first) < quorumAfter {
		*q = quorum{}
		return
	}
	switch since := h.now.Sub(q.asked); {
	case q.asked.IsZero() || since >= quorumSpan:
		q.asked, q.judged, q.answers = h.now, false, 0
		h.do(AskPeers{})
	case !q.judged && since >= elect.AskSpan:
		q.judged = true
		q.alone = !h.Elect.Most(q.answers)
		h.sendBeat()
	}
}
