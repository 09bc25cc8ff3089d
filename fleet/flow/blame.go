package flow

import (
	"time"

	"dragonflydeck.example/fleet"
)

// Blame is how strongly a task is suspected of crashing the workers that run it. Each
// crash adds to it.
type Blame int

// The blame that one crash of a worker adds to a task that the worker ran.
const (
	Unrelated Blame = iota // another task explains the crash
	Possible               // nothing explains the crash
	Likely                 // the worker crashed as the task started
)

// Limits of blame. A task is given up after three crashes that it is likely to have
// caused, or after five that nothing explains: the platform tolerates five.
const (
	suspectBlame = Likely
	maxBlame     = 2*Likely + Possible
)

// Suspected reports whether a task may crash the next worker too.
func (k *Task) Suspected() bool { return k.Blame >= suspectBlame }

// Accuse records that a worker crashed under a run of a task. The job fails if the
// task's blame reaches its limit; Accuse reports whether it does.
func (j *Job) Accuse(t fleet.Task, b Blame, now time.Time) bool {
	s := j.Step(t)
	if s == nil || s.Tasks[t.Index].Done || j.HasEnded() {
		return false
	}
	k := &s.Tasks[t.Index]
	k.Blame += b
	if k.Blame < maxBlame {
		return false
	}
	j.Failed, j.Ended = true, now
	return true
}

// Acquit records that a task has run without crashing its worker.
func (j *Job) Acquit(t fleet.Task) {
	if s := j.Step(t); s != nil {
		s.Tasks[t.Index].Blame = Unrelated
	}
}
