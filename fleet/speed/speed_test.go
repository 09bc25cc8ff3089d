package speed_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"unsafe"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/speed"
	qt "github.com/frankban/quicktest"
)

const (
	service   = "render"
	taskNoise = 0.25
	whole     = 100 // percent
)

func worker(i int) speed.Worker {
	return speed.Worker{Host: fleet.HostID(fmt.Sprintf("w%03d", i)), Inc: 1, Service: service}
}

// site draws run times of workers with known slowdowns.
type site struct {
	r     *rand.Rand
	book  *speed.Book
	truth []float64 // logarithms of slowdowns
}

func newSite(workers int, slowdowns ...float64) *site {
	s := &site{r: rand.New(rand.NewPCG(1, 2)), book: speed.New()}
	for i := range workers {
		s.truth = append(s.truth, math.Log(slowdowns[i%len(slowdowns)]))
	}
	return s
}

// outlier returns the logarithm of the delay of a task: three of 100 take seven
// times as long.
func (s *site) outlier() float64 {
	if s.r.Float64() < 0.03 {
		return math.Log(7)
	}
	return 0
}

func (s *site) run(i int) float64 {
	return s.truth[i] + taskNoise*s.r.NormFloat64() + s.outlier()
}

func (s *site) task(i int) {
	s.book.ObserveTask(worker(i), s.run(i), whole, &speed.Counted{})
}

// step runs single tasks on some random workers, with one estimate error. Progress
// is reported at 20, 60 and 100 percent, so fast workers are measured first.
func (s *site) step(tasks int, errorMean, errorSpread float64) (shared float64, st *speed.Step) {
	type report struct {
		at, log               float64
		task, worker, percent int
	}
	shared = errorMean + errorSpread*s.r.NormFloat64()
	var reports []report
	for task, i := range s.pick(tasks) {
		log := shared + s.run(i)
		for _, percent := range []int{20, 60, whole} {
			reports = append(reports, report{math.Exp(log) * float64(percent), log, task, i, percent})
		}
	}
	slices.SortFunc(reports, func(x, y report) int { return cmp.Compare(x.at, y.at) })
	st = speed.NewStep(errorMean, errorSpread*errorSpread)
	for _, r := range reports {
		s.book.ObserveStep(st, r.task, worker(r.worker), r.log, r.percent)
	}
	return shared, st
}

// gang runs a gang and returns its members and its deviation. A member that is an
// outlier delays the gang.
func (s *site) gang(on []int, errorSpread float64) ([]speed.Worker, float64) {
	slowest, delay := math.Inf(-1), 0.0
	var members []speed.Worker
	for _, i := range on {
		slowest = max(slowest, s.truth[i])
		delay = max(delay, s.outlier())
		members = append(members, worker(i))
	}
	deviation := slowest + delay + errorSpread*s.r.NormFloat64()
	s.book.ObserveGang(members, deviation, errorSpread, whole, &speed.Counted{})
	return members, deviation
}

func (s *site) pick(n int) []int { return s.r.Perm(len(s.truth))[:n] }

func (s *site) mean(i int) float64 {
	p := s.book.Profile(worker(i))
	return p.Mean()
}

// nearest returns the share of workers whose mean is nearest to their own speed
// among the site's three.
func (s *site) nearest() float64 {
	right := 0.0
	for i, truth := range s.truth {
		best := math.Inf(1)
		for _, other := range s.truth[:3] {
			best = min(best, math.Abs(s.mean(i)-other))
		}
		if math.Abs(s.mean(i)-truth) == best {
			right++
		}
	}
	return right / float64(len(s.truth))
}

func ExampleBook() {
	b := speed.New()
	workers := []speed.Worker{
		{Host: "w0", Inc: 1, Service: "render"},
		{Host: "w1", Inc: 1, Service: "render"},
		{Host: "w2", Inc: 1, Service: "render"},
	}
	for i, w := range workers {
		for range 6 {
			b.ObserveTask(w, 0.5*float64(i-1), 100, &speed.Counted{})
		}
	}
	for _, w := range workers {
		p := b.Profile(w)
		fmt.Printf("%s %s %.1f\n", w.Host, b.Class(w), p.ChanceWithin(0))
	}
	// Output:
	// w0 fast 1.0
	// w1 middle 0.5
	// w2 slow 0.0
}

// Guards against a comparison within steps that does not recover the speeds, or
// takes too many measurements.
//
// The speeds are 0.47 apart. A task's error is 0.25 and the shared error of 39
// tasks is known to about 0.1, together 0.27. A worker is on the wrong side of a
// bound 0.235 away with probability Q(0.235 sqrt(n)/0.27) after n tasks, 0.026 with
// n = 5; the middle third has two bounds: 0.035 of all workers. With the spread of n
// around its mean of 6, fewer than 0.1 are wrong.
func TestStepsRecoverSpeeds(t *testing.T) {
	s := newSite(350, 1/1.6, 1, 1.6)
	for range 6 * 350 / 39 {
		s.step(39, 0.3, 0.9)
	}
	right := s.nearest()
	t.Logf("nearest to own speed: %.3f", right)
	qt.Assert(t, right > 0.9, qt.IsTrue, qt.Commentf("%.3f", right))
}

// Guards against a gang model that does not tell slow workers from others. The
// slow ones are 0.47 away; with errors of 0.5 to 0.9, Q(0.235 sqrt(n)/0.7) < 0.1 needs
// n = 15 gangs that show whether a worker is slow. If all others are known, these are
// the gangs without another slow member: of the places in gangs of 1 to 13 members,
// the sum of k (2/3)^(k-1) over the sum of k, 0.09, of which 0.13 are outliers: 190
// places for each worker. If nothing is known of the others, only gangs of one member
// remain, 1/91 of the places: 1365. The bound is the geometric mean of the two.
func TestGangsTellSlowWorkers(t *testing.T) {
	s := newSite(350, 1/1.6, 1, 1.6)
	gangs := func(places int) {
		for range places * 350 / 7 {
			s.gang(s.pick(1+s.r.IntN(13)), 0.5+0.4*s.r.Float64())
		}
	}
	gangs(510)
	bound, wrong := math.Log(1.6)/2, 0
	for i, truth := range s.truth {
		if (s.mean(i) > bound) != (truth > bound) {
			wrong++
		}
	}
	t.Logf("wrong: %d of 350", wrong)
	qt.Assert(t, wrong < 35, qt.IsTrue, qt.Commentf("%d of 350", wrong))
	gangs(1365 - 510)
	qt.Assert(t, s.book.Differ(service), qt.IsTrue)
}

// Guards against profiles that do not converge with the usual mixture of gangs and
// steps: for each worker 6 tasks of steps suffice (see above), and gangs must not
// spoil them.
func TestGangsAndStepsTogetherRecoverSpeeds(t *testing.T) {
	s := newSite(350, 1/1.6, 1, 1.6)
	for range 6 * 350 / 39 {
		s.step(39, 0.3, 0.7)
		for range 10 {
			s.gang(s.pick(1+s.r.IntN(13)), 0.5+0.4*s.r.Float64())
		}
	}
	right := s.nearest()
	t.Logf("nearest to own speed: %.3f", right)
	qt.Assert(t, right > 0.9, qt.IsTrue, qt.Commentf("%.3f", right))
	qt.Assert(t, s.book.Differ(service), qt.IsTrue)
}

// Guards against fast workers that are taken for slow because they often share a
// gang with the only slow one.
func TestSlowMemberDoesNotCondemnTheOthers(t *testing.T) {
	s := newSite(30, 1)
	s.truth[0] = math.Log(2)
	for range 600 {
		s.gang(append([]int{0}, s.pick(9)...), 0.6)
		s.gang(s.pick(10), 0.6)
	}
	for i := 1; i < 30; i++ {
		qt.Check(t, s.mean(0)-s.mean(i) > math.Log(2)/2, qt.IsTrue, qt.Commentf("worker %d: %.2f", i, s.mean(i)))
		qt.Check(t, s.book.Class(worker(i)), qt.Not(qt.Equals), speed.Slow)
	}
	qt.Check(t, s.book.Class(worker(0)), qt.Equals, speed.Slow)
}

// Guards against a likelihood that ignores the other members: a fast gang shows
// that all are fast; a slow one moves each member less the more members there are.
func TestGangIsAttributedToItsMembers(t *testing.T) {
	move := func(n int, deviation float64) float64 {
		s := newSite(n, 1)
		var members []speed.Worker
		for i := range n {
			members = append(members, worker(i), worker(i)) // two tasks on each
		}
		s.book.ObserveGang(members, deviation, 0.3, whole, &speed.Counted{})
		p := s.book.Profile(worker(n - 1))
		qt.Check(t, p.Count(), qt.Equals, 1)
		r := s.book.Record(worker(n - 1).Host) // not centred
		// The members' order has no effect beyond rounding.
		off := math.Abs(float64(r.Mean - s.book.Record(worker(0).Host).Mean))
		qt.Check(t, off < 1e-6, qt.IsTrue, qt.Commentf("%d members: %v", n, off))
		return float64(r.Mean)
	}
	// The slowest of four workers of the prior is at 0.41 with a deviation of 0.28. The
	// measurement moves it to -0.06, and so the mean of the four to -0.28.
	qt.Check(t, move(4, -0.6) < -0.2, qt.IsTrue)
	qt.Check(t, move(1, 0.6) > 0.3, qt.IsTrue)
	qt.Check(t, move(10, 0.6) < move(1, 0.6)/2, qt.IsTrue)
}

// Guards against a worker that appears slow because of tasks with a long tail. Of two
// outliers in 12 tasks, neither may move a profile by a third of the task error.
func TestOutliersDoNotMakeAWorkerSlow(t *testing.T) {
	s := newSite(40, 1)
	for i := range s.truth {
		for range 10 {
			s.task(i)
		}
		before := s.book.Record(worker(i).Host).Mean
		for _, log := range []float64{math.Log(7), math.Log(50)} {
			s.book.ObserveTask(worker(i), log, whole, &speed.Counted{})
		}
		moved := float64(s.book.Record(worker(i).Host).Mean - before)
		qt.Check(t, moved < 2*taskNoise/3, qt.IsTrue, qt.Commentf("worker %d: %.3f", i, moved))
	}
	qt.Check(t, s.book.Class(worker(0)), qt.Equals, speed.Middle)
}

// Guards against counting the same run twice: an early measurement and a later one,
// or the later one repeatedly.
func TestRunCountsOnce(t *testing.T) {
	b, run := speed.New(), &speed.Counted{}
	for _, percent := range []int{20, 59, 60, 80, 100} {
		b.ObserveTask(worker(0), 0.5, percent, run)
		want := speed.New()
		if percent >= 60 {
			want.ObserveTask(worker(0), 0.5, whole, &speed.Counted{})
		}
		qt.Check(t, b.Profile(worker(0)), qt.Equals, want.Profile(worker(0)), qt.Commentf("%d", percent))
	}
	gang := &speed.Counted{}
	for _, percent := range []int{20, 70, 100} {
		b.ObserveGang([]speed.Worker{worker(1), worker(2)}, 0.5, 0.5, percent, gang)
	}
	p := b.Profile(worker(1))
	qt.Check(t, p.Count(), qt.Equals, 1)

	step := speed.NewStep(0, 0.1)
	for _, percent := range []int{20, 40, 70, 100} {
		b.ObserveStep(step, 0, worker(3), 0.5, percent)
		b.ObserveStep(step, 1, worker(4), -0.5, percent)
	}
	p = b.Profile(worker(3))
	qt.Check(t, p.Count(), qt.Equals, 1)
	mean, variance := b.StepError(step)
	qt.Check(t, math.Abs(mean) < 0.05 && variance > 0.02, qt.IsTrue, qt.Commentf("%.2f %.3f", mean, variance))
	b.ObserveStep(step, 0, worker(3), 0.6, whole)
	after, _ := b.StepError(step)
	qt.Check(t, after, qt.Equals, mean)
}

// Guards against a shared error that is attributed to the workers, with one task
// and with many, and to which outliers are added.
func TestSharedErrorIsFoundByComparison(t *testing.T) {
	s := newSite(60, 1/1.6, 1, 1.6)
	off := 0.0
	for range 100 {
		shared, st := s.step(39, 0.2, 0.8)
		got, _ := s.book.StepError(st)
		off = max(off, math.Abs(got-shared))
	}
	// Prior sd 0.4 and task error 0.25 give 0.47/sqrt(39) = 0.075 in the first steps;
	// four times that for the largest of 100.
	qt.Check(t, off < 0.3, qt.IsTrue, qt.Commentf("%.2f", off))

	b, lone := speed.New(), speed.NewStep(0, 1)
	b.ObserveStep(lone, 0, worker(0), 1, whole)
	// Of the variances 1, 0.16 and 0.0625, the worker has 0.16/1.2225.
	mean := float64(b.Record(worker(0).Host).Mean)
	qt.Check(t, math.Abs(mean-0.13) < 0.05, qt.IsTrue, qt.Commentf("%.2f", mean))
	shared, _ := b.StepError(lone)
	qt.Check(t, shared > 0.7, qt.IsTrue, qt.Commentf("%.2f", shared))
}

// Guards against measurements of a task that was moved: the former worker's must not
// remain in the shared error.
func TestTaskThatMovedIsMeasuredAgain(t *testing.T) {
	b, moved, fresh := speed.New(), speed.NewStep(0, 1), speed.NewStep(0, 1)
	b.ObserveStep(moved, 0, worker(0), 2, 30)
	b.ObserveStep(moved, 0, worker(1), 0.3, 30)
	b.ObserveStep(fresh, 0, worker(1), 0.3, 30)
	got, _ := b.StepError(moved)
	want, _ := b.StepError(fresh)
	qt.Check(t, math.Abs(got-want) < 1e-6, qt.IsTrue, qt.Commentf("%v %v", got, want))
}

// Guards against a profile that survives its process, and against late measurements
// of a former process.
func TestNewProcessStartsFromThePrior(t *testing.T) {
	s := newSite(1, 2)
	for range 10 {
		s.task(0)
	}
	next := worker(0)
	next.Inc = 2
	p := s.book.Profile(next)
	qt.Check(t, p.Count(), qt.Equals, 0)
	qt.Check(t, s.book.Class(next), qt.Equals, speed.Unknown)
	s.book.ObserveTask(next, 0, whole, &speed.Counted{})
	s.book.ObserveTask(worker(0), 1, whole, &speed.Counted{})
	p = s.book.Profile(next)
	qt.Check(t, p.Count(), qt.Equals, 1)
	s.book.Forget(next.Host)
	p = s.book.Profile(next)
	qt.Check(t, p.Count(), qt.Equals, 0)
	qt.Check(t, p.Spread(), qt.Equals, 0.4)
	qt.Check(t, s.book.Record(next.Host), qt.IsNil)
}

// Guards against an unmeasured worker that is expected to be as on any other site.
func TestPriorIsThatOfTheMeasuredWorkers(t *testing.T) {
	s := newSite(40, 1)
	first := s.book.Profile(worker(99))
	for i := range 40 {
		for range 8 {
			s.task(i)
		}
	}
	p := s.book.Profile(worker(99))
	qt.Check(t, p.Count(), qt.Equals, 0)
	// Narrower than before, and wider than any single worker's profile.
	one := s.book.Profile(worker(0))
	qt.Check(t, p.Spread() < 0.75*first.Spread(), qt.IsTrue, qt.Commentf("%.2f", p.Spread()))
	qt.Check(t, p.Spread() > 1.5*one.Spread(), qt.IsTrue, qt.Commentf("%.2f", p.Spread()))
	other := s.book.Profile(speed.Worker{Host: "x", Service: "other"})
	qt.Check(t, other, qt.Equals, first)
}

// Guards against profiles and the mean error of a queue that trade off: the caller
// starts 0.5 off, and the mean over the workers must stay at 0 while the caller's
// mean finds the true one.
func TestScaleDoesNotDrift(t *testing.T) {
	s := newSite(60, 1/1.6, 1, 1.6)
	const truth, spread = 0.5, 0.6
	queue := 0.0
	for range 8000 {
		on := s.pick(1 + s.r.IntN(6))
		slowest := math.Inf(-1)
		var members []speed.Worker
		for _, i := range on {
			members, slowest = append(members, worker(i)), max(slowest, s.truth[i])
		}
		log := truth + slowest + spread*s.r.NormFloat64()
		queue += 0.01 * (log - s.book.Slowest(members) - queue)
		s.book.ObserveGang(members, log-queue, spread, whole, &speed.Counted{})
	}
	sum := 0.0
	for i := range s.truth {
		sum += s.mean(i)
	}
	qt.Check(t, math.Abs(sum/60) < 0.05, qt.IsTrue, qt.Commentf("mean %.3f", sum/60))
	// The moving average's own noise is 0.6 sqrt(0.01/2) = 0.04. The expected maximum
	// of imprecise profiles exceeds the true one by up to their spread.
	qt.Check(t, math.Abs(queue-truth) < 0.2, qt.IsTrue, qt.Commentf("queue %.3f", queue))
}

// Guards against results that depend on a constant error of the caller's mean. Eight
// assumed workers with the mean 0 keep 8/98 of the error, 0.02.
func TestConstantErrorOfTheCallerHasNoEffect(t *testing.T) {
	var means [2]float64
	for k, off := range []float64{0, 0.25} {
		s := newSite(90, 1/1.3, 1, 1.3)
		for i := range s.truth {
			for range 20 {
				s.book.ObserveTask(worker(i), s.run(i)+off, whole, &speed.Counted{})
			}
		}
		for i := 0; i < 90; i += 3 {
			means[k] += s.mean(i) / 30
		}
	}
	qt.Check(t, math.Abs(means[1]-means[0]) < 0.05, qt.IsTrue, qt.Commentf("%.3f %.3f", means[0], means[1]))
}

// Guards against a profile that is certain for good: the speed may change without a
// restart, also from one end of the grid to the other.
func TestProfileFollowsAChangeOfSpeed(t *testing.T) {
	s := newSite(20, 0.5)
	for range 1000 {
		for i := range s.truth {
			s.task(i)
		}
	}
	s.truth[0] = math.Log(2)
	before := s.book.Record(worker(1).Host).Mean
	for range 20 {
		s.task(0)
	}
	moved := float64(s.book.Record(worker(0).Host).Mean - before)
	qt.Check(t, math.Abs(moved-math.Log(4)) < 0.2, qt.IsTrue, qt.Commentf("%.2f", moved))
}

// Guards against means that stay at the points of the grid. The moving average's
// deviation is 0.042; between two points the error would be 0.075.
func TestSpeedBetweenPointsOfTheGridIsFound(t *testing.T) {
	s := newSite(40, math.Exp(0.075), math.Exp(-0.075))
	square := 0.0
	for i, truth := range s.truth {
		for range 300 {
			s.task(i)
		}
		off := float64(s.book.Record(worker(i).Host).Mean) - truth
		square += off * off / 40
	}
	qt.Check(t, math.Sqrt(square) < 0.06, qt.IsTrue, qt.Commentf("%.3f", math.Sqrt(square)))
}

// Guards against measurements that are not numbers, and against impossible ones.
func TestSenselessMeasurementsAreHarmless(t *testing.T) {
	b, step := speed.New(), speed.NewStep(math.NaN(), math.Inf(1))
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		b.ObserveTask(worker(0), x, whole, &speed.Counted{})
		b.ObserveGang([]speed.Worker{worker(0)}, x, 0.5, whole, &speed.Counted{})
		b.ObserveStep(step, 0, worker(0), x, whole)
	}
	b.ObserveGang(nil, 0, 0.5, whole, &speed.Counted{})
	qt.Check(t, b.Record("w000"), qt.IsNil)
	for _, x := range []float64{-1e6, 1e6} {
		b.ObserveTask(worker(0), x, whole, &speed.Counted{})
		b.ObserveGang([]speed.Worker{worker(0), worker(1)}, x, 0, whole, &speed.Counted{})
		b.ObserveStep(step, 0, worker(0), x, whole)
	}
	mean, variance := b.StepError(step)
	p := b.Profile(worker(0))
	for _, x := range []float64{mean, variance, p.Mean(), p.Spread()} {
		qt.Check(t, math.IsNaN(x) || math.Abs(x) > 3, qt.IsFalse)
	}
	qt.Check(t, p.ChanceWithin(math.NaN()), qt.Equals, 0.0)
}

// Guards against a probability that jumps or falls as more time is allowed.
func TestChanceIsContinuousAndRises(t *testing.T) {
	s := newSite(1, 1)
	for range 5 {
		s.task(0)
	}
	p := s.book.Profile(worker(0))
	last := p.ChanceWithin(-2)
	qt.Check(t, last, qt.Equals, 0.0)
	for x := -1.3; x <= 1.3; x += 0.01 {
		c := p.ChanceWithin(x)
		qt.Check(t, c >= last && c-last < 0.08, qt.IsTrue, qt.Commentf("%.2f: %.3f after %.3f", x, c, last))
		last = c
	}
	qt.Check(t, last > 0.999, qt.IsTrue)
}

// Guards against more memory than was planned for a worker: the profile and its
// entries in three maps, each with a string header, a value and a byte of control at a
// load of at least 7/16.
func TestProfileIsSmall(t *testing.T) {
	header, pointer := unsafe.Sizeof(fleet.HostID("")), unsafe.Sizeof(uintptr(0))
	entries := (header + pointer + 1 + header + 1 + header + pointer + 1) * 16 / 7
	qt.Check(t, speed.ProfileSize+entries < 400, qt.IsTrue, qt.Commentf("%d + %d bytes", speed.ProfileSize, entries))
}

func BenchmarkObserveGang(b *testing.B) {
	for _, n := range []int{10, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSite(350, 1/1.6, 1, 1.6)
			for i := range s.truth {
				s.task(i)
			}
			var members []speed.Worker
			for _, i := range s.pick(n) {
				members = append(members, worker(i))
			}
			b.ReportAllocs()
			for b.Loop() {
				s.book.ObserveGang(members, 0.2, 0.6, whole, &speed.Counted{})
			}
		})
	}
}

func BenchmarkObserveStep(b *testing.B) {
	s, st := newSite(350, 1/1.6, 1, 1.6), speed.NewStep(0, 0.4)
	for t := 0; b.Loop(); t++ {
		s.book.ObserveStep(st, t%39, worker(t%39), 0.2, 30)
	}
}

func BenchmarkChanceWithin(b *testing.B) {
	s := newSite(1, 1)
	s.task(0)
	w, sum := worker(0), 0.0
	b.ReportAllocs()
	for b.Loop() {
		p := s.book.Profile(w)
		sum += p.ChanceWithin(0.1)
	}
	_ = sum
}
