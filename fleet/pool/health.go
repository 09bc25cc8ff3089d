package pool

import (
	"math"
	"time"
)

// Quarantine of workers. A worker that fails every task would otherwise cost each
// job that is placed there one of its few attempts.
const (
	quarantineFails = 2                // consecutive failures of jobs that failed on no other worker
	minQuarantine   = 4 * time.Second  // first quarantine; then a task tries the worker again
	maxQuarantine   = 30 * time.Second // the duration doubles each time up to this
)

// CountFail counts a failure of a job that has failed on no other worker. It reports
// whether the worker goes into quarantine for it.
func (w *Worker) CountFail(now time.Time) bool {
	w.Fails++
	if w.Fails < quarantineFails {
		return false
	}
	return w.Quarantine(now)
}

// Quarantine quarantines the worker: it gets no new tasks for a while, longer each
// time. It reports false if the worker is in quarantine already.
func (w *Worker) Quarantine(now time.Time) bool {
	if now.Before(w.QuarantinedUntil) {
		return false
	}
	duration := min(minQuarantine<<min(w.quarantines, 8), maxQuarantine)
	w.quarantines++
	w.QuarantinedUntil = now.Add(duration)
	return true
}

// NoteSuccess records that a task succeeded on the worker.
func (w *Worker) NoteSuccess(now time.Time) {
	w.Fails, w.quarantines = 0, 0
	w.outcomes.record(0, now)
}

// The probability that a worker fails its next task is estimated from the outcomes
// of its recent tasks, weighted by age. It finds workers that fail only some of
// their tasks: a failure costs a job an attempt, and a gang the work of all its
// members.
const (
	failHalfLife     = 10 * time.Second // after this, an outcome has half its weight
	priorEnded       = 2.0              // weight of the prior, in outcomes
	priorFailed      = 0.1              // failures among them: one task in twenty fails by its own fault
	repeatFailWeight = 0.5              // weight of a failure of a job that has failed on other workers too
	suspectRate      = 0.2              // a single failure of full weight, with no success, exceeds it
	provenRate       = 0.1
	provenSuccesses  = 0.5 // one success of the last ten seconds
)

// outcomes counts the outcomes of tasks on a worker, with exponential decay.
type outcomes struct {
	ended, failed float64
	updated       time.Time
}

func (o *outcomes) decay(now time.Time) {
	if !o.updated.IsZero() {
		factor := math.Exp2(-float64(now.Sub(o.updated)) / float64(failHalfLife))
		o.ended, o.failed = o.ended*factor, o.failed*factor
	}
	o.updated = now
}

func (o *outcomes) record(fail float64, now time.Time) {
	o.decay(now)
	o.ended++
	o.failed += fail
}

func (o *outcomes) failRate() float64 { return (o.failed + priorFailed) / (o.ended + priorEnded) }

// RecordFail records a failed task for the estimate of the worker's fail rate.
// Elsewhere says that its job has failed on other workers, too.
func (w *Worker) RecordFail(elsewhere bool, now time.Time) {
	if elsewhere {
		w.outcomes.record(repeatFailWeight, now)
		return
	}
	w.outcomes.record(1, now)
}

// Suspect reports whether the worker seems to fail more tasks than others do.
func (w *Worker) Suspect(now time.Time) bool {
	o := w.outcomes
	o.decay(now)
	return o.failRate() > suspectRate
}

// Proven reports whether tasks succeeded on the worker recently and few failed.
func (w *Worker) Proven(now time.Time) bool {
	o := w.outcomes
	o.decay(now)
	return o.ended-o.failed >= provenSuccesses && o.failRate() < provenRate
}
