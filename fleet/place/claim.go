package place

import (
	"sort"
	"time"

	"dragonflydeck.example/fleet"
)

// option is one way to run a job within a guarantee of its workspace.
type option struct {
	allotment *allotment
	parts     []Part
	victims   []*gang
	cost      time.Duration // work of the victims since their last checkpoints
	moves     bool          // the allotment moves to other workers first
}

// claim assigns a job to a free allotment of its workspace, if it fits one: one
// whose room is free now, else the one where evicting the borrowing gangs loses
// the least work.
func (p *Planner) claim(w *waitingJob) []Decision {
	best := p.cheapest(&w.Job)
	if best == nil {
		return nil
	}
	if len(best.victims) > 0 {
		if o := p.relocate(&w.Job, best.allotment); o != nil {
			best = o
		}
	}
	return p.applyOption(w, best)
}

// cheapest returns the option with the least lost work over all free allotments
// that accept the job.
func (p *Planner) cheapest(j *Job) *option {
	var best *option
	for _, a := range p.space(j.Space).allotments {
		if a.holder != "" || a.parts == nil || !a.accepts(j) {
			continue
		}
		o := p.evaluate(a, j)
		if o == nil || best != nil && o.cost >= best.cost {
			continue
		}
		best = o
		if o.cost == 0 && len(o.victims) == 0 {
			break
		}
	}
	return best
}

// evaluate returns the option of running a job in an allotment, or nil if that
// is not possible.
func (p *Planner) evaluate(a *allotment, j *Job) *option {
	parts := p.spreadWithin(a, j)
	if parts == nil {
		return nil
	}
	victims, cost, ok := p.victims(parts, j.Each)
	if !ok {
		return nil
	}
	return &option{allotment: a, parts: parts, victims: victims, cost: cost}
}

// spreadWithin distributes a job over the workers of an allotment, free room
// first. It returns nil if they are too few.
func (p *Planner) spreadWithin(a *allotment, j *Job) []Part {
	left := j.Tasks
	take := make([]int, len(a.parts))
	for i, part := range a.parts {
		n := p.nodes[part.Worker]
		if !n.accepts(j) {
			continue
		}
		take[i] = min(left, part.Tasks, n.free().Count(j.Each))
		left -= take[i]
	}
	for i, part := range a.parts {
		if n := p.nodes[part.Worker]; n.accepts(j) {
			more := min(left, part.Tasks-take[i])
			take[i] += more
			left -= more
		}
	}
	if left > 0 {
		return nil
	}
	var parts []Part
	for i, t := range take {
		if t > 0 {
			parts = append(parts, Part{a.parts[i].Worker, t})
		}
	}
	return parts
}

// victims chooses the borrowing gangs to evict so that parts have room, those
// with the least unsaved work first. It returns them with their unsaved work, and
// false if evicting all of them is not enough.
func (p *Planner) victims(parts []Part, each fleet.Res) ([]*gang, time.Duration, bool) {
	chosen := map[fleet.JobID]bool{}
	var list []*gang
	cost := time.Duration(0)
	for _, part := range parts {
		n := p.nodes[part.Worker]
		need := each.Times(part.Tasks)
		room := n.free()
		for _, g := range p.borrowersOn(n) {
			if g.evicting || chosen[g.ID] {
				room = room.Add(g.heldOn(n.ID))
			}
		}
		for _, g := range p.borrowersOn(n) {
			if need.Fits(room) {
				break
			}
			if g.evicting || chosen[g.ID] {
				continue
			}
			chosen[g.ID] = true
			list = append(list, g)
			cost += g.unsaved(p.now)
			room = room.Add(g.heldOn(n.ID))
		}
		if !need.Fits(room) {
			return nil, 0, false
		}
	}
	return list, cost, true
}

// borrowersOn lists the borrowing gangs on a worker, the one with the least
// unsaved work first.
func (p *Planner) borrowersOn(n *node) []*gang {
	var borrowers []*gang
	for _, g := range n.gangs {
		if !g.owned {
			borrowers = append(borrowers, g)
		}
	}
	sort.Slice(borrowers, func(a, b int) bool {
		ca, cb := borrowers[a].unsaved(p.now), borrowers[b].unsaved(p.now)
		if ca != cb {
			return ca < cb
		}
		return borrowers[a].ID < borrowers[b].ID
	})
	return borrowers
}

// heldOn returns the resources that the gang holds on a worker.
func (g *gang) heldOn(id fleet.HostID) fleet.Res {
	for _, part := range g.parts {
		if part.Worker == id {
			return g.Each.Times(part.Tasks)
		}
	}
	return fleet.Res{}
}

// relocate returns the option of moving an allotment to room that no gang or
// guarantee uses, so that nothing is evicted; nil if there is too little.
func (p *Planner) relocate(j *Job, a *allotment) *option {
	parts := p.fit(a.tasks, a.each, func(n *node) int {
		if !n.usable() {
			return 0
		}
		return n.unreserved().Count(a.each)
	})
	if parts == nil {
		return nil
	}
	used := firstTasks(parts, j.Tasks)
	return &option{allotment: a, parts: used, moves: true}
}

// firstTasks returns the leading parts that hold the given number of tasks.
func firstTasks(parts []Part, tasks int) []Part {
	var out []Part
	for _, part := range parts {
		t := min(part.Tasks, tasks)
		if t > 0 {
			out = append(out, Part{part.Worker, t})
		}
		tasks -= t
	}
	return out
}

// applyOption gives the allotment to the job, evicts the victims, and starts the
// job if its room is free already.
func (p *Planner) applyOption(w *waitingJob, o *option) []Decision {
	if o.moves {
		p.unplace(o.allotment)
		p.place(o.allotment, p.extendParts(o.allotment, o.parts))
	}
	o.allotment.holder = w.ID
	g := p.assign(w, &gang{parts: o.parts, owned: true, allotment: o.allotment})
	var out []Decision
	for _, v := range o.victims {
		out = append(out, p.evict(v, w.ID, "its room is guaranteed to workspace "+string(w.Space))...)
	}
	return append(out, p.startIfFree(g)...)
}

// evict decides to stop a gang. One that has not started yet is only queued
// again.
func (p *Planner) evict(g *gang, by fleet.JobID, why string) []Decision {
	if !g.running {
		p.unassign(g, why)
		return nil
	}
	g.evicting = true
	return []Decision{{Kind: Evict, Job: g.ID, Parts: g.parts, Owned: g.owned, For: by, Why: why}}
}

// startIfFree starts a gang if no evicted gang still uses its room.
func (p *Planner) startIfFree(g *gang) []Decision {
	for _, part := range g.parts {
		if p.nodes[part.Worker].free().Negative() {
			return nil
		}
	}
	g.running, g.began, g.savedAt = true, p.now, p.now
	p.gate.countStart(g.Need())
	return []Decision{{Kind: Start, Job: g.ID, Parts: g.parts, Owned: g.owned, Why: p.reason(g)}}
}

func (p *Planner) reason(g *gang) string {
	switch {
	case g.owned:
		return "on the guarantee of " + string(g.Space)
	case len(g.parts) == 1:
		return "one worker has room for the whole gang with the least waste"
	}
	return "the smallest range of neighbouring racks that fits the whole gang"
}
