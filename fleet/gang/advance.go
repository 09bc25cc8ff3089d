package gang

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
)

// advance moves an attempt through its phases as far as possible now.
func (c *Controller) advance(b *board.Board, r *run) {
	switch r.phase {
	case placing:
		c.advancePlacing(b, r)
	case reserving:
		c.advanceOrders(b, r, starting)
	case starting:
		c.advanceOrders(b, r, running)
	case running:
		c.advanceRunning(b, r)
	case adopting:
		c.advanceAdopting(b, r)
	}
	if r.phase == stopping {
		c.advanceStopping(b, r)
	}
	if r.phase == settling {
		c.advanceSettling(b, r)
	}
}

// advancePlacing waits until the placement record is in the log. It starts the
// gang without the record if the gate is open although the log is down, because
// then no other daemon can have changed the job.
func (c *Controller) advancePlacing(b *board.Board, r *run) {
	if c.isPlaced(b, r) {
		c.reserve(b, r)
		return
	}
	if c.placementRejected(b, r) {
		c.abandon(b, r)
		return
	}
	if b.Gate.Open && b.Gate.WithoutLog {
		r.unrecorded = true
		c.reserve(b, r)
	}
}

func (c *Controller) isPlaced(b *board.Board, r *run) bool {
	j := b.State.Jobs[r.id]
	return j.GetPhase() == wire.Phase_PLACED && fleet.Attempt(j.Attempt) == r.attempt && fleet.Term(j.Term) == b.Lead.Term
}

// placementRejected reports whether the placement record certainly has no
// effect.
func (c *Controller) placementRejected(b *board.Board, r *run) bool {
	if decided, err := b.State.Outcome(r.placeID(b.Lead.Term)); decided && err != nil {
		return true
	}
	j := b.State.Jobs[r.id]
	return j == nil || fleet.Attempt(j.Attempt) > r.attempt || !b.Outbox.Has(r.placeID(b.Lead.Term)) && !c.isPlaced(b, r)
}

// abandon removes an attempt that has not reserved anything yet.
func (c *Controller) abandon(b *board.Board, r *run) {
	delete(c.runs, r.id)
	c.returnToPlanner(b, r.id)
}

func (c *Controller) reserve(b *board.Board, r *run) { c.orderAll(b, r, reserving, board.Reserve) }

// orderAll enters a phase and sends its order to every worker. If the gate has
// closed, it stops the gang instead.
func (c *Controller) orderAll(b *board.Board, r *run, next phase, step board.Step) {
	if !b.Gate.Open {
		r.beginStop(b, false, verdict{phase: wire.Phase_QUEUED, why: "not started: " + b.Gate.Why})
		return
	}
	r.enter(next, b.Now)
	for _, p := range r.parts {
		r.order(b, p, step)
	}
}

// advanceOrders enters the next phase when every worker has carried out its
// order, or rolls the gang back if one has failed.
func (c *Controller) advanceOrders(b *board.Board, r *run, next phase) {
	if r.failure != "" {
		b.Emit(event.JobUndone, string(r.id), r.failure)
		c.notBefore[r.id] = b.Now.Add(RetryDelay)
		r.beginStop(b, false, verdict{phase: wire.Phase_QUEUED, why: "undone: " + r.failure})
		return
	}
	if len(r.pending) > 0 {
		return
	}
	if next == running {
		r.enter(running, b.Now)
		r.startedAt = b.Now
		b.Emit(event.JobRunning, string(r.id), fmt.Sprintf("attempt %d, %d tasks on %d workers", r.attempt, r.spec.Tasks, len(r.parts)))
		return
	}
	c.orderAll(b, r, starting, board.Start)
}

func (c *Controller) advanceRunning(b *board.Board, r *run) {
	if r.unrecorded && c.placementRejected(b, r) {
		r.beginStop(b, true, verdict{why: "its placement record was rejected"})
		return
	}
	r.updateSpent(b)
	t := c.tally(b, r)
	switch {
	case len(t.broken) > 0:
		r.beginStop(b, false, verdict{phase: wire.Phase_FAILED, why: t.why, faulty: t.broken})
	case len(t.crashed) > 0:
		r.beginStop(b, false, verdict{phase: wire.Phase_FAILED, why: fmt.Sprintf("lost as it started on %v", t.crashed), faulty: t.crashed})
	case len(t.missing) > 0:
		r.beginStop(b, true, verdict{phase: wire.Phase_QUEUED, why: fmt.Sprintf("part no longer running on %v", t.missing)})
	case t.ended == len(r.parts):
		c.complete(b, r)
	}
}

// updateSpent raises the saved work to the least that any part reports. It
// changes nothing unless all parts report.
func (r *run) updateSpent(b *board.Board) {
	low := time.Duration(-1)
	for _, p := range r.parts {
		w := b.Workers[p.Worker]
		if w == nil {
			return
		}
		rep := w.Report(r.id, r.attempt)
		if rep == nil {
			return
		}
		if s := time.Duration(rep.Spent) * time.Millisecond; low < 0 || s < low {
			low = s
		}
	}
	r.spent = max(r.spent, low)
}

func (c *Controller) complete(b *board.Board, r *run) {
	r.verdict = verdict{phase: wire.Phase_DONE, why: "all parts ended"}
	r.enter(settling, b.Now)
	c.plan.Done(r.id, b.Now)
	c.dirty = true
	b.Append(r.settleEntry(b))
}

// advanceAdopting keeps a gang placed by an earlier lead if all workers report
// their part, and stops it if one is broken or missing. It waits for workers
// that have not reported yet.
func (c *Controller) advanceAdopting(b *board.Board, r *run) {
	if !b.Lead.Ready {
		return
	}
	t := c.tally(b, r)
	if len(t.broken) == 0 && len(t.missing) == 0 && t.silent == 0 {
		b.Emit(event.JobAdopted, string(r.id), fmt.Sprintf("attempt %d runs on all of its %d workers", r.attempt, len(r.parts)))
		r.enter(running, b.Now)
		return
	}
	if t.silent > 0 && len(t.missing) == 0 && len(t.broken) == 0 {
		return
	}
	if len(t.broken) > 0 {
		r.beginStop(b, false, verdict{phase: wire.Phase_FAILED, why: t.why, faulty: t.broken})
		return
	}
	r.updateSpent(b)
	r.beginStop(b, true, verdict{phase: wire.Phase_QUEUED, why: fmt.Sprintf("incomplete after a change of lead: no part on %v", t.missing)})
}

// advanceStopping repeats stop orders until every worker has confirmed the stop
// or is known to be lost.
func (c *Controller) advanceStopping(b *board.Board, r *run) {
	left := 0
	for _, p := range r.parts {
		if r.released[p.Worker] {
			continue
		}
		w := b.Workers[p.Worker]
		if w == nil || w.Lost {
			r.released[p.Worker] = true
			continue
		}
		left++
		if r.pending[p.Worker] || b.Now.Before(r.retryAt[p.Worker]) {
			continue
		}
		step := board.Stop
		if r.checkpoint {
			step = board.Save
		}
		r.order(b, p, step)
	}
	if left == 0 {
		c.settle(b, r)
	}
}

// settle reports the end of the attempt to the planner and appends it to the
// log.
func (c *Controller) settle(b *board.Board, r *run) {
	c.dirty = true
	r.updateSpentOnStop()
	switch r.verdict.phase {
	case wire.Phase_FAILED:
		c.handleFailure(b, r)
	default:
		c.plan.End(r.id)
	}
	if r.verdict.phase == wire.Phase_UNSET {
		delete(c.runs, r.id)
		c.syncJob(b, r.id)
		return
	}
	r.enter(settling, b.Now)
	b.Append(r.settleEntry(b))
}

// updateSpentOnStop raises the saved work to the least that any part saved when
// it was stopped. It changes nothing unless all parts confirmed the stop.
func (r *run) updateSpentOnStop() {
	if len(r.saved) < len(r.parts) {
		return
	}
	low := time.Duration(-1)
	for _, s := range r.saved {
		if low < 0 || s < low {
			low = s
		}
	}
	r.spent = max(r.spent, low)
}

// handleFailure asks the planner whether the job or its workers are at fault.
// The job is parked or queued again.
func (c *Controller) handleFailure(b *board.Board, r *run) {
	v := c.plan.Fail(r.id, r.verdict.faulty, b.Now)
	for _, w := range v.Quarantined {
		b.Emit(event.WorkerAside, string(w), "failed several jobs in a row")
	}
	r.verdict.why = fmt.Sprintf("%s; %s", r.verdict.why, v.Why)
	if v.Park {
		r.verdict.phase = wire.Phase_PARKED
		return
	}
	c.notBefore[r.id] = v.After
	r.verdict.phase = wire.Phase_QUEUED
}

// advanceSettling waits until the settle record is in the log, then removes the
// attempt, so that what workers still report of it counts as an orphan.
func (c *Controller) advanceSettling(b *board.Board, r *run) {
	if b.Outbox.Has(r.settleID(b.Lead.Term)) {
		return
	}
	delete(c.runs, r.id)
	c.syncJob(b, r.id)
}
