package sched

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet/assign"
	"dragonflydeck.example/fleet/flow"
)

// Admission limits.
const (
	maxLateness   = 3 // a job later than this many times its objective is of no use to its caller
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// admit decides whether to accept a job. It returns an empty reason if so, else the
// reason for the refusal and when the caller should retry. Under sustained overload,
// a job that would finish too late is refused at once.
func (sc *Scheduler) admit(j *job) (time.Duration, string) {
	if why := sc.refusedByCap(j); why != "" {
		return maxRetryAfter, why
	}
	if why := sc.refusedBySize(j); why != "" {
		return maxRetryAfter, why
	}
	site := sc.newPlan()
	total := site.Total(j.Spec.Service)
	if total == 0 {
		return 0, ""
	}
	for _, s := range j.Sample() {
		if !site.Feasible(fullUnit(j, s), false) {
			return maxRetryAfter, "no worker is large enough for it"
		}
	}
	if j.Repeats() || site.admitsClaim(sc, j) {
		return 0, ""
	}
	ahead := sc.expectedWait(site, j, total)
	slack := maxLateness*sc.objective(j) - j.CriticalPath()
	if ahead <= slack {
		return 0, ""
	}
	return min(max(ahead-slack, minRetryAfter), maxRetryAfter), fmt.Sprintf("%s of work is queued ahead of it, and its objective allows a wait of %s", ahead.Round(time.Millisecond), slack.Round(time.Millisecond))
}

func fullUnit(j *job, s *flow.Step) assign.Unit {
	u := assign.Unit{Job: j.Job, Step: s, Service: j.Spec.Service}
	for i := range s.Tasks {
		u.Indexes = append(u.Indexes, i)
	}
	return u
}
