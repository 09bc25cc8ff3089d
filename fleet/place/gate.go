package place

import (
	"time"

	"dragonflydeck.example/fleet"
)

// RampBase is the share of a domain that may fill at once after its return.
const RampBase = 0.25

// gate says whether gangs may start, and how fast.
type gate struct {
	open  bool
	why   string
	drain bool
	back  time.Time // when the domain came back into service
	since fleet.Res // started since then
}

func (g *gate) count(r fleet.Res) { g.since = g.since.Add(r) }

// ramped reports whether need may start now in a domain that came back.
func (g *gate) ramped(need, total fleet.Res, now time.Time, ramp time.Duration) bool {
	past := now.Sub(g.back)
	if g.back.IsZero() || past >= ramp || g.since.Zero() {
		return true
	}
	allowed := RampBase + float64(past)/float64(ramp)
	return g.since.Add(need).Share(total) <= allowed
}

// Open lets gangs start.
func (p *Planner) Open() {
	p.dirty = p.dirty || !p.gate.open
	p.gate.open, p.gate.why = true, ""
}

// Close lets no gang start and says why. Gangs that run are left alone.
func (p *Planner) Close(why string) { p.gate.open, p.gate.why = false, why }

// Drain evicts every gang at the next plan, also later ones, until Fill.
func (p *Planner) Drain() { p.gate.drain, p.dirty = true, true }

// Fill ends a drain. The domain fills again over the ramp time.
func (p *Planner) Fill(now time.Time) {
	p.dirty = true
	p.gate.drain, p.gate.back, p.gate.since = false, now, fleet.Res{}
}

// drained evicts what must leave: everything in a drain, and whatever is on a
// worker that leaves.
func (p *Planner) drained() []Decision {
	var out []Decision
	leaves := func(g *gang) bool {
		return g.running && !g.leaving && (p.gate.drain || p.leavingUnder(g) != "")
	}
	for _, g := range p.inOrder(leaves) {
		if p.gate.drain {
			out = append(out, p.evict(g, "", "its failure domain is taken out")...)
			continue
		}
		on := p.leavingUnder(g)
		out = append(out, p.evict(g, "", "its worker "+string(on)+" leaves")...)
	}
	return out
}

func (p *Planner) leavingUnder(g *gang) fleet.HostID {
	for _, part := range g.parts {
		if p.nodes[part.Worker].Leaving {
			return part.Worker
		}
	}
	return ""
}
