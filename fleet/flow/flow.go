// Package flow tracks the progress of a job of steps: what its tasks wait for, the
// state of each, and when the job has ended. It does not choose workers.
package flow

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Job is a job and its progress.
type Job struct {
	ID        fleet.JobID
	Spec      *wire.Flow
	Rounds    []*Round
	Cancelled bool
	Failed    bool
	Accepted  time.Time
	Ended     time.Time // zero until it has ended
	Moved     bool      // its workspace has another name than when it was accepted

	unfinished int  // number of tasks of all rounds that have not succeeded
	begun      bool // a run of a task has been sent
}

// Round is one execution of all steps of a job; a recurring job has several.
type Round struct {
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

// New returns a job of which nothing has started.
func New(spec *wire.Flow, accepted time.Time) *Job {
	j := &Job{ID: fleet.JobID(spec.Id), Spec: spec, Accepted: accepted}
	rounds := 1
	if r := spec.GetRepeat(); r.GetCount() > 0 {
		rounds = int(r.Count)
	}
	for k := range rounds {
		j.Rounds = append(j.Rounds, j.round(k))
	}
	return j
}

func (j *Job) round(k int) *Round {
	r := &Round{Due: j.Accepted}
	if p := j.Spec.GetRepeat(); p.GetCount() > 0 {
		r.Due = time.UnixMilli(p.First + int64(k)*p.Every)
	}
	for i, s := range j.Spec.Steps {
		n := int(s.Count)
		r.Steps = append(r.Steps, &Step{Spec: s, Round: k, Index: i, Tasks: make([]Task, n), unfinished: n})
		j.unfinished += n
	}
	return r
}

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

// Step returns the step of a task, or nil if the job has no such task.
func (j *Job) Step(t fleet.Task) *Step {
	if t.Round < 0 || t.Round >= len(j.Rounds) {
		return nil
	}
	steps := j.Rounds[t.Round].Steps
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
	r := j.Rounds[s.Round]
	if j.Repeats() && wall.Before(r.Due) {
		return false
	}
	return r.mayRun(s)
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
