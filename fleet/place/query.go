package place

import "dragonflydeck.example/fleet"

// Claimable reports whether a waiting job has a guarantee that is free for it.
func (p *Planner) Claimable(id fleet.JobID) bool {
	w, ok := p.waits[id]
	return ok && p.freeSpot(&w.Job) != nil
}

// Claimed reports whether a job has its room and waits for evicted gangs.
func (p *Planner) Claimed(id fleet.JobID) bool {
	g, ok := p.gangs[id]
	return ok && !g.running
}

// FitsNow reports whether a gang fits beside what runs, without regard to
// neighbourhood.
func (p *Planner) FitsNow(tasks int, each fleet.Res) bool {
	return p.free(each) >= tasks
}

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
