package helm

import (
	"time"

	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
)

// When a run is moved off a worker that leaves.
const (
	leaveSlack     = 2 * time.Second        // workers that drain mostly stay a little longer than they say
	shortSlack     = -1 * time.Second       // those that are taken away do not: half a second until the notice is read, as much for a stop to be listed
	shortSpread    = 250 * time.Millisecond // by which what is left of a drain is less when it is read
	tellingPercent = 10                     // progress that tells more than an estimate
)

// leaves notes when a worker that drains will be gone. One that is taken away
// says so at shorter notice than one that drains.
func (h *Helm) leaves(w *crew.Worker) {
	w.Gone = h.now.Add(w.Left)
	w.Short = w.Left < h.limits.Drain-shortSpread
	h.note(event.WorkerLeaves, string(w.Place.Host), "runs=%d left=%s short=%t", len(w.Runs), w.Left, w.Short)
	h.clearOut(w)
}

// clearOut stops the runs of a worker that leaves which would not end before it
// is gone: those that keep checkpoints lose next to nothing, the others would lose
// more later, and be missed until the worker's lease has lapsed.
func (h *Helm) clearOut(w *crew.Worker) {
	for _, r := range w.Sorted() {
		j, s := h.stepOf(r.Task)
		if s == nil || r.Phase != crew.Running {
			continue
		}
		left := w.Gone.Sub(h.now)
		switch {
		case w.Short:
			left += shortSlack
		case !s.Spec.Saves:
			left += leaveSlack
		}
		if h.remaining(j, r) > left {
			h.evict(r, "its worker leaves")
		}
	}
}

// remaining estimates how long a run still takes.
func (h *Helm) remaining(j *job, r *crew.Run) time.Duration {
	return max(h.whole(j, r)*time.Duration(100-r.From)/100-h.now.Sub(r.Since), 0)
}

// whole estimates how long a run takes from its beginning to its end.
func (h *Helm) whole(j *job, r *crew.Run) time.Duration {
	if done := r.Percent - r.From; done >= tellingPercent {
		return h.now.Sub(r.Since) * 100 / time.Duration(done)
	}
	return h.span(j, j.Step(r.Task))
}
