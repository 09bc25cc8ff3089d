package place

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
)

// PlanSpan is the longest time between two whole plans while jobs wait.
const PlanSpan = 10 * time.Second

// fairBase weighs how strongly a workspace's use lowers its jobs' turn.
const fairBase = 0.5

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

// look returns the jobs that this plan looks at: the first by turn, and those
// that have waited longest of all, whatever their turn.
func (p *Planner) look() []*wait {
	list := p.order()
	if len(list) <= p.rules.Depth {
		return list
	}
	rest := list[p.rules.Depth:]
	sort.Slice(rest, func(a, b int) bool { return rest[a].Since.Before(rest[b].Since) })
	return list[:p.rules.Depth+min(p.rules.Holds, len(rest))]
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

// free counts the tasks for which there is room, without regard to
// neighbourhood.
func (p *Planner) free(each fleet.Res) int {
	n := 0
	for _, k := range p.racks {
		for _, w := range k.nodes {
			if w.usable() {
				n += w.free().Count(each)
			}
		}
	}
	return n
}

func (p *Planner) lacking(w *wait) string {
	free := p.free(w.Each)
	if free >= w.Tasks {
		return fmt.Sprintf("room for %d of its tasks is free, but kept for a gang that waits longer", free)
	}
	return fmt.Sprintf("room for %d of its %d tasks is free", free, w.Tasks)
}

// misses remembers which kinds of gang found no room in this plan. Room only
// shrinks while a plan is made. It says nothing of a gang that room is kept for.
type misses map[fleet.Res]miss

type miss struct {
	tasks  int
	faulty int
}

func (m misses) hopeless(j *Job) bool {
	at, ok := m[j.Each]
	return ok && j.Tasks >= at.tasks && len(j.Faulty) >= at.faulty
}

func (m misses) miss(j *Job) {
	if at, ok := m[j.Each]; !ok || j.Tasks < at.tasks {
		m[j.Each] = miss{j.Tasks, len(j.Faulty)}
	}
}

// order sorts the waiting jobs by turn: urgent ones first, then by how long a
// job has waited measured by its own length, divided by its workspace's use.
func (p *Planner) order() []*wait {
	if len(p.waits) == 0 {
		return nil
	}
	list := make([]*wait, 0, len(p.waits))
	active := p.active()
	for _, w := range p.waits {
		if w.After.After(p.now) {
			w.why = "failed before, is tried again at " + w.After.UTC().Format(time.TimeOnly)
			p.soon(w.After)
			continue
		}
		w.score = p.turn(w, active)
		list = append(list, w)
	}
	sort.Slice(list, func(a, b int) bool { return earlier(list[a], list[b]) })
	return list
}

func earlier(a, b *wait) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	if a.score != b.score {
		return a.score > b.score
	}
	if !a.Since.Equal(b.Since) {
		return a.Since.Before(b.Since)
	}
	return a.ID < b.ID
}

func (p *Planner) turn(w *wait, active int) float64 {
	ratio := p.urgency(&w.Job, 0)
	share := p.space(w.Space).used.Share(p.total)
	return ratio / (fairBase + share*float64(active))
}

// active counts the workspaces that run or wait.
func (p *Planner) active() int {
	ids := map[fleet.SpaceID]bool{}
	for _, w := range p.waits {
		ids[w.Space] = true
	}
	for _, g := range p.gangs {
		ids[g.Space] = true
	}
	return len(ids)
}

// Why tells why a job waits or runs where it does; empty if it is not known.
func (p *Planner) Why(id fleet.JobID) string {
	if w, ok := p.waits[id]; ok {
		if !p.gate.open {
			return p.gate.why
		}
		return w.why
	}
	g, ok := p.gangs[id]
	switch {
	case !ok:
		return ""
	case g.leaving:
		return "being checkpointed and stopped"
	case !g.running:
		return "waits for evicted gangs to stop"
	}
	return p.reason(g)
}

// Saved says that a gang was checkpointed.
func (p *Planner) Saved(id fleet.JobID, at time.Time) {
	if g, ok := p.gangs[id]; ok {
		g.saved = at
	}
}

// Counts returns how many jobs wait and how many gangs hold workers.
func (p *Planner) Counts() (waiting, running int) { return len(p.waits), len(p.gangs) }
