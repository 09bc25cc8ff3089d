package helm

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
)

// How the lead finds out that a failure domain is out of reach.
const (
	domainCheckInterval = 20 * time.Millisecond  // between two looks over all workers
	domainPollAfter     = 250 * time.Millisecond // without a word from a domain while there is work to place, some of its workers are asked
	domainPollWorkers   = 3                      // so many: one may be gone by itself
	recentPlacement     = 2 * time.Second        // work has been placed so recently
)

// reach asks workers of failure domains of which nothing was heard for a moment,
// and notes which domains are out of reach.
func (sc *Helm) checkDomains() {
	if sc.now.Sub(sc.domainsCheckedAt) < domainCheckInterval {
		return
	}
	sc.domainsCheckedAt = sc.now
	if sc.now.Sub(sc.placedAt) < recentPlacement {
		sc.pollSilentDomains()
	}
	unreachable := sc.crew.Muted(sc.now)
	for d := range unreachable {
		if !sc.unreachable[d] {
			sc.logf(event.DomainMuted, string(d), "heard=%s ago: nothing starts there", sc.now.Sub(sc.crew.Heard(d)))
		}
	}
	for d := range sc.unreachable {
		if !unreachable[d] {
			sc.changed = true
			sc.logf(event.DomainHeard, string(d), "")
		}
	}
	sc.unreachable = unreachable
}

// pulse asks the workers that were asked longest ago.
func (sc *Helm) pollSilentDomains() {
	asked := map[fleet.DomainID]int{}
	for _, w := range sc.crew.Sorted() {
		d := w.Domain
		if !w.Listed || !w.Synced || asked[d] >= domainPollWorkers || sc.now.Sub(sc.crew.Heard(d)) < domainPollAfter || sc.now.Sub(sc.domainPolledAt[d]) < domainPollAfter {
			continue
		}
		asked[d]++
		sc.look(w, 0)
	}
	for d := range asked {
		sc.domainPolledAt[d] = sc.now
	}
}

// look asks a worker what runs and what has ended.
func (sc *Helm) look(w *crew.Worker, wait time.Duration) {
	o := fleet.LookOrder{Term: sc.term, Taken: w.Taken, Wait: wait}
	if w.Synced && len(w.Runs) > 0 && sc.now.Sub(w.Heard) < leaseCutoff && !w.Quiet(sc.now) && !sc.quorum.alone {
		o.Until = w.Lease(sc.limits.Lease, sc.now)
	}
	w.Looking++
	w.Tried = sc.now
	w.Await(wait, sc.now)
	sc.emit(Look{Place: w.Place, Order: o})
}
