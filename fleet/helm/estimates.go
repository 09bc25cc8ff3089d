package helm

import (
	"math"
	"time"

	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/flow"
)

// Bounds of learning from progress.
const (
	minMeasuredTime = 700 * time.Millisecond // a run tells nothing before
	measureInterval = 1 * time.Second        // between two measurements of one run
	errorWeight     = 0.05                   // weight of one measurement in what a queue's estimates are worth
	stepVariance    = 0.06                   // of the work of the tasks of one step
	initialVariance = 0.4                    // variance of a queue's estimates before any was seen
)

// guess is what the estimates of a queue's callers are worth, as logarithms of
// real over estimated run times.
type estimateError struct{ mean, variance float64 }

// peers are the measurements of the tasks of one step.
type stepMean struct {
	sum   float64
	count int
}

// learn takes a measurement from the progress of a run: of what its queue's
// estimates are worth, and of its worker's speed. Tasks of one step are compared
// with each other, as their estimate is off by the same factor.
func (sc *Helm) measureRun(w *crew.Worker, r *crew.Run) {
	elapsed := sc.now.Sub(r.Since)
	if r.Phase != crew.Running || elapsed < minMeasuredTime || sc.now.Sub(r.Learned) < measureInterval {
		return
	}
	j, ok := sc.jobs[r.Task.Job]
	if !ok {
		return
	}
	s := j.Step(r.Task)
	if s == nil || s.Span() <= 0 || s.Spec.Lasting || s.Far {
		return
	}
	r.Learned = sc.now
	total := elapsed.Seconds() * 100 / float64(max(r.Percent-r.From, 1))
	sc.addMeasurement(w, j, s, math.Log(total/s.Span().Seconds()))
}

func (sc *Helm) addMeasurement(w *crew.Worker, j *job, s *flow.Step, logRatio float64) {
	g, ok := sc.estimateErrors[j.Spec.Queue]
	if !ok {
		g = &estimateError{variance: initialVariance}
		sc.estimateErrors[j.Spec.Queue] = g
	}
	deviation := logRatio - g.mean
	g.mean += errorWeight * deviation
	g.variance += errorWeight * (deviation*deviation - g.variance)
	if s.Spec.Gang {
		w.Observe(deviation, g.variance*float64(len(s.Tasks)), sc.now)
		return
	}
	p := sc.stepMeanOf(s)
	if p.count > 1 {
		w.Observe(logRatio-p.sum/float64(p.count), stepVariance, sc.now)
	}
	p.sum += logRatio
	p.count++
}

func (sc *Helm) stepMeanOf(s *flow.Step) *stepMean {
	p, ok := sc.stepMeans[s]
	if !ok {
		p = &stepMean{}
		sc.stepMeans[s] = p
	}
	return p
}

// forgetPeers drops the measurements of a job that has ended.
func (sc *Helm) forgetStepMeans(j *job) {
	for _, r := range j.Rounds {
		for _, s := range r.Steps {
			delete(sc.stepMeans, s)
		}
	}
}

// span returns how long a task of a step is expected to run.
func (sc *Helm) expectedRunTime(j *job, s *flow.Step) time.Duration {
	g, ok := sc.estimateErrors[j.Spec.Queue]
	if !ok {
		return s.Span()
	}
	return time.Duration(float64(s.Span()) * math.Exp(min(g.mean, 2)))
}
