package pool

import (
	"time"

	"dragonflydeck.example/fleet"
)

const (
	// startupTime is how long after its start a task may crash its worker for the crash to
	// count as the start's doing.
	startupTime = 500 * time.Millisecond
	// crashMemory is how long a worker that has crashed is expected to crash again.
	crashMemory = 30 * time.Second
	// Workers that crash for a common reason are lost together: so many others, within so
	// much time.
	minCommonLoss  = 3
	commonLossTime = 300 * time.Millisecond
)

// NoteCrash records a crash of the worker under its present runs.
func (w *Worker) NoteCrash(now time.Time) {
	w.crashedAt, w.crashedJobs = now, map[fleet.JobID]bool{}
	for _, r := range w.Runs {
		w.crashedJobs[r.Task.Job] = true
	}
}

// CrashedLately reports whether the worker has crashed, for whatever reason.
func (w *Worker) CrashedLately(now time.Time) bool {
	return !w.crashedAt.IsZero() && now.Sub(w.crashedAt) < crashMemory
}

// IsStarting reports whether a run of this lead has not outlived its start, as far as its
// worker was heard.
func (w *Worker) IsStarting(r *Run) bool {
	return r.Phase == Sent || !r.SentAt.IsZero() && w.LastHeard.Sub(r.SentAt) <= startupTime
}

// CrashedWithout reports whether the worker has crashed lately without a run of a job.
func (w *Worker) CrashedWithout(job fleet.JobID, now time.Time) bool {
	return w.CrashedLately(now) && !w.crashedJobs[job]
}

// DiedStarting reports whether a lost worker ended while a run was starting.
func (w *Worker) DiedStarting(r *Run) bool {
	return !w.brokenAt.IsZero() && w.brokenAt.Sub(r.SentAt) <= startupTime
}

// Outlived reports whether a run has certainly outlived its start on a lost worker. A worker
// that fell silent may have ended at any time since it was last heard.
func (w *Worker) Outlived(r *Run) bool {
	return !w.IsStarting(r) || !w.brokenAt.IsZero() && w.brokenAt.Sub(r.SentAt) > startupTime
}

// LifeOf returns how long a confirmed run of a lost worker lived, at least and at most.
// Known is false if there is no upper limit: the worker fell silent, or a former lead sent
// the start.
func (w *Worker) LifeOf(r *Run) (least, most time.Duration, known bool) {
	if r.SentAt.IsZero() || !r.Confirmed {
		return 0, 0, false
	}
	return max(w.LastHeard.Sub(r.SentAt), 0), w.brokenAt.Sub(r.SentAt), !w.brokenAt.IsZero()
}

// CrashedWithout returns how many workers have crashed lately without a run of a job.
func (p *Pool) CrashedWithout(job fleet.JobID, now time.Time) int {
	n := 0
	for _, w := range p.Workers {
		if w.CrashedWithout(job, now) {
			n++
		}
	}
	return n
}

// LostWithOthers reports whether the calls of several other workers began to fail when
// those of a lost worker did.
func (p *Pool) LostWithOthers(w *Worker) bool {
	if !w.failing {
		return false
	}
	n := 0
	for _, o := range p.Workers {
		if o != w && !o.failedAt.IsZero() && o.failedAt.Sub(w.failedAt).Abs() <= commonLossTime && (o.failing || o.crashedAt.After(o.failedAt)) {
			n++
		}
	}
	return n >= minCommonLoss
}

// IsIsolated reports whether tasks of a job must not start on the worker because a
// suspected task of another job is starting there.
func (w *Worker) IsIsolated(job fleet.JobID) bool {
	if w.isolated == 0 {
		return false
	}
	for _, r := range w.Runs {
		if r.Isolated && r.Task.Job != job && w.IsStarting(r) {
			return true
		}
	}
	return false
}

// HasOthers reports whether the worker has runs of other jobs than the given one; with
// starting, only those count that have not outlived their start.
func (w *Worker) HasOthers(job fleet.JobID, starting bool) bool {
	for _, r := range w.Runs {
		if r.Task.Job != job && (!starting || w.IsStarting(r)) {
			return true
		}
	}
	return false
}
