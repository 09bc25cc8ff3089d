package place

import (
	"sort"

	"dragonflydeck.example/fleet"
)

// spot is the place of one guaranteed gang. The workers it names can always be
// cleared for it, as only lent gangs and its holder may use them.
type spot struct {
	space  fleet.SpaceID
	tasks  int
	each   fleet.Res
	parts  []Part // nil while it has no room
	holder fleet.JobID
}

// takes reports whether a job fits into the spot.
func (s *spot) takes(j *Job) bool {
	return s.space == j.Space && j.Tasks <= s.tasks && j.Each.Fits(s.each)
}

func (s *spot) weight() int64 {
	need := s.each.Times(s.tasks)
	return int64(need.Accels)*1_000_000 + int64(need.Cores)
}

// setSpots makes the spots of a workspace match its shapes. Spots that stay
// keep their place; gangs whose spot goes are lent from then on.
func (p *Planner) setSpots(s *space, shapes []Shape) {
	old := s.spots
	s.spots = nil
	for _, h := range shapes {
		for range h.Count {
			var kept *spot
			kept, old = pick(old, h)
			if kept == nil {
				kept = &spot{space: s.id, tasks: h.Tasks, each: h.Each}
			}
			s.spots = append(s.spots, kept)
		}
	}
	for _, k := range old {
		p.drop(k)
	}
}

// pick takes a spot of the given shape out of the list, a held one first.
func pick(from []*spot, h Shape) (*spot, []*spot) {
	best := -1
	for i, k := range from {
		if k.tasks != h.Tasks || k.each != h.Each {
			continue
		}
		if best < 0 || from[best].holder == "" && k.holder != "" {
			best = i
		}
	}
	if best < 0 {
		return nil, from
	}
	k := from[best]
	rest := append(append([]*spot{}, from[:best]...), from[best+1:]...)
	return k, rest
}

func (p *Planner) drop(k *spot) {
	p.lift(k)
	if g, ok := p.gangs[k.holder]; ok {
		p.lend(g)
	}
}

// lend makes an owned gang a lent one.
func (p *Planner) lend(g *gang) {
	for _, part := range g.parts {
		p.nodes[part.Worker].give(g, part.Tasks)
	}
	if g.spot != nil {
		g.spot.holder = ""
	}
	g.owned, g.spot = false, nil
	for _, part := range g.parts {
		p.nodes[part.Worker].take(g, part.Tasks)
	}
}

// lay puts a spot on workers, lift takes it off.
func (p *Planner) lay(k *spot, parts []Part) {
	k.parts = parts
	for _, part := range parts {
		n := p.held(part.Worker)
		n.spots = n.spots.Add(k.each.Times(part.Tasks))
	}
}

func (p *Planner) lift(k *spot) {
	for _, part := range k.parts {
		if n, ok := p.nodes[part.Worker]; ok {
			n.spots = n.spots.Sub(k.each.Times(part.Tasks))
		}
	}
	k.parts = nil
}

// repack gives a place to spots that have none: it lifts spots from workers
// that are gone, tries the rest of the room, and else lays all unclaimed spots
// anew, the largest first.
func (p *Planner) repack() {
	p.dirty = true
	for _, k := range p.allSpots() {
		if !p.sound(k) {
			p.lift(k)
			if g, ok := p.gangs[k.holder]; ok {
				p.lend(g)
			}
		}
	}
	if p.layMissing() {
		return
	}
	for _, k := range p.allSpots() {
		if k.holder == "" {
			p.lift(k)
		}
	}
	p.layMissing()
}

// sound reports whether every worker of a spot may carry work.
func (p *Planner) sound(k *spot) bool {
	for _, part := range k.parts {
		n, ok := p.nodes[part.Worker]
		if !ok || n.gone || n.Leaving || n.health.suspect() {
			return false
		}
	}
	return true
}

// layMissing lays every spot that has no place, and reports whether all fit.
func (p *Planner) layMissing() bool {
	p.short = false
	for _, k := range p.allSpots() {
		if k.parts != nil {
			continue
		}
		parts := p.fit(k.tasks, k.each, func(n *node) int { return n.roomFor(k) })
		if parts == nil {
			p.short = true
			continue
		}
		p.lay(k, parts)
	}
	return !p.short
}

func (n *node) roomFor(k *spot) int {
	if n.health.suspect() {
		return 0
	}
	return n.clear().Count(k.each)
}

// allSpots returns every spot, the largest first.
func (p *Planner) allSpots() []*spot {
	var all []*spot
	for _, id := range p.spaceIDs() {
		all = append(all, p.spaces[id].spots...)
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].weight() > all[b].weight() })
	return all
}

func (p *Planner) spaceIDs() []fleet.SpaceID {
	ids := make([]fleet.SpaceID, 0, len(p.spaces))
	for id := range p.spaces {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	return ids
}

// adopt finds the spot for a gang that already runs, and moves it under it.
func (p *Planner) adopt(j *Job, parts []Part) *spot {
	k := p.freeSpot(j)
	if k == nil {
		return nil
	}
	p.lift(k)
	p.lay(k, p.cover(k, parts))
	k.holder = j.ID
	p.unlap(k)
	return k
}

// unlap lifts unclaimed spots that share too little room with this one, and
// lays them elsewhere.
func (p *Planner) unlap(k *spot) {
	for _, o := range p.allSpots() {
		if o != k && o.holder == "" && p.crowded(o) {
			p.lift(o)
		}
	}
	p.layMissing()
}

func (p *Planner) crowded(k *spot) bool {
	for _, part := range k.parts {
		if p.nodes[part.Worker].clear().Negative() {
			return true
		}
	}
	return false
}

// cover returns parts of the size of the spot that include those of its gang.
// What the gang leaves of the spot stays where there is room, or goes without.
func (p *Planner) cover(k *spot, parts []Part) []Part {
	var all []Part
	left := k.tasks
	for _, part := range parts {
		all = append(all, part)
		left -= part.Tasks
	}
	for _, n := range p.sorted() {
		if left <= 0 {
			break
		}
		extra := min(left, n.clear().Count(k.each))
		if extra > 0 && !names(parts, n.ID) && n.usable() {
			all = append(all, Part{n.ID, extra})
			left -= extra
		}
	}
	return all
}

func names(parts []Part, id fleet.HostID) bool {
	for _, part := range parts {
		if part.Worker == id {
			return true
		}
	}
	return false
}

// freeSpot returns the smallest unclaimed spot that takes the job.
func (p *Planner) freeSpot(j *Job) *spot {
	var best *spot
	for _, k := range p.space(j.Space).spots {
		if k.holder != "" || k.parts == nil || !k.takes(j) {
			continue
		}
		if best == nil || k.weight() < best.weight() {
			best = k
		}
	}
	return best
}

// Short names the workspaces with a guarantee that has no room here.
func (p *Planner) Short() []fleet.SpaceID {
	var ids []fleet.SpaceID
	for _, id := range p.spaceIDs() {
		for _, k := range p.spaces[id].spots {
			if k.parts == nil {
				ids = append(ids, id)
				break
			}
		}
	}
	return ids
}
