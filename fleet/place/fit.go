package place

import (
	"sort"

	"dragonflydeck.example/fleet"
)

// capacityFunc returns how many tasks of a gang fit on a worker.
type capacityFunc func(*node) int

// candidate is a worker with room during a search.
type candidate struct {
	node  *node
	tasks int // that fit on it
}

// rackRange is a range of neighbouring racks with room for a gang.
type rackRange struct {
	candidates []candidate
	width      int // racks from the first to the last, including those without workers
	sum        int // tasks that fit
}

// fit chooses workers for a gang: one worker if possible, else the smallest range
// of neighbouring racks and, among those, the one with the least room, which
// keeps large free areas for large gangs. It returns nil if the gang does not fit.
func (p *Planner) fit(tasks int, each fleet.Res, r capacityFunc) []Part {
	rooms := p.rackRooms(r)
	if part := fitOnOneWorker(rooms, tasks, each); part != nil {
		return part
	}
	best := p.tightestRange(rooms, tasks)
	if best == nil {
		return nil
	}
	return fill(best.candidates, tasks)
}

// rackRoom is the room in one rack during a search.
type rackRoom struct {
	candidates []candidate
	sum        int // tasks that fit
}

// rackRooms calls the capacity function once for each worker.
func (p *Planner) rackRooms(r capacityFunc) []rackRoom {
	rooms := make([]rackRoom, len(p.racks))
	for i, rk := range p.racks {
		rooms[i] = rk.room(r)
	}
	return rooms
}

func (rk *rack) room(r capacityFunc) rackRoom {
	rr := rackRoom{candidates: make([]candidate, 0, len(rk.nodes))}
	for _, n := range rk.nodes {
		if t := r(n); t > 0 {
			rr.candidates = append(rr.candidates, candidate{n, t})
			rr.sum += t
		}
	}
	return rr
}

// fitOnOneWorker places a gang on the worker with the lowest fitCost.
func fitOnOneWorker(rooms []rackRoom, tasks int, each fleet.Res) []Part {
	var best *node
	lowest := 0.0
	need := each.Times(tasks)
	for _, rr := range rooms {
		for _, c := range rr.candidates {
			if c.tasks < tasks {
				continue
			}
			if cost := fitCost(c.node, need); best == nil || cost < lowest {
				best, lowest = c.node, cost
			}
		}
	}
	if best == nil {
		return nil
	}
	return []Part{{best.ID, tasks}}
}

// fitCost rates a worker for a gang that needs the given resources; less is
// better. It counts the share that stays free, accelerators left idle beside a
// gang that uses none, and whether the worker would no longer be empty.
func fitCost(n *node, need fleet.Res) float64 {
	left := n.free().Sub(need)
	cost := left.DominantShare(n.Total)
	if need.Accels == 0 && left.Accels > 0 {
		cost += 2 * float64(left.Accels) / float64(n.Total.Accels)
	}
	if len(n.gangs) == 0 {
		cost++
	}
	return cost
}

// tightestRange finds the shortest range of racks that fits the gang and, among
// those, the one with the least room. It returns nil if there is none.
func (p *Planner) tightestRange(rooms []rackRoom, tasks int) *rackRange {
	var best *rackRange
	last, sum := -1, 0
	for first := range rooms {
		for sum < tasks && last+1 < len(rooms) {
			last++
			sum += rooms[last].sum
		}
		if sum < tasks {
			break
		}
		width := int(p.racks[last].id-p.racks[first].id) + 1
		if best == nil || width < best.width || width == best.width && sum < best.sum {
			best = &rackRange{width: width, sum: sum, candidates: joinCandidates(rooms[first : last+1])}
		}
		sum -= rooms[first].sum
	}
	return best
}

func joinCandidates(rooms []rackRoom) []candidate {
	var all []candidate
	for _, rr := range rooms {
		all = append(all, rr.candidates...)
	}
	return all
}

// fill assigns tasks to the workers with the most room first, and the last ones
// to the worker with the least room that is enough.
func fill(candidates []candidate, tasks int) []Part {
	sort.SliceStable(candidates, func(a, b int) bool { return candidates[a].tasks > candidates[b].tasks })
	var parts []Part
	for i, c := range candidates {
		if c.tasks < tasks {
			parts = append(parts, Part{c.node.ID, c.tasks})
			tasks -= c.tasks
			continue
		}
		last := c
		for _, c2 := range candidates[i:] {
			if c2.tasks >= tasks {
				last = c2
			}
		}
		return append(parts, Part{last.node.ID, tasks})
	}
	return nil
}
