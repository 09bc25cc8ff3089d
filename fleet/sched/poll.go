package sched

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
)

// Timing of polls. A poll asks a worker for its runs and their ends.
const (
	pollWait            = 1500 * time.Millisecond // long-poll wait for a run's end; also bounds the age of known progress
	pollCheckInterval   = 10 * time.Millisecond   // between two checks of all workers for polls that are due
	settleInterval      = 50 * time.Millisecond   // between two polls that confirm stops
	pollRetry           = 250 * time.Millisecond  // after a failed poll; longer for a worker that stays silent
	maxPollRetry        = 1 * time.Second         // for a worker that has been silent for long
	leaseCutoff         = 2500 * time.Millisecond // a worker silent for this long has missed a poll; its lease is no longer renewed, so that it expires if the worker is gone
	brokenWithin        = 500 * time.Millisecond  // a poll that fails so soon, or while it waits, was broken off; a silent worker fails it a second later
	maxAcknowledgeDelay = 800 * time.Millisecond  // the next poll waits no longer than this for run ends to be stored and acknowledged
	outagePoll          = 300 * time.Millisecond  // between two polls of a worker whose ends wait for a store that is away; it answers each at once
)

// Limits of concurrent polls.
const (
	maxPollsInFlight = 2   // of a worker that is late with an answer; the first may hang on a dead connection
	maxSyncPolls     = 128 // of workers whose runs are not known yet
	unknownSyncPolls = -1  // their number was not needed so far
)

// maxEndsListed is how many run ends a worker reports in one answer.
const maxEndsListed = 500

// pollWorkers polls the workers that have runs, those whose runs are not known
// yet, and those with run ends to acknowledge. Load pattern: as for plan, each event
// would otherwise cost a look at every worker. A new lead of a site of thousands of
// workers polls some at a time: with a connection to each at once it has neither
// descriptors nor processor time left for its heartbeats. Workers that are late with
// their answer do not keep others waiting.
func (sc *Scheduler) pollWorkers() {
	if sc.now.Sub(sc.pollsCheckedAt) < pollCheckInterval {
		return
	}
	sc.pollsCheckedAt = sc.now
	syncing, now := unknownSyncPolls, sc.now
	for _, w := range sc.pool.Sorted() {
		if w.Endpoint.Addr == "" || !sc.pollDue(w, now) {
			continue
		}
		if !w.Synced && !w.Overdue(sc.now) {
			if syncing == unknownSyncPolls {
				syncing = sc.syncPolls()
			}
			if syncing >= maxSyncPolls {
				continue
			}
			syncing++
		}
		wait := time.Duration(0)
		if w.Synced && len(w.Runs) > 0 && w.EndsSeen == w.EndsStored && !hasUnsettledStop(w) && !w.Overdue(sc.now) {
			wait = pollWait
		}
		sc.poll(w, wait)
	}
}

// syncPolls returns how many workers whose runs are not known yet have a poll in flight
// that is not late.
func (sc *Scheduler) syncPolls() int {
	n := 0
	for _, w := range sc.pool.Workers {
		if !w.Synced && w.PollsInFlight > 0 && !w.Overdue(sc.now) {
			n++
		}
	}
	return n
}

// retryAfter returns the time between two polls of a worker that does not answer. It
// grows with the time for which this lead has not heard the worker, up to a limit.
func (sc *Scheduler) retryAfter(w *pool.Worker) time.Duration {
	heard := w.LastHeard
	if heard.IsZero() {
		heard = sc.leadingSince
	}
	return min(max(pollRetry, w.LastPoll.Sub(heard)/2), maxPollRetry)
}

// pollDue reports whether a worker is to be polled now. A long poll in flight does
// not delay another poll that confirms a stop. Most workers of a busy site have just a long
// poll in flight, so what decides for them is looked at first.
func (sc *Scheduler) pollDue(w *pool.Worker, now time.Time) bool {
	overdue := w.Overdue(now)
	if w.PollsInFlight > 0 && !overdue {
		return w.PollsInFlight == 1 && w.Synced && hasUnsettledStop(w) && now.Sub(w.LastPoll) >= settleInterval
	}
	since := now.Sub(w.LastPoll)
	switch {
	case overdue && (w.Listed || len(w.Runs) > 0):
		return w.PollsInFlight < maxPollsInFlight && since >= sc.retryAfter(w)
	case w.PollsInFlight > 0:
		return w.PollsInFlight == 1 && w.Synced && since >= settleInterval && hasUnsettledStop(w)
	case !w.Synced:
		return (w.Listed || len(w.Runs) > 0 || now.Before(w.UnknownEndsUntil)) && since >= pollRetry
	case w.LastHeard.Before(w.LastPoll) && since < pollRetry:
		return false
	case w.EndsSeen > w.EndsStored:
		return sc.outbox.inFlight == nil || since >= sc.acknowledgeDelay()
	}
	return len(w.Runs) > 0 || w.EndsStored > w.EndsForgettable
}

// acknowledgeDelay returns how long the next poll of a worker waits for its ends to be stored. While
// the store is away they are not stored soon, and callers are told of further ends.
func (sc *Scheduler) acknowledgeDelay() time.Duration {
	if sc.outbox.stuck(sc.now) {
		return outagePoll
	}
	return maxAcknowledgeDelay
}

// hasUnsettledStop reports whether a worker has answered a stop since the newest
// poll was sent. The next poll tells whether the run is gone.
func hasUnsettledStop(w *pool.Worker) bool {
	return !w.LastStopAnswered.IsZero() && !w.LastStopAnswered.Before(w.LastPoll)
}

// handlePolled processes a worker's answer to a poll.
func (sc *Scheduler) handlePolled(e Polled) {
	w, ok := sc.pool.Workers[e.Endpoint.Host]
	if sc.mode != leading || !ok || e.Term != sc.term {
		return
	}
	w.PollsInFlight = max(w.PollsInFlight-1, 0)
	if e.Err != nil {
		sc.handlePollFailure(w, e)
		return
	}
	s := e.Report
	if s.Inc != 0 && s.Inc < w.Inc {
		return
	}
	w.NoteProcess(e.At)
	if s.Inc <= w.Inc {
		w.EndsForgettable = max(w.EndsForgettable, min(e.Acked, w.EndsStored))
	} else {
		if w.Inc != 0 {
			entry := w.WorkerEntry
			entry.Inc = s.Inc
			sc.pool.Update(entry, w.Rack, sc.now)
			sc.noteRestart(w, w.State)
		}
		w.Inc = s.Inc
	}
	sc.pool.NoteAnswer(w, s.Clock, sc.now)
	if !w.Synced {
		w.Synced, w.UnknownEndsUntil, sc.changed = true, time.Time{}, true
	}
	sc.reconcile(w, e)
}

func (sc *Scheduler) handlePollFailure(w *pool.Worker, e Polled) {
	switch kind := fleet.KindOf(e.Err); {
	case kind == fleet.Fenced:
		sc.stepDown("a worker has seen a newer term", 0)
	case kind == fleet.Replaced && e.Endpoint.Addr == w.Endpoint.Addr:
		sc.loseWorker(w)
	default:
		w.NoteFailedCall(sc.now)
		if sc.now.Sub(e.At) < max(e.Wait, brokenWithin) {
			w.NoteBrokenCall(sc.now)
		}
		sc.logf(event.LookFailed, string(w.Endpoint.Host), "term=%d heard=%s runs=%d: %v", sc.term, ago(sc.now, w.LastHeard), len(w.Runs), e.Err)
	}
}

// reconcile compares the runs and ends that a worker reports with those expected
// there.
func (sc *Scheduler) reconcile(w *pool.Worker, e Polled) {
	listed := make(map[pool.Key]bool, len(e.Report.Runs))
	for _, seen := range e.Report.Runs {
		listed[pool.Key{Task: seen.Task, No: seen.Run}] = true
		sc.reconcileRun(w, seen)
	}
	for _, end := range e.Report.Ends {
		if end.No <= w.EndsSeen {
			continue
		}
		w.EndsSeen, sc.endsToAcknowledge = end.No, true
		sc.handleEnd(w, end)
	}
	if len(e.Report.Ends) >= maxEndsListed {
		return
	}
	for _, r := range w.Sorted() {
		if !listed[key(r)] && isAbsent(r, e.At) {
			sc.closeRun(w, r, "the worker does not list it")
		}
	}
}

// isAbsent reports whether a run missing from the answer to a poll is certainly not
// on the worker and cannot start there any more; at is when the poll was sent. A
// start without an answer may still be carried out if this lead sent it. One of a
// former lead cannot, as the worker has seen the newer term.
func isAbsent(r *pool.Run, at time.Time) bool {
	switch {
	case r.Inherited:
		return true
	case r.Phase == pool.Running:
		return r.Since.Before(at)
	case r.Phase == pool.Stopping:
		return !r.StopAnswered.IsZero() && r.StopAnswered.Before(at)
	}
	return false
}

// reconcileRun updates a run that a worker reports as running.
func (sc *Scheduler) reconcileRun(w *pool.Worker, seen fleet.RunReport) {
	r := w.Runs[pool.Key{Task: seen.Task, No: seen.Run}]
	if r == nil {
		sc.stopOrphan(w, seen)
		return
	}
	r.Inherited, r.Dispatched, r.Confirmed, r.Inc, r.Blame = false, true, true, 0, flow.Unrelated
	if r.Phase == pool.Sent || r.Phase == pool.Unconfirmed {
		r.Phase, r.Since, r.ProgressAt = pool.Running, sc.now, sc.now
		r.FromPercent, r.WorkedBefore = seen.Percent, sc.estimateElapsed(seen)
		sc.logf(event.RunStarted, string(r.Task.Job), "%s by=look percent=%d", describeRun(r.Task, r.No, w.Endpoint.Host), seen.Percent)
	}
	if seen.Percent > r.Percent {
		r.Percent, r.ProgressAt = seen.Percent, sc.now
	}
	sc.measureRun(w, r)
	if j, ok := sc.jobs[seen.Task.Job]; ok {
		j.Save(seen.Task, seen.Saved)
	}
}

// estimateElapsed estimates how long a newly reported run has been running.
func (sc *Scheduler) estimateElapsed(seen fleet.RunReport) time.Duration {
	j, s := sc.stepOf(seen.Task)
	if s == nil {
		return 0
	}
	return sc.expectedRunTime(j, s) * time.Duration(seen.Percent) / 100
}

// stopOrphan stops a run that is not in the job records.
func (sc *Scheduler) stopOrphan(w *pool.Worker, seen fleet.RunReport) {
	r := &pool.Run{Task: seen.Task, No: seen.Run, Phase: pool.Running, Since: sc.now, ProgressAt: sc.now, Dispatched: true}
	if j, s := sc.stepOf(seen.Task); s != nil {
		r.Each, r.Space, r.Counts = s.Each(), fleet.SpaceID(j.Spec.Space), declared(s)
	}
	w.Add(r)
	w.AssumeLease(sc.now)
	sc.logf(event.JobOrphan, string(seen.Task.Job), "%s", describeRun(seen.Task, seen.Run, w.Endpoint.Host))
	sc.stopRun(w, r, "no job record refers to it")
}
