package place

import (
	"sort"

	"dragonflydeck.example/fleet"
)

// allotment is the room set aside for one guaranteed gang of a workspace. Its
// workers can always be cleared for it: beside its holder only borrowing gangs,
// which can be evicted, may use the room.
type allotment struct {
	space  fleet.SpaceID
	tasks  int
	each   fleet.Res
	parts  []Part      // nil while it has no workers
	holder fleet.JobID // the owned gang, empty if free
}

// accepts reports whether a job fits into the allotment.
func (s *allotment) accepts(j *Job) bool {
	return s.space == j.Space && j.Tasks <= s.tasks && j.Each.Fits(s.each)
}

// weight orders allotments by size, by accelerators before cores.
func (s *allotment) weight() int64 {
	need := s.each.Times(s.tasks)
	return int64(need.Accels)*1_000_000 + int64(need.Cores)
}

// setAllotments makes the allotments of a workspace match its shapes. Those that
// remain keep their workers; the gang of one that is dropped becomes a borrowing
// gang.
func (p *Planner) setAllotments(s *space, shapes []Shape) {
	old := s.allotments
	s.allotments = nil
	for _, shape := range shapes {
		for range shape.Count {
			var match *allotment
			match, old = takeMatching(old, shape)
			if match == nil {
				match = &allotment{space: s.id, tasks: shape.Tasks, each: shape.Each}
			}
			s.allotments = append(s.allotments, match)
		}
	}
	for _, a := range old {
		p.dropAllotment(a)
	}
}

// takeMatching removes an allotment of the given shape from the list, preferably
// one in use.
func takeMatching(from []*allotment, shape Shape) (*allotment, []*allotment) {
	best := -1
	for i, a := range from {
		if a.tasks != shape.Tasks || a.each != shape.Each {
			continue
		}
		if best < 0 || from[best].holder == "" && a.holder != "" {
			best = i
		}
	}
	if best < 0 {
		return nil, from
	}
	a := from[best]
	rest := append(append([]*allotment{}, from[:best]...), from[best+1:]...)
	return a, rest
}

// dropAllotment removes an allotment; its gang becomes a borrowing gang.
func (p *Planner) dropAllotment(a *allotment) {
	p.unplace(a)
	if g, ok := p.gangs[a.holder]; ok {
		p.makeBorrowing(g)
	}
}

// makeBorrowing turns an owned gang into a borrowing one.
func (p *Planner) makeBorrowing(g *gang) {
	for _, part := range g.parts {
		p.nodes[part.Worker].removeGang(g, part.Tasks)
	}
	if g.allotment != nil {
		g.allotment.holder = ""
	}
	g.owned, g.allotment = false, nil
	for _, part := range g.parts {
		p.nodes[part.Worker].addGang(g, part.Tasks)
	}
}

// place puts an allotment on workers.
func (p *Planner) place(a *allotment, parts []Part) {
	a.parts = parts
	for _, part := range parts {
		n := p.nodeFor(part.Worker)
		n.guaranteed = n.guaranteed.Add(a.each.Times(part.Tasks))
	}
}

// unplace takes an allotment off its workers.
func (p *Planner) unplace(a *allotment) {
	for _, part := range a.parts {
		if n, ok := p.nodes[part.Worker]; ok {
			n.guaranteed = n.guaranteed.Sub(a.each.Times(part.Tasks))
		}
	}
	a.parts = nil
}

// repack places the allotments that have no usable workers. It first takes them
// off unusable workers, where their gangs become borrowing gangs, and tries the
// remaining room. If that is not enough, it places all free allotments anew, the
// largest first.
func (p *Planner) repack() {
	p.dirty = true
	for _, a := range p.allAllotments() {
		if !p.allotmentUsable(a) {
			p.unplace(a)
			if g, ok := p.gangs[a.holder]; ok {
				p.makeBorrowing(g)
			}
		}
	}
	if p.placeMissing() {
		return
	}
	for _, a := range p.allAllotments() {
		if a.holder == "" {
			p.unplace(a)
		}
	}
	p.placeMissing()
}

// allotmentUsable reports whether every worker of an allotment is present,
// staying and healthy.
func (p *Planner) allotmentUsable(a *allotment) bool {
	for _, part := range a.parts {
		n, ok := p.nodes[part.Worker]
		if !ok || n.gone || n.Leaving || n.health.suspect() {
			return false
		}
	}
	return true
}

// placeMissing places every allotment that has no workers, and reports whether
// all of them fit.
func (p *Planner) placeMissing() bool {
	p.shortOfRoom = false
	for _, a := range p.allAllotments() {
		if a.parts != nil {
			continue
		}
		parts := p.fit(a.tasks, a.each, func(n *node) int { return n.allotmentRoom(a) })
		if parts == nil {
			p.shortOfRoom = true
			continue
		}
		p.place(a, parts)
	}
	return !p.shortOfRoom
}

// allotmentRoom returns how many tasks of an allotment the worker can carry.
func (n *node) allotmentRoom(a *allotment) int {
	if n.health.suspect() {
		return 0
	}
	return n.guaranteeRoom().Count(a.each)
}

// allAllotments returns the allotments of all workspaces, the largest first.
func (p *Planner) allAllotments() []*allotment {
	var all []*allotment
	for _, id := range p.spaceIDs() {
		all = append(all, p.spaces[id].allotments...)
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

// adopt finds a free allotment for a gang that already runs and moves it to the
// workers of the gang. It returns nil if there is none.
func (p *Planner) adopt(j *Job, parts []Part) *allotment {
	a := p.freeAllotment(j)
	if a == nil {
		return nil
	}
	p.unplace(a)
	p.place(a, p.extendParts(a, parts))
	a.holder = j.ID
	p.resolveOverlaps(a)
	return a
}

// resolveOverlaps takes free allotments, other than the given one, off workers
// that cannot carry all of theirs, and places them anew.
func (p *Planner) resolveOverlaps(a *allotment) {
	for _, o := range p.allAllotments() {
		if o != a && o.holder == "" && p.overcommitted(o) {
			p.unplace(o)
		}
	}
	p.placeMissing()
}

// overcommitted reports whether a worker of the allotment carries more allotments
// than it has room for.
func (p *Planner) overcommitted(a *allotment) bool {
	for _, part := range a.parts {
		if p.nodes[part.Worker].guaranteeRoom().Negative() {
			return true
		}
	}
	return false
}

// extendParts extends the parts of a gang to the size of its allotment. The tasks
// that the gang does not use go to workers with room; those that do not fit are
// left out.
func (p *Planner) extendParts(a *allotment, parts []Part) []Part {
	var all []Part
	left := a.tasks
	for _, part := range parts {
		all = append(all, part)
		left -= part.Tasks
	}
	for _, n := range p.sortedNodes() {
		if left <= 0 {
			break
		}
		extra := min(left, n.guaranteeRoom().Count(a.each))
		if extra > 0 && !includesWorker(parts, n.ID) && n.usable() {
			all = append(all, Part{n.ID, extra})
			left -= extra
		}
	}
	return all
}

func includesWorker(parts []Part, id fleet.HostID) bool {
	for _, part := range parts {
		if part.Worker == id {
			return true
		}
	}
	return false
}

// freeAllotment returns the smallest free allotment that accepts the job, or nil.
func (p *Planner) freeAllotment(j *Job) *allotment {
	var best *allotment
	for _, a := range p.space(j.Space).allotments {
		if a.holder != "" || a.parts == nil || !a.accepts(j) {
			continue
		}
		if best == nil || a.weight() < best.weight() {
			best = a
		}
	}
	return best
}

// ShortSpaces returns the workspaces with a guarantee that the workers cannot carry.
func (p *Planner) ShortSpaces() []fleet.SpaceID {
	var ids []fleet.SpaceID
	for _, id := range p.spaceIDs() {
		for _, a := range p.spaces[id].allotments {
			if a.parts == nil {
				ids = append(ids, id)
				break
			}
		}
	}
	return ids
}
