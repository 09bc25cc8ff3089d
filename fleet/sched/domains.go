package sched

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/pool"
)

// Detection of unreachable failure domains.
const (
	domainCheckInterval = 20 * time.Millisecond  // between two checks of all workers
	domainPollAfter     = 250 * time.Millisecond // with work to place, some workers of a domain that was silent for this long are polled
	domainPollWorkers   = 3                      // more than one, as a single worker may be down by itself
	recentPlacement     = 2 * time.Second        // domains are polled only if there was work to place within this time
)

// checkDomains polls workers of failure domains that have been silent for a moment,
// and updates which domains are unreachable.
func (sc *Scheduler) checkDomains() {
	if sc.now.Sub(sc.domainsCheckedAt) < domainCheckInterval {
		return
	}
	sc.domainsCheckedAt = sc.now
	if sc.now.Sub(sc.placedAt) < recentPlacement {
		sc.pollSilentDomains()
	}
	unreachable := sc.pool.Unreachable(sc.now)
	for d := range unreachable {
		if !sc.unreachable[d] {
			sc.logf(event.DomainMuted, string(d), "heard=%s: no worker answers, nothing is placed there", ago(sc.now, sc.pool.LastHeard(d)))
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

// ago formats how long before now a time was; a zero time was never.
func ago(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).String() + " ago"
}

// age formats the age of what is known as of a time; what was never known has none.
func age(now, at time.Time) string {
	if at.IsZero() {
		return "none"
	}
	return now.Sub(at).String()
}

// pollSilentDomains polls a few workers of each silent failure domain.
func (sc *Scheduler) pollSilentDomains() {
	if !sc.pool.HasSilentDomain(domainPollAfter, sc.now) {
		return
	}
	polled := map[fleet.DomainID]int{}
	for _, w := range sc.pool.Sorted() {
		d := w.Domain
		if !w.Listed || !w.Synced || polled[d] >= domainPollWorkers || sc.now.Sub(sc.pool.LastHeard(d)) < domainPollAfter || sc.now.Sub(sc.domainPolledAt[d]) < domainPollAfter {
			continue
		}
		polled[d]++
		sc.poll(w, 0)
	}
	for d := range polled {
		sc.domainPolledAt[d] = sc.now
	}
}

// poll asks a worker for its runs and their ends. It also renews the worker's lease,
// unless the worker is idle or silent, or the lead is not confirmed.
func (sc *Scheduler) poll(w *pool.Worker, wait time.Duration) {
	o := fleet.PollOrder{Term: sc.term, Acked: w.Forgettable(sc.now), Wait: wait}
	if w.Synced && len(w.Runs) > 0 && sc.now.Sub(w.LastHeard) < leaseCutoff && !w.Overdue(sc.now) && sc.isConfirmed() {
		o.LeaseUntil = w.GrantLease(sc.limits.Lease, sc.now)
	}
	w.PollsInFlight++
	w.LastPoll = sc.now
	w.ExpectAnswer(wait, sc.now)
	sc.emit(Poll{Endpoint: w.Endpoint, Order: o})
}
