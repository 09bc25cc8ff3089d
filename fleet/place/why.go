package place

import (
	"fmt"

	"dragonflydeck.example/fleet"
)

// Why explains why a job waits or runs where it does. It returns "" for an
// unknown job.
func (p *Planner) Why(id fleet.JobID) string {
	if w, ok := p.waiting[id]; ok {
		if !p.gate.open {
			return p.gate.why
		}
		return w.why
	}
	g, ok := p.gangs[id]
	switch {
	case !ok:
		return ""
	case g.evicting:
		return "being checkpointed and stopped"
	case !g.running:
		return "waiting for evicted gangs to stop"
	}
	return p.reason(g)
}

// describeRoom says how much room is free for a waiting job.
func (p *Planner) describeRoom(w *waitingJob) string {
	free := p.freeTasks(w.Each)
	if free >= w.Tasks {
		return fmt.Sprintf("room for %d of its tasks is free, but kept for other jobs or on workers on which it failed", free)
	}
	return fmt.Sprintf("room for %d of its %d tasks is free", free, w.Tasks)
}
