package sched

import (
	"math"
	"time"

	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
)

// Measurement of run times by the progress of runs.
const (
	minMeasuredTime = 700 * time.Millisecond // earlier progress is not conclusive
	measureInterval = 1 * time.Second        // between two measurements of one run
	errorWeight     = 0.05                   // weight of one measurement in the moving averages of a queue
	stepVariance    = 0.06                   // variance of the logarithm of the run time among the tasks of one step
	initialVariance = 0.4                    // variance of a queue's estimates before the first measurement
)

// estimateError describes how far the callers of a queue are off with their
// estimates: mean and variance of the logarithm of real over estimated run time.
type estimateError struct{ mean, variance float64 }

// add adds a measurement and its own variance.
func (e *estimateError) add(logRatio, variance, weight float64) {
	deviation := logRatio - e.mean
	e.mean += weight * deviation
	e.variance += weight * (deviation*deviation + variance - e.variance)
}

// stepMean accumulates the measurements of the tasks of one step.
type stepMean struct {
	sum   float64
	count int
}

// measureRun derives a measurement from the progress of a run, for the estimate
// error of its queue and the speed of its worker. Tasks of one step are compared
// with each other, as their estimates are off by the same factor.
func (sc *Scheduler) measureRun(w *pool.Worker, r *pool.Run) {
	elapsed := sc.now.Sub(r.Since)
	if r.Phase != pool.Running || elapsed < minMeasuredTime || sc.now.Sub(r.MeasuredAt) < measureInterval {
		return
	}
	j, ok := sc.jobs[r.Task.Job]
	if !ok {
		return
	}
	s := j.Step(r.Task)
	if s == nil || s.Estimate() <= 0 || s.Spec.Lasting || s.OffRack {
		return
	}
	r.MeasuredAt = sc.now
	sc.learnSpeed(w, j, s, r, r.Percent)
	total := elapsed.Seconds() * 100 / float64(max(r.Percent-r.FromPercent, 1))
	sc.addMeasurement(w, j, s, math.Log(total/s.Estimate().Seconds())-sc.expectedSlowness(w, s, r))
}

func (sc *Scheduler) addMeasurement(w *pool.Worker, j *job, s *flow.Step, logRatio float64) {
	e, ok := sc.estimateErrors[j.Spec.Queue]
	if !ok {
		e = &estimateError{variance: initialVariance}
		sc.estimateErrors[j.Spec.Queue] = e
	}
	deviation := logRatio - e.mean
	e.add(logRatio, 0, errorWeight)
	if s.Spec.Gang {
		w.Observe(deviation, e.variance*float64(len(s.Tasks)), sc.now)
		return
	}
	m := sc.stepMeanOf(s)
	if m.count > 1 {
		w.Observe(logRatio-m.sum/float64(m.count), stepVariance, sc.now)
	}
	m.sum += logRatio
	m.count++
}

func (sc *Scheduler) stepMeanOf(s *flow.Step) *stepMean {
	m, ok := sc.stepMeans[s]
	if !ok {
		m = &stepMean{}
		sc.stepMeans[s] = m
	}
	return m
}

// forgetRounds deletes what is known about rounds of a job that have ended.
func (sc *Scheduler) forgetRounds(j *job, rounds []*flow.Round) {
	for _, r := range rounds {
		for _, s := range r.Steps {
			delete(sc.stepMeans, s)
			sc.speeds.forget(s)
			delete(j.rackFits, s)
			delete(j.capped, s)
			for i := range s.Tasks {
				delete(j.evicted, s.Task(j.ID, i))
				delete(j.records, s.Task(j.ID, i))
			}
		}
	}
}

// expectedRunTime returns the caller's estimate for a task of a step, corrected by
// the estimate error of the queue.
func (sc *Scheduler) expectedRunTime(j *job, s *flow.Step) time.Duration {
	e, ok := sc.estimateErrors[j.Spec.Queue]
	if !ok {
		return s.Estimate()
	}
	return time.Duration(float64(s.Estimate()) * math.Exp(min(e.mean, 2)))
}
