package route

import (
	"sort"
	"time"

	"dragonflydeck.example/fleet"
)

// Result is the result of sending a request to a runner.
type Result int

// The results of sending a request.
const (
	Answered Result = iota + 1
	Busy            // all its slots were busy; not run
	Unsent          // no connection; not run
	Broken          // the connection failed before the answer; it may have run
)

// minSamples is how many answers a runner's average answer time needs to be used.
const minSamples = 5

// runner is a runner with the state derived from its results.
type runner struct {
	Runner
	busy           int // requests of this daemon that it serves now
	answerTime     ewma
	failures       int
	suspension     time.Duration
	suspendedUntil time.Time
	slow           bool
	removed        bool
}

// SetRunners sets the runners in the host list, with this daemon's share of each.
func (r *Router) SetRunners(list []Runner) {
	for _, u := range r.runners {
		u.removed = true
	}
	for _, n := range list {
		u, ok := r.runners[n.ID]
		if !ok {
			u = &runner{}
			r.runners[n.ID] = u
		}
		u.Runner, u.removed = n, false
	}
	r.order = r.order[:0]
	for id, u := range r.runners {
		if u.removed && u.busy == 0 {
			delete(r.runners, id)
			continue
		}
		r.order = append(r.order, u)
	}
	sort.Slice(r.order, func(a, b int) bool { return r.order[a].ID < r.order[b].ID })
}

// slots returns how many requests the runner may serve at once now.
func (u *runner) slots(now time.Time) int {
	switch {
	case u.removed || u.Leaving || now.Before(u.suspendedUntil):
		return 0
	case u.slow || u.failures > 0 && u.suspension > 0:
		return min(u.Slots, 1)
	}
	return u.Slots
}

// assign picks the runner with the shortest expected answer time of those with a free slot.
func (r *Router) assign(q Request, now time.Time) (Verdict, bool) {
	var best *runner
	low, ties := 0.0, 0
	for _, u := range r.order {
		if u.busy >= u.slots(now) || u.ID == q.Exclude {
			continue
		}
		cost := u.expectedTime(r.service.value)
		switch {
		case best == nil || cost < low:
			best, low, ties = u, cost, 1
		case cost == low:
			ties++
			if r.rng.IntN(ties) == 0 {
				best = u
			}
		}
	}
	if best == nil {
		return Verdict{}, false
	}
	best.busy++
	return Verdict{Kind: Go, Runner: best.ID, Why: "shortest expected answer time of the runners with a free slot"}, true
}

// expectedTime returns the expected answer time, which grows with the runner's load.
func (u *runner) expectedTime(mean float64) float64 {
	took := mean
	if u.answerTime.n >= minSamples {
		took = u.answerTime.value
	}
	return took * (1 + float64(u.busy)/float64(max(u.Slots, 1)))
}

// Finish frees the slot of a request and updates the runner's state by the result.
// It reports whether this suspended the runner or restored it.
func (r *Router) Finish(id fleet.HostID, res Result, took time.Duration, now time.Time) (suspended, restored bool) {
	u, ok := r.runners[id]
	if !ok {
		return false, false
	}
	u.busy--
	if res != Answered {
		return u.recordFailure(res, r.rules, now), false
	}
	restored = u.suspension > 0 || u.slow
	u.failures, u.suspension = 0, 0
	u.answerTime.add(float64(took))
	r.service.add(float64(took))
	was := u.slow
	u.slow = r.isSlow(u)
	return u.slow && !was, restored && !u.slow
}

func (u *runner) recordFailure(res Result, rules Rules, now time.Time) bool {
	if res == Busy {
		u.suspendedUntil = now.Add(time.Duration(u.answerTime.value) / 4)
		return false
	}
	u.failures++
	if u.failures < rules.MaxFailures {
		return false
	}
	u.suspension = min(max(2*u.suspension, rules.MinBackoff), rules.MaxBackoff)
	u.suspendedUntil = now.Add(u.suspension)
	return true
}

// isSlow compares a runner's answer time with the median of all runners.
func (r *Router) isSlow(u *runner) bool {
	var all []float64
	for _, o := range r.order {
		if o.answerTime.n >= minSamples {
			all = append(all, o.answerTime.value)
		}
	}
	if len(all) < 3 || u.answerTime.n < minSamples {
		return false
	}
	sort.Float64s(all)
	return u.answerTime.value > r.rules.SlowFactor*all[len(all)/2]
}

// capacity counts the slots of runners that are not leaving.
func (r *Router) capacity() int {
	n := 0
	for _, u := range r.order {
		if !u.removed && !u.Leaving {
			n += u.Slots
		}
	}
	return n
}

// Overcommitted reports whether some runner serves more requests of this daemon than its
// share allows, as happens after the share shrank.
func (r *Router) Overcommitted() bool {
	for _, u := range r.order {
		if u.busy > u.Slots {
			return true
		}
	}
	return false
}

// FreeSlots counts the free slots, less the waiting requests.
func (r *Router) FreeSlots(now time.Time) int {
	n := -r.queue.len()
	for _, u := range r.order {
		n += max(u.slots(now)-u.busy, 0)
	}
	return max(n, 0)
}

// Busy counts the requests on one runner, and all requests on runners or waiting.
func (r *Router) Busy(id fleet.HostID) (onRunner, all int) {
	all = r.queue.len()
	for _, u := range r.order {
		all += u.busy
	}
	if u, ok := r.runners[id]; ok {
		onRunner = u.busy
	}
	return onRunner, all
}
