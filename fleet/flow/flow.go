// Package flow tracks the progress of a job of steps: what its tasks wait for, the
// state of each, and when the job has ended. It does not choose workers.
package flow

import (
	"cmp"
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Job is a job and its progress.
type Job struct {
	ID        fleet.JobID
	Spec      *wire.Flow
	Rounds    []*Round // those that have begun to count and have not ended, in their order
	Cancelled bool
	Failed    bool
	Accepted  time.Time
	Ended     time.Time // zero until it has ended
	Moved     bool      // its workspace has another name than when it was accepted

	unfinished int  // number of tasks of all rounds that have not succeeded
	next       int  // number of the first round that has not begun to count
	begun      bool // a run of a task has been sent
}

// Round is one execution of all steps of a job; a recurring job has several.
type Round struct {
	No    int       // counted from 0
	Due   time.Time // when it may start; a time of day if the job repeats
	Steps []*Step
}

// Step is the progress of one step in one round.
type Step struct {
	Spec    *wire.Step
	Round   int
	Index   int
	Tasks   []Task
	Fails   int       // failed runs of the gang as a whole
	Saved   string    // checkpoint of the gang as a whole
	Run     fleet.Run // highest run number of any task
	OffRack bool      // its newest start is away from its data or on several racks
	Freed   time.Time // when a run was last cleared from its worker

	unfinished int
	failedRun  fleet.Run // newest run that was counted as a failure of the gang
}

// Task is the progress of one task.
type Task struct {
	Done    bool
	Fails   int
	Saved   string
	Run     fleet.Run         // number of the newest run
	Worker  fleet.HostID      // worker that the run was sent to; empty once it is on no worker
	Inc     fleet.Incarnation // of that worker's process when the run was sent; 0 if unknown
	Blame   int               // for the crashes of workers as they started it
	Crashes int               // of workers that it may have caused, then or later
}

// New returns a job of which nothing has started. The rounds of a job that repeats begin to count
// with OpenDue.
func New(spec *wire.Flow, accepted time.Time) *Job {
	j := &Job{ID: fleet.JobID(spec.Id), Spec: spec, Accepted: accepted}
	j.unfinished = j.count() * j.RoundTasks()
	if !j.Repeats() {
		j.openNext()
	}
	return j
}

// count returns the number of rounds.
func (j *Job) count() int { return max(int(j.Spec.GetRepeat().GetCount()), 1) }

// RoundTasks returns the number of tasks of a round.
func (j *Job) RoundTasks() int {
	n := 0
	for _, s := range j.Spec.Steps {
		n += int(s.Count)
	}
	return n
}

// openNext lets the next round begin to count.
func (j *Job) openNext() {
	j.Rounds = append(j.Rounds, j.round(j.next))
	j.next++
}

// OpenDue lets rounds that are due begin to count, in their order, while there is room for the tasks
// of one more. State is kept for these alone, so that a job takes no more memory the longer it
// repeats. It reports whether any did.
func (j *Job) OpenDue(wall time.Time, hasRoom func() bool) bool {
	opened := false
	for j.Repeats() && !j.HasEnded() && j.next < j.count() && !wall.Before(j.Due(j.next)) && hasRoom() {
		j.openNext()
		opened = true
	}
	return opened
}

// Close takes out and returns the rounds of a job that repeats of which all tasks have succeeded and none
// is on a worker.
func (j *Job) Close() []*Round {
	if !j.Repeats() {
		return nil
	}
	var closed []*Round
	j.Rounds = slices.DeleteFunc(j.Rounds, func(r *Round) bool {
		ended := r.isIdle() && !slices.ContainsFunc(r.Steps, func(s *Step) bool { return s.unfinished > 0 })
		if ended {
			closed = append(closed, r)
		}
		return ended
	})
	return closed
}

// Clear takes out and returns all rounds of a job that has ended, unless a task is on a worker.
func (j *Job) Clear() []*Round {
	if !j.HasEnded() || slices.ContainsFunc(j.Rounds, func(r *Round) bool { return !r.isIdle() }) {
		return nil
	}
	all := j.Rounds
	j.Rounds, j.next = nil, j.count()
	return all
}

// isIdle reports whether no task of the round is on a worker.
func (r *Round) isIdle() bool {
	return !slices.ContainsFunc(r.Steps, func(s *Step) bool {
		return slices.ContainsFunc(s.Tasks, func(t Task) bool { return t.Worker != "" })
	})
}

// Due returns when a round may start.
func (j *Job) Due(round int) time.Time {
	if p := j.Spec.GetRepeat(); p.GetCount() > 0 {
		return time.UnixMilli(p.First + int64(round)*p.Every)
	}
	return j.Accepted
}

// Tasks returns the number of tasks that state is kept for.
func (j *Job) Tasks() int { return len(j.Rounds) * j.RoundTasks() }

// round returns a round as it is before anything of it has started.
func (j *Job) round(k int) *Round {
	r := &Round{No: k, Due: j.Due(k)}
	for i, s := range j.Spec.Steps {
		n := int(s.Count)
		r.Steps = append(r.Steps, &Step{Spec: s, Round: k, Index: i, Tasks: make([]Task, n), unfinished: n})
	}
	return r
}

// Sample returns the steps of a round of which nothing has started, to judge a job by.
func (j *Job) Sample() []*Step { return j.round(0).Steps }

// HasEnded reports whether the job has ended, for whatever reason.
func (j *Job) HasEnded() bool { return !j.Ended.IsZero() }

// Begun reports whether a run of any task of the job has been sent to a worker.
func (j *Job) Begun() bool { return j.begun }

// Unfinished returns how many tasks of the job have not succeeded.
func (j *Job) Unfinished() int { return j.unfinished }

// Repeats reports whether the job has rounds that start at fixed times.
func (j *Job) Repeats() bool { return j.Spec.GetRepeat().GetCount() > 0 }

// Stage returns the job's stage as it is shown to callers.
func (j *Job) Stage() wire.Stage {
	switch {
	case j.Cancelled:
		return wire.Stage_WITHDRAWN
	case j.Failed:
		return wire.Stage_BROKE
	case j.HasEnded():
		return wire.Stage_COMPLETED
	case j.begun:
		return wire.Stage_RUNS
	}
	return wire.Stage_WAITS
}

// Step returns the step of a task, or nil if the job has no such task. Of a round that has been closed or
// does not count yet, it returns a copy that shows this.
func (j *Job) Step(t fleet.Task) *Step {
	if t.Round < 0 || t.Round >= j.count() || t.Step < 0 || t.Step >= len(j.Spec.Steps) || t.Index < 0 || t.Index >= int(j.Spec.Steps[t.Step].Count) {
		return nil
	}
	if s := j.open(t); s != nil {
		return s
	}
	s := j.round(t.Round).Steps[t.Step]
	if t.Round < j.next {
		for i := range s.Tasks {
			s.Tasks[i].Done = true
		}
		s.unfinished = 0
	}
	return s
}

// open returns the step of a task whose round counts, else nil.
func (j *Job) open(t fleet.Task) *Step {
	i, ok := slices.BinarySearchFunc(j.Rounds, t.Round, func(r *Round, no int) int { return cmp.Compare(r.No, no) })
	if !ok {
		return nil
	}
	steps := j.Rounds[i].Steps
	if t.Step < 0 || t.Step >= len(steps) || t.Index < 0 || t.Index >= len(steps[t.Step].Tasks) {
		return nil
	}
	return steps[t.Step]
}

// Open reports whether a step has tasks that may run: its round is due and the
// steps that it depends on have completed.
func (j *Job) Open(s *Step, wall time.Time) bool {
	if j.HasEnded() || s.unfinished == 0 {
		return false
	}
	if j.Repeats() && wall.Before(j.Due(s.Round)) {
		return false
	}
	i, ok := slices.BinarySearchFunc(j.Rounds, s.Round, func(r *Round, no int) int { return cmp.Compare(r.No, no) })
	return ok && j.Rounds[i].mayRun(s)
}

// mayRun reports whether the steps that a step of the round depends on have completed.
func (r *Round) mayRun(s *Step) bool {
	for _, i := range s.Spec.After {
		if r.Steps[i].unfinished > 0 {
			return false
		}
	}
	return true
}

// EachOpen calls f for each open step.
func (j *Job) EachOpen(wall time.Time, f func(*Step)) {
	if j.HasEnded() {
		return
	}
	repeats := j.Repeats()
	for _, r := range j.Rounds {
		if repeats && wall.Before(r.Due) {
			return
		}
		for _, s := range r.Steps {
			if s.unfinished > 0 && r.mayRun(s) {
				f(s)
			}
		}
	}
}

// Unfinished returns how many tasks of the step have not succeeded.
func (s *Step) Unfinished() int { return s.unfinished }

// Task returns the identifier of a task of the step.
func (s *Step) Task(job fleet.JobID, index int) fleet.Task {
	return fleet.Task{Job: job, Round: s.Round, Step: s.Index, Index: index}
}

// CheckpointOf returns the checkpoint that a task resumes from.
func (s *Step) CheckpointOf(index int) string {
	if s.Spec.Gang {
		return s.Saved
	}
	return s.Tasks[index].Saved
}

// Each returns the resources that one task of the step takes. Tasks that use idle
// processor time take no cores.
func (s *Step) Each() fleet.Res {
	each := fleet.ResOf(s.Spec.Each)
	if s.Spec.Fills {
		each.Cores = 0
	}
	return each
}

// Estimate returns the caller's estimate of a task's run time.
func (s *Step) Estimate() time.Duration { return time.Duration(s.Spec.Span) * time.Millisecond }

// MayEnd reports whether the job may end at any time: every task that has not succeeded is on
// a worker, and none is lasting.
func (j *Job) MayEnd() bool {
	if j.next < j.count() {
		return false
	}
	for _, r := range j.Rounds {
		for _, s := range r.Steps {
			for i := range s.Tasks {
				if t := &s.Tasks[i]; s.Spec.Lasting || !t.Done && t.Worker == "" {
					return false
				}
			}
		}
	}
	return true
}

// PathAfter returns the length of the longest path through the steps of a round that depend
// on a step, by the estimated run times.
func (j *Job) PathAfter(step int) time.Duration {
	ends := map[int32]time.Duration{int32(step): 0} // of the steps that depend on it
	var longest time.Duration
	for i := int32(step) + 1; i < int32(len(j.Spec.Steps)); i++ {
		s := j.Spec.Steps[i]
		for _, a := range s.After {
			if from, ok := ends[a]; ok {
				ends[i] = max(ends[i], from+time.Duration(s.Span)*time.Millisecond)
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// CriticalPath returns the length of the critical path through the steps of a round, by
// the estimated run times.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Spec.Steps))
	var longest time.Duration
	for i, s := range j.Spec.Steps {
		var from time.Duration
		for _, a := range s.After {
			from = max(from, ends[a])
		}
		ends[i] = from + time.Duration(s.Span)*time.Millisecond
		longest = max(longest, ends[i])
	}
	return longest
}
