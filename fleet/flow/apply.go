package flow

import (
	"time"

	"dragonflydeck.example/fleet"
)

// Start records that a run of a task is sent to a process of a worker.
func (j *Job) Start(t fleet.Task, run fleet.Run, worker fleet.HostID, inc fleet.Incarnation) {
	s := j.open(t)
	k := &s.Tasks[t.Index]
	k.Run, k.Worker, k.Inc = max(k.Run, run), worker, inc
	s.Run = max(s.Run, run)
	j.begun = true
}

// ClearRun records that a run of a task is no longer on any worker. It reports whether
// that was the task's newest run.
func (j *Job) ClearRun(t fleet.Task, run fleet.Run, now time.Time) bool {
	s := j.open(t)
	if s == nil {
		return false
	}
	k := &s.Tasks[t.Index]
	if k.Run != run || k.Worker == "" {
		return false
	}
	k.Worker, k.Inc = "", 0
	s.Freed = now
	return true
}

// Save records a newer checkpoint of a task, or of its gang.
func (j *Job) Save(t fleet.Task, saved string) {
	s := j.open(t)
	if s == nil || saved == "" {
		return
	}
	if s.Spec.Gang {
		s.Saved = saved
		return
	}
	s.Tasks[t.Index].Saved = saved
}

// Done records that a task succeeded; for a gang, one member's success completes
// the whole gang. It reports whether that changed anything.
func (j *Job) Done(t fleet.Task, now time.Time) bool {
	s := j.open(t)
	if s == nil || s.unfinished == 0 || s.Spec.Lasting {
		return false
	}
	if !s.Spec.Gang {
		return j.finish(s, t.Index, now)
	}
	for i := range s.Tasks {
		j.finish(s, i, now)
	}
	return true
}

func (j *Job) finish(s *Step, index int, now time.Time) bool {
	k := &s.Tasks[index]
	if k.Done {
		return false
	}
	k.Done = true
	s.unfinished--
	j.unfinished--
	if j.unfinished == 0 && !j.HasEnded() {
		j.Ended = now
	}
	return true
}

// Fail records that a run of a task failed. A gang's run counts as one failure,
// however many of its members failed. The job fails when one of its tasks or gangs
// has failed the given number of times.
func (j *Job) Fail(t fleet.Task, run fleet.Run, attempts int, now time.Time) {
	s := j.open(t)
	if s == nil || s.Spec.Lasting || s.Tasks[t.Index].Done {
		return
	}
	k := &s.Tasks[t.Index]
	fails := &k.Fails
	if s.Spec.Gang {
		if s.failedRun >= run {
			return
		}
		s.failedRun = run
		fails = &s.Fails
	}
	*fails++
	if *fails >= attempts && !j.HasEnded() {
		j.Failed, j.Ended = true, now
	}
}

// Cancel ends the job. It reports whether the job had not ended before.
func (j *Job) Cancel(now time.Time) bool {
	if j.HasEnded() {
		return false
	}
	j.Cancelled, j.Ended = true, now
	return true
}
