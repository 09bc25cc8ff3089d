package pack

import (
	"slices"
	"sort"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
)

// Holds reports whether the site could ever run the unit: for a gang all its
// tasks at one time, else one. Near asks for a place where it is not slowed.
func (s *Site) Holds(u Unit, near bool) bool {
	var open []seat
	for _, w := range s.Crew.Sorted() {
		if w.Service != u.Service || !w.Listed || !w.Has(u.Step.Spec.Label) {
			continue
		}
		if n := s.fitsEmpty(u, w); n > 0 {
			open = append(open, seat{worker: w, count: n})
		}
	}
	need := 1
	if u.Step.Spec.Gang {
		need = len(u.Indexes)
	}
	if near && u.Step.Spec.Rack != "" {
		return total(onRack(open, u.Step.Spec.Rack)) >= need
	}
	if near && u.Step.Spec.Tight {
		return slices.ContainsFunc(byRack(open, seat.rack), func(on []seat) bool { return total(on) >= need })
	}
	return total(open) >= need
}

func (s *Site) fitsEmpty(u Unit, w *crew.Worker) int {
	n := min(w.Room.Count(u.Step.Each()), len(u.Indexes))
	if most := int(u.Step.Spec.Spread); most > 0 {
		n = min(n, most)
	}
	return n
}

// Price tells what stopping a run would throw away, in seconds of a core.
// Negative means that the run may not be stopped for the unit.
type Price func(*crew.Run) float64

// Clearing is what makes room for a unit.
type Clearing struct {
	Runs    []*crew.Run    // to be stopped
	Workers []*crew.Worker // that are then to run the unit
	Cost    float64        // of what is thrown away, in seconds of a core
}

// Clear returns how the unit gets room at the least cost, and whether that is
// possible.
func (s *Site) Clear(u Unit, price Price) (Clearing, bool) {
	var all []yield
	for _, w := range s.Crew.Sorted() {
		if s.may(u, w) {
			all = append(all, s.yields(u, w, price)...)
		}
	}
	if !u.Step.Spec.Gang || u.Far || (!u.Step.Spec.Tight && u.Step.Spec.Rack == "") {
		return cheapest(all, tasksAtOnce(u))
	}
	var best Clearing
	found := false
	for _, on := range byRack(all, yield.rack) {
		if rack := u.Step.Spec.Rack; rack != "" && on[0].rack() != rack {
			continue
		}
		if c, ok := cheapest(on, tasksAtOnce(u)); ok && (!found || c.Cost < best.Cost) {
			best, found = c, true
		}
	}
	return best, found
}

// yield is one more seat on a worker and the runs to stop for it.
type yield struct {
	worker *crew.Worker
	runs   []*crew.Run
	cost   float64
}

func (y yield) rack() string { return y.worker.Rack }

// yields returns the seats that a worker can give, the cheapest first.
func (s *Site) yields(u Unit, w *crew.Worker, price Price) []yield {
	var out []yield
	for range s.fits(u, w, w.Free()) {
		out = append(out, yield{worker: w})
	}
	room := w.Free()
	var runs []*crew.Run
	cost := 0.0
	for _, r := range stoppable(w, price) {
		room = room.Add(r.Each)
		runs = append(runs, r)
		cost += price(r)
		if more := min(s.fits(u, w, room), len(u.Indexes)) - len(out); more > 0 {
			out = append(out, split(w, runs, cost, more, out)...)
			runs, cost = nil, 0
		}
	}
	return out
}

// split shares the cost of stopping some runs among the seats that it gives.
// No seat costs less than those before it, as they are only to be had in turn.
func split(w *crew.Worker, runs []*crew.Run, cost float64, n int, before []yield) []yield {
	each := cost / float64(n)
	if len(before) > 0 {
		each = max(each, before[len(before)-1].cost)
	}
	out := []yield{{w, runs, each}}
	for range n - 1 {
		out = append(out, yield{worker: w, cost: each})
	}
	return out
}

func stoppable(w *crew.Worker, price Price) []*crew.Run {
	var out []*crew.Run
	for _, r := range w.Sorted() {
		if price(r) >= 0 {
			out = append(out, r)
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return density(out[a], price) < density(out[b], price) })
	return out
}

func density(r *crew.Run, price Price) float64 {
	return price(r) / float64(max(r.Each.Accels, 1))
}

// cheapest takes the seats that cost least, if there are enough of them.
func cheapest(all []yield, n int) (Clearing, bool) {
	if len(all) < n {
		return Clearing{}, false
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].cost < all[b].cost })
	var c Clearing
	for _, y := range all[:n] {
		c.Runs = append(c.Runs, y.runs...)
		c.Cost += y.cost
		if !slices.Contains(c.Workers, y.worker) {
			c.Workers = append(c.Workers, y.worker)
		}
	}
	return c, true
}

// Total returns the accelerators of the workers of a service in the site.
func (s *Site) Total(service string) fleet.Accels {
	var n fleet.Accels
	for _, w := range s.Crew.Sorted() {
		if w.Service == service && w.Listed && w.State == fleet.WorkerReady && !s.Out[w.Domain] {
			n += w.Room.Accels
		}
	}
	return n
}

// Load returns the part of the workers of a service that is taken, of whichever
// resource is scarcest.
func (s *Site) Load(service string) float64 {
	var used, room fleet.Res
	for _, w := range s.Crew.Sorted() {
		if w.Service == service && w.Listed && w.State == fleet.WorkerReady && !s.Out[w.Domain] {
			used, room = used.Add(w.Used()), room.Add(w.Room)
		}
	}
	return used.Share(room)
}
