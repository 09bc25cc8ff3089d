package place

import (
	"fmt"

	"dragonflydeck.example/fleet"
)

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

// lacking tells what room a job that waits has met.
func (p *Planner) lacking(w *wait) string {
	free := p.free(w.Each)
	if free >= w.Tasks {
		return fmt.Sprintf("room for %d of its tasks is free, but kept for a gang that waits longer", free)
	}
	return fmt.Sprintf("room for %d of its %d tasks is free", free, w.Tasks)
}
