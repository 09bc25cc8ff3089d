package place

import (
	"fmt"
	"slices"
	"time"

	"dragonflydeck.example/fleet"
)

// RetryAfter is how long a failed job waits before its next attempt, times the
// number of workers that it has failed on.
const RetryAfter = 2 * time.Second

// health tells a worker that fails everything from one that met a bad job.
type health struct {
	strikes map[fleet.JobID]bool // jobs that failed since one last passed
	aside   bool
	until   time.Time     // when an aside worker may be probed
	probe   bool          // one gang at a time, as a test
	wait    time.Duration // last time aside
}

func (h *health) usable(gangs int) bool {
	if h.aside {
		return false
	}
	return !h.probe || gangs == 0
}

// suspect reports whether no guarantee may rest on the worker.
func (h *health) suspect() bool { return h.aside || h.probe }

func (h *health) passed() { *h = health{} }

func (h *health) failed(id fleet.JobID, now time.Time, r Rules) bool {
	if h.strikes == nil {
		h.strikes = map[fleet.JobID]bool{}
	}
	h.strikes[id] = true
	if !h.probe && len(h.strikes) < r.Strikes {
		return false
	}
	h.wait = min(max(2*h.wait, r.Aside), r.MaxAside)
	h.aside, h.probe, h.until = true, false, now.Add(h.wait)
	return true
}

// excuse takes back a strike that was the job's own fault.
func (h *health) excuse(id fleet.JobID, r Rules) {
	if !h.strikes[id] {
		return
	}
	delete(h.strikes, id)
	if h.aside && h.wait <= r.Aside && len(h.strikes) < r.Strikes {
		h.aside, h.wait = false, 0
	}
}

// Verdict says what follows from a failed gang.
type Verdict struct {
	Park  bool // the job is at fault: it is not tried again
	Aside []fleet.HostID
	After time.Time // earliest next attempt
	Why   string
}

// Fail says that a gang failed on the workers named, and judges whether they
// or the job are at fault.
func (p *Planner) Fail(id fleet.JobID, on []fleet.HostID, now time.Time) Verdict {
	g, ok := p.gangs[id]
	if !ok {
		return Verdict{Why: "not running here"}
	}
	p.vacate(g)
	v := Verdict{Aside: p.strike(id, on, now)}
	faulty := merge(g.Faulty, on)
	n := p.sane(faulty)
	v.After = now.Add(time.Duration(len(faulty)) * RetryAfter)
	v.Why = fmt.Sprintf("failed on %v; %d workers in good health failed it so far", on, n)
	if n >= p.rules.Strikes {
		v.Park = true
		p.excuse(id)
	}
	if len(v.Aside) > 0 {
		p.repack()
	}
	return v
}

func (p *Planner) strike(id fleet.JobID, on []fleet.HostID, now time.Time) []fleet.HostID {
	var aside []fleet.HostID
	for _, w := range on {
		n, ok := p.nodes[w]
		if ok && !n.health.aside && n.health.failed(id, now, p.rules) {
			aside = append(aside, w)
		}
	}
	return aside
}

// sane counts the workers that are not themselves suspected.
func (p *Planner) sane(on []fleet.HostID) int {
	count := 0
	for _, w := range on {
		if n, ok := p.nodes[w]; !ok || !n.health.aside {
			count++
		}
	}
	return count
}

func (p *Planner) excuse(id fleet.JobID) {
	for _, n := range p.nodes {
		n.health.excuse(id, p.rules)
	}
}

// probeDue lets workers whose time aside is over take one gang as a test.
func (p *Planner) probeDue() {
	back := false
	for _, r := range p.racks {
		for _, n := range r.nodes {
			if h := &n.health; h.aside && !p.now.Before(h.until) {
				h.aside, h.probe, back = false, true, true
			}
		}
	}
	if back && p.short {
		p.repack()
	}
}

// Aside names the workers set aside and when each is probed.
func (p *Planner) Aside() map[fleet.HostID]time.Time {
	out := map[fleet.HostID]time.Time{}
	for id, n := range p.nodes {
		if n.health.aside {
			out[id] = n.health.until
		}
	}
	return out
}

func merge(have, more []fleet.HostID) []fleet.HostID {
	out := append([]fleet.HostID{}, have...)
	for _, m := range more {
		if !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}
