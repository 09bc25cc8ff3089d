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
	rows := p.rows(r)
	if part := whole(rows, tasks, each); part != nil {
		return part
	}
	best := p.tightest(rows, tasks)
	if best == nil {
		return nil
	}
	return fill(best.slots, tasks)
}

// row is the room in one rack during a search.
type row struct {
	slots []slot
	sum   int // tasks that fit
}

// rows asks for the room of every worker once.
func (p *Planner) rows(r room) []row {
	rows := make([]row, len(p.racks))
	for i, k := range p.racks {
		rows[i] = k.row(r)
	}
	return rows
}

func (k *rack) row(r room) row {
	w := row{slots: make([]slot, 0, len(k.nodes))}
	for _, n := range k.nodes {
		if t := r(n); t > 0 {
			w.slots = append(w.slots, slot{n, t})
			w.sum += t
		}
	}
	return w
}

// whole puts a gang on the one worker where it spoils least.
func whole(rows []row, tasks int, each fleet.Res) []Part {
	var best *node
	low := 0.0
	need := each.Times(tasks)
	for _, w := range rows {
		for _, s := range w.slots {
			if s.tasks < tasks {
				continue
			}
			if cost := spoil(s.node, need); best == nil || cost < low {
				best, low = s.node, cost
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
func (p *Planner) tightest(rows []row, tasks int) *span {
	var best *span
	last, sum := -1, 0
	for first := range rows {
		for sum < tasks && last+1 < len(rows) {
			last++
			sum += rows[last].sum
		}
		if sum < tasks {
			break
		}
		width := int(p.racks[last].id-p.racks[first].id) + 1
		if best == nil || width < best.width || width == best.width && sum < best.sum {
			best = &span{width: width, sum: sum, slots: join(rows[first : last+1])}
		}
		sum -= rows[first].sum
	}
	return best
}

func join(rows []row) []slot {
	var all []slot
	for _, w := range rows {
		all = append(all, w.slots...)
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
