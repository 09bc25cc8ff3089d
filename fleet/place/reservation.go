package place

import (
	"slices"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
)

// Spans of reservations.
const (
	// HoldAfter is how long a gang waits before room is kept for it: most get
	// theirs sooner by preemption, and kept room lies idle.
	HoldAfter = 30 * time.Minute
	// HoldFor is how long a reservation stands before it is weighed again.
	HoldFor = 5 * time.Second
)

// hold reserves room for a gang that waits: from at on its workers are expected
// to have room for parts. Others may use the room if they surely end before.
type hold struct {
	job   fleet.JobID
	each  fleet.Res
	parts []Part
	at    time.Time
	made  time.Time
}

// keptFor returns what a worker keeps from a job that ends at the given time.
func (p *Planner) keptFor(n *node, id fleet.JobID, ends time.Time) fleet.Res {
	kept := fleet.Res{}
	for _, h := range p.holds {
		if h.job == id || !ends.After(h.at) {
			continue
		}
		for _, part := range h.parts {
			if part.Worker == n.ID {
				kept = kept.Add(h.each.Times(part.Tasks))
			}
		}
	}
	return kept
}

// rehold drops reservations that are over and weighs old ones again.
func (p *Planner) rehold() {
	held := p.holds
	p.holds = nil
	for _, h := range held {
		w, ok := p.waits[h.job]
		if !ok {
			continue
		}
		if p.now.Sub(h.made) < HoldFor {
			p.holds = append(p.holds, h)
			continue
		}
		if again := p.reserve(w); again != nil {
			p.holds = append(p.holds, again)
		}
	}
}

func (p *Planner) release(id fleet.JobID) {
	for i, h := range p.holds {
		if h.job == id {
			p.holds = append(p.holds[:i:i], p.holds[i+1:]...)
			return
		}
	}
}

// holdOldest reserves room for the jobs that have waited longest of those that
// did not fit.
func (p *Planner) holdOldest(failed []*wait) {
	sort.SliceStable(failed, func(a, b int) bool { return failed[a].Since.Before(failed[b].Since) })
	for _, w := range failed {
		if len(p.holds) >= p.rules.Holds || p.now.Sub(w.Since) < HoldAfter {
			return
		}
		if p.holding(w.ID) {
			continue
		}
		if h := p.reserve(w); h != nil {
			p.holds = append(p.holds, h)
			w.why += "; room is kept for it from " + h.at.UTC().Format(time.TimeOnly)
		}
	}
}

func (p *Planner) holding(id fleet.JobID) bool {
	for _, h := range p.holds {
		if h.job == id {
			return true
		}
	}
	return false
}

// reserve finds the earliest time at which the gang fits, if running gangs end
// as estimated.
func (p *Planner) reserve(w *wait) *hold {
	ends := p.endTimes()
	i := sort.Search(len(ends), func(i int) bool { return p.fitAt(w, ends[i]) != nil })
	if i == len(ends) {
		return nil
	}
	return &hold{job: w.ID, each: w.Each, parts: p.fitAt(w, ends[i]), at: ends[i], made: p.now}
}

// endTimes works out when each gang is expected to end, and lists these times,
// beginning with now.
func (p *Planner) endTimes() []time.Time {
	ends := make([]time.Time, 0, len(p.gangs)+1)
	ends = append(ends, p.now)
	for _, g := range p.gangs {
		g.ends = p.ends(g)
		ends = append(ends, g.ends)
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends
}

// fitAt fits a gang into what is expected to be free at a time, as endTimes left
// it with the gangs.
func (p *Planner) fitAt(w *wait, at time.Time) []Part {
	return p.fit(w.Tasks, w.Each, func(n *node) int {
		if n.health.aside {
			return 0
		}
		room := n.free()
		for _, g := range n.gangs {
			if !g.ends.After(at) {
				room = room.Add(g.on(n.ID))
			}
		}
		return room.Sub(p.keptFor(n, w.ID, at.Add(time.Hour))).Count(w.Each)
	})
}
