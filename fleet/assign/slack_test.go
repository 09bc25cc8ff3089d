package assign_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/assign"
	"dragonflydeck.example/fleet/pool"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// profile is a distribution on the grid that package speed uses.
type profile struct {
	logs, chances [15]float64
	calls         *int
}

// speedOf returns the profile of a worker of about the given speed, where spread is the
// standard deviation of the logarithm.
func speedOf(speed, spread float64) profile {
	p := profile{calls: new(int)}
	total := 0.0
	for i := range p.logs {
		p.logs[i] = float64(i-7) * 0.15
		d := (p.logs[i] + math.Log(speed)) / spread
		p.chances[i] = math.Exp(-d * d / 2)
		total += p.chances[i]
	}
	for i := range p.chances {
		p.chances[i] /= total
	}
	return p
}

func (p profile) Mean() float64 {
	mean := 0.0
	for i, log := range p.logs {
		mean += log * p.chances[i]
	}
	return mean
}

func (p profile) Spread() float64 {
	mean, square := p.Mean(), 0.0
	for i, log := range p.logs {
		square += (log - mean) * (log - mean) * p.chances[i]
	}
	return math.Sqrt(square)
}

func (p profile) ChanceWithin(log float64) float64 {
	*p.calls++
	chance := 0.0
	for i := range p.logs {
		if p.logs[i] <= log {
			chance += p.chances[i]
		}
	}
	return chance
}

// speeds are the profiles of a site's workers.
type speeds struct {
	differ map[string]bool
	of     map[fleet.HostID]assign.Profile
}

func (s speeds) Profile(host fleet.HostID) assign.Profile { return s.of[host] }
func (s speeds) Differ(service string) bool               { return s.differ[service] }

const (
	slow   = 0.6
	normal = 1.0
	fast   = 1.6

	measured   = 0.07 // spread of a worker with many measurements
	unmeasured = 0.4
)

// Slacks of work. An urgent task's objective is 1.5 times its critical path.
var (
	littleSlack = math.Log(1.4)
	muchSlack   = math.Log(3)
)

// setSpeeds gives each worker the speed that of returns for it. The site must not have
// been asked for a placement yet.
func setSpeeds(s *assign.Site, of func(i int, w *pool.Worker) assign.Profile) {
	known := speeds{differ: map[string]bool{"desk": true}, of: map[fleet.HostID]assign.Profile{}}
	for i, w := range s.Pool.Sorted() {
		known.of[w.Endpoint.Host] = of(i, w)
	}
	s.Profiles = known
}

// mixed gives a third of the workers each speed, in every rack.
func mixed(i int, _ *pool.Worker) assign.Profile {
	return speedOf([]float64{slow, normal, fast}[i%3], measured)
}

// byRack gives all workers of a rack the speed that is listed for it.
func byRack(ofRack ...float64) func(int, *pool.Worker) assign.Profile {
	return func(_ int, w *pool.Worker) assign.Profile {
		var rack int
		_, _ = fmt.Sscanf(w.Rack, "r%d", &rack)
		return speedOf(ofRack[rack], measured)
	}
}

func withSlack(u assign.Unit, slack float64, urgent bool) assign.Unit {
	u.Slack, u.Urgent = slack, urgent
	return u
}

func urgent(s *wire.Step) assign.Unit   { return withSlack(unit(s), littleSlack, true) }
func relaxed(s *wire.Step) assign.Unit  { return withSlack(unit(s), muchSlack, false) }
func gang(n int32, a int64) *wire.Step  { s := step(n, a); s.Gang = true; return s }
func offRack(u assign.Unit) assign.Unit { u.AnyRack = true; return u }

// tasksBySpeed returns how many tasks run on workers of each speed.
func tasksBySpeed(s *assign.Site, placements []assign.Placement) map[float64]int {
	out := map[float64]int{}
	for _, p := range placements {
		speed := math.Exp(-s.Profiles.Profile(p.Worker.Endpoint.Host).Mean())
		out[math.Round(10*speed)/10]++
	}
	return out
}

// A third of the workers is so slow that urgent work ends late there without any other
// delay.
func TestUrgentWorkAvoidsSlowWorkers(t *testing.T) {
	s, _ := site(3, 6)
	setSpeeds(s, mixed)
	qt.Assert(t, tasksBySpeed(s, s.Place(urgent(step(6, 8)))), qt.DeepEquals, map[float64]int{fast: 6})
	qt.Assert(t, tasksBySpeed(s, s.Place(urgent(gang(12, 8)))), qt.DeepEquals, map[float64]int{fast: 6, normal: 6})
	qt.Assert(t, tasksBySpeed(s, s.Place(offRack(urgent(tight(12, 8))))), qt.DeepEquals, map[float64]int{fast: 6, normal: 6})
	s, _ = site(3, 6)
	setSpeeds(s, byRack(slow, normal, fast))
	busy(s.Pool.Sorted()[0], 8)
	qt.Assert(t, racks(s.Place(urgent(tight(2, 8)))), qt.DeepEquals, map[string]int{"r2": 2})
}

// A burst of urgent work must find the fast workers free of work that has time.
func TestWorkWithSlackLeavesFastWorkersFree(t *testing.T) {
	s, _ := site(3, 6)
	setSpeeds(s, mixed)
	qt.Assert(t, tasksBySpeed(s, s.Place(relaxed(step(48, 1)))), qt.DeepEquals, map[float64]int{slow: 48})
	qt.Assert(t, tasksBySpeed(s, s.Place(relaxed(gang(6, 8)))), qt.DeepEquals, map[float64]int{slow: 6})
	qt.Assert(t, tasksBySpeed(s, s.Place(relaxed(tight(2, 8)))), qt.DeepEquals, map[float64]int{slow: 2})
	s, _ = site(3, 6)
	setSpeeds(s, byRack(fast, slow, normal))
	busy(s.Pool.Sorted()[0], 8)
	qt.Assert(t, racks(s.Place(relaxed(tight(5, 8)))), qt.DeepEquals, map[string]int{"r1": 5})
}

// On a busy site, work with slack must not wait or end late to spare the fast workers.
func TestWorkWithSlackTakesFastWorkersWhenItWouldWaitOrBeLate(t *testing.T) {
	s, all := site(1, 6)
	setSpeeds(s, mixed)
	for i, w := range all {
		if i%3 < 2 {
			busy(w, 8)
		}
	}
	qt.Assert(t, tasksBySpeed(s, s.Place(relaxed(step(2, 8)))), qt.DeepEquals, map[float64]int{fast: 2})
	s, _ = site(1, 6)
	setSpeeds(s, mixed)
	late := withSlack(unit(step(4, 8)), littleSlack, false)
	qt.Assert(t, tasksBySpeed(s, s.Place(late)), qt.DeepEquals, map[float64]int{normal: 2, fast: 2})
	late.Slack = math.NaN() // its job is due already
	qt.Assert(t, tasksBySpeed(s, s.Place(late)), qt.DeepEquals, map[float64]int{normal: 2, fast: 2})
	qt.Assert(t, s.Place(relaxed(step(6, 8))), qt.HasLen, 6)
}

// A gang is as slow as its slowest member, so a rack with a few fast workers and a slow
// one is no better than the slow one.
func TestTightGangTakesTheRackInWhichItsSlowestMemberIsInTime(t *testing.T) {
	s, all := site(2, 4)
	setSpeeds(s, func(i int, w *pool.Worker) assign.Profile {
		switch {
		case w.Rack == "r1":
			return speedOf(normal, measured)
		case i == 0:
			return speedOf(slow, measured)
		}
		return speedOf(fast, measured)
	})
	busy(all[0], 1)
	qt.Assert(t, racks(s.Place(urgent(tight(4, 7)))), qt.DeepEquals, map[string]int{"r1": 4})
	qt.Assert(t, racks(s.Place(urgent(tight(3, 7)))), qt.DeepEquals, map[string]int{"r0": 3})
	withData := tight(4, 7)
	withData.Rack = "r0"
	qt.Assert(t, racks(s.Place(urgent(withData))), qt.DeepEquals, map[string]int{"r0": 4})
}

// A gang with slack for normal workers must neither end late on slow ones nor take the
// fast rack.
func TestGangWithSlackTakesTheSlowestRackInWhichItIsInTime(t *testing.T) {
	s, _ := site(3, 4)
	setSpeeds(s, byRack(fast, normal, slow))
	qt.Assert(t, racks(s.Place(withSlack(unit(tight(4, 8)), littleSlack, false))), qt.DeepEquals, map[string]int{"r1": 4})
	qt.Assert(t, racks(s.Place(withSlack(unit(tight(4, 8)), math.Log(0.9), false))), qt.DeepEquals, map[string]int{"r0": 4})
	qt.Assert(t, racks(s.Place(relaxed(tight(4, 8)))), qt.DeepEquals, map[string]int{"r2": 4})
}

// Where no rack can be in time, a gang must take the fastest, not the fullest.
func TestLateGangTakesTheFastestRack(t *testing.T) {
	s, all := site(3, 4)
	setSpeeds(s, byRack(slow, fast, normal))
	busy(all[0], 2)
	for _, isUrgent := range []bool{true, false} {
		qt.Assert(t, racks(s.Place(withSlack(unit(tight(4, 4)), -1, isUrgent))), qt.DeepEquals, map[string]int{"r1": 4})
	}
}

// With several members whose chance is doubtful, a gang must not take the fuller of two
// racks if it is more probably late there.
func TestGangThatMayBeLateTakesTheRackWithTheBestChance(t *testing.T) {
	s, all := site(2, 4)
	setSpeeds(s, func(i int, _ *pool.Worker) assign.Profile {
		return speedOf([]float64{slow, slow, slow, slow, slow, slow, slow, normal}[i], measured)
	})
	busy(all[0], 2)
	for _, isUrgent := range []bool{true, false} {
		u := withSlack(unit(tight(4, 5)), 0.46, isUrgent) // a slow worker's chance is 0.6
		qt.Assert(t, racks(s.Place(u)), qt.DeepEquals, map[string]int{"r1": 4})
	}
}

// Workers that are each almost certain to be in time may not be so together: a wide gang
// needs better ones than a single task.
func TestGangNeedsBetterChancesThanItsTasksAlone(t *testing.T) {
	s, _ := site(1, 8)
	setSpeeds(s, func(i int, _ *pool.Worker) assign.Profile {
		return speedOf([]float64{slow, fast}[i%2], 0.12)
	})
	const slack = 0.62 // a slow worker's chance is 0.93, that of four is 0.75
	qt.Assert(t, tasksBySpeed(s, s.Place(withSlack(unit(step(4, 8)), slack, false))), qt.DeepEquals, map[float64]int{slow: 4})
	for _, spec := range []*wire.Step{gang(4, 8), tight(4, 8)} {
		qt.Assert(t, tasksBySpeed(s, s.Place(withSlack(unit(spec), slack, false))), qt.DeepEquals, map[float64]int{fast: 4})
	}
}

// Small differences in measured speed must not scatter small tasks over empty workers.
func TestFullestWorkerOfASpeedClassIsTaken(t *testing.T) {
	s, all := site(1, 6)
	setSpeeds(s, func(i int, _ *pool.Worker) assign.Profile { return speedOf(1+0.02*float64(i-3), measured) })
	busy(all[2], 4)
	for _, u := range []assign.Unit{urgent(step(1, 1)), relaxed(step(1, 1))} {
		qt.Assert(t, s.Place(u)[0].Worker, qt.Equals, all[2])
	}
}

// A worker that was never measured may be slow: urgent work takes one that is known to be
// in time, and prefers the unknown one to one that is known to be late.
func TestUnmeasuredWorkerRanksBetweenFastAndSlow(t *testing.T) {
	s, all := site(1, 3)
	kinds := []assign.Profile{speedOf(normal, unmeasured), speedOf(slow, measured), speedOf(normal, measured)}
	setSpeeds(s, func(i int, _ *pool.Worker) assign.Profile { return kinds[i] })
	placements := s.Place(urgent(step(3, 8)))
	for i, w := range []*pool.Worker{all[2], all[0], all[1]} {
		qt.Assert(t, placements[i].Worker, qt.Equals, w)
	}
}

// A fast worker that is slow for the moment, fails tasks, or has failed the unit must not
// attract urgent work.
func TestFastWorkersThatAreSlowNowOrFailComeLast(t *testing.T) {
	s, all := site(1, 4)
	setSpeeds(s, func(i int, _ *pool.Worker) assign.Profile {
		return speedOf([]float64{fast, fast, fast, slow}[i], measured)
	})
	all[0].Observe(math.Log(6), 0.01, now)
	all[1].RecordFail(false, now)
	u := urgent(step(1, 1))
	u.Avoid = map[fleet.HostID]time.Time{all[2].Endpoint.Host: now}
	qt.Assert(t, s.Place(u)[0].Worker, qt.Equals, all[3])
}

// With hundreds of waiting units, the chances must be computed once per worker and slack,
// not once per unit and worker.
func TestChancesAreComputedOncePerWorkerAndSlack(t *testing.T) {
	s, all := site(4, 8)
	setSpeeds(s, mixed)
	for i := range 500 {
		s.Place(withSlack(unit(tight(2, 8)), 0.001*float64(i%100), i%2 == 0))
	}
	for _, w := range all {
		calls := *s.Profiles.Profile(w.Endpoint.Host).(profile).calls
		qt.Assert(t, calls <= 3, qt.IsTrue, qt.Commentf("%d calls", calls))
	}
}

// Slack decides only which workers are preferred, so a shape that found no room has none
// with any slack.
func TestFullSiteIsFullForAnySlack(t *testing.T) {
	s, _ := site(1, 3)
	setSpeeds(s, mixed)
	qt.Assert(t, s.Place(urgent(tight(4, 8))), qt.HasLen, 0)
	full := assign.FullCache{}
	full.Add(urgent(tight(4, 8)))
	qt.Assert(t, full.Rejects(relaxed(tight(4, 8))), qt.IsTrue)
	qt.Assert(t, s.Place(relaxed(tight(4, 8))), qt.HasLen, 0)
}

// BenchmarkPlace measures one unit of a plan of 200 units on 350 workers, of which half
// are full.
func BenchmarkPlace(b *testing.B) {
	const unitsPerPlan = 200
	units := []struct {
		name string
		spec *wire.Step
	}{{"task", step(1, 1)}, {"tight gang", tight(4, 8)}, {"wide gang", gang(32, 8)}}
	for _, withProfiles := range []bool{false, true} {
		for _, kind := range units {
			b.Run(fmt.Sprintf("%s/profiles=%t", kind.name, withProfiles), func(b *testing.B) {
				base, all := site(44, 8)
				for i, w := range all {
					busy(w, fleet.Accels(8*(i%16/8)))
				}
				if withProfiles {
					setSpeeds(base, mixed)
				}
				u := unit(kind.spec)
				var s assign.Site
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					if n%unitsPerPlan == 0 {
						s = assign.Site{Now: now, Pool: base.Pool, Profiles: base.Profiles}
					}
					s.Place(withSlack(u, float64(n%unitsPerPlan)/100-1, n%2 == 0))
				}
			})
		}
	}
}
