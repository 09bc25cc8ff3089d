package sched

import (
	"time"

	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
)

// How long a question about a job waits for an end that can be told soon.
const (
	endTransit  = 50 * time.Millisecond  // for the report of an end to arrive from a worker; a healthy one takes a few milliseconds
	endStorable = 250 * time.Millisecond // for an end to be stored, also if the store is slow
)

// statusWaiter is a caller whose question about a job waits for the job's end.
type statusWaiter struct {
	waiter  Waiter
	ask     *wire.FlowAsk
	askedAt time.Time
}

// askStatus answers a question about a job, at once unless its end can be told soon.
func (sc *Scheduler) askStatus(e StatusAsked) {
	w := statusWaiter{e.Waiter, e.Ask, sc.now}
	if sc.endIsNear(w) {
		sc.statusWaiters = append(sc.statusWaiters, w)
		return
	}
	sc.emit(AnswerStatus{e.Waiter, sc.Status(e.Ask)})
}

// answerStatus answers the questions that wait no longer.
func (sc *Scheduler) answerStatus() {
	remaining := sc.statusWaiters[:0]
	for _, w := range sc.statusWaiters {
		if sc.endIsNear(w) {
			remaining = append(remaining, w)
			continue
		}
		sc.emit(AnswerStatus{w.waiter, sc.Status(w.ask)})
	}
	sc.statusWaiters = remaining
}

// endIsNear reports whether the end of the job that a caller asks about may be told soon: it is
// being stored, or may be on its way from a worker. Load pattern: callers with little slack ask
// again every few hundred milliseconds. A question that crosses the end on its way, or arrives
// while the end is being stored, would cost its caller a whole interval.
func (sc *Scheduler) endIsNear(w statusWaiter) bool {
	if sc.mode != leading {
		return false
	}
	j, waited := sc.findJob(w.ask), sc.now.Sub(w.askedAt)
	switch {
	case j == nil || !j.stored:
		return false
	case j.HasEnded():
		return waited < endStorable && !j.endStored && !sc.outbox.stuck(sc.now)
	}
	return waited < endTransit && j.MayEnd()
}

// Status returns the stage of a job. An end is told once it is stored, and never before: all
// daemons may be lost together with the worker that reported it, and the tasks would run again
// for a caller who knows that they are done.
func (sc *Scheduler) Status(ask *wire.FlowAsk) *wire.FlowReply {
	if sc.mode != leading {
		return &wire.FlowReply{Verdict: wire.Verdict_ASTRAY}
	}
	j := sc.findJob(ask)
	switch {
	case j == nil:
		return &wire.FlowReply{Verdict: sc.absence()}
	case !j.stored || j.HasEnded() && !j.endStored:
		return &wire.FlowReply{Verdict: wire.Verdict_OK, Stage: sc.stageBeforeEnd(j)}
	}
	sc.noteTold(j)
	return &wire.FlowReply{Verdict: wire.Verdict_OK, Stage: j.Stage()}
}

// noteTold logs that a caller is told how a job ended, once for each job.
func (sc *Scheduler) noteTold(j *job) {
	if !j.HasEnded() || j.endTold {
		return
	}
	j.endTold = true
	stored := "by a former lead"
	switch {
	case !j.endStored:
		stored = "no"
	case !j.endStoredAt.IsZero():
		stored = sc.now.Sub(j.endStoredAt).String() + " ago"
	}
	sc.logf(event.EndTold, string(j.ID), "term=%d stage=%s stored=%s", sc.term, j.Stage(), stored)
}

// unstored reports whether progress of a job is waiting to be stored or in flight.
func (sc *Scheduler) unstored(j *job) bool {
	return j.dirty || sc.outbox.inFlight != nil && j.lastBatch == sc.outbox.batchNo
}

// stageBeforeEnd returns the stage to report for a job whose end is not stored yet.
func (sc *Scheduler) stageBeforeEnd(j *job) wire.Stage {
	if j.Begun() {
		return wire.Stage_RUNS
	}
	return wire.Stage_WAITS
}
