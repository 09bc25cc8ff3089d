package gang

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/wire"
)

// syncNodes passes added, changed and lost workers to the planner.
func (c *Controller) syncNodes(b *board.Board) {
	for id, w := range b.Workers {
		n := Node(w.Host)
		_, known := c.nodes[id]
		switch {
		case w.Lost && known:
			delete(c.nodes, id)
			c.plan.DropNode(id)
			c.dirty = true
		case !w.Lost && c.nodes[id] != n:
			c.nodes[id] = n
			c.plan.SetNode(n)
			c.dirty = true
		}
	}
	for id := range c.nodes {
		if b.Workers[id] == nil {
			delete(c.nodes, id)
			c.plan.DropNode(id)
			c.dirty = true
		}
	}
}

// Node converts a worker from the host list into a node of the planner.
func Node(h *wire.Host) place.Node {
	return place.Node{
		ID: fleet.HostID(h.Id), Rack: fleet.Rack(h.Rack),
		Total: fleet.ResOf(h.Total), Leaving: h.Leaving,
	}
}

// syncSpaces passes changed guarantees and quotas to the planner.
func (c *Controller) syncSpaces(b *board.Board) {
	changed := false
	for id, w := range b.State.Spaces {
		if c.spaceRevs[id] == w.Rev {
			continue
		}
		c.spaceRevs[id] = w.Rev
		c.plan.SetSpace(id, guaranteesIn(w, b.Self.Domain), fleet.ResOf(w.Quota))
		changed = true
	}
	for id := range c.spaceRevs {
		if b.State.Spaces[id] == nil {
			delete(c.spaceRevs, id)
			c.plan.DropSpace(id)
			changed = true
		}
	}
	if !changed {
		return
	}
	c.dirty = true
	for _, id := range c.plan.ShortSpaces() {
		b.Emit(event.GuaranteeShort, string(id), fmt.Sprintf("the workers of %s do not have enough capacity for its guarantee", b.Self.Domain))
	}
}

// guaranteesIn returns the guarantees of a workspace that are assigned to a
// domain.
func guaranteesIn(w *wire.Space, id fleet.DomainID) []place.Shape {
	var out []place.Shape
	for _, h := range w.Homes {
		if h.Domain != string(id) || int(h.Shape) >= len(w.Shapes) {
			continue
		}
		s := w.Shapes[h.Shape]
		out = append(out, place.Shape{Count: int(h.Count), Tasks: int(s.Tasks), Each: fleet.ResOf(s.Each)})
	}
	return out
}

// syncRemoteUsage passes what each workspace uses in other failure domains to the
// planner.
func (c *Controller) syncRemoteUsage(b *board.Board) {
	remote := map[fleet.SpaceID]fleet.Res{}
	for _, j := range b.State.Jobs {
		if j.Phase != wire.Phase_PLACED || j.Home == string(b.Self.Domain) {
			continue
		}
		id := fleet.SpaceID(j.Spec.Space)
		remote[id] = remote[id].Add(fleet.ResOf(j.Spec.Each).Times(int(j.Spec.Tasks)))
	}
	for id := range b.State.Spaces {
		c.plan.SetUsedElsewhere(id, remote[id])
	}
}

// syncGate allows or blocks starts in the planner, and drains a domain that is
// out of service.
func (c *Controller) syncGate(b *board.Board) {
	if b.Gate.Open && !b.Leaving {
		c.plan.Open()
	} else {
		c.plan.Close(closedReason(b))
	}
	drain := draining(b)
	if drain == c.draining {
		return
	}
	c.draining, c.dirty = drain, true
	if drain {
		c.plan.Drain()
		return
	}
	c.plan.EndDrain(b.Now)
}

func closedReason(b *board.Board) string {
	if b.Leaving {
		return "the lead is shutting down; the next lead places jobs"
	}
	return b.Gate.Why
}

func draining(b *board.Board) bool {
	if t := b.HeldOut(b.Self.Domain); t != nil {
		return t.Drain != wire.Drain_FINISH
	}
	d := b.State.Domains[b.Self.Domain]
	return d.GetOut() && d.GetDrain() != wire.Drain_FINISH
}

// syncJob passes the current state of a job to the planner or to its attempt.
func (c *Controller) syncJob(b *board.Board, id fleet.JobID) {
	c.dirty = true
	j, r := b.State.Jobs[id], c.runs[id]
	if r != nil {
		c.syncRun(b, j, r)
		return
	}
	if j == nil || j.Home != string(b.Self.Domain) {
		c.plan.Remove(id)
		return
	}
	switch j.Phase {
	case wire.Phase_QUEUED:
		c.plan.Add(c.job(j))
	case wire.Phase_PLACED:
		c.adopt(b, j)
	default:
		c.plan.Remove(id)
		delete(c.notBefore, id)
	}
}

func (c *Controller) syncRun(b *board.Board, j *wire.Job, r *run) {
	if j.GetCancel() && fleet.Attempt(j.Attempt) == r.attempt && r.phase != settling {
		r.beginStop(b, true, verdict{phase: wire.Phase_CANCELLED, why: "cancelled: " + j.Why})
	}
}

func (c *Controller) job(j *wire.Job) place.Job {
	id := fleet.JobID(j.Spec.Id)
	out := Job(j)
	out.After = c.notBefore[id]
	return out
}

// Job converts a job from the state into a job of the planner.
func Job(j *wire.Job) place.Job {
	out := place.Job{
		ID: fleet.JobID(j.Spec.Id), Space: fleet.SpaceID(j.Spec.Space),
		Tasks: int(j.Spec.Tasks), Each: fleet.ResOf(j.Spec.Each), Urgent: j.Spec.Urgent,
		Declared: time.Duration(j.Spec.Span) * time.Millisecond,
		Spent:    time.Duration(j.Spent) * time.Millisecond,
		Since:    time.UnixMilli(j.Begun),
	}
	for _, f := range j.Faulty {
		out.Faulty = append(out.Faulty, fleet.HostID(f))
	}
	return out
}

// adopt takes over a gang that an earlier lead placed. Whether it runs on all
// of its workers is known only when they have reported.
func (c *Controller) adopt(b *board.Board, j *wire.Job) {
	r := &run{
		id: fleet.JobID(j.Spec.Id), spec: j.Spec, attempt: fleet.Attempt(j.Attempt),
		parts: partsOf(j.Parts), owned: j.Owned, since: b.Now, phase: adopting,
		spent: time.Duration(j.Spent) * time.Millisecond,
	}
	c.runs[r.id] = r
	c.plan.Restore(Job(j), r.parts, r.owned, time.UnixMilli(j.Since))
	c.syncRun(b, j, r)
}

func partsOf(list []*wire.Part) []place.Part {
	var out []place.Part
	for _, p := range list {
		out = append(out, place.Part{Worker: fleet.HostID(p.Worker), Tasks: int(p.Tasks)})
	}
	return out
}
