package pool

import (
	"time"

	"dragonflydeck.example/fleet"
)

const (
	// startupTime is how long a worker must be heard after a start before the task counts
	// as one that does not crash its worker by starting.
	startupTime = time.Second
	// crashMemory is how long a worker that has crashed may crash again for its own reasons.
	crashMemory = 30 * time.Second
)

// NoteCrash records a crash of the worker. Explained says that a task was starting there.
func (w *Worker) NoteCrash(explained bool, now time.Time) {
	w.crashedAt = now
	if !explained {
		w.unexplainedAt = now
	}
}

// CrashedLately reports whether the worker has crashed, for whatever reason.
func (w *Worker) CrashedLately(now time.Time) bool {
	return !w.crashedAt.IsZero() && now.Sub(w.crashedAt) < crashMemory
}

// Unreliable reports whether the worker has crashed by no doing of a task.
func (w *Worker) Unreliable(now time.Time) bool {
	return !w.unexplainedAt.IsZero() && now.Sub(w.unexplainedAt) < crashMemory
}

// IsStarting reports whether a run of this lead has not outlived its start yet.
func (w *Worker) IsStarting(r *Run) bool {
	return r.Phase == Sent || !r.SentAt.IsZero() && w.LastHeard.Sub(r.SentAt) <= startupTime
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
