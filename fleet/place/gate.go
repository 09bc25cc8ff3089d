package place

import (
	"time"

	"dragonflydeck.example/fleet"
)

// InitialRampShare is the share of a failure domain that may start at once when
// it returns to service.
const InitialRampShare = 0.25

// gate controls whether gangs may start, and how fast after a return to service.
type gate struct {
	open     bool
	why      string // why it is closed
	draining bool
	backAt   time.Time // when the domain returned to service
	started  fleet.Res // resources of the gangs started since then
}

func (g *gate) countStart(r fleet.Res) { g.started = g.started.Add(r) }

// rampAllows reports whether a gang that needs the given resources may start now.
// The limit rises from InitialRampShare by the share of the ramp time that has
// passed. The first gang may always start.
func (g *gate) rampAllows(need, total fleet.Res, now time.Time, ramp time.Duration) bool {
	past := now.Sub(g.backAt)
	if g.backAt.IsZero() || past >= ramp || g.started.Zero() {
		return true
	}
	allowed := InitialRampShare + float64(past)/float64(ramp)
	return g.started.Add(need).DominantShare(total) <= allowed
}

// Open allows gangs to start.
func (p *Planner) Open() {
	p.dirty = p.dirty || !p.gate.open
	p.gate.open, p.gate.why = true, ""
}

// Close stops gangs from starting, for the given reason. Running gangs are not
// affected.
func (p *Planner) Close(why string) { p.gate.open, p.gate.why = false, why }

// Drain makes every plan evict all running gangs until EndDrain is called.
func (p *Planner) Drain() { p.gate.draining, p.dirty = true, true }

// EndDrain ends a drain. Starts are limited during the ramp time.
func (p *Planner) EndDrain(now time.Time) {
	p.dirty = true
	p.gate.draining, p.gate.backAt, p.gate.started = false, now, fleet.Res{}
}

// evictDraining evicts every running gang in a drain, else those with a worker
// that is leaving.
func (p *Planner) evictDraining() []Decision {
	var out []Decision
	mustLeave := func(g *gang) bool {
		return g.running && !g.evicting && (p.gate.draining || p.leavingWorker(g) != "")
	}
	for _, g := range p.gangsByID(mustLeave) {
		if p.gate.draining {
			out = append(out, p.evict(g, "", "its failure domain is taken out of service")...)
			continue
		}
		on := p.leavingWorker(g)
		out = append(out, p.evict(g, "", "its worker "+string(on)+" is leaving")...)
	}
	return out
}

// leavingWorker returns a worker of the gang that is leaving, if any.
func (p *Planner) leavingWorker(g *gang) fleet.HostID {
	for _, part := range g.parts {
		if p.nodes[part.Worker].Leaving {
			return part.Worker
		}
	}
	return ""
}
