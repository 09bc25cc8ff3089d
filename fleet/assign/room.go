package assign

import (
	"cmp"
	"slices"
	"sort"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/pool"
)

// Feasible reports whether the site could run the unit if it were empty: all tasks of a
// gang at one time, else at least one. With oneRack, only the rack of its data counts,
// or for a unit that is slow across racks any single rack.
func (s *Site) Feasible(u Unit, oneRack bool) bool {
	var cands []candidate
	for _, w := range s.Pool.Sorted() {
		if w.Service != u.Service || !w.Listed || !w.HasLabel(u.Step.Spec.Label) {
			continue
		}
		if n := s.emptyTaskCount(u, w); n > 0 {
			cands = append(cands, candidate{worker: w, count: n})
		}
	}
	need := 1
	if u.Step.Spec.Gang {
		need = len(u.Indexes)
	}
	if oneRack && u.Step.Spec.Rack != "" {
		return totalCount(onRack(cands, u.Step.Spec.Rack)) >= need
	}
	if oneRack && u.Step.Spec.Tight {
		return slices.ContainsFunc(byRack(cands, candidate.rack), func(group []candidate) bool { return totalCount(group) >= need })
	}
	return totalCount(cands) >= need
}

func (s *Site) emptyTaskCount(u Unit, w *pool.Worker) int {
	n := min(w.Capacity.Count(u.Step.Each()), len(u.Indexes))
	if limit := int(u.Step.Spec.Spread); limit > 0 {
		n = min(n, limit)
	}
	return n
}

// Victim is a run that may be stopped to make room.
type Victim struct {
	Run  *pool.Run
	Cost float64 // work that is lost if it is stopped, in core seconds

	Beyond bool // its workspace uses all that it is entitled to
	Class  int  // runs of a lower class are stopped first, whatever the cost
}

// Victims returns the runs of a worker that may be stopped, in the order in which to
// stop them.
type Victims func(*pool.Worker) []Victim

// SortVictims orders runs of the same class by the work that is lost for each accelerator that their
// stop frees, and at equal cost those of workspaces that use their share first.
func SortVictims(v []Victim) {
	slices.SortStableFunc(v, func(a, b Victim) int {
		if a.Class != b.Class {
			return cmp.Compare(a.Class, b.Class)
		}
		if a.Beyond != b.Beyond && a.costPerAccel() == b.costPerAccel() {
			if a.Beyond {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.costPerAccel(), b.costPerAccel())
	})
}

func (v Victim) costPerAccel() float64 { return v.Cost / float64(max(v.Run.Each.Accels, 1)) }

// Preemption is a plan to stop runs so that a unit has room.
type Preemption struct {
	Runs    []*pool.Run    // runs to stop
	Workers []*pool.Worker // workers that have room for the unit then
	Cost    float64        // work lost by the stops, in core seconds
	Late    bool           // the unit would probably be late on these workers (chance in time below 0.3)
	Class   int            // highest class of the runs to stop
}

// PlanPreemption returns the preemption that makes room for the unit at the least cost. It
// reports false if none does. Workers on which the unit would probably be late are taken
// only if there is not enough room on others.
func (s *Site) PlanPreemption(u Unit, victims Victims) (Preemption, bool) {
	var all []option
	for _, w := range s.workers(u.Service) {
		if s.eligible(u, w) {
			all = append(all, s.options(u, w, victims(w.Worker))...)
		}
	}
	markLate(u, all)
	if !u.Step.Spec.Gang || u.AnyRack || (!u.Step.Spec.Tight && u.Step.Spec.Rack == "") {
		return cheapest(u, all)
	}
	var best Preemption
	found := false
	for _, group := range byRack(all, option.rack) {
		if rack := u.Step.Spec.Rack; rack != "" && group[0].rack() != rack {
			continue
		}
		if p, ok := cheapest(u, group); ok && (!found || p.less(best)) {
			best, found = p, true
		}
	}
	return best, found
}

func (p Preemption) less(o Preemption) bool {
	if p.Class != o.Class {
		return p.Class < o.Class
	}
	if p.Late != o.Late {
		return o.Late
	}
	return p.Cost < o.Cost
}

// option is room for one more task on a worker, and the runs to stop for it.
type option struct {
	worker *pool.Worker
	runs   []*pool.Run
	cost   float64
	beyond bool        // all of its runs are of workspaces that use their share
	grade  *speedGrade // of the worker
	late   bool        // the unit would probably be late on the worker
	class  int         // highest class of its runs and of those of the options that it depends on
}

func (o option) rack() string { return o.worker.Rack }

// options returns the room that a worker can offer, task by task, the cheapest first.
func (s *Site) options(u Unit, w *usableWorker, victims []Victim) []option {
	s.rate(w)
	var out []option
	each, room := u.Step.Each(), w.Free()
	for range s.taskCount(u, w.Worker, each, room) {
		out = append(out, option{worker: w.Worker, grade: w.grade})
	}
	var runs []*pool.Run
	cost, beyond, class := 0.0, true, 0
	for _, v := range victims {
		class = max(class, v.Class)
		room = room.Add(v.Run.Each)
		runs = append(runs, v.Run)
		cost += v.Cost
		beyond = beyond && v.Beyond
		if more := min(s.taskCount(u, w.Worker, each, room), len(u.Indexes)) - len(out); more > 0 {
			first := len(out)
			out = append(out, shareCost(w, runs, cost, more, out)...)
			out[first].beyond = beyond && !followsAtEqualCost(out, first)
			for i := range out[first:] {
				out[first+i].class = class
			}
			runs, cost, beyond = nil, 0, true
		}
	}
	return out
}

// followsAtEqualCost reports whether an option costs as much as the one before it, on which it
// depends, while that one is not of workspaces that use their share. It must not be taken first.
func followsAtEqualCost(out []option, i int) bool {
	return i > 0 && out[i-1].cost == out[i].cost && !out[i-1].beyond
}

// shareCost divides the cost of stopping some runs among the tasks that get room by
// it. No option costs less than those before it, as it depends on them.
func shareCost(w *usableWorker, runs []*pool.Run, cost float64, n int, before []option) []option {
	each := cost / float64(n)
	if len(before) > 0 {
		each = max(each, before[len(before)-1].cost)
	}
	out := []option{{worker: w.Worker, runs: runs, cost: each, grade: w.grade}}
	for range n - 1 {
		out = append(out, option{worker: w.Worker, cost: each, grade: w.grade})
	}
	return out
}

// cheapest combines the options that cost least for all tasks that must start at once, those of the lowest
// class first, and in a class those last on which the unit would be late. For a claim it makes room for
// as many tasks as it can. It reports false if there are too few options.
func cheapest(u Unit, all []option) (Preemption, bool) {
	n := tasksAtOnce(u)
	if len(all) < n {
		return Preemption{}, false
	}
	if u.Claims {
		n = max(n, min(len(all), len(u.Indexes)))
	}
	sort.SliceStable(all, func(a, b int) bool {
		if all[a].class != all[b].class {
			return all[a].class < all[b].class
		}
		if all[a].late != all[b].late {
			return all[b].late
		}
		if all[a].cost != all[b].cost {
			return all[a].cost < all[b].cost
		}
		return all[a].beyond && !all[b].beyond
	})
	p := Preemption{Late: isLate(u, all[:n])}
	for _, o := range all[:n] {
		p.Runs = append(p.Runs, o.runs...)
		p.Cost += o.cost
		p.Class = max(p.Class, o.class)
		if !slices.Contains(p.Workers, o.worker) {
			p.Workers = append(p.Workers, o.worker)
		}
	}
	return p, true
}

// Total returns the number of accelerators of the ready workers of a service,
// without failure domains that are out of service.
func (s *Site) Total(service string) fleet.Accels {
	var n fleet.Accels
	for _, w := range s.Pool.Sorted() {
		if w.Service == service && w.Ready() && !contains(s.OutOfService, w.Domain) {
			n += w.Capacity.Accels
		}
	}
	return n
}

// Capacity returns the resources of the ready workers of a service, without failure
// domains that are out of service.
func (s *Site) Capacity(service string) fleet.Res {
	var room fleet.Res
	for _, w := range s.Pool.Sorted() {
		if w.Service == service && w.Ready() && !s.OutOfService[w.Domain] {
			room = room.Add(w.Capacity)
		}
	}
	return room
}

// Load returns the used share of the ready workers of a service, of the resource of
// which the largest share is used.
func (s *Site) Load(service string) float64 {
	var used, room fleet.Res
	for _, w := range s.Pool.Sorted() {
		if w.Service == service && w.Ready() && !contains(s.OutOfService, w.Domain) {
			used, room = used.Add(w.Used()), room.Add(w.Capacity)
		}
	}
	return used.DominantShare(room)
}
