// Package flow is a job of steps: what its tasks wait for, how far each has
// come, and when the job has ended. It decides nothing about workers.
package flow

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Job is one job of steps and its progress.
type Job struct {
	ID        fleet.JobID
	Spec      *wire.Flow
	Rounds    []*Round
	Cancelled bool
	Failed    bool
	Ended     time.Time // zero while it goes on

	left  int  // tasks that have not ended, over all rounds
	begun bool // a task has started
}

// Round is one time that the steps of a job run.
type Round struct {
	Due   time.Time // on the wall clock
	Steps []*Step
}

// Step is the progress of one step in one round.
type Step struct {
	Spec  *wire.Step
	Round int
	Index int
	Tasks []Task
	Fails int       // of the gang as a whole
	Saved string    // checkpoint of the gang as a whole
	Run   fleet.Run // newest start of any task
	Far   bool      // its newest start is where it is slowed
	Freed time.Time // when a run of it last ended without success

	left   int
	failed fleet.Run // newest run that counted as a fail of the gang
}

// Task is the progress of one task.
type Task struct {
	Done  bool
	Fails int
	Saved string
	Run   fleet.Run    // number of the newest start
	At    fleet.HostID // where that start was sent; empty once it has ended
}

// New returns a job at its beginning.
func New(spec *wire.Flow) *Job {
	j := &Job{ID: fleet.JobID(spec.Id), Spec: spec}
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
	r := &Round{Due: time.UnixMilli(j.Spec.At)}
	if p := j.Spec.GetRepeat(); p.GetCount() > 0 {
		r.Due = time.UnixMilli(p.First + int64(k)*p.Every)
	}
	for i, s := range j.Spec.Steps {
		n := int(s.Count)
		r.Steps = append(r.Steps, &Step{Spec: s, Round: k, Index: i, Tasks: make([]Task, n), left: n})
		j.left += n
	}
	return r
}

// Over reports whether nothing more of the job is to run.
func (j *Job) Over() bool { return !j.Ended.IsZero() }

// Begun reports whether a task of the job has ever started.
func (j *Job) Begun() bool { return j.begun }

// Timed reports whether the job runs at fixed times.
func (j *Job) Timed() bool { return j.Spec.GetRepeat().GetCount() > 0 }

// Stage returns what callers are told.
func (j *Job) Stage() wire.Stage {
	switch {
	case j.Cancelled:
		return wire.Stage_WITHDRAWN
	case j.Failed:
		return wire.Stage_BROKE
	case j.Over():
		return wire.Stage_COMPLETED
	case j.begun:
		return wire.Stage_RUNS
	}
	return wire.Stage_WAITS
}

// Step returns a step of a task's job, or nil if the job has no such task.
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

// Open reports whether a step's turn has come: its round is due and the steps
// that it depends on have ended.
func (j *Job) Open(s *Step, wall time.Time) bool {
	if j.Over() || s.left == 0 {
		return false
	}
	r := j.Rounds[s.Round]
	if j.Timed() && wall.Before(r.Due) {
		return false
	}
	for _, i := range s.Spec.After {
		if r.Steps[i].left > 0 {
			return false
		}
	}
	return true
}

// Each calls f for each step whose turn has come.
func (j *Job) Each(wall time.Time, f func(*Step)) {
	if j.Over() {
		return
	}
	for _, r := range j.Rounds {
		if j.Timed() && wall.Before(r.Due) {
			return
		}
		for _, s := range r.Steps {
			if j.Open(s, wall) {
				f(s)
			}
		}
	}
}

// Left returns how many tasks of the step have not ended.
func (s *Step) Left() int { return s.left }

// Task returns the name of a task of the step.
func (s *Step) Task(job fleet.JobID, index int) fleet.Task {
	return fleet.Task{Job: job, Round: s.Round, Step: s.Index, Index: index}
}

// SavedOf returns the checkpoint that a task goes on from.
func (s *Step) SavedOf(index int) string {
	if s.Spec.Gang {
		return s.Saved
	}
	return s.Tasks[index].Saved
}

// Each returns what one task of the step takes.
func (s *Step) Each() fleet.Res {
	each := fleet.ResOf(s.Spec.Each)
	if s.Spec.Fills {
		each.Cores = 0
	}
	return each
}

// Span returns the caller's estimate of a task's run time.
func (s *Step) Span() time.Duration { return time.Duration(s.Spec.Span) * time.Millisecond }

// Chain returns the longest chain of estimates over the steps of a round.
func (j *Job) Chain() time.Duration {
	ends := make([]time.Duration, len(j.Spec.Steps))
	var most time.Duration
	for i, s := range j.Spec.Steps {
		var from time.Duration
		for _, a := range s.After {
			from = max(from, ends[a])
		}
		ends[i] = from + time.Duration(s.Span)*time.Millisecond
		most = max(most, ends[i])
	}
	return most
}
