package speed_test

import (
	"testing"

	"dragonflydeck.example/fleet/speed"
	qt "github.com/frankban/quicktest"
)

// Guards against noise that is taken for a difference, which would change the
// placement on a site with equal workers, and against a difference that is missed.
// It must hold at every stage of the measurement.
func TestDifferenceIsToldFromNoise(t *testing.T) {
	for _, c := range []struct {
		name      string
		workers   int
		slowdowns []float64
		want      bool
	}{
		{"equal", 350, []float64{1}, false},
		{"few equal", 32, []float64{1}, false},
		{"below the factor", 350, []float64{1, 1, 1.3}, false},
		{"differing", 350, []float64{1 / 1.6, 1, 1 / 0.6}, true},
		{"too few", 27, []float64{1 / 1.6, 1, 1 / 0.6}, false},
	} {
		for _, kind := range []string{"tasks", "steps", "gangs"} {
			t.Run(c.name+"/"+kind, func(t *testing.T) {
				s := newSite(c.workers, c.slowdowns...)
				got := false
				for round := range 60 {
					s.round(kind)
					got = s.book.Differ(service)
					if !c.want {
						qt.Assert(t, got, qt.IsFalse, qt.Commentf("round %d", round))
					}
				}
				if kind != "gangs" || !c.want {
					qt.Assert(t, got, qt.Equals, c.want)
				}
			})
		}
	}
}

// round measures each worker about once.
func (s *site) round(kind string) {
	n := len(s.truth)
	switch kind {
	case "tasks":
		for i := range s.truth {
			s.task(i)
		}
	case "steps":
		for range n / min(n, 39) {
			s.step(min(n, 39), 0, 0.9)
		}
	case "gangs":
		for range n / 7 {
			s.gang(s.pick(1+s.r.IntN(13)), 0.7)
		}
	}
}

// Guards against events and metrics that change with each measurement of a worker
// between two classes. The mean is a moving average over 18 tasks, with a deviation
// of 0.042. From one bound to the other, 0.06 to either side of the truth, it takes 96
// tasks on average, so 3 changes are expected, and 8 are three deviations more. With one
// bound for both there would be about 31 for a worker at that bound.
func TestClassDoesNotFlap(t *testing.T) {
	for _, truth := range []float64{0.06, 0.12, 0.18} {
		s := newSite(41, 1)
		for i := range s.truth {
			for range 10 {
				s.task(i)
			}
		}
		changes, last := 0, s.book.Class(worker(0))
		s.truth[0] = truth
		for range 300 {
			s.task(0)
			if c := s.book.Class(worker(0)); c != last {
				changes, last = changes+1, c
			}
		}
		qt.Check(t, changes <= 8, qt.IsTrue, qt.Commentf("%d changes at %.2f", changes, truth))
	}
}

// Guards against a change of class that is not reported, reported twice, or reported
// for a worker that is gone; the metric must agree.
func TestClassChangesAreReported(t *testing.T) {
	s := newSite(3, 0.5, 1, 2)
	for range 10 {
		s.round("tasks")
	}
	s.book.Forget(worker(1).Host)
	qt.Check(t, s.book.TakeClassChanges(anyService), qt.DeepEquals, []speed.ClassChange{
		{Host: "w000", Service: service, From: speed.Unknown, To: speed.Fast},
		{Host: "w002", Service: service, From: speed.Unknown, To: speed.Slow},
	})
	qt.Check(t, s.book.TakeClassChanges(anyService), qt.HasLen, 0)
	qt.Check(t, s.book.Classes(service), qt.DeepEquals, map[speed.Class]int{
		speed.Unknown: 0, speed.Fast: 1, speed.Middle: 0, speed.Slow: 1,
	})
}

// Guards against a change that is lost because the workers of its service were not known
// to differ yet when it was looked for.
func TestChangesOfUnwantedServicesAreKept(t *testing.T) {
	s := newSite(3, 0.5, 1, 2)
	for range 10 {
		s.round("tasks")
	}
	none := func(string) bool { return false }
	qt.Check(t, s.book.TakeClassChanges(none), qt.HasLen, 0)
	qt.Check(t, s.book.TakeClassChanges(anyService), qt.HasLen, 3)
}
