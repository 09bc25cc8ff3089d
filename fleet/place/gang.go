package place

import (
	"time"

	"dragonflydeck.example/fleet"
)

// wait is a job that waits, and why.
type wait struct {
	Job
	why   string
	score float64
}

// gang is a job that has workers: it runs, or it starts when the room of the
// gangs evicted for it is free.
type gang struct {
	Job
	parts   []Part
	owned   bool
	spot    *spot // set if owned
	running bool
	leaving bool // an Evict was decided
	began   time.Time
	saved   time.Time // last checkpoint
	ends    time.Time // expected, see endTimes
}

// Add takes a job that waits. A job already known is left as it is.
func (p *Planner) Add(j Job) {
	p.dirty = true
	if _, ok := p.gangs[j.ID]; ok {
		return
	}
	if _, ok := p.waits[j.ID]; ok {
		return
	}
	p.waits[j.ID] = &wait{Job: j, why: "not looked at yet"}
}

// Remove forgets a job that waits, also for the room of evicted gangs: it was
// cancelled or moved elsewhere.
func (p *Planner) Remove(id fleet.JobID) {
	p.dirty = true
	delete(p.waits, id)
	p.release(id)
	if g, ok := p.gangs[id]; ok && !g.running {
		p.vacate(g)
	}
}

// Restore takes over a gang that already has workers, after a change of lead.
func (p *Planner) Restore(j Job, parts []Part, owned bool, began time.Time) {
	p.dirty = true
	if _, ok := p.gangs[j.ID]; ok {
		return
	}
	delete(p.waits, j.ID)
	g := &gang{Job: j, parts: parts, running: true, began: began, saved: began}
	if owned {
		g.spot = p.adopt(&g.Job, parts)
	}
	g.owned = g.spot != nil
	p.occupy(g)
}

// End says that a gang holds no worker any more.
func (p *Planner) End(id fleet.JobID) {
	g, ok := p.gangs[id]
	if !ok {
		return
	}
	p.vacate(g)
}

// Done says that a gang ran to its end, and learns from its run time.
func (p *Planner) Done(id fleet.JobID, now time.Time) {
	g, ok := p.gangs[id]
	if !ok {
		return
	}
	p.space(g.Space).learn(g.Declared, now.Sub(g.began)+g.Spent)
	cleared := false
	for _, part := range g.parts {
		h := &p.nodes[part.Worker].health
		cleared = cleared || h.suspect()
		h.passed()
	}
	p.vacate(g)
	if cleared {
		p.repack()
	}
}

func (p *Planner) occupy(g *gang) {
	p.dirty = true
	p.gangs[g.ID] = g
	for _, part := range g.parts {
		n := p.held(part.Worker)
		n.take(g, part.Tasks)
	}
	p.space(g.Space).used = p.space(g.Space).used.Add(g.Need())
	p.used = p.used.Add(g.Need())
}

// held returns the worker, also one that the host list no longer names.
func (p *Planner) held(id fleet.HostID) *node {
	n, ok := p.nodes[id]
	if !ok {
		n = &node{Node: Node{ID: id}, gone: true, gangs: map[fleet.JobID]*gang{}}
		p.nodes[id] = n
	}
	return n
}

func (n *node) take(g *gang, tasks int) {
	need := g.Each.Times(tasks)
	if g.owned {
		n.owned = n.owned.Add(need)
	} else {
		n.lent = n.lent.Add(need)
	}
	n.gangs[g.ID] = g
}

func (p *Planner) vacate(g *gang) {
	p.dirty = true
	delete(p.gangs, g.ID)
	for _, part := range g.parts {
		n := p.nodes[part.Worker]
		n.give(g, part.Tasks)
		p.forget(n)
	}
	if g.spot != nil {
		g.spot.holder = ""
	}
	p.space(g.Space).used = p.space(g.Space).used.Sub(g.Need())
	p.used = p.used.Sub(g.Need())
	if p.short {
		p.repack()
	}
}

func (n *node) give(g *gang, tasks int) {
	need := g.Each.Times(tasks)
	if g.owned {
		n.owned = n.owned.Sub(need)
	} else {
		n.lent = n.lent.Sub(need)
	}
	delete(n.gangs, g.ID)
}

// unsaved is the work that is lost if the gang stops without a checkpoint.
func (g *gang) unsaved(now time.Time) time.Duration {
	return now.Sub(g.saved) * time.Duration(g.Tasks)
}

// ends estimates when the gang ends; one that is late is given half as long
// again as it has run.
func (p *Planner) ends(g *gang) time.Time {
	if !g.running {
		return p.now.Add(p.remaining(&g.Job))
	}
	at := g.began.Add(p.remaining(&g.Job))
	if late := p.now.Add(p.now.Sub(g.began) / 2); at.Before(p.now) {
		return late
	}
	return at
}

func (p *Planner) remaining(j *Job) time.Duration {
	est := p.space(j.Space).estimate(j.Declared)
	return max(est-j.Spent, est/10, time.Second)
}
