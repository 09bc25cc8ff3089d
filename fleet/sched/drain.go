package sched

import (
	"time"

	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/pool"
)

// When runs are moved off a draining worker.
const (
	drainSlack         = 2 * time.Second        // draining workers usually stay a little longer than announced
	shortNoticeSlack   = -1 * time.Second       // workers that leave at short notice do not: half a second passes until the notice is read, and as much until a stop is reported
	shortNoticeMargin  = 250 * time.Millisecond // the announced time shrinks by up to this much until it is read
	minMeasuredPercent = 10                     // from this progress on, the measured speed is more accurate than the estimate
)

// noteDrain records when a draining worker will be gone. A worker that leaves
// at short notice announces less time than the platform's drain limit.
func (sc *Scheduler) noteDrain(w *pool.Worker) {
	w.LeavesAt = sc.now.Add(w.DrainLeft)
	w.ShortNotice = w.DrainLeft < sc.limits.Drain-shortNoticeMargin
	sc.logf(event.WorkerLeaves, string(w.Endpoint.Host), "runs=%d left=%s short=%t", len(w.Runs), w.DrainLeft, w.ShortNotice)
	sc.stopUnfinished(w)
}

// stopUnfinished stops the runs of a draining worker that would not end before it is
// gone. Runs with checkpoints lose almost nothing. The others would lose more work
// later, and would be noticed as lost only when the worker's lease expires.
func (sc *Scheduler) stopUnfinished(w *pool.Worker) {
	for _, r := range w.Sorted() {
		j, s := sc.stepOf(r.Task)
		if s == nil || r.Phase != pool.Running {
			continue
		}
		left := w.LeavesAt.Sub(sc.now)
		switch {
		case w.ShortNotice:
			left += shortNoticeSlack
		case !s.Spec.Saves:
			left += drainSlack
		}
		if sc.remainingTime(j, r) > left {
			sc.evict(r, "its worker is draining")
		}
	}
}

// remainingTime estimates how much longer a run takes.
func (sc *Scheduler) remainingTime(j *job, r *pool.Run) time.Duration {
	return max(sc.totalTime(j, r)*time.Duration(100-r.FromPercent)/100-sc.now.Sub(r.Since), 0)
}

// totalTime estimates how long a run takes from start to end.
func (sc *Scheduler) totalTime(j *job, r *pool.Run) time.Duration {
	if done := r.Percent - r.FromPercent; done >= minMeasuredPercent {
		return sc.now.Sub(r.Since) * 100 / time.Duration(done)
	}
	return sc.expectedRunTime(j, j.Step(r.Task))
}
