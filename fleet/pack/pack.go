// Package pack decides which workers run the tasks of a step. It reads the
// crew and returns workers; it changes nothing.
package pack

import (
	"cmp"
	"maps"
	"slices"
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
	Indexes []int                      // tasks of the step that need a worker
	Far     bool                       // it may run away from its data, or on several racks
	Last    bool                       // its next fail would be its job's end: only workers that are proven will do
	Avoid   map[fleet.HostID]time.Time // workers that failed it: closed to it until then, and the last to be taken
}

// Site is what placement reads.
type Site struct {
	Now   time.Time
	Crew  *crew.Crew
	Out   map[fleet.DomainID]bool // failure domains that are taken out
	Muted map[fleet.DomainID]bool // failure domains of which nothing is heard
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
	return s.fill(u, open)
}

// seat is a worker with room for some tasks of a unit.
type seat struct {
	worker *crew.Worker
	count  int
	rank   rank
}

// rank is the order in which seats are taken: by the paces of their workers, and
// last those on workers that have failed the unit.
type rank int

const lastRank = rank(crew.Crawling) + 1

func (s *Site) rank(u Unit, w *crew.Worker) rank {
	if _, failed := u.Avoid[w.Place.Host]; failed {
		return lastRank
	}
	if w.Suspect(s.Now) {
		return rank(crew.Crawling)
	}
	return rank(s.pace(w))
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
			out = append(out, seat{w, n, s.rank(u, w)})
		}
	}
	return out
}

func (s *Site) may(u Unit, w *crew.Worker) bool {
	if u.Last && !w.Proven(s.Now) {
		return false
	}
	return !s.Now.Before(u.Avoid[w.Place.Host]) && w.Service == u.Service && w.Usable(s.Now) && !s.Out[w.Domain] && !s.Muted[w.Domain] && w.Has(u.Step.Spec.Label) && w.OpenTo(u.Job.ID, s.Now)
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
		open = s.bestRack(u, open)
	}
	spots := s.fill(u, open)
	if len(spots) < len(u.Indexes) {
		return nil
	}
	return spots
}

// bestRack returns the seats of the rack that holds the gang, among those with
// the briskest workers for it the fullest.
func (s *Site) bestRack(u Unit, open []seat) []seat {
	var best []seat
	var bestRank rank
	var bestLeft int64
	for _, on := range byRack(open, seat.rack) {
		if total(on) < len(u.Indexes) {
			continue
		}
		if rack := u.Step.Spec.Rack; rack != "" && on[0].worker.Rack != rack {
			continue
		}
		last, left := worst(u, on), accels(on)
		if best == nil || last < bestRank || last == bestRank && left < bestLeft {
			best, bestRank, bestLeft = on, last, left
		}
	}
	return best
}

// worst returns the last rank among the seats that a gang would get of some.
func worst(u Unit, on []seat) rank {
	var counts [lastRank + 1]int
	for _, o := range on {
		counts[o.rank] += o.count
	}
	left := len(u.Indexes)
	for r, n := range counts {
		if left -= n; left <= 0 {
			return rank(r)
		}
	}
	return lastRank
}

// pace returns a worker's pace as far as it matters: workers that are a little
// slower are not avoided, as that would break up whole ones.
func (s *Site) pace(w *crew.Worker) crew.Pace { return max(w.Pace(s.Now), crew.Steady) }

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

// fill gives tasks to the briskest workers, among them to the fullest that still
// have room, so that whole workers stay free for large tasks.
func (s *Site) fill(u Unit, open []seat) []Spot {
	open = slices.Clone(open)
	slices.SortStableFunc(open, func(a, b seat) int {
		if c := cmp.Compare(a.rank, b.rank); c != 0 {
			return c
		}
		return fuller(a.worker.Free(), b.worker.Free())
	})
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

func fuller(a, b fleet.Res) int {
	return cmp.Or(cmp.Compare(a.Accels, b.Accels), cmp.Compare(a.Cores, b.Cores))
}
