package sched

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
)

// handleEnd records the end of a run that a worker has reported.
func (sc *Scheduler) handleEnd(w *pool.Worker, e fleet.EndReport) {
	k := pool.Key{Task: e.Task, No: e.Run}
	r := w.Runs[k]
	w.Drop(k)
	sc.changed = true
	j, ok := sc.jobs[e.Task.Job]
	if !ok || j.Step(e.Task) == nil {
		return
	}
	sc.logf(event.RunEnded, string(j.ID), "%s end=%s no=%d", describeRun(e.Task, e.Run, w.Endpoint.Host), e.How, e.No)
	if r != nil && e.How == fleet.EndDone && r.Phase == pool.Running {
		sc.learnSpeed(w, j, j.Step(e.Task), r, fullPercent)
	}
	newest := j.ClearRun(e.Task, e.Run, sc.now)
	if newest || e.How == fleet.EndDone {
		sc.outbox.markDirty(j)
		j.unstoredEnds.note(sc.now)
	}
	switch e.How {
	case fleet.EndDone:
		w.NoteSuccess(sc.now)
		sc.finishTask(j, e.Task, e.Run)
		return
	case fleet.EndFailed:
		if newest {
			sc.handleFailure(w, j, e)
		}
	}
	j.Save(e.Task, e.Saved)
	if newest && r != nil {
		sc.stopGang(j, r)
	}
}

// finishTask records that a run of a task succeeded.
func (sc *Scheduler) finishTask(j *job, t fleet.Task, no fleet.Run) {
	if !j.Done(t, sc.now) {
		return
	}
	s := j.Step(t)
	if s.Unfinished() == 0 {
		sc.speeds.finish(j.Spec.Queue, s)
	}
	if s.Spec.Gang {
		sc.stopOtherRuns(j, s, no)
	}
	if j.HasEnded() {
		sc.logf(event.JobDone, string(j.ID), "queue=%s after=%s", j.Spec.Queue, sc.now.Sub(j.Accepted))
	}
}

// stopOtherRuns stops the run of a gang that was started while one that has succeeded was not heard of. Other
// members of the one that has succeeded end by themselves.
func (sc *Scheduler) stopOtherRuns(j *job, s *flow.Step, succeeded fleet.Run) {
	for i := range s.Tasks {
		if w, r := sc.newestRun(j, s, i); r != nil && r.No != succeeded {
			sc.stopRun(w, r, "another run of its gang has succeeded")
		}
	}
}

// failedWorkerPause is how long a job is not placed again on a worker where it
// failed, so that it does not use up its attempts there within an instant.
const failedWorkerPause = 2 * time.Second

func (sc *Scheduler) handleFailure(w *pool.Worker, j *job, e fleet.EndReport) {
	j.Fail(e.Task, e.Run, sc.maxAttempts(j), sc.now)
	_, here := j.failed[w.Endpoint.Host]
	elsewhere := len(j.failed) > 1 || len(j.failed) == 1 && !here
	j.failed[w.Endpoint.Host] = sc.now.Add(failedWorkerPause)
	w.RecordFail(elsewhere, sc.now)
	if !elsewhere && w.CountFail(sc.now) {
		sc.logf(event.WorkerAside, string(w.Endpoint.Host), "fails=%d until=%s", w.Fails, w.QuarantinedUntil.Sub(sc.now))
	}
	if j.Failed {
		sc.logf(event.JobParked, string(j.ID), "queue=%s attempts=%d", j.Spec.Queue, sc.maxAttempts(j))
	}
}

// maxAttempts returns how many failures of one task fail its job.
func (sc *Scheduler) maxAttempts(j *job) int {
	if q := sc.config.Queue(j.Spec.Queue); q != nil {
		return max(q.Attempts, 1)
	}
	return max(int(j.Spec.Attempts), 1)
}
