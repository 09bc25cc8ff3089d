package helm

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
)

// Spans of looks.
const (
	lookWait   = 1500 * time.Millisecond // an answer waits so long for an end; it also bounds how old progress is
	settleGap  = 50 * time.Millisecond   // between two looks that settle stops
	lookRetry  = 250 * time.Millisecond  // after a look that failed
	silentSpan = 2500 * time.Millisecond // a worker unheard for so long has missed a look; its lease is not extended, so that it lapses if it is gone
	storeSpan  = 800 * time.Millisecond  // ends that are being stored hold the next look up no longer
)

// looksMost is how many looks at a worker that owes an answer are on their way at
// one time: the first may hang on a dead connection.
const looksMost = 4

// endsMost is how many ends a worker lists at one time.
const endsMost = 500

// looks asks the workers that run something, those whose runs are not known
// yet, and those with ends that they may now forget.
func (h *Helm) looks() {
	for _, w := range h.crew.Sorted() {
		if w.Place.Addr == "" || !h.due(w) {
			continue
		}
		wait := time.Duration(0)
		if w.Synced && len(w.Runs) > 0 && w.Seen == w.Taken && !stopping(w) && !w.Quiet(h.now) {
			wait = lookWait
		}
		h.look(w, wait)
	}
}

// due reports whether it is time for a look. One that waits for an end does not
// hold up another that settles a stop.
func (h *Helm) due(w *crew.Worker) bool {
	since := h.now.Sub(w.Tried)
	switch {
	case w.Quiet(h.now) && (w.Listed || len(w.Runs) > 0):
		return w.Looking < looksMost && since >= lookRetry
	case w.Looking > 0:
		return w.Looking == 1 && w.Synced && since >= settleGap && stopping(w)
	case !w.Synced:
		return (w.Listed || len(w.Runs) > 0 || h.now.Before(w.Owes)) && since >= lookRetry
	case w.Heard.Before(w.Tried) && since < lookRetry:
		return false
	case w.Seen > w.Taken:
		return h.box.sent == nil || since >= storeSpan
	}
	return len(w.Runs) > 0 || w.Taken > w.Told
}

// stopping reports whether a stop of a run that may not be there was answered
// since the newest look: the next one settles that.
func stopping(w *crew.Worker) bool { return !w.Settle.IsZero() && !w.Settle.Before(w.Tried) }

// looked notes what a worker tells of itself.
func (h *Helm) looked(e Looked) {
	w, ok := h.crew.Workers[e.Host]
	if h.mode != leads || !ok || e.Term != h.term {
		return
	}
	w.Looking = max(w.Looking-1, 0)
	if e.Err != nil {
		h.lookFailed(w, e)
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
			h.crew.Enter(entry, w.Rack, h.now)
			h.reborn(w)
		}
		w.Born = s.Born
	}
	h.crew.Hear(w, s.Clock, h.now)
	w.Told = max(w.Told, e.Taken)
	if !w.Synced {
		w.Synced, w.Owes, h.changed = true, time.Time{}, true
	}
	h.sights(w, e)
}

func (h *Helm) lookFailed(w *crew.Worker, e Looked) {
	switch fleet.KindOf(e.Err) {
	case fleet.Fenced:
		h.yield("a worker has seen a newer term", 0)
	case fleet.Reborn:
		h.gone(w)
	default:
		w.Unanswered(h.now)
		h.note(event.LookFailed, string(w.Place.Host), "heard=%s ago runs=%d: %v", h.now.Sub(w.Heard), len(w.Runs), e.Err)
	}
}

// sights compares a worker's lists with what is known to be there.
func (h *Helm) sights(w *crew.Worker, e Looked) {
	there := make(map[crew.Key]bool, len(e.Sight.Runs))
	for _, seen := range e.Sight.Runs {
		there[crew.Key{Task: seen.Task, No: seen.Run}] = true
		h.sight(w, seen)
	}
	for _, end := range e.Sight.Ends {
		if end.No <= w.Seen {
			continue
		}
		w.Seen, h.ends = end.No, true
		h.ended(w, end)
	}
	if len(e.Sight.Ends) >= endsMost {
		return
	}
	for _, r := range w.Sorted() {
		if !there[key(r)] && settled(r, e.At) {
			h.close(w, r, "the worker does not run it")
		}
	}
}

// settled reports whether a run that a look sent at some time does not show is
// surely not there and will not begin. A start of our own that got no answer
// may still begin; one of a former lead cannot, as the worker has seen our term.
func settled(r *crew.Run, at time.Time) bool {
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

// sight notes that a run is listed as running.
func (h *Helm) sight(w *crew.Worker, seen fleet.RunSeen) {
	r := w.Runs[crew.Key{Task: seen.Task, No: seen.Run}]
	if r == nil {
		h.stray(w, seen)
		return
	}
	r.Foreign, r.Left = false, true
	if r.Phase == crew.Sent || r.Phase == crew.Doubtful {
		r.Phase, r.Since, r.Moved = crew.Running, h.now, h.now
		r.From, r.Before = seen.Percent, h.worked(seen)
		h.note(event.RunStarted, string(r.Task.Job), "%s by=look percent=%d", name(r.Task, r.No, w.Place.Host), seen.Percent)
	}
	h.learn(w, r)
	if seen.Percent > r.Percent {
		r.Percent, r.Moved = seen.Percent, h.now
	}
	if j, ok := h.jobs[seen.Task.Job]; ok {
		j.Save(seen.Task, seen.Saved)
	}
}

// worked estimates how long a run that is seen for the first time has worked.
func (h *Helm) worked(seen fleet.RunSeen) time.Duration {
	j, s := h.stepOf(seen.Task)
	if s == nil {
		return 0
	}
	return h.span(j, s) * time.Duration(seen.Percent) / 100
}

// stray stops a run that the records do not know.
func (h *Helm) stray(w *crew.Worker, seen fleet.RunSeen) {
	r := &crew.Run{Task: seen.Task, No: seen.Run, Phase: crew.Running, Since: h.now, Moved: h.now, Left: true}
	if _, s := h.stepOf(seen.Task); s != nil {
		r.Each = s.Each()
	}
	w.Add(r)
	w.Bound(h.now)
	h.note(event.JobOrphan, string(seen.Task.Job), "%s", name(seen.Task, seen.Run, w.Place.Host))
	h.stop(w, r, "no record names it")
}
