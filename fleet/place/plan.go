package place

import (
	"slices"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
)

// MaxPlanInterval is the longest time between two plans.
const MaxPlanInterval = 10 * time.Second

// Plan returns the decisions for now. The planner assumes that each of them is
// carried out: the caller reports the end of a started gang by Done, Fail or End,
// and that of an evicted one by End.
func (p *Planner) Plan(now time.Time) []Decision {
	p.now = now
	if !p.due() {
		return nil
	}
	p.dirty, p.planAt = false, now.Add(MaxPlanInterval)
	p.preemptibles = nil
	p.startProbes()
	p.updateBalance()
	out := p.evictDraining()
	if !p.gate.open || p.gate.draining {
		return out
	}
	out = append(out, p.startClaimed()...)
	p.refreshReservations()
	return append(out, p.startWaiting()...)
}

// due reports whether a plan could bring new decisions.
func (p *Planner) due() bool { return p.dirty || !p.now.Before(p.planAt) }

// planBy requests a plan at the given time at the latest.
func (p *Planner) planBy(at time.Time) {
	if at.Before(p.planAt) {
		p.planAt = at
	}
}

// startClaimed starts the gangs that have waited for evicted gangs to stop.
func (p *Planner) startClaimed() []Decision {
	var out []Decision
	for _, g := range p.gangsByID(func(g *gang) bool { return !g.running }) {
		if !p.workersUsable(g) {
			p.unassign(g, "one of its workers became unusable before it started")
			continue
		}
		out = append(out, p.startIfFree(g)...)
	}
	return out
}

func (p *Planner) workersUsable(g *gang) bool {
	for _, part := range g.parts {
		if n := p.nodes[part.Worker]; n.gone || n.Leaving || n.health.quarantined {
			return false
		}
	}
	return true
}

// gangsByID returns the gangs that pass the test, sorted by id.
func (p *Planner) gangsByID(pass func(*gang) bool) []*gang {
	var list []*gang
	for _, g := range p.gangs {
		if pass(g) {
			list = append(list, g)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// startWaiting starts the waiting jobs that fit, in order.
func (p *Planner) startWaiting() []Decision {
	var out []Decision
	var failed []*waitingJob
	tried := fitFailures{}
	for _, w := range p.shortlist() {
		decisions, fits := p.tryStart(w, tried)
		out = append(out, decisions...)
		if !fits {
			failed = append(failed, w)
		}
	}
	p.reserveForOldest(failed)
	return out
}

// tryStart starts a waiting job if it can. It returns false if the job does
// not fit, and true if it starts or waits for another reason.
func (p *Planner) tryStart(w *waitingJob, tried fitFailures) ([]Decision, bool) {
	if lacks := p.space(w.Space).overQuota(w.Need()); lacks != "" {
		w.why = "the quota of " + string(w.Space) + " lacks " + lacks
		return nil, true
	}
	if !w.Urgent && !p.gate.rampAllows(w.Need(), p.total, p.now, p.rules.Ramp) {
		w.why = "its failure domain returned to service and limits starts for a short time"
		p.planBy(p.now.Add(p.rules.Ramp / 10))
		return nil, true
	}
	if decisions := p.claim(w); decisions != nil {
		return decisions, true
	}
	if _, held := p.waiting[w.ID]; !held {
		return nil, true // it has an allotment and waits for evicted gangs to stop
	}
	if !p.hasReservation(w.ID) && tried.covers(&w.Job) {
		w.why = "a gang with the same needs per task and no more tasks did not fit"
		return nil, false
	}
	parts := p.borrow(w)
	if parts == nil {
		if decisions := p.preempt(w); decisions != nil {
			return decisions, true
		}
		tried.record(&w.Job)
		w.why = p.describeRoom(w)
		return nil, false
	}
	return p.startIfFree(p.assign(w, &gang{parts: parts})), true
}

// assign turns a waiting job into a gang that holds its workers, though evicted
// gangs may still run on them.
func (p *Planner) assign(w *waitingJob, g *gang) *gang {
	g.Job = w.Job
	delete(p.waiting, w.ID)
	p.dropReservation(w.ID)
	p.occupy(g)
	return g
}

// unassign queues a gang again that has not started yet.
func (p *Planner) unassign(g *gang, why string) {
	p.vacate(g)
	p.waiting[g.ID] = &waitingJob{Job: g.Job, why: why}
}

// borrow finds room outside of allotments, else in idle allotments, and last, for a
// job without accelerators, in the cores and memory set aside for free accelerators
// that no job waits for.
func (p *Planner) borrow(w *waitingJob) []Part {
	ends := p.now.Add(time.Duration(float64(p.remaining(&w.Job)) * p.rules.Slack))
	tries := []capacityFunc{
		func(n *node) int { return p.taskCount(n, p.roomFor(n, n.unreserved(), &w.Job, true), w, ends) },
		func(n *node) int { return p.taskCount(n, p.roomFor(n, n.free(), &w.Job, true), w, ends) },
		func(n *node) int { return p.taskCount(n, p.roomFor(n, n.free(), &w.Job, false), w, ends) },
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

// taskCount returns how many tasks of a job fit into room on a worker, without
// the room that is reserved for others.
func (p *Planner) taskCount(n *node, room fleet.Res, w *waitingJob, ends time.Time) int {
	if !n.accepts(&w.Job) {
		return 0
	}
	if len(p.reservations) > 0 {
		room = room.Sub(p.reservedRoom(n, w.ID, ends))
	}
	return room.Count(w.Each)
}

// accepts reports whether the worker is usable and the job has not failed on it.
func (n *node) accepts(j *Job) bool { return n.usable() && !slices.Contains(j.Faulty, n.ID) }

// Saved records a checkpoint of a gang.
func (p *Planner) Saved(id fleet.JobID, at time.Time) {
	if g, ok := p.gangs[id]; ok {
		g.savedAt = at
	}
}

// Counts returns the number of waiting jobs and of gangs that hold workers.
func (p *Planner) Counts() (waiting, running int) { return len(p.waiting), len(p.gangs) }
