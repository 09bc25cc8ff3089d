package helm

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
)

// ended notes the end of a run that a worker lists.
func (h *Helm) ended(w *crew.Worker, e fleet.EndSeen) {
	k := crew.Key{Task: e.Task, No: e.Run}
	r := w.Runs[k]
	w.Drop(k)
	h.changed = true
	j, ok := h.jobs[e.Task.Job]
	if !ok || j.Step(e.Task) == nil {
		return
	}
	h.note(event.RunEnded, string(j.ID), "%s end=%s no=%d", name(e.Task, e.Run, w.Place.Host), e.How, e.No)
	newest := j.Clear(e.Task, e.Run, h.now)
	if newest || e.How == fleet.EndDone {
		h.box.mark(j)
	}
	switch e.How {
	case fleet.EndDone:
		w.Well(h.now)
		if j.Done(e.Task, h.now) && j.Over() {
			h.note(event.JobDone, string(j.ID), "queue=%s after=%s", j.Spec.Queue, h.now.Sub(time.UnixMilli(j.Spec.At)))
		}
		return
	case fleet.EndFailed:
		if newest {
			h.failed(w, j, e)
		}
	}
	j.Save(e.Task, e.Saved)
	if newest && r != nil {
		h.undo(j, r)
	}
}

// failedSpan is how long a worker is closed to a job that failed there, so that
// the job does not spend its attempts on it within an instant.
const failedSpan = 2 * time.Second

func (h *Helm) failed(w *crew.Worker, j *job, e fleet.EndSeen) {
	j.Fail(e.Task, e.Run, h.attempts(j), h.now)
	_, here := j.failed[w.Place.Host]
	elsewhere := len(j.failed) > 1 || len(j.failed) == 1 && !here
	j.failed[w.Place.Host] = h.now.Add(failedSpan)
	w.NoteFail(elsewhere, h.now)
	if !elsewhere && w.Failed(h.now) {
		h.note(event.WorkerAside, string(w.Place.Host), "fails=%d until=%s", w.Fails, w.Aside.Sub(h.now))
	}
	if j.Failed {
		h.note(event.JobParked, string(j.ID), "queue=%s attempts=%d", j.Spec.Queue, h.attempts(j))
	}
}

// attempts returns the fails of a task that fail its job.
func (h *Helm) attempts(j *job) int {
	if q := h.config.Queue(j.Spec.Queue); q != nil {
		return max(q.Attempts, 1)
	}
	return max(int(j.Spec.Attempts), 1)
}
