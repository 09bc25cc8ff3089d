package place

import (
	"sort"

	"dragonflydeck.example/fleet"
)

// room says how many tasks of the gang in question a worker can take.
type room func(*node) int

// spot of room on one worker during a search.
type slot struct {
	node  *node
	tasks int
}

// span is a run of neighbouring racks that can take a gang.
type span struct {
	slots []slot
	width int // racks from the first to the last
	sum   int // tasks that fit
}

// fit chooses workers for a gang: one worker, else the fewest neighbouring
// racks, and among those the tightest, so that the large holes stay. It returns
// nil if the gang does not fit.
func (p *Planner) fit(tasks int, each fleet.Res, r room) []Part {
	if part := p.fitOne(tasks, each, r); part != nil {
		return part
	}
	best := p.tightest(tasks, r)
	if best == nil {
		return nil
	}
	return fill(best.slots, tasks)
}

// fitOne puts a whole gang on the worker where it spoils least.
func (p *Planner) fitOne(tasks int, each fleet.Res, r room) []Part {
	var best *node
	low := 0.0
	need := each.Times(tasks)
	for _, k := range p.racks {
		for _, n := range k.nodes {
			if n.gone || r(n) < tasks {
				continue
			}
			if cost := spoil(n, need); best == nil || cost < low {
				best, low = n, cost
			}
		}
	}
	if best == nil {
		return nil
	}
	return []Part{{best.ID, tasks}}
}

// spoil rates what is lost when need goes to a worker: the room that stays
// behind, and accelerators that gangs without any would block.
func spoil(n *node, need fleet.Res) float64 {
	left := n.free().Sub(need)
	cost := left.Share(n.Total)
	if need.Accels == 0 && left.Accels > 0 {
		cost += 2 * float64(left.Accels) / float64(n.Total.Accels)
	}
	if len(n.gangs) == 0 {
		cost++
	}
	return cost
}

// tightest finds the narrowest run of racks that takes the gang and, among
// those, the one with the least room left.
func (p *Planner) tightest(tasks int, r room) *span {
	sums := make([]int, len(p.racks))
	slots := make([][]slot, len(p.racks))
	for i, k := range p.racks {
		slots[i], sums[i] = k.slots(r)
	}
	var best *span
	last, sum := -1, 0
	for first := range p.racks {
		for sum < tasks && last+1 < len(p.racks) {
			last++
			sum += sums[last]
		}
		if sum < tasks {
			break
		}
		width := int(p.racks[last].id-p.racks[first].id) + 1
		if best == nil || width < best.width || width == best.width && sum < best.sum {
			best = &span{width: width, sum: sum, slots: join(slots[first : last+1])}
		}
		sum -= sums[first]
	}
	return best
}

func (k *rack) slots(r room) ([]slot, int) {
	var s []slot
	sum := 0
	for _, n := range k.nodes {
		if t := r(n); t > 0 {
			s = append(s, slot{n, t})
			sum += t
		}
	}
	return s, sum
}

func join(parts [][]slot) []slot {
	var all []slot
	for _, s := range parts {
		all = append(all, s...)
	}
	return all
}

// fill takes the roomiest workers first and the tightest that is enough for
// what is left.
func fill(slots []slot, tasks int) []Part {
	sort.SliceStable(slots, func(a, b int) bool { return slots[a].tasks > slots[b].tasks })
	var parts []Part
	for i, s := range slots {
		if s.tasks < tasks {
			parts = append(parts, Part{s.node.ID, s.tasks})
			tasks -= s.tasks
			continue
		}
		last := s
		for _, t := range slots[i:] {
			if t.tasks >= tasks {
				last = t
			}
		}
		return append(parts, Part{last.node.ID, tasks})
	}
	return nil
}
