package helm

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
)

// How the lead finds out that a failure domain is out of reach.
const (
	reachSpan  = 20 * time.Millisecond  // between two looks over all workers
	pulseSpan  = 250 * time.Millisecond // without a word from a domain while there is work to place, some of its workers are asked
	pulseCount = 3                      // so many: one may be gone by itself
	pulseWork  = 2 * time.Second        // work has been placed so recently
)

// reach asks workers of failure domains of which nothing was heard for a moment,
// and notes which domains are out of reach.
func (h *Helm) reach() {
	if h.now.Sub(h.reached) < reachSpan {
		return
	}
	h.reached = h.now
	if h.now.Sub(h.placed) < pulseWork {
		h.pulse()
	}
	muted := h.crew.Muted(h.now)
	for d := range muted {
		if !h.muted[d] {
			h.note(event.DomainMuted, string(d), "heard=%s ago: nothing starts there", h.now.Sub(h.crew.Heard(d)))
		}
	}
	for d := range h.muted {
		if !muted[d] {
			h.changed = true
			h.note(event.DomainHeard, string(d), "")
		}
	}
	h.muted = muted
}

// pulse asks the workers that were asked longest ago.
func (h *Helm) pulse() {
	asked := map[fleet.DomainID]int{}
	for _, w := range h.crew.Sorted() {
		d := w.Domain
		if !w.Listed || !w.Synced || asked[d] >= pulseCount || h.now.Sub(h.crew.Heard(d)) < pulseSpan || h.now.Sub(h.pulsed[d]) < pulseSpan {
			continue
		}
		asked[d]++
		h.look(w, 0)
	}
	for d := range asked {
		h.pulsed[d] = h.now
	}
}

// look asks a worker what runs and what has ended.
func (h *Helm) look(w *crew.Worker, wait time.Duration) {
	o := fleet.LookOrder{Term: h.term, Taken: w.Taken, Wait: wait}
	if w.Synced && len(w.Runs) > 0 && h.now.Sub(w.Heard) < silentSpan && !w.Quiet(h.now) && !h.quorum.alone {
		o.Until = w.Lease(h.limits.Lease, h.now)
	}
	w.Looking++
	w.Tried = h.now
	w.Await(wait, h.now)
	h.do(Look{Place: w.Place, Order: o})
}
