package sched

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
)

// Timing of starts and stops.
const (
	startRetry             = 120 * time.Millisecond // a start is normally answered within milliseconds; without an answer it is sent again
	maxStartSends          = 4                      // sends of one start; if none is answered, it is then stopped
	unansweredStartTimeout = 150 * time.Millisecond // a start without an answer whose run no poll has shown by then is stopped
	stopRetry              = 300 * time.Millisecond // between two stops of one run
	refusedStartPause      = 500 * time.Millisecond // no further starts are sent for this long to a worker that refused one
)

func key(r *pool.Run) pool.Key { return pool.Key{Task: r.Task, No: r.No} }

// describeRun formats a run for log events.
func describeRun(t fleet.Task, no fleet.Run, at fleet.HostID) string {
	return fmt.Sprintf("task=%d.%d.%d run=%d worker=%s", t.Round, t.Step, t.Index, no, at)
}

// handleStarted processes the outcome of a start.
func (sc *Scheduler) handleStarted(e Started) {
	sc.noteStartEnded(e)
	w, r := sc.findRun(e.Endpoint.Host, e.Term, e.SentAt, e.Key)
	if r == nil {
		return
	}
	sc.pool.NoteOrderAnswer(w, e.Clock, sc.now)
	if e.Err == nil {
		if r.Phase == pool.Sent || r.Phase == pool.Unconfirmed {
			sc.logf(event.RunStarted, string(r.Task.Job), "%s by=answer placed=%s sent=%s", describeRun(r.Task, r.No, e.Endpoint.Host), age(sc.now, r.PlacedAt), age(sc.now, r.SentAt))
			r.Phase, r.Since, r.ProgressAt = pool.Running, sc.now, sc.now
		}
		r.Confirmed = true
		return
	}
	sc.logf(event.StartFailed, string(r.Task.Job), "%s: %v", describeRun(r.Task, r.No, e.Endpoint.Host), e.Err)
	switch kind := fleet.KindOf(e.Err); {
	case kind == fleet.Fenced:
		sc.stepDown("a worker has seen a newer term", 0)
	case kind == fleet.Replaced && e.Endpoint.Addr == w.Endpoint.Addr:
		sc.loseWorker(w)
	case kind == fleet.Stale:
		// An earlier send took effect, and the run has since ended or been stopped.
		r.Phase, r.Since, r.StopAnswered = pool.Stopping, sc.now, sc.now
		w.LastStopAnswered = sc.now
	case kind == fleet.OutcomeUnknown, kind == fleet.Garbled, kind == fleet.Replaced, r.Sends > 1:
		// The outcome of one send says nothing about the other sends.
		w.NoteFailedCall(sc.now)
		if r.Phase == pool.Sent {
			r.Phase, r.Since = pool.Unconfirmed, sc.now
		}
	default:
		w.QuarantinedUntil = sc.now.Add(refusedStartPause)
		sc.closeRun(w, r, "the worker refused it")
	}
}

// handleStopped processes the outcome of a stop. The capacity becomes free only when
// the worker reports the end or no longer lists the run.
func (sc *Scheduler) handleStopped(e Stopped) {
	sc.noteStopEnded(e)
	w, r := sc.findRun(e.Endpoint.Host, e.Term, e.SentAt, e.Key)
	if w != nil {
		sc.pool.NoteOrderAnswer(w, e.Clock, sc.now)
	}
	if r == nil {
		return
	}
	switch {
	case e.Err == nil:
		if r.StopAnswered.IsZero() {
			r.StopAnswered, w.LastStopAnswered = sc.now, sc.now
		}
	case fleet.KindOf(e.Err) == fleet.Fenced:
		sc.stepDown("a worker has seen a newer term", 0)
	case fleet.KindOf(e.Err) == fleet.Replaced && e.Endpoint.Addr == w.Endpoint.Addr:
		sc.loseWorker(w)
	}
}

// findRun returns the worker and the run of an order that this daemon sent in its present term and to
// the worker's present process. In a former term of its own, it may have sent the same order before; what
// a former process has answered says nothing about the present one.
func (sc *Scheduler) findRun(host fleet.HostID, term fleet.Term, sentAt time.Time, k pool.Key) (*pool.Worker, *pool.Run) {
	w, ok := sc.pool.Workers[host]
	if sc.mode != leading || term != sc.term || !ok || sentAt.Before(w.ReplacedAt) {
		return nil, nil
	}
	return w, w.Runs[k]
}

// stepOf returns the job and step of a task. The step is nil if the job is unknown
// or has no such task.
func (sc *Scheduler) stepOf(t fleet.Task) (*job, *flow.Step) {
	j, ok := sc.jobs[t.Job]
	if !ok {
		return nil, nil
	}
	return j, j.Step(t)
}

// newestRun returns the newest run of a task and its worker, or nil if that run has
// ended.
func (sc *Scheduler) newestRun(j *job, s *flow.Step, index int) (*pool.Worker, *pool.Run) {
	k := &s.Tasks[index]
	w, ok := sc.pool.Workers[k.Worker]
	if !ok {
		return nil, nil
	}
	return w, w.Runs[pool.Key{Task: s.Task(j.ID, index), No: k.Run}]
}

// closeRun removes a run that is no longer on its worker and did not end there.
func (sc *Scheduler) closeRun(w *pool.Worker, r *pool.Run, why string) {
	w.Drop(key(r))
	sc.changed = true
	j, ok := sc.jobs[r.Task.Job]
	if !ok || !j.ClearRun(r.Task, r.No, sc.now) {
		return
	}
	sc.outbox.markDirty(j)
	sc.logf(event.JobRequeued, string(j.ID), "%s: %s", describeRun(r.Task, r.No, w.Endpoint.Host), why)
	sc.accuse(j, w, r)
	sc.stopGang(j, r)
}

// stopGang stops the remaining members of a gang that has lost one.
func (sc *Scheduler) stopGang(j *job, lost *pool.Run) {
	s := j.Step(lost.Task)
	if s == nil || !s.Spec.Gang {
		return
	}
	for i := range s.Tasks {
		if w, r := sc.newestRun(j, s, i); r != nil && r.No == lost.No {
			sc.stopRun(w, r, "another member of its gang is gone")
		}
	}
}

// stopRun stops a run. A start that has not been sent yet is withdrawn instead.
func (sc *Scheduler) stopRun(w *pool.Worker, r *pool.Run, why string) {
	if r.Phase == pool.Stopping {
		return
	}
	sc.logf(event.RunStopped, string(r.Task.Job), "%s percent=%d lost=%.0f: %s", describeRun(r.Task, r.No, w.Endpoint.Host), r.Percent, sc.wastedWork(r), why)
	if r.Phase == pool.Sent && !r.Dispatched {
		sc.closeRun(w, r, why)
		return
	}
	r.Phase, r.Since = pool.Stopping, sc.now
	sc.sendStop(w, r)
}

// sendStop sends a stop, unless too many are in flight. It is sent again until it is answered.
func (sc *Scheduler) sendStop(w *pool.Worker, r *pool.Run) {
	if sc.orders.stops >= maxOrders {
		return
	}
	sc.orders.stops++
	sc.emit(Stop{Endpoint: w.Endpoint, Key: key(r), Order: fleet.StopOrder{Task: r.Task, Run: r.No, Term: sc.term}})
}
