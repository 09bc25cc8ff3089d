package place

import (
	"fmt"
	"slices"
	"time"

	"dragonflydeck.example/fleet"
)

// RetryAfter is how long a failed job waits before its next attempt for each
// worker on which it has failed.
const RetryAfter = 2 * time.Second

// health tracks failures on a worker, to tell a broken worker from one that ran a
// broken job.
type health struct {
	failedJobs  map[fleet.JobID]bool // distinct jobs that failed since the last success
	quarantined bool
	probeAt     time.Time     // when the quarantine ends
	probing     bool          // after a quarantine: one gang at a time, until one succeeds
	backoff     time.Duration // length of the last quarantine
}

// usable reports whether a worker that runs so many gangs may get another.
func (h *health) usable(gangs int) bool {
	if h.quarantined {
		return false
	}
	return !h.probing || gangs == 0
}

// suspect reports whether the worker must not carry guarantees.
func (h *health) suspect() bool { return h.quarantined || h.probing }

func (h *health) succeeded() { *h = health{} }

// recordFailure counts a failed job and reports whether it quarantines the worker.
func (h *health) recordFailure(id fleet.JobID, now time.Time, r Rules) bool {
	if h.failedJobs == nil {
		h.failedJobs = map[fleet.JobID]bool{}
	}
	h.failedJobs[id] = true
	if !h.probing && len(h.failedJobs) < r.FailureLimit {
		return false
	}
	h.backoff = min(max(2*h.backoff, r.Quarantine), r.MaxQuarantine)
	h.quarantined, h.probing, h.probeAt = true, false, now.Add(h.backoff)
	return true
}

// forgive removes a failure that was the fault of the job.
func (h *health) forgive(id fleet.JobID, r Rules) {
	if !h.failedJobs[id] {
		return
	}
	delete(h.failedJobs, id)
	if h.quarantined && h.backoff <= r.Quarantine && len(h.failedJobs) < r.FailureLimit {
		h.quarantined, h.backoff = false, 0
	}
}

// FailureVerdict says what follows from the failure of a gang.
type FailureVerdict struct {
	Park        bool           // the job is at fault and is not retried
	Quarantined []fleet.HostID // workers that are quarantined now
	After       time.Time      // earliest next attempt
	Why         string
}

// Fail records that a gang failed on the given workers, and decides whether they
// or the job are at fault.
func (p *Planner) Fail(id fleet.JobID, on []fleet.HostID, now time.Time) FailureVerdict {
	g, ok := p.gangs[id]
	if !ok {
		return FailureVerdict{Why: "not running here"}
	}
	p.vacate(g)
	v := FailureVerdict{Quarantined: p.recordFailures(id, on, now)}
	faulty := union(g.Faulty, on)
	n := p.countHealthy(faulty)
	v.After = now.Add(time.Duration(len(faulty)) * RetryAfter)
	v.Why = fmt.Sprintf("failed on %v; it has failed on %d healthy workers so far", on, n)
	if n >= p.rules.FailureLimit {
		v.Park = true
		p.forgive(id)
	}
	if len(v.Quarantined) > 0 {
		p.repack()
	}
	return v
}

// recordFailures counts a failed job on each worker and returns those that it
// quarantines.
func (p *Planner) recordFailures(id fleet.JobID, workers []fleet.HostID, now time.Time) []fleet.HostID {
	var quarantined []fleet.HostID
	for _, w := range workers {
		n, ok := p.nodes[w]
		if ok && !n.health.quarantined && n.health.recordFailure(id, now, p.rules) {
			quarantined = append(quarantined, w)
		}
	}
	return quarantined
}

// countHealthy counts the workers that are not quarantined, among them unknown ones.
func (p *Planner) countHealthy(workers []fleet.HostID) int {
	count := 0
	for _, w := range workers {
		if n, ok := p.nodes[w]; !ok || !n.health.quarantined {
			count++
		}
	}
	return count
}

func (p *Planner) forgive(id fleet.JobID) {
	for _, n := range p.nodes {
		n.health.forgive(id, p.rules)
	}
}

// startProbes lets each worker whose quarantine is over run one gang as a probe.
func (p *Planner) startProbes() {
	back := false
	for _, r := range p.racks {
		for _, n := range r.nodes {
			if h := &n.health; h.quarantined && !p.now.Before(h.probeAt) {
				h.quarantined, h.probing, back = false, true, true
			}
		}
	}
	if back && p.shortOfRoom {
		p.repack()
	}
}

// Quarantined returns the quarantined workers and when the quarantine of each ends.
func (p *Planner) Quarantined() map[fleet.HostID]time.Time {
	out := map[fleet.HostID]time.Time{}
	for id, n := range p.nodes {
		if n.health.quarantined {
			out[id] = n.health.probeAt
		}
	}
	return out
}

func union(have, more []fleet.HostID) []fleet.HostID {
	out := append([]fleet.HostID{}, have...)
	for _, m := range more {
		if !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}
