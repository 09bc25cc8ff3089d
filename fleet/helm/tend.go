package helm

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
)

// When a run counts as hanging.
const (
	hangSpan     = 5 * time.Second // without progress: the slowest sound task of the sites moves a percent in 2 s
	hangPercents = 5               // of a task's run time without progress; a sound one shows each percent
	wholePercent = 100
)

// owesSpan is how long a worker whose lease has lapsed is asked for its ends: cuts
// are mostly shorter.
const owesSpan = 30 * time.Second

// tend looks after what runs: leases that lapsed, starts in doubt, stops
// without an answer, runs that stand still or are not wanted any more.
func (h *Helm) tend() {
	for _, w := range h.crew.Sorted() {
		if w.Leased() && h.now.After(w.Lapse()) {
			h.lose(w, "its lease has lapsed")
			w.Synced, w.Owes = false, h.now.Add(owesSpan)
			continue
		}
		if w.Listed && w.State == fleet.WorkerDraining {
			h.clearOut(w)
		}
		for _, r := range w.Sorted() {
			h.tendRun(w, r)
		}
	}
	h.crew.Sweep(h.now)
}

func (h *Helm) tendRun(w *crew.Worker, r *crew.Run) {
	age := h.now.Sub(r.Since)
	switch {
	case r.Phase == crew.Stopping:
		if r.Stopped.IsZero() && age >= stopRetry {
			r.Since = h.now
			h.sendStop(w, r)
		}
	case h.unwanted(r):
		h.stop(w, r, "it is not wanted any more")
	case r.Phase == crew.Sent && r.Left && r.Sends < sendsMost && age >= time.Duration(r.Sends)*resendSpan:
		h.sendStart(w, r)
	case r.Phase == crew.Doubtful && !r.Foreign && age >= doubtSpan:
		h.stop(w, r, "its start got no answer")
	case r.Phase == crew.Running && h.hangs(w, r):
		if w.SetAside(h.now) {
			h.note(event.WorkerAside, string(w.Place.Host), "until=%s: a run stands still", w.Aside.Sub(h.now))
		}
		h.stop(w, r, "it stands still")
	}
}

// unwanted reports whether nothing is gained by a run.
func (h *Helm) unwanted(r *crew.Run) bool {
	j, ok := h.jobs[r.Task.Job]
	if !ok || j.Over() && (j.Cancelled || j.Failed) {
		return true
	}
	s := j.Step(r.Task)
	if s == nil {
		return true
	}
	return s.Tasks[r.Task.Index].Done && !s.Spec.Gang
}

// hangs reports whether a run has shown no progress for too long. Progress is
// told in whole percents, so that a long task shows none for a while. A member of
// a gang that has done its part waits for the others.
func (h *Helm) hangs(w *crew.Worker, r *crew.Run) bool {
	still := w.Heard.Sub(r.Moved)
	if still < hangSpan {
		return false
	}
	j, ok := h.jobs[r.Task.Job]
	if !ok {
		return false
	}
	s := j.Step(r.Task)
	if s.Spec.Lasting || s.Spec.Gang && r.Percent >= wholePercent && !h.allDone(j, s) {
		return false
	}
	return still >= hangPercents*h.span(j, s)/100
}

// allDone reports whether every member of a gang has done its part.
func (h *Helm) allDone(j *job, s *flow.Step) bool {
	for i := range s.Tasks {
		if _, r := h.newest(j, s, i); r == nil || r.Percent < wholePercent {
			return false
		}
	}
	return true
}
