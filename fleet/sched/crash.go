package sched

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
)

// judgeLoss decides how much each run of a lost worker is to blame for the loss. A worker
// that was told to leave, or that may only be out of reach, has not crashed.
func (sc *Scheduler) judgeLoss(w *pool.Worker, crashed bool, why string) {
	starting := 0
	for _, r := range w.Runs {
		if r.Confirmed && w.IsStarting(r) {
			starting++
		}
	}
	unreliable := w.Unreliable(sc.now)
	if crashed {
		w.NoteCrash(starting > 0, sc.now)
	}
	for _, r := range w.Sorted() {
		_, s := sc.stepOf(r.Task)
		if s == nil || !r.Dispatched && !r.Inherited {
			continue
		}
		if crashed {
			r.Blame = max(r.Blame, blameOf(w, r, s.Spec.Lasting, starting > 0, unreliable))
		}
		sc.logf(event.RunLost, string(r.Task.Job), "%s lived=%s confirmed=%t beside=%d starting=%d crashed=%t blame=%d: %s",
			describeRun(r.Task, r.No, w.Endpoint.Host), lived(w, r), r.Confirmed, len(w.Runs)-1, starting, crashed, r.Blame, why)
	}
}

// mayHaveCrashed reports whether a worker whose lease has expired may have crashed. One
// that the current list still shows lives and is only out of reach.
func (sc *Scheduler) mayHaveCrashed(w *pool.Worker) bool {
	return w.State != fleet.WorkerDraining && (!w.Listed || !sc.listIsCurrent())
}

// blameOf returns the blame of a run for the crash of its worker. Explained says that a
// task was starting there, which is the likeliest cause; unreliable, that the worker has
// crashed by itself before. A lasting task that outlived its start bears none: in time it
// outlives any number of workers.
func blameOf(w *pool.Worker, r *pool.Run, lasting, explained, unreliable bool) flow.Blame {
	switch {
	case r.SentAt.IsZero() || !r.Confirmed:
		return flow.Possible
	case w.IsStarting(r) && !unreliable:
		return flow.Likely
	case w.IsStarting(r):
		return flow.Possible
	case explained || lasting:
		return flow.Unrelated
	}
	return flow.Possible
}

// lived formats how long after its start a run's worker was last heard.
func lived(w *pool.Worker, r *pool.Run) string {
	if r.SentAt.IsZero() {
		return "unknown"
	}
	return max(w.LastHeard.Sub(r.SentAt), time.Duration(0)).String()
}

// accuse adds the blame for the loss of a run to its task, which is given up once workers
// have crashed under it too often.
func (sc *Scheduler) accuse(j *job, w *pool.Worker, r *pool.Run) {
	if r.Inherited && r.Inc != 0 && w.Inc > r.Inc {
		r.Blame = max(r.Blame, flow.Possible)
	}
	s := j.Step(r.Task)
	if r.Blame == flow.Unrelated {
		if s.Spec.Lasting && r.Confirmed && !w.IsStarting(r) {
			j.Acquit(r.Task)
		}
		return
	}
	if r.Blame == flow.Likely {
		j.failed[w.Endpoint.Host] = sc.now.Add(failedWorkerPause)
	}
	if j.Accuse(r.Task, r.Blame, sc.now) {
		sc.logf(event.JobParked, string(j.ID), "queue=%s blame=%d: workers crashed under %s", j.Spec.Queue, s.Tasks[r.Task.Index].Blame, describeRun(r.Task, r.No, w.Endpoint.Host))
	}
}
