package flow

import (
	"time"

	"dragonflydeck.example/fleet"
)

// Start notes that a start of a task is sent to a worker.
func (j *Job) Start(t fleet.Task, run fleet.Run, at fleet.HostID) {
	s := j.Step(t)
	k := &s.Tasks[t.Index]
	k.Run, k.At = max(k.Run, run), at
	s.Run = max(s.Run, run)
	j.begun = true
}

// Clear notes that a run of a task is no longer anywhere. It reports whether
// that was the newest run.
func (j *Job) Clear(t fleet.Task, run fleet.Run, now time.Time) bool {
	s := j.Step(t)
	if s == nil {
		return false
	}
	k := &s.Tasks[t.Index]
	if k.Run != run || k.At == "" {
		return false
	}
	k.At = ""
	s.Freed = now
	return true
}

// Save notes a newer checkpoint of a task or of its gang.
func (j *Job) Save(t fleet.Task, saved string) {
	s := j.Step(t)
	if s == nil || saved == "" {
		return
	}
	if s.Spec.Gang {
		s.Saved = saved
		return
	}
	s.Tasks[t.Index].Saved = saved
}

// Done notes that a task ended well; one such end stands for a whole gang. It
// reports whether that was news.
func (j *Job) Done(t fleet.Task, now time.Time) bool {
	s := j.Step(t)
	if s == nil || s.left == 0 || s.Spec.Lasting {
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
	s.left--
	j.left--
	if j.left == 0 && !j.Over() {
		j.Ended = now
	}
	return true
}

// Fail notes that a run of a task ended failed. A gang fails once a run,
// whichever of its members failed. The job fails with the last attempt.
func (j *Job) Fail(t fleet.Task, run fleet.Run, attempts int, now time.Time) {
	s := j.Step(t)
	if s == nil || s.Spec.Lasting || s.Tasks[t.Index].Done {
		return
	}
	k := &s.Tasks[t.Index]
	fails := &k.Fails
	if s.Spec.Gang {
		if s.failed >= run {
			return
		}
		s.failed = run
		fails = &s.Fails
	}
	*fails++
	if *fails >= attempts && !j.Over() {
		j.Failed, j.Ended = true, now
	}
}

// Cancel ends the job. It reports whether the job was still going on.
func (j *Job) Cancel(now time.Time) bool {
	if j.Over() {
		return false
	}
	j.Cancelled, j.Ended = true, now
	return true
}
