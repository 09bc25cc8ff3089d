package sched

import (
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
)

// findJob returns the job that a call names by its id, if the caller may see it. Callers do not know
// the names of queues and workspaces, which the operator may change while a job lasts.
func (sc *Scheduler) findJob(ask *wire.FlowAsk) *job {
	j, ok := sc.jobs[fleet.JobID(ask.Id)]
	if !ok || !sc.mayUse(j, ask.Queue, fleet.SpaceID(ask.Space), fleet.KeyMark(ask.Mark)) {
		return nil
	}
	return j
}

// mayUse reports whether a call to a queue, with the key of a workspace or without one, may see a job and
// cancel it: it is from the job's workspace, or the job or its queue belongs to nobody.
func (sc *Scheduler) mayUse(j *job, queue string, space fleet.SpaceID, mark fleet.KeyMark) bool {
	if now, ok := sc.config.OwnerOf(mark); ok {
		space = now // the daemon that the caller reached may have read another version
	}
	switch {
	case j.Spec.Space == "":
		return true
	case space == "":
		return j.Spec.Open || queue == j.Spec.Queue || queue == sc.queueOf(j)
	}
	return space == fleet.SpaceID(j.Spec.Space) || mark != 0 && uint64(mark) == j.Spec.Mark
}

// queueOf returns the name of the queue that has taken the place of the one that a job was submitted
// to.
func (sc *Scheduler) queueOf(j *job) string {
	if q := sc.config.Now(j.Spec.Queue, j.Spec.Address); q != nil {
		return q.Name
	}
	return j.Spec.Queue
}

// moveJobs moves jobs to the workspaces that have the keys that they were submitted with.
func (sc *Scheduler) moveJobs() {
	for _, j := range sc.jobs {
		if sc.moveJob(j) {
			sc.outbox.markDirty(j)
		}
	}
}

// moveJob moves a job to the workspace that has the key that it was submitted with, as a workspace
// may be renamed, split, or joined with another one. A job whose key was removed stays where it is.
func (sc *Scheduler) moveJob(j *job) bool {
	space, ok := sc.config.OwnerOf(fleet.KeyMark(j.Spec.Mark))
	if !ok || j.Spec.Space == "" || space == fleet.SpaceID(j.Spec.Space) {
		return false
	}
	sc.logf(event.JobReowned, string(j.ID), "from=%s to=%s", j.Spec.Space, space)
	j.Spec.Space, j.Moved = string(space), true
	for _, w := range sc.pool.Workers {
		w.MoveRuns(j.ID, space)
	}
	return true
}
