package gang

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
)

// drive takes one attempt as far as it can go now.
func (c *Control) drive(b *board.Board, r *run) {
	switch r.phase {
	case placing:
		c.drivePlacing(b, r)
	case reserving:
		c.driveOrders(b, r, starting)
	case starting:
		c.driveOrders(b, r, running)
	case running:
		c.driveRunning(b, r)
	case adopting:
		c.driveAdopting(b, r)
	}
	if r.phase == stopping {
		c.driveStopping(b, r)
	}
	if r.phase == settled {
		c.driveSettled(b, r)
	}
}

// drivePlacing waits until the log has the placement. While the log is down
// and nobody can have changed anything, the gang starts without.
func (c *Control) drivePlacing(b *board.Board, r *run) {
	if c.placed(b, r) {
		c.reserve(b, r)
		return
	}
	if c.refused(b, r) {
		c.drop(b, r)
		return
	}
	if b.Gate.Open && b.Gate.Blind {
		r.blind = true
		c.reserve(b, r)
	}
}

func (c *Control) placed(b *board.Board, r *run) bool {
	j := b.State.Jobs[r.id]
	return j.GetPhase() == wire.Phase_PLACED && fleet.Attempt(j.Attempt) == r.attempt && fleet.Term(j.Term) == b.Lead.Term
}

// refused reports whether the placement surely has no effect.
func (c *Control) refused(b *board.Board, r *run) bool {
	if met, err := b.State.Outcome(r.placeID(b.Lead.Term)); met && err != nil {
		return true
	}
	j := b.State.Jobs[r.id]
	return j == nil || fleet.Attempt(j.Attempt) > r.attempt || !b.Outbox.Has(r.placeID(b.Lead.Term)) && !c.placed(b, r)
}

// drop forgets an attempt that never held a worker.
func (c *Control) drop(b *board.Board, r *run) {
	delete(c.runs, r.id)
	c.unstart(b, r.id)
}

func (c *Control) reserve(b *board.Board, r *run) { c.orderAll(b, r, reserving, board.Reserve) }

// orderAll enters a phase and orders its step from every worker, unless the
// gate has closed.
func (c *Control) orderAll(b *board.Board, r *run, next phase, step board.Step) {
	if !b.Gate.Open {
		r.halt(b, false, verdict{phase: wire.Phase_QUEUED, why: "not started: " + b.Gate.Why})
		return
	}
	r.enter(next, b.Now)
	for _, p := range r.parts {
		r.order(b, p, step)
	}
}

// driveOrders goes on when every worker has done the step, or undoes the gang
// if one has not.
func (c *Control) driveOrders(b *board.Board, r *run, next phase) {
	if r.broke != "" {
		b.Note(event.JobUndone, string(r.id), r.broke)
		c.after[r.id] = b.Now.Add(AgainSpan)
		r.halt(b, false, verdict{phase: wire.Phase_QUEUED, why: "undone: " + r.broke})
		return
	}
	if len(r.pending) > 0 {
		return
	}
	if next == running {
		r.enter(running, b.Now)
		b.Note(event.JobRunning, string(r.id), fmt.Sprintf("attempt %d, %d tasks on %d workers", r.attempt, r.spec.Tasks, len(r.parts)))
		return
	}
	c.orderAll(b, r, starting, board.Start)
}

func (c *Control) driveRunning(b *board.Board, r *run) {
	if r.blind && c.refused(b, r) {
		r.halt(b, true, verdict{why: "its placement lost against another record"})
		return
	}
	r.learn(b)
	t := c.tally(b, r)
	switch {
	case len(t.broken) > 0:
		r.halt(b, false, verdict{phase: wire.Phase_FAILED, why: t.why, on: t.broken})
	case len(t.missing) > 0:
		r.halt(b, true, verdict{phase: wire.Phase_QUEUED, why: fmt.Sprintf("%v lost their part", t.missing)})
	case t.ended == len(r.parts):
		c.done(b, r)
	}
}

// learn keeps the work that every part has saved.
func (r *run) learn(b *board.Board) {
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

func (c *Control) done(b *board.Board, r *run) {
	r.verdict = verdict{phase: wire.Phase_DONE, why: "every part ended"}
	r.enter(settled, b.Now)
	c.plan.Done(r.id, b.Now)
	c.dirty = true
	b.Append(r.settleEntry(b))
}

// driveAdopting decides a gang of an earlier lead: whole or undone.
func (c *Control) driveAdopting(b *board.Board, r *run) {
	if !b.Lead.Ready {
		return
	}
	t := c.tally(b, r)
	if len(t.broken) == 0 && len(t.missing) == 0 && t.silent == 0 {
		b.Note(event.JobAdopted, string(r.id), fmt.Sprintf("attempt %d runs whole on %d workers", r.attempt, len(r.parts)))
		r.enter(running, b.Now)
		return
	}
	if t.silent > 0 && len(t.missing) == 0 && len(t.broken) == 0 {
		return
	}
	if len(t.broken) > 0 {
		r.halt(b, false, verdict{phase: wire.Phase_FAILED, why: t.why, on: t.broken})
		return
	}
	r.learn(b)
	r.halt(b, true, verdict{phase: wire.Phase_QUEUED, why: fmt.Sprintf("found incomplete after a change of lead: nothing on %v", t.missing)})
}

// driveStopping orders stops until every worker is surely clear of the gang.
func (c *Control) driveStopping(b *board.Board, r *run) {
	left := 0
	for _, p := range r.parts {
		if r.cleared[p.Worker] {
			continue
		}
		w := b.Workers[p.Worker]
		if w == nil || w.Lost {
			r.cleared[p.Worker] = true
			continue
		}
		left++
		if r.pending[p.Worker] || b.Now.Before(r.again[p.Worker]) {
			continue
		}
		step := board.Stop
		if r.save {
			step = board.Save
		}
		r.order(b, p, step)
	}
	if left == 0 {
		c.settle(b, r)
	}
}

// settle tells planner and log how the attempt ended.
func (c *Control) settle(b *board.Board, r *run) {
	c.dirty = true
	r.gather()
	switch r.verdict.phase {
	case wire.Phase_FAILED:
		c.judge(b, r)
	default:
		c.plan.End(r.id)
	}
	if r.verdict.phase == wire.Phase_UNSET {
		delete(c.runs, r.id)
		c.syncJob(b, r.id)
		return
	}
	r.enter(settled, b.Now)
	b.Append(r.settleEntry(b))
}

// gather counts the work saved by the stop, if every part saved.
func (r *run) gather() {
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

// judge asks whether a job or its workers are at fault.
func (c *Control) judge(b *board.Board, r *run) {
	v := c.plan.Fail(r.id, r.verdict.on, b.Now)
	for _, w := range v.Aside {
		b.Note(event.WorkerAside, string(w), "failed several jobs in a row")
	}
	r.verdict.why = fmt.Sprintf("%s; %s", r.verdict.why, v.Why)
	if v.Park {
		r.verdict.phase = wire.Phase_PARKED
		return
	}
	c.after[r.id] = v.After
	r.verdict.phase = wire.Phase_QUEUED
}

// driveSettled waits until the log has the end, then lets the workers forget.
func (c *Control) driveSettled(b *board.Board, r *run) {
	if b.Outbox.Has(r.settleID(b.Lead.Term)) {
		return
	}
	delete(c.runs, r.id)
	c.syncJob(b, r.id)
}
