package sched

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
)

// When a run counts as hanging.
const (
	minHangTime = 5 * time.Second // without progress; the slowest healthy task of the sites advances a percent in 2 s
	hangPercent = 5               // of the task's run time without progress; a healthy task reports every percent
	fullPercent = 100
)

// expiredEndsWindow is how long a worker whose lease has expired is still polled for
// run ends. Most network partitions are shorter.
const expiredEndsWindow = 30 * time.Second

// supervise checks leases that have expired, draining workers, starts and stops
// without an answer, and runs that hang or are no longer needed. Load pattern: a failure
// domain is cut off together with the lead. The next lead renews the leases of the workers
// outside, so that the old one must not take them for expired and stop the other members of
// their gangs on its side.
func (sc *Scheduler) supervise() {
	sc.reportOldList()
	sc.logSpeeds()
	for _, w := range sc.pool.Sorted() {
		if w.Leased() && sc.now.After(w.LeasesExpireAt()) && sc.isConfirmed() {
			sc.judgeLoss(w, sc.mayHaveCrashed(w), "its lease has expired")
			sc.closeRuns(w, "its lease has expired")
			w.Synced, w.UnknownEndsUntil = false, sc.now.Add(expiredEndsWindow)
			continue
		}
		if w.Listed && w.State == fleet.WorkerDraining {
			sc.stopUnfinished(w)
		}
		for _, r := range w.Sorted() {
			sc.superviseRun(w, r)
		}
	}
	for _, host := range sc.pool.Sweep(sc.now) {
		sc.forgetSpeed(host)
	}
	sc.forgetAbsentSpeeds()
}

func (sc *Scheduler) superviseRun(w *pool.Worker, r *pool.Run) {
	age := sc.now.Sub(r.Since)
	switch {
	case r.Phase == pool.Stopping:
		if r.StopAnswered.IsZero() && age >= stopRetry {
			r.Since = sc.now
			sc.sendStop(w, r)
		}
	case sc.isUnwanted(r):
		sc.stopRun(w, r, "it is no longer needed")
	case sc.resendDue(w, r):
		sc.sendStart(w, r)
	case r.Phase == pool.Unconfirmed && !r.Inherited && age >= unansweredStartTimeout:
		sc.stopRun(w, r, "its start was not answered")
	case r.Phase == pool.Running && sc.isHanging(w, r):
		if w.Quarantine(sc.now) {
			sc.logf(event.WorkerAside, string(w.Endpoint.Host), "until=%s: a run makes no progress", w.QuarantinedUntil.Sub(sc.now))
		}
		sc.stopRun(w, r, "it makes no progress")
	}
}

// resendDue reports whether a start without an answer is to be sent again.
func (sc *Scheduler) resendDue(w *pool.Worker, r *pool.Run) bool {
	if r.Phase != pool.Sent || !r.Dispatched || r.Sends >= maxStartSends || sc.now.Sub(r.Since) < time.Duration(r.Sends)*startRetry {
		return false
	}
	return sc.listIsCurrent() && sc.isConfirmed() && sc.takesStarts(w) && !sc.overCap(r)
}

// isUnwanted reports whether a run is no longer needed.
func (sc *Scheduler) isUnwanted(r *pool.Run) bool {
	j, ok := sc.jobs[r.Task.Job]
	if !ok || j.HasEnded() && (j.Cancelled || j.Failed) {
		return true
	}
	s := j.Step(r.Task)
	if s == nil {
		return true
	}
	return s.Tasks[r.Task.Index].Done && !s.Spec.Gang
}

// isHanging reports whether a run has made no progress for too long. Progress is
// reported in whole percents, so a long task shows none for a while. A gang member
// that has finished its part waits for the others and does not count as hanging.
func (sc *Scheduler) isHanging(w *pool.Worker, r *pool.Run) bool {
	stalledFor := w.LastHeard.Sub(r.ProgressAt)
	if stalledFor < minHangTime {
		return false
	}
	j, ok := sc.jobs[r.Task.Job]
	if !ok {
		return false
	}
	s := j.Step(r.Task)
	if s.Spec.Lasting || s.Spec.Gang && r.Percent >= fullPercent && !sc.allDone(j, s) {
		return false
	}
	return stalledFor >= hangPercent*sc.expectedRunTime(j, s)/100
}

// allDone reports whether all members of a gang have finished their part.
func (sc *Scheduler) allDone(j *job, s *flow.Step) bool {
	for i := range s.Tasks {
		if _, r := sc.newestRun(j, s, i); r == nil || r.Percent < fullPercent {
			return false
		}
	}
	return true
}
