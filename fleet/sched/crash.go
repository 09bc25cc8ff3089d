package sched

import (
	"time"

	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/pool"
)

// startupTime is how long after its start a task may crash its worker for the crash to
// count as the start's doing. It covers the time between two answers of a worker.
const startupTime = time.Second

// noteLoss logs the runs that are lost with their worker.
func (sc *Scheduler) noteLoss(w *pool.Worker, why string) {
	starting := 0
	for _, r := range w.Runs {
		if isStarting(w, r) {
			starting++
		}
	}
	for _, r := range w.Sorted() {
		if _, s := sc.stepOf(r.Task); s == nil || !wasSent(r) {
			continue
		}
		sc.logf(event.RunLost, string(r.Task.Job), "%s lived=%s starting=%t beside=%d starting_beside=%d: %s",
			describeRun(r.Task, r.No, w.Endpoint.Host), lived(w, r), isStarting(w, r), len(w.Runs)-1, starting-toInt(isStarting(w, r)), why)
	}
}

// wasSent reports whether a run's start order was sent, or may have been by a former lead.
func wasSent(r *pool.Run) bool { return r.Dispatched || r.Inherited }

// isStarting reports whether a run's worker was not heard again later than startupTime
// after its start order was sent.
func isStarting(w *pool.Worker, r *pool.Run) bool {
	return !r.SentAt.IsZero() && w.LastHeard.Sub(r.SentAt) <= startupTime
}

// lived formats how long after its start a run's worker was last heard.
func lived(w *pool.Worker, r *pool.Run) string {
	if r.SentAt.IsZero() {
		return "unknown"
	}
	return max(w.LastHeard.Sub(r.SentAt), 0).String()
}

func toInt(on bool) int {
	if on {
		return 1
	}
	return 0
}
