package place

import (
	"sort"
	"time"

	"dragonflydeck.example/fleet"
)

// option is one way to put a job on a guarantee of its workspace.
type option struct {
	spot    *spot
	parts   []Part
	victims []*gang
	cost    time.Duration // unsaved work of the victims
	moves   bool          // the spot moves to parts
}

// claim puts a job on its workspace's guarantee if it fits one: where room is
// free now, else where evicting lent gangs loses the least work.
func (p *Planner) claim(w *wait) []Decision {
	best := p.cheapest(&w.Job)
	if best == nil {
		return nil
	}
	if len(best.victims) > 0 {
		if o := p.elsewhere(&w.Job, best.spot); o != nil {
			best = o
		}
	}
	return p.carry(w, best)
}

// cheapest weighs every unclaimed spot that takes the job.
func (p *Planner) cheapest(j *Job) *option {
	var best *option
	for _, k := range p.space(j.Space).spots {
		if k.holder != "" || k.parts == nil || !k.takes(j) {
			continue
		}
		o := p.weigh(k, j)
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

func (p *Planner) weigh(k *spot, j *Job) *option {
	parts := p.within(k, j)
	if parts == nil {
		return nil
	}
	victims, cost, ok := p.victims(parts, j.Each)
	if !ok {
		return nil
	}
	return &option{spot: k, parts: parts, victims: victims, cost: cost}
}

// within spreads the job over the workers of a spot, free room first.
func (p *Planner) within(k *spot, j *Job) []Part {
	left := j.Tasks
	take := make([]int, len(k.parts))
	for i, part := range k.parts {
		n := p.nodes[part.Worker]
		if !n.takes(j) {
			continue
		}
		take[i] = min(left, part.Tasks, n.free().Count(j.Each))
		left -= take[i]
	}
	for i, part := range k.parts {
		if n := p.nodes[part.Worker]; n.takes(j) {
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
			parts = append(parts, Part{k.parts[i].Worker, t})
		}
	}
	return parts
}

// victims chooses the lent gangs to evict so that parts have room, those with
// the least unsaved work first.
func (p *Planner) victims(parts []Part, each fleet.Res) ([]*gang, time.Duration, bool) {
	chosen := map[fleet.JobID]bool{}
	var list []*gang
	cost := time.Duration(0)
	for _, part := range parts {
		n := p.nodes[part.Worker]
		need := each.Times(part.Tasks)
		room := n.free()
		for _, g := range p.lentOn(n) {
			if g.leaving || chosen[g.ID] {
				room = room.Add(g.on(n.ID))
			}
		}
		for _, g := range p.lentOn(n) {
			if need.Fits(room) {
				break
			}
			if g.leaving || chosen[g.ID] {
				continue
			}
			chosen[g.ID] = true
			list = append(list, g)
			cost += g.unsaved(p.now)
			room = room.Add(g.on(n.ID))
		}
		if !need.Fits(room) {
			return nil, 0, false
		}
	}
	return list, cost, true
}

func (p *Planner) lentOn(n *node) []*gang {
	var lent []*gang
	for _, g := range n.gangs {
		if !g.owned {
			lent = append(lent, g)
		}
	}
	sort.Slice(lent, func(a, b int) bool {
		ca, cb := lent[a].unsaved(p.now), lent[b].unsaved(p.now)
		if ca != cb {
			return ca < cb
		}
		return lent[a].ID < lent[b].ID
	})
	return lent
}

func (g *gang) on(id fleet.HostID) fleet.Res {
	for _, part := range g.parts {
		if part.Worker == id {
			return g.Each.Times(part.Tasks)
		}
	}
	return fleet.Res{}
}

// elsewhere moves a spot to room that neither gangs nor guarantees hold, so that
// nothing needs to be evicted.
func (p *Planner) elsewhere(j *Job, k *spot) *option {
	parts := p.fit(k.tasks, k.each, func(n *node) int {
		if !n.usable() {
			return 0
		}
		return n.open().Count(k.each)
	})
	if parts == nil {
		return nil
	}
	used := trim(parts, j.Tasks)
	return &option{spot: k, parts: used, moves: true}
}

func trim(parts []Part, tasks int) []Part {
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

// carry puts an option into effect: the job holds the spot from now on and starts
// when its room is free.
func (p *Planner) carry(w *wait, o *option) []Decision {
	if o.moves {
		p.lift(o.spot)
		p.lay(o.spot, p.cover(o.spot, o.parts))
	}
	o.spot.holder = w.ID
	g := p.assign(w, &gang{parts: o.parts, owned: true, spot: o.spot})
	var out []Decision
	for _, v := range o.victims {
		out = append(out, p.evict(v, w.ID, "its room is guaranteed to "+string(w.Space))...)
	}
	return append(out, p.begin(g)...)
}

// evict has a gang stopped. One that has not started yet just waits again.
func (p *Planner) evict(g *gang, by fleet.JobID, why string) []Decision {
	if !g.running {
		p.unassign(g, why)
		return nil
	}
	g.leaving = true
	return []Decision{{Kind: Evict, Job: g.ID, Parts: g.parts, Owned: g.owned, For: by, Why: why}}
}

// begin starts a gang if its room is free.
func (p *Planner) begin(g *gang) []Decision {
	for _, part := range g.parts {
		if p.nodes[part.Worker].free().Negative() {
			return nil
		}
	}
	g.running, g.began, g.saved = true, p.now, p.now
	p.gate.count(g.Need())
	return []Decision{{Kind: Start, Job: g.ID, Parts: g.parts, Owned: g.owned, Why: p.reason(g)}}
}

func (p *Planner) reason(g *gang) string {
	switch {
	case g.owned:
		return "on the guarantee of " + string(g.Space)
	case len(g.parts) == 1:
		return "one worker takes the whole gang and loses least by it"
	}
	return "fewest neighbouring racks that take the whole gang, tightest first"
}
