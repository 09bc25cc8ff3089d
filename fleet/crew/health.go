package crew

import (
	"math"
	"time"
)

// When a worker is set aside. It answers a worker that fails whatever it is
// given: each fail there costs a job one of its few attempts.
const (
	failsAside = 2                // fails in a row, of jobs that failed nowhere else
	asideFirst = 4 * time.Second  // then one task tries it again
	asideMost  = 30 * time.Second // doubled each time up to here
)

// Failed notes a fail on the worker of a job that has failed nowhere else. It
// reports whether the worker is set aside by it.
func (w *Worker) Failed(now time.Time) bool {
	w.Fails++
	if w.Fails < failsAside {
		return false
	}
	return w.SetAside(now)
}

// SetAside keeps the worker from new tasks for a while, longer each time.
func (w *Worker) SetAside(now time.Time) bool {
	if now.Before(w.Aside) {
		return false
	}
	span := min(asideFirst<<min(w.asides, 8), asideMost)
	w.asides++
	w.Aside = now.Add(span)
	return true
}

// Well notes that a task ended well on the worker.
func (w *Worker) Well(now time.Time) {
	w.Fails, w.asides = 0, 0
	w.odds.note(0, now)
}

// How likely a worker is to fail the next task is estimated from how its tasks
// ended, the newer the more. It answers workers that fail some of their tasks: one
// fail costs a job an attempt, and a gang all that its members have done.
const (
	oddsHalf   = 10 * time.Second // an end counts half after
	priorEnds  = 2.0              // ends that the prior counts for
	priorFails = 0.1              // of these, as one task in twenty fails by its own fault
	otherFail  = 0.5              // weight of a fail of a job that has failed elsewhere too
	suspectOdd = 0.2              // one fail that tells against the worker, with no good end
	provenOdd  = 0.1
	provenEnds = 0.5 // a good end of the last ten seconds
)

// odds are the ends of tasks on a worker, fading.
type odds struct {
	ends, fails float64
	at          time.Time
}

func (o *odds) fade(now time.Time) {
	if !o.at.IsZero() {
		keep := math.Exp2(-float64(now.Sub(o.at)) / float64(oddsHalf))
		o.ends, o.fails = o.ends*keep, o.fails*keep
	}
	o.at = now
}

func (o *odds) note(fail float64, now time.Time) {
	o.fade(now)
	o.ends++
	o.fails += fail
}

func (o *odds) fail() float64 { return (o.fails + priorFails) / (o.ends + priorEnds) }

// NoteFail notes that a task failed on the worker, of a job that failed elsewhere
// too or nowhere else.
func (w *Worker) NoteFail(elsewhere bool, now time.Time) {
	if elsewhere {
		w.odds.note(otherFail, now)
		return
	}
	w.odds.note(1, now)
}

// Suspect reports whether the worker fails more than others.
func (w *Worker) Suspect(now time.Time) bool {
	o := w.odds
	o.fade(now)
	return o.fail() > suspectOdd
}

// Proven reports whether tasks have ended well on the worker of late.
func (w *Worker) Proven(now time.Time) bool {
	o := w.odds
	o.fade(now)
	return o.ends-o.fails >= provenEnds && o.fail() < provenOdd
}
