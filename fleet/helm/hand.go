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
const awayRetry = 1500 * time.Millisecond

const storeAway = "the store does not answer"

// job is a job and what only the present lead knows of it.
type job struct {
	*flow.Job
	stored  bool // accepted
	dirty   bool
	batch   uint64 // that took its newest progress to the store
	waiters []waiting
	cleared time.Time                  // when runs were last stopped for it
	failed  map[fleet.HostID]time.Time // workers on which one of its tasks failed, closed to it until then
	evicted map[fleet.Task]int         // how often tasks were stopped for others
	near    map[*flow.Step]near
}

// near is whether the workers of a census could ever run a step where it is not
// slowed.
type near struct {
	census int
	holds  bool
}

// waiting is a caller who waits until a job is stored.
type waiting struct {
	waiter Waiter
	until  time.Time
}

func newJob(f *flow.Job) *job {
	return &job{Job: f, failed: map[fleet.HostID]time.Time{}, evicted: map[fleet.Task]int{}, near: map[*flow.Step]near{}}
}

// handIn takes a job in, or refuses it at once.
func (h *Helm) handIn(e HandedIn) {
	id := fleet.JobID(e.Flow.Id)
	switch j, known := h.jobs[id]; {
	case h.mode != leads || e.Term != 0 && e.Term != h.term:
		// One that was sent to an earlier lead may have been told as refused since.
		h.do(AnswerHand{e.Waiter, &wire.HandReply{Verdict: wire.Verdict_ASTRAY}})
		return
	case known && j.stored:
		h.do(AnswerHand{e.Waiter, &wire.HandReply{Verdict: wire.Verdict_OK}})
		return
	case known:
		j.waiters = append(j.waiters, waiting{e.Waiter, e.Until})
		return
	}
	if h.box.stuck(h.now) {
		h.refuse(e, awayRetry, storeAway)
		return
	}
	e.Flow.At = h.now.UnixMilli()
	j := newJob(flow.New(e.Flow))
	if retry, why := h.admit(j); why != "" {
		h.refuse(e, retry, why)
		return
	}
	j.waiters = []waiting{{e.Waiter, e.Until}}
	h.jobs[id] = j
	h.box.accepts = append(h.box.accepts, j)
	h.changed = true
}

func (h *Helm) refuse(e HandedIn, retry time.Duration, why string) {
	h.noteRefused(e.Flow, retry, why)
	h.do(AnswerHand{e.Waiter, &wire.HandReply{Verdict: wire.Verdict_REFUSED, Retry: retry.Milliseconds(), Why: why}})
}

// noteRefused tells why a job was refused, and on what the decision rests.
func (h *Helm) noteRefused(f *wire.Flow, retry time.Duration, why string) {
	away := time.Duration(0)
	if s := h.box.sent; s != nil {
		away = h.now.Sub(s.first)
	}
	h.note(event.JobRefused, f.Id, "queue=%s space=%s term=%d orders=%d jobs=%d append=%s retry=%s: %s", f.Queue, f.Space, h.term, h.orders, len(h.jobs), away, retry, why)
}

func (h *Helm) answerHand(j *job, r *wire.HandReply) {
	for _, w := range j.waiters {
		h.do(AnswerHand{w.waiter, r})
	}
	j.waiters = nil
}

// drop cancels a job: in memory at once, for the caller once it is stored.
func (h *Helm) drop(e Dropped) {
	if h.mode != leads {
		h.do(AnswerDrop{e.Waiter, &wire.FlowReply{Verdict: wire.Verdict_ASTRAY}})
		return
	}
	j := h.find(e.Ask)
	if j == nil {
		h.do(AnswerDrop{e.Waiter, &wire.FlowReply{Verdict: wire.Verdict_ABSENT}})
		return
	}
	if j.Cancel(h.now) {
		h.note(event.JobCancelled, string(j.ID), "term=%d", h.term)
		h.changed = true
	} else if !h.unstored(j) {
		h.do(AnswerDrop{e.Waiter, &wire.FlowReply{Verdict: wire.Verdict_OK, Stage: j.Stage()}})
		return
	}
	h.box.mark(j)
	h.box.drops = append(h.box.drops, held{j, e.Waiter, e.Until})
}

// find returns the job that a call names, if the caller's workspace owns it.
func (h *Helm) find(ask *wire.FlowAsk) *job {
	j, ok := h.jobs[fleet.JobID(ask.Id)]
	if !ok || j.Spec.Queue != ask.Queue {
		return nil
	}
	if ask.Space != "" && j.Spec.Space != "" && ask.Space != j.Spec.Space {
		return nil
	}
	return j
}

// Status tells how far a job has come.
func (h *Helm) Status(ask *wire.FlowAsk) *wire.FlowReply {
	if h.mode != leads {
		return &wire.FlowReply{Verdict: wire.Verdict_ASTRAY}
	}
	j := h.find(ask)
	switch {
	case j == nil:
		return &wire.FlowReply{Verdict: wire.Verdict_ABSENT}
	case !j.stored || j.Cancelled && h.unstored(j) || j.Over() && j.dirty && !h.keeps(j):
		return &wire.FlowReply{Verdict: wire.Verdict_OK, Stage: h.before(j)}
	}
	return &wire.FlowReply{Verdict: wire.Verdict_OK, Stage: j.Stage()}
}

// unstored reports whether progress of a job is still to be stored, or on its way.
func (h *Helm) unstored(j *job) bool {
	return j.dirty || h.box.sent != nil && j.batch == h.box.serial
}

// keeps reports whether the end of a job may be told before it is stored: while
// the store is away, the workers keep the ends that it rests on until they are.
func (h *Helm) keeps(j *job) bool {
	return !j.Cancelled && h.box.stuck(h.now)
}

// before returns the stage of a job whose end is not stored yet.
func (h *Helm) before(j *job) wire.Stage {
	if j.Begun() {
		return wire.Stage_RUNS
	}
	return wire.Stage_WAITS
}

// Backlog counts the jobs of a queue that are accepted and have not begun.
func (h *Helm) Backlog(ask *wire.BacklogAsk) *wire.BacklogReply {
	if h.mode != leads {
		return &wire.BacklogReply{Verdict: wire.Verdict_ASTRAY}
	}
	r := &wire.BacklogReply{Verdict: wire.Verdict_OK}
	for _, j := range h.jobs {
		if j.stored && !j.Over() && !j.Begun() && j.Spec.Queue == ask.Queue {
			r.Waiting++
		}
	}
	return r
}

// expire answers callers whose time is over, and forgets jobs that ended long
// ago.
func (h *Helm) expire() {
	stuck := h.box.stuck(h.now)
	if stuck {
		h.turnAway()
	}
	if s := h.box.sent; s != nil {
		for _, j := range s.accepts {
			h.overdue(j)
		}
		s.drops = h.overdueDrops(s.drops)
	}
	h.box.drops = h.overdueDrops(h.box.drops)
	for id, j := range h.jobs {
		if j.Over() && h.now.Sub(j.Ended) > h.limits.Status {
			delete(h.jobs, id)
			h.forgetPeers(j)
			h.box.dead = append(h.box.dead, id)
		}
	}
}

// turnAway refuses the jobs that wait behind an append without an answer: none
// of them has been sent to the store.
func (h *Helm) turnAway() {
	for _, j := range h.box.accepts {
		h.noteRefused(j.Spec, awayRetry, storeAway)
		h.answerHand(j, &wire.HandReply{Verdict: wire.Verdict_REFUSED, Retry: awayRetry.Milliseconds(), Why: storeAway})
		h.withdraw(j)
	}
	h.box.accepts = nil
}

// withdraw forgets a job that was not sent to the store, and the room that was
// found for it.
func (h *Helm) withdraw(j *job) {
	for _, w := range h.crew.Workers {
		for _, r := range w.Sorted() {
			if r.Task.Job == j.ID {
				h.box.unsend(r)
				w.Drop(key(r))
			}
		}
	}
	delete(h.jobs, j.ID)
	h.forgetPeers(j)
	h.changed = true
}

func (h *Helm) overdue(j *job) {
	kept := j.waiters[:0]
	for _, w := range j.waiters {
		if h.now.Before(w.until) {
			kept = append(kept, w)
			continue
		}
		h.do(AnswerHand{w.waiter, &wire.HandReply{Verdict: wire.Verdict_UNKNOWN, Why: "the store has not answered"}})
	}
	j.waiters = kept
}

func (h *Helm) overdueDrops(list []held) []held {
	kept := list[:0]
	for _, d := range list {
		if h.now.Before(d.until) {
			kept = append(kept, d)
			continue
		}
		h.do(AnswerDrop{d.waiter, &wire.FlowReply{Verdict: wire.Verdict_UNKNOWN}})
	}
	return kept
}
