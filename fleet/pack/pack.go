// Package pack decides which workers run the tasks of a step. It reads the
// crew and returns workers; it changes nothing.
package pack

import (
	"maps"
	"slices"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/flow"
)

// Unit is what is placed at one time: a whole gang, or the tasks of a step that
// wait.
type Unit struct {
	Job     *flow.Job
	Step    *flow.Step
	Service string
	Indexes []int // tasks of the step that need a worker
	Far     bool  // it may run away from its data, or on several racks
}

// Site is what placement reads.
type Site struct {
	Now  time.Time
	Crew *crew.Crew
	Out  map[fleet.DomainID]bool // failure domains that are taken out
}

// Spot is a worker that a task is to run on.
type Spot struct {
	Index  int
	Worker *crew.Worker
}

// Place returns a worker for each task of the unit that can start now: for a
// gang all of them or none.
func (s *Site) Place(u Unit) []Spot {
	open := s.open(u)
	if u.Step.Spec.Gang {
		return s.gang(u, open)
	}
	if rack := u.Step.Spec.Rack; rack != "" && !u.Far {
		open = onRack(open, rack)
	}
	return fill(u, open)
}

// seat is a worker with room for some tasks of a unit.
type seat struct {
	worker *crew.Worker
	count  int
}

func (s seat) rack() string { return s.worker.Rack }

// open returns the workers with room for at least one task of the unit.
func (s *Site) open(u Unit) []seat {
	var out []seat
	for _, w := range s.Crew.Sorted() {
		if !s.may(u, w) {
			continue
		}
		if n := s.fits(u, w, w.Free()); n > 0 {
			out = append(out, seat{w, n})
		}
	}
	return out
}

func (s *Site) may(u Unit, w *crew.Worker) bool {
	return w.Service == u.Service && w.Usable(s.Now) && !s.Out[w.Domain] && w.Has(u.Step.Spec.Label) && w.OpenTo(u.Job.ID, s.Now)
}

// fits returns how many tasks of the unit some room of a worker takes.
func (s *Site) fits(u Unit, w *crew.Worker, room fleet.Res) int {
	n := min(room.Count(u.Step.Each()), len(u.Indexes))
	if most := int(u.Step.Spec.Spread); most > 0 {
		n = min(n, most-w.Count(u.Step.Task(u.Job.ID, 0)))
	}
	return max(n, 0)
}

// gang places all tasks of the unit. One that is slow over several racks, or
// whose data is in one, takes the fullest rack that holds it, so that emptier
// ones stay whole for wider gangs.
func (s *Site) gang(u Unit, open []seat) []Spot {
	near := u.Step.Spec.Tight || u.Step.Spec.Rack != ""
	if near && !u.Far {
		open = bestRack(u, open)
	}
	spots := fill(u, open)
	if len(spots) < len(u.Indexes) {
		return nil
	}
	return spots
}

func bestRack(u Unit, open []seat) []seat {
	var best []seat
	var bestLeft int64
	for _, on := range byRack(open, seat.rack) {
		if total(on) < len(u.Indexes) {
			continue
		}
		if rack := u.Step.Spec.Rack; rack != "" && on[0].worker.Rack != rack {
			continue
		}
		if left := accels(on); best == nil || left < bestLeft {
			best, bestLeft = on, left
		}
	}
	return best
}

// byRack splits what belongs to workers by rack, in the order of the names.
func byRack[T any](all []T, rack func(T) string) [][]T {
	racks := map[string][]T{}
	for _, one := range all {
		racks[rack(one)] = append(racks[rack(one)], one)
	}
	var out [][]T
	for _, name := range slices.Sorted(maps.Keys(racks)) {
		out = append(out, racks[name])
	}
	return out
}

func onRack(open []seat, rack string) []seat {
	var out []seat
	for _, o := range open {
		if o.worker.Rack == rack {
			out = append(out, o)
		}
	}
	return out
}

func total(open []seat) int {
	n := 0
	for _, o := range open {
		n += o.count
	}
	return n
}

func accels(open []seat) int64 {
	var n int64
	for _, o := range open {
		n += int64(o.worker.Free().Accels)
	}
	return n
}

// fill gives tasks to the fullest workers that still have room, so that whole
// workers stay free for large tasks.
func fill(u Unit, open []seat) []Spot {
	sort.SliceStable(open, func(a, b int) bool { return fuller(open[a].worker, open[b].worker) })
	var out []Spot
	for _, o := range open {
		for range o.count {
			if len(out) == len(u.Indexes) {
				return out
			}
			out = append(out, Spot{u.Indexes[len(out)], o.worker})
		}
	}
	return out
}

func fuller(a, b *crew.Worker) bool {
	x, y := a.Free(), b.Free()
	if x.Accels != y.Accels {
		return x.Accels < y.Accels
	}
	return x.Cores < y.Cores
}
