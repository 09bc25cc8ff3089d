package sched

import (
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
)

// judgeLoss decides how much each run of a lost worker is to blame for the loss. A worker
// that was told to leave, or that may only be out of reach, has not crashed.
func (sc *Scheduler) judgeLoss(w *pool.Worker, crashed bool, why string) {
	l := loss{worker: w, common: sc.pool.LostWithOthers(w)}
	for _, r := range w.Runs {
		if r.Confirmed && w.DiedStarting(r) {
			l.starting++
		}
	}
	for _, r := range w.Sorted() {
		_, s := sc.stepOf(r.Task)
		if s == nil || !r.Dispatched && !r.Inherited {
			continue
		}
		again := w.CrashedWithout(r.Task.Job, sc.now)
		if crashed {
			r.Blame = max(r.Blame, l.blame(r, again, s.Spec.Lasting))
		}
		sc.logf(event.RunLost, string(r.Task.Job), "%s lived=%s confirmed=%t beside=%d starting=%d common=%t again=%t crashed=%t blame=%s: %s",
			describeRun(r.Task, r.No, w.Endpoint.Host), lived(w, r), r.Confirmed, len(w.Runs)-1, l.starting, l.common, again, crashed, r.Blame, why)
	}
	if crashed {
		w.NoteCrash(sc.now)
	}
}

// loss is what is known about the loss of a worker.
type loss struct {
	worker   *pool.Worker
	starting int  // tasks that were starting there
	common   bool // other workers were lost at the same time
}

// blame returns the blame of a run for the crash of its worker. Again says that the worker
// has crashed lately without a run of this job. Each start that may have crashed the worker
// bears some blame, whatever else explains the crash, so that the number of starts is
// limited. A lasting task that outlived its start bears none: in time it outlives any
// number of workers.
func (l loss) blame(r *pool.Run, again, lasting bool) flow.Blame {
	switch {
	case r.SentAt.IsZero() || !r.Confirmed:
		return flow.Possible
	case !l.worker.Outlived(r):
		if l.common || again || !l.worker.DiedStarting(r) {
			return flow.Possible
		}
		return flow.Likely
	case l.starting > 0, l.common, again, lasting:
		return flow.Unrelated
	}
	return flow.Late
}

// mayHaveCrashed reports whether a worker whose lease has expired may have crashed. One
// that the current list still shows lives and is only out of reach.
func (sc *Scheduler) mayHaveCrashed(w *pool.Worker) bool {
	return w.State != fleet.WorkerDraining && (!w.Listed || !sc.listIsCurrent())
}

// lived formats how long after its start a run's worker was last heard.
func lived(w *pool.Worker, r *pool.Run) string {
	if r.SentAt.IsZero() {
		return "unknown"
	}
	return max(w.LastHeard.Sub(r.SentAt), 0).String()
}

// accuse adds the blame for the loss of a run to its task, which is given up once workers
// have crashed under it too often.
func (sc *Scheduler) accuse(j *job, w *pool.Worker, r *pool.Run) {
	if r.Inc != 0 && w.Inc > r.Inc { // it crashed under a former lead
		r.Blame = max(r.Blame, flow.Possible)
	}
	s := j.Step(r.Task)
	if r.Blame == flow.Unrelated {
		if s.Spec.Lasting && r.Confirmed && w.Outlived(r) {
			j.Acquit(r.Task)
		}
		return
	}
	if r.Blame == flow.Likely {
		j.failed[w.Endpoint.Host] = sc.now.Add(failedWorkerPause)
	}
	k := &s.Tasks[r.Task.Index]
	if j.Accuse(r.Task, r.Blame, sc.now) {
		sc.logf(event.JobParked, string(j.ID), "queue=%s blame=%d crashes=%d: workers crashed under %s", j.Spec.Queue, k.Blame, k.Crashes, describeRun(r.Task, r.No, w.Endpoint.Host))
	}
}
