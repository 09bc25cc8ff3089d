package flow

import (
	"time"

	"dragonflydeck.example/fleet"
)

// Blame is how strongly a task is suspected of crashing the workers that run it.
type Blame int

// The blame for one crash of a worker under a run of a task.
const (
	Unrelated Blame = iota // something else explains the crash
	Late                   // nothing explains it, but the run had outlived its start
	Possible               // the run may have been starting, but the worker may have crashed by itself
	Likely                 // the worker crashed as the task started
)

var blameNames = [...]string{"unrelated", "late", "possible", "likely"}

// String returns the name of b.
func (b Blame) String() string {
	if b < 0 || int(b) >= len(blameNames) {
		return "unknown"
	}
	return blameNames[b]
}

// weight returns what a crash adds to the blame of a task.
func (b Blame) weight() int {
	switch b {
	case Possible:
		return 1
	case Likely:
		return 2
	}
	return 0
}

// Limits of blame. A task is given up after three crashes as it started, or after five of
// any kind, which is as many as the platform tolerates.
const (
	suspectBlame   = 2
	suspectCrashes = 3
	maxBlame       = 5
	maxCrashes     = 5
)

// Suspected reports whether a task may crash the next worker too.
func (k *Task) Suspected() bool { return k.Blame >= suspectBlame || k.Crashes >= suspectCrashes }

// Accuse records that a worker crashed under a run of a task. The job fails if that is too
// much for the task; Accuse reports whether it does.
func (j *Job) Accuse(t fleet.Task, b Blame, now time.Time) bool {
	s := j.open(t)
	if s == nil || b == Unrelated || s.Tasks[t.Index].Done || j.HasEnded() {
		return false
	}
	k := &s.Tasks[t.Index]
	k.Blame += b.weight()
	k.Crashes++
	if k.Blame < maxBlame && k.Crashes < maxCrashes {
		return false
	}
	j.Failed, j.Ended = true, now
	return true
}

// Acquit records that a task has run without crashing its worker.
func (j *Job) Acquit(t fleet.Task) {
	if s := j.open(t); s != nil {
		s.Tasks[t.Index].Blame, s.Tasks[t.Index].Crashes = 0, 0
	}
}
