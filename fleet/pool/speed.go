package pool

import (
	"math"
	"time"
)

// A worker's slowdown is estimated from the progress of its runs, by a Kalman filter
// over the logarithm of actual by expected run time. It finds workers that become
// several times slower for seconds while their entries report them as healthy.
const (
	priorVariance  = 0.09 // variance before the first measurement: the speeds of a site's workers differ by a third
	driftPerSecond = 0.02 // variance added per second, as a worker may become slow at any time
	maxVariance    = 1.0  // upper bound of the variance
)

// speedEstimate is the state of the filter for one worker.
type speedEstimate struct {
	mean, variance float64
	updated        time.Time
}

// Observe adds a measurement: the logarithm of the factor by which a run was slower
// than expected, and the variance of that measurement.
func (w *Worker) Observe(log, variance float64, now time.Time) {
	s := &w.speed
	if s.updated.IsZero() {
		s.variance, s.updated = priorVariance, now
	}
	s.variance = min(s.variance+driftPerSecond*now.Sub(s.updated).Seconds(), maxVariance)
	s.updated = now
	gain := s.variance / (s.variance + variance)
	s.mean += gain * (log - s.mean)
	s.variance *= 1 - gain
}

// Slowdown returns how many times longer runs take on the worker than on others.
// The estimate returns towards 1 as time passes without measurements.
func (w *Worker) Slowdown(now time.Time) float64 {
	s := &w.speed
	if s.updated.IsZero() {
		return 1
	}
	old := driftPerSecond * now.Sub(s.updated).Seconds()
	return math.Exp(s.mean * maxVariance / (maxVariance + old))
}

// Pace is a class of workers by their slowdown.
type Pace int

// The paces of workers.
const (
	Normal   Pace = iota // as fast as most workers
	Slower               // somewhat slower, such as hosts of an older kind
	Slow                 // so slow that urgent work would be late
	VerySlow             // so slow that any work would be late
)

// Pace returns the worker's class.
func (w *Worker) Pace(now time.Time) Pace {
	switch slow := w.Slowdown(now); {
	case slow < 1.2:
		return Normal
	case slow < 1.5:
		return Slower
	case slow < 2.2:
		return Slow
	}
	return VerySlow
}
