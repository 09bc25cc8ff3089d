package place

import (
	"time"

	"dragonflydeck.example/fleet"
)

// waitingJob is a job without workers.
type waitingJob struct {
	Job
	why   string  // why it waits
	score float64 // orders the waiting jobs, see Planner.score
}

// gang is a job that has workers. It runs, or starts when the gangs evicted for
// it have stopped. A gang is owned if it runs within an allotment of its
// workspace, else it is a borrowing gang, which may be evicted.
type gang struct {
	Job
	parts       []Part
	owned       bool
	allotment   *allotment // nil unless owned
	running     bool
	evicting    bool // Evict was decided
	began       time.Time
	savedAt     time.Time // last checkpoint
	expectedEnd time.Time // set by endTimes
}

// Add queues a job. It does nothing if the job is known.
func (p *Planner) Add(j Job) {
	p.dirty = true
	if _, ok := p.gangs[j.ID]; ok {
		return
	}
	if _, ok := p.waiting[j.ID]; ok {
		return
	}
	p.waiting[j.ID] = &waitingJob{Job: j, why: "not considered yet"}
}

// Remove drops a job that has not started, because it was cancelled or moved to
// another failure domain. This includes a job that waits for evicted gangs to
// stop.
func (p *Planner) Remove(id fleet.JobID) {
	p.dirty = true
	delete(p.waiting, id)
	p.dropReservation(id)
	if g, ok := p.gangs[id]; ok && !g.running {
		p.vacate(g)
	}
}

// Restore adds a gang that already has workers, after a change of lead.
func (p *Planner) Restore(j Job, parts []Part, owned bool, began time.Time) {
	p.dirty = true
	if _, ok := p.gangs[j.ID]; ok {
		return
	}
	delete(p.waiting, j.ID)
	g := &gang{Job: j, parts: parts, running: true, began: began, savedAt: began}
	if owned {
		g.allotment = p.adopt(&g.Job, parts)
	}
	g.owned = g.allotment != nil
	p.occupy(g)
}

// End records that a gang holds no workers any more.
func (p *Planner) End(id fleet.JobID) {
	g, ok := p.gangs[id]
	if !ok {
		return
	}
	p.vacate(g)
}

// Done records that a gang has completed. Its run time improves later estimates,
// and its workers are healthy.
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
		h.succeeded()
	}
	p.vacate(g)
	if cleared {
		p.repack()
	}
}

// occupy adds a gang to its workers and to the sums of used resources.
func (p *Planner) occupy(g *gang) {
	p.dirty = true
	p.gangs[g.ID] = g
	for _, part := range g.parts {
		n := p.nodeFor(part.Worker)
		n.addGang(g, part.Tasks)
	}
	p.space(g.Space).used = p.space(g.Space).used.Add(g.Need())
	p.used = p.used.Add(g.Need())
}

// nodeFor returns a worker, and adds it as gone if the host list no longer names
// it.
func (p *Planner) nodeFor(id fleet.HostID) *node {
	n, ok := p.nodes[id]
	if !ok {
		n = &node{Node: Node{ID: id}, gone: true, gangs: map[fleet.JobID]*gang{}}
		p.nodes[id] = n
	}
	return n
}

func (n *node) addGang(g *gang, tasks int) {
	need := g.Each.Times(tasks)
	if g.owned {
		n.owned = n.owned.Add(need)
	} else {
		n.borrowed = n.borrowed.Add(need)
	}
	n.gangs[g.ID] = g
}

// vacate removes a gang from its workers and from the sums of used resources.
func (p *Planner) vacate(g *gang) {
	p.dirty = true
	delete(p.gangs, g.ID)
	for _, part := range g.parts {
		n := p.nodes[part.Worker]
		n.removeGang(g, part.Tasks)
		p.removeIfIdle(n)
	}
	if g.allotment != nil {
		g.allotment.holder = ""
	}
	p.space(g.Space).used = p.space(g.Space).used.Sub(g.Need())
	p.used = p.used.Sub(g.Need())
	if p.shortOfRoom {
		p.repack()
	}
}

func (n *node) removeGang(g *gang, tasks int) {
	need := g.Each.Times(tasks)
	if g.owned {
		n.owned = n.owned.Sub(need)
	} else {
		n.borrowed = n.borrowed.Sub(need)
	}
	delete(n.gangs, g.ID)
}

// unsaved returns the work since the last checkpoint, summed over the tasks.
func (g *gang) unsaved(now time.Time) time.Duration {
	return now.Sub(g.savedAt) * time.Duration(g.Tasks)
}

// expectedEnd estimates when a gang ends. One that is overdue is expected to run
// half as long again as it has run.
func (p *Planner) expectedEnd(g *gang) time.Time {
	if !g.running {
		return p.now.Add(p.remaining(&g.Job))
	}
	at := g.began.Add(p.remaining(&g.Job))
	if late := p.now.Add(p.now.Sub(g.began) / 2); at.Before(p.now) {
		return late
	}
	return at
}

// remaining estimates how long a new attempt of a job runs from its checkpoint.
func (p *Planner) remaining(j *Job) time.Duration {
	est := p.space(j.Space).estimate(j.Declared)
	return max(est-j.Spent, est/10, time.Second)
}
