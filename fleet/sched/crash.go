package sched

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
)

// When a crash is not held against a task that has lived longer on another worker.
const (
	lifeSpread      = 2           // a task that crashes its workers at one point of its work reaches it this much later on a slow one
	startSpread     = time.Second // a shorter life does not tell a task from one that crashes its workers as it starts
	minOtherCrashes = 3           // workers that crashed lately without the job
	maxExcused      = 2           // crashes of one task that are not held against it, so that its starts stay limited
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
		j, s := sc.stepOf(r.Task)
		if s == nil || !r.Dispatched && !r.Inherited {
			continue
		}
		again := w.CrashedWithout(r.Task.Job, sc.now)
		if crashed {
			blame := l.blame(r, again, s.Spec.Lasting)
			if j.outlived(w, r) && blame != flow.Unrelated && sc.excuse(j, r.Task) {
				blame = flow.Unrelated
			}
			r.Blame = max(r.Blame, blame)
		}
		sc.logf(event.RunLost, string(r.Task.Job), "%s lived=%s confirmed=%t beside=%d starting=%d common=%t again=%t crashed=%t blame=%s: %s",
			describeRun(r.Task, r.No, w.Endpoint.Host), lived(w, r), r.Confirmed, len(w.Runs)-1, l.starting, l.common, again, crashed, r.Blame, why)
	}
	if crashed {
		w.NoteCrash(sc.now)
	}
}

// record is what the present lead has seen of the lost runs of a task.
type record struct {
	longest time.Duration // that one of them certainly lived
	excused int           // crashes that were not held against the task
}

// outlived reports whether a lost run ended long before the time for which an earlier run of
// its task certainly lived, and notes the life of this one. A task that crashes each of its
// workers at one point of its work outlives that point nowhere.
func (j *job) outlived(w *pool.Worker, r *pool.Run) bool {
	was := j.records[r.Task]
	least, most, known := w.LifeOf(r)
	j.records[r.Task] = record{max(was.longest, least), was.excused}
	return known && r.Saved == "" && was.longest > startSpread && most < was.longest/lifeSpread
}

// excuse reports whether the crash of a worker is not held against a task that has outlived
// it: workers crash without its job too, and few crashes were excused so far.
func (sc *Scheduler) excuse(j *job, t fleet.Task) bool {
	k := j.records[t]
	if k.excused >= maxExcused || sc.pool.CrashedWithout(j.ID, sc.now) < minOtherCrashes {
		return false
	}
	k.excused++
	j.records[t] = k
	return true
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
