package crew

import (
	"math"
	"time"
)

// How slow a worker is, is estimated from the progress of its runs by a Kalman
// filter over the logarithm of their run time against what was expected. It
// answers workers that turn several times slower for seconds while their entries
// say that they are well.
const (
	speedPrior = 0.09 // variance before anything was seen: speeds of a site differ by a third
	speedDrift = 0.02 // variance that a second adds, as a worker may turn slow at any time
	speedMost  = 1.0  // variance at most
)

// speed is the estimate for one worker.
type speed struct {
	mean, variance float64
	at             time.Time
}

// Observe notes that a run went slower than expected by a factor, given as its
// logarithm, with the variance of such a measurement.
func (w *Worker) Observe(log, variance float64, now time.Time) {
	s := &w.speed
	if s.at.IsZero() {
		s.variance, s.at = speedPrior, now
	}
	s.variance = min(s.variance+speedDrift*now.Sub(s.at).Seconds(), speedMost)
	s.at = now
	gain := s.variance / (s.variance + variance)
	s.mean += gain * (log - s.mean)
	s.variance *= 1 - gain
}

// Slow returns how many times longer runs take on the worker than on others.
// What was seen counts less as time passes.
func (w *Worker) Slow(now time.Time) float64 {
	s := &w.speed
	if s.at.IsZero() {
		return 1
	}
	old := speedDrift * now.Sub(s.at).Seconds()
	return math.Exp(s.mean * speedMost / (speedMost + old))
}

// Pace sorts workers by how slow they are.
type Pace int

// The paces of workers.
const (
	Brisk    Pace = iota // as fast as most
	Steady               // slower, as hosts of an older kind are
	Sluggish             // so slow that urgent work is late there
	Crawling             // so slow that all work is
)

// Pace returns how slow the worker is.
func (w *Worker) Pace(now time.Time) Pace {
	switch slow := w.Slow(now); {
	case slow < 1.2:
		return Brisk
	case slow < 1.5:
		return Steady
	case slow < 2.2:
		return Sluggish
	}
	return Crawling
}
