package route

import (
	"sort"
	"time"

	"dragonflydeck.example/fleet"
)

// Result says how a request ended on a runner.
type Result int

// The results that a runner can give.
const (
	Answered Result = iota + 1
	Busy            // every slot was taken; not run
	Unsent          // no connection; not run
	Broken          // the connection failed with the answer owed
)

// minSamples is how many answers a runner is judged by.
const minSamples = 5

// runner is a runner and what its answers taught.
type runner struct {
	Runner
	busy    int // requests that this daemon has on it
	took    ewma
	strikes int
	pause   time.Duration
	until   time.Time // suspended until then
	slow    bool
	gone    bool
}

// Set tells of the runners in the host list and this daemon's share of each.
func (r *Router) Set(list []Runner) {
	for _, u := range r.runners {
		u.gone = true
	}
	for _, n := range list {
		u, ok := r.runners[n.ID]
		if !ok {
			u = &runner{}
			r.runners[n.ID] = u
		}
		u.Runner, u.gone = n, false
	}
	r.order = r.order[:0]
	for id, u := range r.runners {
		if u.gone && u.busy == 0 {
			delete(r.runners, id)
			continue
		}
		r.order = append(r.order, u)
	}
	sort.Slice(r.order, func(a, b int) bool { return r.order[a].ID < r.order[b].ID })
}

// slots is how many requests the runner may have now.
func (u *runner) slots(now time.Time) int {
	switch {
	case u.gone || u.Leaving || now.Before(u.until):
		return 0
	case u.slow || u.strikes > 0 && u.pause > 0:
		return min(u.Slots, 1)
	}
	return u.Slots
}

// assign picks the runner expected to answer first, of those with a free slot.
func (r *Router) assign(q Request, now time.Time) (Verdict, bool) {
	var best *runner
	low, ties := 0.0, 0
	for _, u := range r.order {
		if u.busy >= u.slots(now) || u.ID == q.Not {
			continue
		}
		cost := u.cost(r.service.value)
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
	return Verdict{Kind: Go, Runner: best.ID, Why: "expected to answer first of those with a free slot"}, true
}

// cost is the answer time expected, which grows with what the runner has.
func (u *runner) cost(mean float64) float64 {
	took := mean
	if u.took.n >= minSamples {
		took = u.took.value
	}
	return took * (1 + float64(u.busy)/float64(max(u.Slots, 1)))
}

// Finish frees the slot of a request and learns from the result. It reports a
// change of the runner's standing: suspended, restored, or neither.
func (r *Router) Finish(id fleet.HostID, res Result, took time.Duration, now time.Time) (suspended, restored bool) {
	u, ok := r.runners[id]
	if !ok {
		return false, false
	}
	u.busy--
	if res != Answered {
		return u.strike(res, r.rules, now), false
	}
	restored = u.pause > 0 || u.slow
	u.strikes, u.pause = 0, 0
	u.took.add(float64(took))
	r.service.add(float64(took))
	was := u.slow
	u.slow = r.isSlow(u)
	return u.slow && !was, restored && !u.slow
}

func (u *runner) strike(res Result, rules Rules, now time.Time) bool {
	if res == Busy {
		u.until = now.Add(time.Duration(u.took.value) / 4)
		return false
	}
	u.strikes++
	if u.strikes < rules.Strikes {
		return false
	}
	u.pause = min(max(2*u.pause, rules.Pause), rules.MaxWait)
	u.until = now.Add(u.pause)
	return true
}

// isSlow compares a runner with the median of all.
func (r *Router) isSlow(u *runner) bool {
	var all []float64
	for _, o := range r.order {
		if o.took.n >= minSamples {
			all = append(all, o.took.value)
		}
	}
	if len(all) < 3 || u.took.n < minSamples {
		return false
	}
	sort.Float64s(all)
	return u.took.value > r.rules.Slow*all[len(all)/2]
}

// capacity counts the slots of runners that are not leaving.
func (r *Router) capacity() int {
	n := 0
	for _, u := range r.order {
		if !u.gone && !u.Leaving {
			n += u.Slots
		}
	}
	return n
}

// Over reports whether some runner has more requests than its slots allow, after
// the share became smaller.
func (r *Router) Over() bool {
	for _, u := range r.order {
		if u.busy > u.Slots {
			return true
		}
	}
	return false
}

// Room counts the free slots, less the requests that wait.
func (r *Router) Room(now time.Time) int {
	n := -r.queue.len()
	for _, u := range r.order {
		n += max(u.slots(now)-u.busy, 0)
	}
	return max(n, 0)
}

// Busy counts the requests on a runner, and all requests on runners or waiting.
func (r *Router) Busy(id fleet.HostID) (there, all int) {
	all = r.queue.len()
	for _, u := range r.order {
		all += u.busy
	}
	if u, ok := r.runners[id]; ok {
		there = u.busy
	}
	return there, all
}
