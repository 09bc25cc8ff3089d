package helm

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
)

// Timing of looks. A look polls a worker for its runs and their ends.
const (
	lookWait            = 1500 * time.Millisecond // long-poll wait for a run's end; also bounds the age of known progress
	settleInterval      = 50 * time.Millisecond   // between two looks that confirm stops
	lookRetry           = 250 * time.Millisecond  // after a failed look
	leaseCutoff         = 2500 * time.Millisecond // a worker silent for this long has missed a look; its lease is no longer renewed, so that it lapses if the worker is gone
	maxAcknowledgeDelay = 800 * time.Millisecond  // the next look waits no longer than this for run ends to be stored and acknowledged
)

// maxLooksInFlight limits the concurrent looks at a worker that is late with an
// answer. More than one is needed, as the first may hang on a dead connection.
const maxLooksInFlight = 4

// maxEndsListed is how many run ends a worker reports in one answer.
const maxEndsListed = 500

// lookAtWorkers polls the workers that have runs, those whose runs are not known
// yet, and those with run ends to acknowledge.
func (sc *Helm) lookAtWorkers() {
	for _, w := range sc.crew.Sorted() {
		if w.Place.Addr == "" || !sc.lookDue(w) {
			continue
		}
		wait := time.Duration(0)
		if w.Synced && len(w.Runs) > 0 && w.Seen == w.Taken && !hasUnsettledStop(w) && !w.Quiet(sc.now) {
			wait = lookWait
		}
		sc.look(w, wait)
	}
}

// lookDue reports whether a worker is to be polled now. A long poll in flight does
// not delay another look that confirms a stop.
func (sc *Helm) lookDue(w *crew.Worker) bool {
	since := sc.now.Sub(w.Tried)
	switch {
	case w.Quiet(sc.now) && (w.Listed || len(w.Runs) > 0):
		return w.Looking < maxLooksInFlight && since >= lookRetry
	case w.Looking > 0:
		return w.Looking == 1 && w.Synced && since >= settleInterval && hasUnsettledStop(w)
	case !w.Synced:
		return (w.Listed || len(w.Runs) > 0 || sc.now.Before(w.Owes)) && since >= lookRetry
	case w.Heard.Before(w.Tried) && since < lookRetry:
		return false
	case w.Seen > w.Taken:
		return sc.outbox.inFlight == nil || since >= maxAcknowledgeDelay
	}
	return len(w.Runs) > 0 || w.Taken > w.Told
}

// hasUnsettledStop reports whether a worker has answered a stop since the newest
// look. The next look tells whether the run is gone.
func hasUnsettledStop(w *crew.Worker) bool { return !w.Settle.IsZero() && !w.Settle.Before(w.Tried) }

// handleLooked processes a worker's answer to a look.
func (sc *Helm) handleLooked(e Looked) {
	w, ok := sc.crew.Workers[e.Host]
	if sc.mode != leading || !ok || e.Term != sc.term {
		return
	}
	w.Looking = max(w.Looking-1, 0)
	if e.Err != nil {
		sc.handleLookFailure(w, e)
		return
	}
	s := e.Sight
	if s.Born != 0 && s.Born < w.Born {
		return
	}
	if s.Born > w.Born {
		if w.Born != 0 {
			entry := w.WorkerEntry
			entry.Born = s.Born
			sc.crew.Enter(entry, w.Rack, sc.now)
			sc.noteRestart(w)
		}
		w.Born = s.Born
	}
	sc.crew.Hear(w, s.Clock, sc.now)
	w.Told = max(w.Told, e.Taken)
	if !w.Synced {
		w.Synced, w.Owes, sc.changed = true, time.Time{}, true
	}
	sc.reconcile(w, e)
}

func (sc *Helm) handleLookFailure(w *crew.Worker, e Looked) {
	switch fleet.KindOf(e.Err) {
	case fleet.Fenced:
		sc.stepDown("a worker has seen a newer term", 0)
	case fleet.Reborn:
		sc.loseWorker(w)
	default:
		w.Unanswered(sc.now)
		sc.logf(event.LookFailed, string(w.Place.Host), "heard=%s ago runs=%d: %v", sc.now.Sub(w.Heard), len(w.Runs), e.Err)
	}
}

// reconcile compares the runs and ends that a worker reports with those expected
// there.
func (sc *Helm) reconcile(w *crew.Worker, e Looked) {
	listed := make(map[crew.Key]bool, len(e.Sight.Runs))
	for _, seen := range e.Sight.Runs {
		listed[crew.Key{Task: seen.Task, No: seen.Run}] = true
		sc.reconcileRun(w, seen)
	}
	for _, end := range e.Sight.Ends {
		if end.No <= w.Seen {
			continue
		}
		w.Seen, sc.endsToAcknowledge = end.No, true
		sc.handleEnd(w, end)
	}
	if len(e.Sight.Ends) >= maxEndsListed {
		return
	}
	for _, r := range w.Sorted() {
		if !listed[key(r)] && isAbsent(r, e.At) {
			sc.closeRun(w, r, "the worker does not list it")
		}
	}
}

// isAbsent reports whether a run missing from the answer to a look is certainly not
// on the worker and cannot start there any more; at is when the look was sent. A
// start without an answer may still be carried out if this lead sent it. One of a
// former lead cannot, as the worker has seen the newer term.
func isAbsent(r *crew.Run, at time.Time) bool {
	switch {
	case r.Foreign:
		return true
	case r.Phase == crew.Running:
		return r.Since.Before(at)
	case r.Phase == crew.Stopping:
		return !r.Stopped.IsZero() && r.Stopped.Before(at)
	}
	return false
}

// reconcileRun updates a run that a worker reports as running.
func (sc *Helm) reconcileRun(w *crew.Worker, seen fleet.RunSeen) {
	r := w.Runs[crew.Key{Task: seen.Task, No: seen.Run}]
	if r == nil {
		sc.stopOrphan(w, seen)
		return
	}
	r.Foreign, r.Left = false, true
	if r.Phase == crew.Sent || r.Phase == crew.Doubtful {
		r.Phase, r.Since, r.Moved = crew.Running, sc.now, sc.now
		r.From, r.Before = seen.Percent, sc.estimateElapsed(seen)
		sc.logf(event.RunStarted, string(r.Task.Job), "%s by=look percent=%d", describeRun(r.Task, r.No, w.Place.Host), seen.Percent)
	}
	sc.measureRun(w, r)
	if seen.Percent > r.Percent {
		r.Percent, r.Moved = seen.Percent, sc.now
	}
	if j, ok := sc.jobs[seen.Task.Job]; ok {
		j.Save(seen.Task, seen.Saved)
	}
}

// estimateElapsed estimates how long a newly reported run has been running.
func (sc *Helm) estimateElapsed(seen fleet.RunSeen) time.Duration {
	j, s := sc.stepOf(seen.Task)
	if s == nil {
		return 0
	}
	return sc.expectedRunTime(j, s) * time.Duration(seen.Percent) / 100
}

// stopOrphan stops a run that is not in the job records.
func (sc *Helm) stopOrphan(w *crew.Worker, seen fleet.RunSeen) {
	r := &crew.Run{Task: seen.Task, No: seen.Run, Phase: crew.Running, Since: sc.now, Moved: sc.now, Left: true}
	if _, s := sc.stepOf(seen.Task); s != nil {
		r.Each = s.Each()
	}
	w.Add(r)
	w.Bound(sc.now)
	sc.logf(event.JobOrphan, string(seen.Task.Job), "%s", describeRun(seen.Task, seen.Run, w.Place.Host))
	sc.stopRun(w, r, "no job record refers to it")
}
