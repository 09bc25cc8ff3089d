package place

import (
	"slices"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
)

// PlanSpan is the longest time between two whole plans while jobs wait.
const PlanSpan = 10 * time.Second

// Plan decides what to do now. Each decision is counted as taken: Start is
// followed by Done, Fail or End, and Evict by End.
func (p *Planner) Plan(now time.Time) []Decision {
	p.now = now
	if !p.due() {
		return nil
	}
	p.dirty, p.wake = false, now.Add(PlanSpan)
	p.lent = nil
	p.probeDue()
	p.weighBalance()
	out := p.drained()
	if !p.gate.open || p.gate.drain {
		return out
	}
	out = append(out, p.startClaimed()...)
	p.rehold()
	return append(out, p.startWaiting()...)
}

// due reports whether a plan could come to anything new.
func (p *Planner) due() bool { return p.dirty || !p.now.Before(p.wake) }

// soon asks for a whole plan at a time.
func (p *Planner) soon(at time.Time) {
	if at.Before(p.wake) {
		p.wake = at
	}
}

// startClaimed starts the gangs whose evicted predecessors are gone by now.
func (p *Planner) startClaimed() []Decision {
	var out []Decision
	for _, g := range p.inOrder(func(g *gang) bool { return !g.running }) {
		if !p.usableUnder(g) {
			p.unassign(g, "a worker of its guarantee went away")
			continue
		}
		out = append(out, p.begin(g)...)
	}
	return out
}

func (p *Planner) usableUnder(g *gang) bool {
	for _, part := range g.parts {
		if n := p.nodes[part.Worker]; n.gone || n.Leaving || n.health.aside {
			return false
		}
	}
	return true
}

// inOrder lists the gangs that a test passes, in the order of their ids.
func (p *Planner) inOrder(pass func(*gang) bool) []*gang {
	var list []*gang
	for _, g := range p.gangs {
		if pass(g) {
			list = append(list, g)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// startWaiting goes through the waiting jobs by their turn.
func (p *Planner) startWaiting() []Decision {
	var out []Decision
	var failed []*wait
	tried := misses{}
	for _, w := range p.look() {
		ds, fits := p.try(w, tried)
		out = append(out, ds...)
		if !fits {
			failed = append(failed, w)
		}
	}
	p.holdOldest(failed)
	return out
}

// try starts a waiting job if it can. It reports false if only room is lacking.
func (p *Planner) try(w *wait, tried misses) ([]Decision, bool) {
	if lacks := p.space(w.Space).over(w.Need()); lacks != "" {
		w.why = "the quota of " + string(w.Space) + " lacks " + lacks
		return nil, true
	}
	if !w.Urgent && !p.gate.ramped(w.Need(), p.total, p.now, p.rules.Ramp) {
		w.why = "its failure domain came back and fills step by step"
		p.soon(p.now.Add(p.rules.Ramp / 10))
		return nil, true
	}
	if ds := p.claim(w); ds != nil {
		return ds, true
	}
	if _, held := p.waits[w.ID]; !held {
		return nil, true // it waits for evicted gangs
	}
	if !p.holding(w.ID) && tried.hopeless(&w.Job) {
		w.why = "a gang of the same kind did not fit either"
		return nil, false
	}
	parts := p.borrow(w)
	if parts == nil {
		if ds := p.preempt(w); ds != nil {
			return ds, true
		}
		tried.miss(&w.Job)
		w.why = p.lacking(w)
		return nil, false
	}
	return p.begin(p.assign(w, &gang{parts: parts})), true
}

// assign makes a waiting job a gang that holds its workers, though evicted ones
// may still be on them.
func (p *Planner) assign(w *wait, g *gang) *gang {
	g.Job = w.Job
	delete(p.waits, w.ID)
	p.release(w.ID)
	p.occupy(g)
	return g
}

// unassign has a gang that has not started yet wait again.
func (p *Planner) unassign(g *gang, why string) {
	p.vacate(g)
	p.waits[g.ID] = &wait{Job: g.Job, why: why}
}

// borrow finds room outside the guarantees, else in idle ones; last where it
// takes the cores of free accelerators that nobody waits for.
func (p *Planner) borrow(w *wait) []Part {
	ends := p.now.Add(time.Duration(float64(p.remaining(&w.Job)) * p.rules.Slack))
	tries := []room{
		func(n *node) int { return p.roomIn(n, p.spare(n, n.open(), &w.Job, true), w, ends) },
		func(n *node) int { return p.roomIn(n, p.spare(n, n.free(), &w.Job, true), w, ends) },
		func(n *node) int { return p.roomIn(n, p.spare(n, n.free(), &w.Job, false), w, ends) },
	}
	if w.Each.Accels > 0 {
		tries = tries[:2]
	}
	for _, r := range tries {
		if parts := p.fit(w.Tasks, w.Each, r); parts != nil {
			return parts
		}
	}
	return nil
}

func (p *Planner) roomIn(n *node, room fleet.Res, w *wait, ends time.Time) int {
	if !n.takes(&w.Job) {
		return 0
	}
	if len(p.holds) > 0 {
		room = room.Sub(p.keptFor(n, w.ID, ends))
	}
	return room.Count(w.Each)
}

// takes reports whether the job may go to the worker: it is usable, and the job
// did not fail on it before.
func (n *node) takes(j *Job) bool { return n.usable() && !slices.Contains(j.Faulty, n.ID) }

// Saved says that a gang was checkpointed.
func (p *Planner) Saved(id fleet.JobID, at time.Time) {
	if g, ok := p.gangs[id]; ok {
		g.saved = at
	}
}

// Counts returns how many jobs wait and how many gangs hold workers.
func (p *Planner) Counts() (waiting, running int) { return len(p.waits), len(p.gangs) }
