package sched

import (
	"time"

	"dragonflydeck.example/fleet/assign"
	"dragonflydeck.example/fleet/flow"
)

// How long a task that is suspected of crashing its workers waits for one to itself.
const (
	aloneWait = time.Second             // for a worker without runs of other jobs
	quietWait = 2500 * time.Millisecond // for a worker on which nothing else starts
)

// isolation returns how far a suspected unit is kept apart after a wait. On a full site it
// must not wait forever.
func isolation(waited time.Duration) assign.Isolation {
	switch {
	case waited < aloneWait:
		return assign.Alone
	case waited < quietWait:
		return assign.Quiet
	}
	return assign.Shared
}

// suspectedTasks returns those of the waiting tasks that are suspected of crashing their
// workers; for a gang with such a member, all of them.
func suspectedTasks(s *flow.Step, waiting []int) []int {
	var out []int
	for _, i := range waiting {
		if s.Tasks[i].Suspected() {
			out = append(out, i)
		}
	}
	if s.Spec.Gang && len(out) > 0 {
		return waiting
	}
	return out
}
