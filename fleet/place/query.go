package place

import "dragonflydeck.example/fleet"

// Claimable reports whether there is a free allotment for a waiting job.
func (p *Planner) Claimable(id fleet.JobID) bool {
	w, ok := p.waiting[id]
	return ok && p.freeAllotment(&w.Job) != nil
}

// Claimed reports whether a job has workers and waits for evicted gangs to stop.
func (p *Planner) Claimed(id fleet.JobID) bool {
	g, ok := p.gangs[id]
	return ok && !g.running
}

// FitsNow reports whether a gang fits beside the running ones, on any racks.
func (p *Planner) FitsNow(tasks int, each fleet.Res) bool {
	return p.freeTasks(each) >= tasks
}

// freeTasks returns how many tasks fit into the free room, on any racks.
func (p *Planner) freeTasks(each fleet.Res) int {
	n := 0
	for _, rk := range p.racks {
		for _, w := range rk.nodes {
			if w.usable() {
				n += w.free().Count(each)
			}
		}
	}
	return n
}
