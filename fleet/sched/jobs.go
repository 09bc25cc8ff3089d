package sched

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/clock"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

// storeDownRetry is the retry delay given to callers while the store is unavailable.
const storeDownRetry = 1500 * time.Millisecond

const storeDownReason = "the store does not answer"

// job is a job with the state that only the current lead has and that is not stored.
type job struct {
	*flow.Job
	stored         bool // the job itself is stored, and thereby accepted
	restored       bool // a former lead accepted it
	dirty          bool
	madeAt         clock.Reading // when the record of its newest progress was made
	endStored      bool
	endStoredAt    time.Time    // zero if a former lead stored it
	endTold        bool         // this lead has told how the job ended
	unstoredEnds   reportedEnds // that the newest record does not hold
	lastBatch      uint64       // number of the batch with its newest progress
	waiters        []submitter
	preemptedAt    time.Time                  // when runs were last preempted for it
	preemptTriedAt time.Time                  // when runs to preempt for it were last searched for
	unservedAt     time.Time                  // when it was last logged that no room can be made for its claim
	capPreemptedAt time.Time                  // when runs of its own workspace were last stopped for its cap
	capTriedAt     time.Time                  // when runs of its own workspace to stop for its cap were last searched for
	failed         map[fleet.HostID]time.Time // workers where one of its tasks failed; not used for it until the time given
	evicted        map[fleet.Task]int         // how often each task was preempted
	records        map[fleet.Task]record      // of its lost runs
	rackFits       map[*flow.Step]rackFit
	capped         map[*flow.Step]bool // that wait for the cap of the workspace, as logged
	specBytes      int                 // size of its record
	footprint      int64               // memory that it is accounted for, in bytes
}

// rackFit caches whether a step fits where it runs at full speed, for one generation
// of the pool.
type rackFit struct {
	generation int
	fits       bool
}

// reportedEnds counts ends of a job's runs that workers have reported.
type reportedEnds struct {
	count int
	since time.Time // when the first of them was reported
}

func (r *reportedEnds) note(now time.Time) {
	if r.count == 0 {
		r.since = now
	}
	r.count++
}

// submitter is a caller that waits until its job is stored.
type submitter struct {
	waiter   Waiter
	deadline time.Time
}

func newJob(f *flow.Job) *job {
	return &job{
		Job: f, failed: map[fleet.HostID]time.Time{}, evicted: map[fleet.Task]int{}, records: map[fleet.Task]record{},
		rackFits: map[*flow.Step]rackFit{}, capped: map[*flow.Step]bool{}, specBytes: proto.Size(f.Spec),
	}
}

// submit queues a job to be stored, or refuses it at once.
func (sc *Scheduler) submit(e JobSubmitted) {
	id := fleet.JobID(e.Flow.Id)
	switch j, known := sc.jobs[id]; {
	case sc.mode != leading || e.Term != 0 && e.Term != sc.term:
		// A caller that addressed an earlier lead may meanwhile have been told that
		// the job was refused.
		sc.emit(AnswerSubmit{e.Waiter, &wire.HandReply{Verdict: wire.Verdict_ASTRAY}})
		return
	case known && !sc.mayUse(j, e.Flow.Queue, fleet.SpaceID(e.Flow.Space), fleet.KeyMark(e.Flow.Mark)):
		sc.refuse(e, 0, fmt.Sprintf("the id %q is that of a job of another workspace", id))
		return
	case known && j.stored:
		sc.emit(AnswerSubmit{e.Waiter, &wire.HandReply{Verdict: wire.Verdict_OK}})
		return
	case known:
		j.waiters = append(j.waiters, submitter{e.Waiter, e.Deadline})
		return
	}
	if sc.outbox.stuck(sc.now) {
		sc.refuse(e, storeDownRetry, storeDownReason)
		return
	}
	e.Flow.At, e.Flow.Stamp = sc.now.UnixMilli(), int64(sc.clock.Read(sc.now))
	j := newJob(flow.New(e.Flow, sc.now))
	if retry, why := sc.admit(j); why != "" {
		sc.refuse(e, retry, why)
		return
	}
	j.waiters = []submitter{{e.Waiter, e.Deadline}}
	sc.jobs[id] = j
	sc.account(j)
	sc.noteLimit(j)
	sc.outbox.accepted = append(sc.outbox.accepted, j)
	sc.changed = true
}

func (sc *Scheduler) refuse(e JobSubmitted, retry time.Duration, why string) {
	sc.logRefusal(e.Flow, retry, why)
	sc.emit(AnswerSubmit{e.Waiter, &wire.HandReply{Verdict: wire.Verdict_REFUSED, Retry: retry.Milliseconds(), Why: why}})
}

// logRefusal logs why a job was refused, with the figures behind the decision.
func (sc *Scheduler) logRefusal(f *wire.Flow, retry time.Duration, why string) {
	pending := time.Duration(0)
	if s := sc.outbox.inFlight; s != nil {
		pending = sc.now.Sub(s.firstTry)
	}
	sc.logf(event.JobRefused, f.Id, "queue=%s space=%s term=%d orders=%d jobs=%d append=%s retry=%s: %s", f.Queue, f.Space, sc.term, sc.configEnd, len(sc.jobs), pending, retry, why)
}

func (sc *Scheduler) answerSubmit(j *job, r *wire.HandReply) {
	for _, w := range j.waiters {
		sc.emit(AnswerSubmit{w.waiter, r})
	}
	j.waiters = nil
}

// cancel cancels a job in memory at once, and answers the caller once the
// cancellation is stored.
func (sc *Scheduler) cancel(e CancelRequested) {
	if sc.mode != leading {
		sc.emit(AnswerCancel{e.Waiter, &wire.FlowReply{Verdict: wire.Verdict_ASTRAY}})
		return
	}
	j := sc.findJob(e.Ask)
	if j == nil {
		sc.emit(AnswerCancel{e.Waiter, &wire.FlowReply{Verdict: sc.absence()}})
		return
	}
	if j.Cancel(sc.now) {
		sc.logf(event.JobCancelled, string(j.ID), "term=%d", sc.term)
		sc.changed = true
	} else if j.endStored {
		sc.noteTold(j)
		sc.emit(AnswerCancel{e.Waiter, &wire.FlowReply{Verdict: wire.Verdict_OK, Stage: j.Stage()}})
		return
	}
	sc.outbox.markDirty(j)
	sc.outbox.cancels = append(sc.outbox.cancels, pendingCancel{j, e.Waiter, e.Deadline})
}

// absence returns the verdict on a job that this lead does not know. Unless it is confirmed, its
// successor may have accepted the job.
func (sc *Scheduler) absence() wire.Verdict {
	if sc.isConfirmed() {
		return wire.Verdict_ABSENT
	}
	return wire.Verdict_UNKNOWN
}

// Backlog counts the accepted jobs of a queue that have not started.
func (sc *Scheduler) Backlog(ask *wire.BacklogAsk) *wire.BacklogReply {
	if sc.mode != leading {
		return &wire.BacklogReply{Verdict: wire.Verdict_ASTRAY}
	}
	r := &wire.BacklogReply{Verdict: wire.Verdict_OK}
	for _, j := range sc.jobs {
		if j.stored && !j.HasEnded() && !j.Begun() && sc.queueOf(j) == ask.Queue {
			r.Waiting++
		}
	}
	return r
}

// expire answers callers whose time limit has passed, and forgets jobs whose ends were stored
// longer ago than the status limit.
func (sc *Scheduler) expire() {
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
		sc.clearEnded(j)
		if age := sc.statusAge(j); j.HasEnded() && !sc.unstored(j) && age > sc.limits.Status+statusMargin {
			sc.logf(event.JobForgotten, string(id), "queue=%s stage=%s age=%s restored=%t", j.Spec.Queue, j.Stage(), age, j.restored)
			sc.removeJob(j)
			sc.outbox.deletes = append(sc.outbox.deletes, id)
		}
	}
}

// statusMargin is how much longer than the limit a status is kept. Its age is known from when its
// record was made, and a record that takes longer to be stored is made anew: longer than an append takes
// while the store answers.
const statusMargin = 5 * time.Second

// statusAge returns how long ago the record of a job's end was made.
func (sc *Scheduler) statusAge(j *job) time.Duration { return sc.now.Sub(sc.clock.Time(j.madeAt)) }

// refuseUnsent refuses the jobs queued behind an append without an answer, as none
// of them has been sent to the store.
func (sc *Scheduler) refuseUnsent() {
	sc.refuseJobs(sc.outbox.accepted)
	sc.outbox.accepted = nil
}

// refuseJobs refuses jobs that are certainly not stored while the store is unavailable.
func (sc *Scheduler) refuseJobs(list []*job) {
	for _, j := range list {
		sc.logRefusal(j.Spec, storeDownRetry, storeDownReason)
		sc.answerSubmit(j, &wire.HandReply{Verdict: wire.Verdict_REFUSED, Retry: storeDownRetry.Milliseconds(), Why: storeDownReason})
		sc.discard(j)
	}
}

// discard removes a job that is certainly not stored, and frees the capacity
// assigned to it. Callers who cancelled it learn that there is no such job: it would run if it
// were submitted again.
func (sc *Scheduler) discard(j *job) {
	sc.outbox.cancels = sc.answerAbsent(sc.outbox.cancels, j)
	if s := sc.outbox.inFlight; s != nil {
		s.cancels = sc.answerAbsent(s.cancels, j)
	}
	for _, w := range sc.pool.Workers {
		for _, r := range w.Sorted() {
			if r.Task.Job == j.ID {
				w.Drop(key(r))
			}
		}
	}
	sc.removeJob(j)
	sc.changed = true
}

// answerAbsent answers the cancellations of a job that is not known any more, and returns the others.
func (sc *Scheduler) answerAbsent(list []pendingCancel, j *job) []pendingCancel {
	remaining := list[:0]
	for _, d := range list {
		if d.job != j {
			remaining = append(remaining, d)
			continue
		}
		sc.emit(AnswerCancel{d.waiter, &wire.FlowReply{Verdict: sc.absence()}})
	}
	return remaining
}

func (sc *Scheduler) expireWaiters(j *job) {
	remaining := j.waiters[:0]
	for _, w := range j.waiters {
		if sc.now.Before(w.deadline) {
			remaining = append(remaining, w)
			continue
		}
		sc.emit(AnswerSubmit{w.waiter, &wire.HandReply{Verdict: wire.Verdict_UNKNOWN, Why: "the store has not answered"}})
	}
	j.waiters = remaining
}

func (sc *Scheduler) expireCancels(list []pendingCancel) []pendingCancel {
	remaining := list[:0]
	for _, d := range list {
		if sc.now.Before(d.deadline) {
			remaining = append(remaining, d)
			continue
		}
		sc.emit(AnswerCancel{d.waiter, &wire.FlowReply{Verdict: wire.Verdict_UNKNOWN}})
	}
	return remaining
}
