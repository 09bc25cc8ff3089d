package helm

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/wire"
)

// awayRetry is how long callers are told to stay away while the store does not
// answer.
const storeDownRetry = 1500 * time.Millisecond

const storeDownReason = "the store does not answer"

// job is a job and what only the present lead knows of it.
type job struct {
	*flow.Job
	stored      bool // accepted
	dirty       bool
	lastBatch   uint64 // that took its newest progress to the store
	waiters     []submitter
	preemptedAt time.Time                  // when runs were last stopped for it
	failed      map[fleet.HostID]time.Time // workers on which one of its tasks failed, closed to it until then
	evicted     map[fleet.Task]int         // how often tasks were stopped for others
	nearFits    map[*flow.Step]nearFit
}

// near is whether the workers of a census could ever run a step where it is not
// slowed.
type nearFit struct {
	workersVersion int
	fits           bool
}

// waiting is a caller who waits until a job is stored.
type submitter struct {
	waiter Waiter
	until  time.Time
}

func newJob(f *flow.Job) *job {
	return &job{Job: f, failed: map[fleet.HostID]time.Time{}, evicted: map[fleet.Task]int{}, nearFits: map[*flow.Step]nearFit{}}
}

// handIn takes a job in, or refuses it at once.
func (sc *Helm) submit(e HandedIn) {
	id := fleet.JobID(e.Flow.Id)
	switch j, known := sc.jobs[id]; {
	case sc.mode != leading || e.Term != 0 && e.Term != sc.term:
		// One that was sent to an earlier lead may have been told as refused since.
		sc.emit(AnswerHand{e.Waiter, &wire.HandReply{Verdict: wire.Verdict_ASTRAY}})
		return
	case known && j.stored:
		sc.emit(AnswerHand{e.Waiter, &wire.HandReply{Verdict: wire.Verdict_OK}})
		return
	case known:
		j.waiters = append(j.waiters, submitter{e.Waiter, e.Until})
		return
	}
	if sc.outbox.stuck(sc.now) {
		sc.refuse(e, storeDownRetry, storeDownReason)
		return
	}
	e.Flow.At = sc.now.UnixMilli()
	j := newJob(flow.New(e.Flow))
	if retry, why := sc.admit(j); why != "" {
		sc.refuse(e, retry, why)
		return
	}
	j.waiters = []submitter{{e.Waiter, e.Until}}
	sc.jobs[id] = j
	sc.outbox.accepted = append(sc.outbox.accepted, j)
	sc.changed = true
}

func (sc *Helm) refuse(e HandedIn, retry time.Duration, why string) {
	sc.logRefusal(e.Flow, retry, why)
	sc.emit(AnswerHand{e.Waiter, &wire.HandReply{Verdict: wire.Verdict_REFUSED, Retry: retry.Milliseconds(), Why: why}})
}

// noteRefused tells why a job was refused, and on what the decision rests.
func (sc *Helm) logRefusal(f *wire.Flow, retry time.Duration, why string) {
	pending := time.Duration(0)
	if s := sc.outbox.inFlight; s != nil {
		pending = sc.now.Sub(s.firstTry)
	}
	sc.logf(event.JobRefused, f.Id, "queue=%s space=%s term=%d orders=%d jobs=%d append=%s retry=%s: %s", f.Queue, f.Space, sc.term, sc.configEnd, len(sc.jobs), pending, retry, why)
}

func (sc *Helm) answerSubmit(j *job, r *wire.HandReply) {
	for _, w := range j.waiters {
		sc.emit(AnswerHand{w.waiter, r})
	}
	j.waiters = nil
}

// drop cancels a job: in memory at once, for the caller once it is stored.
func (sc *Helm) cancel(e Dropped) {
	if sc.mode != leading {
		sc.emit(AnswerDrop{e.Waiter, &wire.FlowReply{Verdict: wire.Verdict_ASTRAY}})
		return
	}
	j := sc.findJob(e.Ask)
	if j == nil {
		sc.emit(AnswerDrop{e.Waiter, &wire.FlowReply{Verdict: wire.Verdict_ABSENT}})
		return
	}
	if j.Cancel(sc.now) {
		sc.logf(event.JobCancelled, string(j.ID), "term=%d", sc.term)
		sc.changed = true
	} else if !sc.unstored(j) {
		sc.emit(AnswerDrop{e.Waiter, &wire.FlowReply{Verdict: wire.Verdict_OK, Stage: j.Stage()}})
		return
	}
	sc.outbox.markDirty(j)
	sc.outbox.cancels = append(sc.outbox.cancels, pendingCancel{j, e.Waiter, e.Until})
}

// find returns the job that a call names, if the caller's workspace owns it.
func (sc *Helm) findJob(ask *wire.FlowAsk) *job {
	j, ok := sc.jobs[fleet.JobID(ask.Id)]
	if !ok || j.Spec.Queue != ask.Queue {
		return nil
	}
	if ask.Space != "" && j.Spec.Space != "" && ask.Space != j.Spec.Space {
		return nil
	}
	return j
}

// Status tells how far a job has come.
func (sc *Helm) Status(ask *wire.FlowAsk) *wire.FlowReply {
	if sc.mode != leading {
		return &wire.FlowReply{Verdict: wire.Verdict_ASTRAY}
	}
	j := sc.findJob(ask)
	switch {
	case j == nil:
		return &wire.FlowReply{Verdict: wire.Verdict_ABSENT}
	case !j.stored || j.Cancelled && sc.unstored(j) || j.Over() && j.dirty && !sc.mayReportUnstored(j):
		return &wire.FlowReply{Verdict: wire.Verdict_OK, Stage: sc.stageBeforeEnd(j)}
	}
	return &wire.FlowReply{Verdict: wire.Verdict_OK, Stage: j.Stage()}
}

// unstored reports whether progress of a job is still to be stored, or on its way.
func (sc *Helm) unstored(j *job) bool {
	return j.dirty || sc.outbox.inFlight != nil && j.lastBatch == sc.outbox.batchNo
}

// keeps reports whether the end of a job may be told before it is stored: while
// the store is away, the workers keep the ends that it rests on until they are.
func (sc *Helm) mayReportUnstored(j *job) bool {
	return !j.Cancelled && sc.outbox.stuck(sc.now)
}

// before returns the stage of a job whose end is not stored yet.
func (sc *Helm) stageBeforeEnd(j *job) wire.Stage {
	if j.Begun() {
		return wire.Stage_RUNS
	}
	return wire.Stage_WAITS
}

// Backlog counts the jobs of a queue that are accepted and have not begun.
func (sc *Helm) Backlog(ask *wire.BacklogAsk) *wire.BacklogReply {
	if sc.mode != leading {
		return &wire.BacklogReply{Verdict: wire.Verdict_ASTRAY}
	}
	r := &wire.BacklogReply{Verdict: wire.Verdict_OK}
	for _, j := range sc.jobs {
		if j.stored && !j.Over() && !j.Begun() && j.Spec.Queue == ask.Queue {
			r.Waiting++
		}
	}
	return r
}

// expire answers callers whose time is over, and forgets jobs that ended long
// ago.
func (sc *Helm) expire() {
	stuck := sc.outbox.stuck(sc.now)
	if stuck {
		sc.refuseUnsent()
	}
	if s := sc.outbox.inFlight; s != nil {
		for _, j := range s.accepted {
			sc.expireWaiters(j)
		}
		s.cancels = sc.expireCancels(s.cancels)
	}
	sc.outbox.cancels = sc.expireCancels(sc.outbox.cancels)
	for id, j := range sc.jobs {
		if j.Over() && sc.now.Sub(j.Ended) > sc.limits.Status {
			delete(sc.jobs, id)
			sc.forgetStepMeans(j)
			sc.outbox.deletes = append(sc.outbox.deletes, id)
		}
	}
}

// turnAway refuses the jobs that wait behind an append without an answer: none
// of them has been sent to the store.
func (sc *Helm) refuseUnsent() {
	for _, j := range sc.outbox.accepted {
		sc.logRefusal(j.Spec, storeDownRetry, storeDownReason)
		sc.answerSubmit(j, &wire.HandReply{Verdict: wire.Verdict_REFUSED, Retry: storeDownRetry.Milliseconds(), Why: storeDownReason})
		sc.discard(j)
	}
	sc.outbox.accepted = nil
}

// withdraw forgets a job that was not sent to the store, and the room that was
// found for it.
func (sc *Helm) discard(j *job) {
	for _, w := range sc.crew.Workers {
		for _, r := range w.Sorted() {
			if r.Task.Job == j.ID {
				sc.outbox.withdrawStart(r)
				w.Drop(key(r))
			}
		}
	}
	delete(sc.jobs, j.ID)
	sc.forgetStepMeans(j)
	sc.changed = true
}

func (sc *Helm) expireWaiters(j *job) {
	remaining := j.waiters[:0]
	for _, w := range j.waiters {
		if sc.now.Before(w.until) {
			remaining = append(remaining, w)
			continue
		}
		sc.emit(AnswerHand{w.waiter, &wire.HandReply{Verdict: wire.Verdict_UNKNOWN, Why: "the store has not answered"}})
	}
	j.waiters = remaining
}

func (sc *Helm) expireCancels(list []pendingCancel) []pendingCancel {
	remaining := list[:0]
	for _, d := range list {
		if sc.now.Before(d.until) {
			remaining = append(remaining, d)
			continue
		}
		sc.emit(AnswerDrop{d.waiter, &wire.FlowReply{Verdict: wire.Verdict_UNKNOWN}})
	}
	return remaining
}
