package speed

import "math"

// The grid over the shared error of a step. Two of its cells are one of the
// profiles' grid, so that sums of error and slowdown lie on one lattice.
const (
	errorWidth  = width / 2
	errorHalf   = 36 // points on each side of the prior mean: 2.7, three standard deviations of the largest error
	errorPoints = 2*errorHalf + 1
	lattice     = errorPoints + 2*(points-1)
)

// Step compares the tasks of one step that is not a gang. The run times of all of
// them have the same unknown error of the job's estimate.
type Step struct {
	mean    float64
	prior   [errorPoints]float64 // logarithm, not normalised
	total   [errorPoints]float64 // logarithm of the likelihood of all tasks
	tasks   map[int]*stepTask
	service string
}

// stepTask is the contribution of one task.
type stepTask struct {
	worker  Worker
	log     [errorPoints]float32 // logarithm of the likelihood of the shared error
	counted Counted
}

// NewStep returns a step without measurements, with the mean and the variance of
// the error of its queue's estimates.
func NewStep(mean, variance float64) *Step {
	if !finite(mean, variance) {
		mean, variance = 0, 1
	}
	s := &Step{mean: mean, tasks: map[int]*stepTask{}}
	variance = max(variance, errorWidth*errorWidth)
	for k := range s.prior {
		x := errorAt(k)
		s.prior[k] = -x * x / (2 * variance)
	}
	return s
}

// errorAt returns a point of the grid relative to the prior mean.
func errorAt(k int) float64 { return float64(k-errorHalf) * errorWidth }

// ObserveStep adds or replaces the measurement of one task of a step: the
// logarithm of its projected run time over the job's estimate. The percent is the
// share of the run that the measurement covers. A task that runs again on another
// worker or process is measured again. After a task has counted, further
// measurements of it on the same process are ignored.
func (b *Book) ObserveStep(s *Step, task int, w Worker, logRatio float64, percent int) {
	if percent < earlyPercent || !finite(logRatio) {
		return
	}
	t := s.task(task, w)
	if t.counted.done {
		return
	}
	density := s.densities(logRatio)
	own := b.distribution(w)
	s.withdraw(t)
	t.measure(&own, &density)
	if t.counted.count(percent) {
		like := s.likelihood(&density)
		b.update(w, &own, &like)
	}
	s.contribute(t)
}

// task returns the state of a task on a worker.
func (s *Step) task(number int, w Worker) *stepTask {
	t, ok := s.tasks[number]
	if ok && t.worker == w {
		return t
	}
	if ok {
		s.withdraw(t)
	}
	t = &stepTask{worker: w}
	s.tasks[number] = t
	s.service = w.Service
	return t
}

// densities returns the density of a measurement for each sum of shared error and
// slowdown.
func (s *Step) densities(logRatio float64) [lattice]float64 {
	n := newNoise(taskError, 1)
	start := logRatio - s.mean - errorAt(0) - lowest
	var d [lattice]float64
	for i := range d {
		d[i] = n.density(start - float64(i)*errorWidth)
	}
	return d
}

// measure sets the likelihood of the shared error, given the worker's distribution.
func (t *stepTask) measure(own *cells, density *[lattice]float64) {
	for k := range t.log {
		sum := 0.0
		for i, p := range own {
			sum += float64(p) * density[k+2*i]
		}
		t.log[k] = float32(math.Log(sum))
	}
}

func (s *Step) withdraw(t *stepTask) {
	for k, x := range t.log {
		s.total[k] -= float64(x)
	}
}

func (s *Step) contribute(t *stepTask) {
	for k, x := range t.log {
		s.total[k] += float64(x)
	}
}

// posterior returns the distribution of the shared error by the contributing tasks.
func (s *Step) posterior() [errorPoints]float64 {
	best := math.Inf(-1)
	for k, x := range s.total {
		best = max(best, x+s.prior[k])
	}
	var p [errorPoints]float64
	sum := 0.0
	for k, x := range s.total {
		p[k] = math.Exp(x + s.prior[k] - best)
		sum += p[k]
	}
	for k := range p {
		p[k] /= sum
	}
	return p
}

// likelihood returns the likelihood of a worker's slowdown by a measurement that
// does not contribute to the shared error.
func (s *Step) likelihood(density *[lattice]float64) vector {
	var like vector
	for k, p := range s.posterior() {
		if p < 1e-9 {
			continue
		}
		for i := range like {
			like[i] += p * density[k+2*i]
		}
	}
	return like
}

// StepError returns the mean and the variance of the error that the tasks of a
// step share, given their measurements and the profiles.
func (b *Book) StepError(s *Step) (mean, variance float64) {
	square := 0.0
	for k, p := range s.posterior() {
		x := errorAt(k)
		mean += p * x
		square += p * x * x
	}
	return s.mean + mean + b.shiftOf(s.service), max(square-mean*mean, 0)
}
