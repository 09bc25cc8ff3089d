package helm

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
)

// Spans of orders.
const (
	resendSpan = 120 * time.Millisecond // a start is answered within milliseconds; without an answer it is sent again
	sendsMost  = 4                      // before it is given up
	doubtSpan  = 150 * time.Millisecond // a start without an answer may show up in a look so long, then it is stopped
	stopRetry  = 300 * time.Millisecond // between two stops of one run
	busyRest   = 500 * time.Millisecond // a worker that refused a start is left alone so long
)

func key(r *crew.Run) crew.Key { return crew.Key{Task: r.Task, No: r.No} }

// name puts a run into words, for notes.
func name(t fleet.Task, no fleet.Run, at fleet.HostID) string {
	return fmt.Sprintf("task=%d.%d.%d run=%d worker=%s", t.Round, t.Step, t.Index, no, at)
}

// started notes the outcome of a start.
func (h *Helm) started(e Started) {
	w, r := h.run(e.Host, e.Key)
	if r == nil {
		return
	}
	h.crew.Hear(w, e.Clock, h.now)
	if e.Err == nil {
		if r.Phase == crew.Sent || r.Phase == crew.Doubtful {
			r.Phase, r.Since, r.Moved = crew.Running, h.now, h.now
			h.note(event.RunStarted, string(r.Task.Job), "%s by=answer", name(r.Task, r.No, e.Host))
		}
		return
	}
	h.note(event.StartFailed, string(r.Task.Job), "%s: %v", name(r.Task, r.No, e.Host), e.Err)
	switch kind := fleet.KindOf(e.Err); {
	case kind == fleet.Fenced:
		h.yield("a worker has seen a newer term", 0)
	case kind == fleet.Reborn:
		h.gone(w)
	case kind == fleet.Stale:
		// An earlier send was carried out, and the run has ended or was stopped since.
		r.Phase, r.Since, r.Stopped = crew.Stopping, h.now, h.now
		w.Settle = h.now
	case kind == fleet.Doubt, kind == fleet.Garbled, r.Sends > 1:
		// What became of one send tells nothing about the others.
		w.Unanswered(h.now)
		if r.Phase == crew.Sent {
			r.Phase, r.Since = crew.Doubtful, h.now
		}
	default:
		w.Aside = h.now.Add(busyRest)
		h.close(w, r, "the worker refused it")
	}
}

// stopped notes the outcome of a stop. The room is free once the worker lists
// the end, or does not list the run any more.
func (h *Helm) stopped(e Stopped) {
	w, r := h.run(e.Host, e.Key)
	if w != nil {
		h.crew.Hear(w, e.Clock, h.now)
	}
	if r == nil {
		return
	}
	switch {
	case e.Err == nil:
		if r.Stopped.IsZero() {
			r.Stopped, w.Settle = h.now, h.now
		}
	case fleet.KindOf(e.Err) == fleet.Fenced:
		h.yield("a worker has seen a newer term", 0)
	case fleet.KindOf(e.Err) == fleet.Reborn:
		h.gone(w)
	}
}

func (h *Helm) run(host fleet.HostID, k crew.Key) (*crew.Worker, *crew.Run) {
	w, ok := h.crew.Workers[host]
	if h.mode != leads || !ok {
		return nil, nil
	}
	return w, w.Runs[k]
}

// stepOf returns the job and the step of a task; the step is nil if the job is not
// known or has no such task.
func (h *Helm) stepOf(t fleet.Task) (*job, *flow.Step) {
	j, ok := h.jobs[t.Job]
	if !ok {
		return nil, nil
	}
	return j, j.Step(t)
}

// newest returns the newest run of a task that has not ended, and its worker; nil if
// there is none.
func (h *Helm) newest(j *job, s *flow.Step, index int) (*crew.Worker, *crew.Run) {
	k := &s.Tasks[index]
	w, ok := h.crew.Workers[k.At]
	if !ok {
		return nil, nil
	}
	return w, w.Runs[crew.Key{Task: s.Task(j.ID, index), No: k.Run}]
}

// close notes that a run is no longer on its worker and did not end there.
func (h *Helm) close(w *crew.Worker, r *crew.Run, why string) {
	w.Drop(key(r))
	h.changed = true
	j, ok := h.jobs[r.Task.Job]
	if !ok || !j.Clear(r.Task, r.No, h.now) {
		return
	}
	h.box.mark(j)
	h.note(event.JobRequeued, string(j.ID), "%s: %s", name(r.Task, r.No, w.Place.Host), why)
	h.undo(j, r)
}

// undo stops the rest of a gang that has lost a member.
func (h *Helm) undo(j *job, lost *crew.Run) {
	s := j.Step(lost.Task)
	if s == nil || !s.Spec.Gang {
		return
	}
	for i := range s.Tasks {
		if w, r := h.newest(j, s, i); r != nil && r.No == lost.No {
			h.stop(w, r, "its gang is not whole")
		}
	}
}

// stop ends a run. A start that has not left yet is called off.
func (h *Helm) stop(w *crew.Worker, r *crew.Run, why string) {
	if r.Phase == crew.Stopping {
		return
	}
	h.note(event.RunStopped, string(r.Task.Job), "%s percent=%d lost=%.0f: %s", name(r.Task, r.No, w.Place.Host), r.Percent, h.wasted(r), why)
	if r.Phase == crew.Sent && h.box.unsend(r) {
		h.close(w, r, why)
		return
	}
	r.Phase, r.Since = crew.Stopping, h.now
	h.sendStop(w, r)
}

// unsend takes a start out of those that wait to be stored. It reports false
// if the start may have left.
func (b *box) unsend(r *crew.Run) bool {
	for i, o := range b.starts {
		if o.run == r {
			b.starts = append(b.starts[:i:i], b.starts[i+1:]...)
			return true
		}
	}
	if b.sent == nil {
		return false
	}
	for i, o := range b.sent.starts {
		if o.run == r {
			b.sent.starts = append(b.sent.starts[:i:i], b.sent.starts[i+1:]...)
			return true
		}
	}
	return false
}

func (h *Helm) sendStop(w *crew.Worker, r *crew.Run) {
	h.do(Stop{Place: w.Place, Key: key(r), Order: fleet.StopOrder{Task: r.Task, Run: r.No, Term: h.term}})
}
