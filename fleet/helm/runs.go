package helm

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
)

// Spans of runs.
const (
	doubtSpan      = 150 * time.Millisecond // a start without an answer may show up in a look so long, then it is stopped
	stopRetry      = 300 * time.Millisecond // between two stops of one run
	hangSpan       = 5 * time.Second        // without progress: the slowest sound task of the sites moves a percent in 2 s
	hangPercents   = 5                      // of a task's run time without progress; a sound one shows each percent
	busyRest       = 500 * time.Millisecond // a worker that refused a start is left alone so long
	leaveSlack     = 2 * time.Second        // workers mostly stay a little longer than they say
	tellingPercent = 10                     // progress that tells more than an estimate
	endsMost       = 500                    // ends that a worker lists at one time
)

func key(r *crew.Run) crew.Key { return crew.Key{Task: r.Task, No: r.No} }

// list notes what the service discovery says of the workers.
func (h *Helm) list(entries map[fleet.HostID]fleet.WorkerEntry) {
	h.listed = entries
	if h.mode != leads {
		return
	}
	for _, e := range entries {
		before, known := h.crew.Workers[e.Place.Host]
		state := fleet.WorkerState(0)
		if known {
			state = before.State
		}
		w, reborn := h.crew.Enter(e, rackOf(e.Labels), h.now)
		if reborn {
			h.reborn(w)
		}
		if !known || state != e.State {
			h.changed = true
		}
		if known && state != e.State && e.State == fleet.WorkerDraining {
			h.move(w)
		}
	}
	for id, w := range h.crew.Workers {
		if _, ok := entries[id]; !ok && w.Listed {
			h.note(event.WorkerGone, string(id), "runs=%d heard=%s ago", len(w.Runs), h.now.Sub(w.Heard))
			h.crew.Leave(id)
		}
	}
}

// move stops the runs of a worker that leaves if they would not end before it
// has left: those that keep checkpoints lose next to nothing, the others would
// lose more later.
func (h *Helm) move(w *crew.Worker) {
	h.note(event.WorkerLeaves, string(w.Place.Host), "runs=%d left=%s", len(w.Runs), w.Left)
	for _, r := range w.Sorted() {
		j, ok := h.jobs[r.Task.Job]
		if !ok || r.Phase != crew.Running || j.Step(r.Task) == nil {
			continue
		}
		need, left := h.remaining(j, r), w.Left
		if !j.Step(r.Task).Spec.Saves {
			left += leaveSlack
		}
		if need > left {
			h.evict(r, "its worker leaves")
		}
	}
}

// remaining estimates how long a run still takes.
func (h *Helm) remaining(j *job, r *crew.Run) time.Duration {
	elapsed := h.now.Sub(r.Since)
	if done := r.Percent - r.From; done >= tellingPercent {
		return elapsed * time.Duration(100-r.Percent) / time.Duration(done)
	}
	return max(h.span(j, j.Step(r.Task))-elapsed, 0)
}

// rackOf returns the rack among a worker's labels: the second one.
func rackOf(labels []string) string {
	if len(labels) < 2 {
		return ""
	}
	return labels[1]
}

// started notes the outcome of a start.
func (h *Helm) started(e Started) {
	w, r := h.run(e.Host, e.Key)
	if r == nil {
		return
	}
	w.Tick(e.Clock, h.now)
	if e.Err == nil {
		if r.Phase == crew.Sent || r.Phase == crew.Doubtful {
			r.Phase, r.Since, r.Moved = crew.Running, h.now, h.now
		}
		return
	}
	h.note(event.StartFailed, string(r.Task.Job), "task=%d.%d.%d run=%d worker=%s: %v", r.Task.Round, r.Task.Step, r.Task.Index, r.No, e.Host, e.Err)
	switch fleet.KindOf(e.Err) {
	case fleet.Fenced:
		h.yield("a worker has seen a newer term", 0)
	case fleet.Doubt, fleet.Garbled:
		if r.Phase == crew.Sent {
			r.Phase, r.Since = crew.Doubtful, h.now
		}
	case fleet.Reborn:
		h.gone(w)
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
		w.Tick(e.Clock, h.now)
	}
	if r == nil {
		return
	}
	switch {
	case e.Err == nil:
		if r.Stopped.IsZero() {
			r.Stopped = h.now
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

// gone notes that another process answers at a worker's address.
func (h *Helm) gone(w *crew.Worker) {
	h.lose(w, "another process answers at its address")
	h.crew.Leave(w.Place.Host)
}

// lose closes every run of a worker whose process has ended.
func (h *Helm) lose(w *crew.Worker, why string) {
	h.note(event.WorkerLost, string(w.Place.Host), "runs=%d heard=%s ago: %s", len(w.Runs), h.now.Sub(w.Heard), why)
	for _, r := range w.Sorted() {
		h.close(w, r, why)
	}
}

// reborn closes the runs of a worker that has started anew. A start without an
// answer may still be carried out by the new process.
func (h *Helm) reborn(w *crew.Worker) {
	h.note(event.WorkerLost, string(w.Place.Host), "runs=%d heard=%s ago: its process is another one", len(w.Runs), h.now.Sub(w.Heard))
	for _, r := range w.Sorted() {
		switch {
		case r.Phase == crew.Sent && !r.Left:
		case r.Phase == crew.Sent || r.Phase == crew.Doubtful && !r.Foreign:
			r.Phase, r.Since = crew.Doubtful, h.now
		default:
			h.close(w, r, "the worker's process is another one")
		}
	}
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
	h.note(event.JobRequeued, string(j.ID), "task=%d.%d.%d run=%d worker=%s: %s", r.Task.Round, r.Task.Step, r.Task.Index, r.No, w.Place.Host, why)
	h.undo(j, r)
}

// undo stops the rest of a gang that has lost a member.
func (h *Helm) undo(j *job, lost *crew.Run) {
	s := j.Step(lost.Task)
	if s == nil || !s.Spec.Gang {
		return
	}
	for i := range s.Tasks {
		k := &s.Tasks[i]
		if k.At == "" || k.Run != lost.No {
			continue
		}
		t := s.Task(j.ID, i)
		if w, ok := h.crew.Workers[k.At]; ok {
			if r := w.Runs[crew.Key{Task: t, No: k.Run}]; r != nil {
				h.stop(w, r, "its gang is not whole")
			}
		}
	}
}

// stop ends a run. A start that has not left yet is called off.
func (h *Helm) stop(w *crew.Worker, r *crew.Run, why string) {
	if r.Phase == crew.Stopping {
		return
	}
	h.note(event.RunStopped, string(r.Task.Job), "task=%d.%d.%d run=%d worker=%s percent=%d: %s", r.Task.Round, r.Task.Step, r.Task.Index, r.No, w.Place.Host, r.Percent, why)
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
	h.note(event.RunEnded, string(j.ID), "task=%d.%d.%d run=%d worker=%s end=%s no=%d", e.Task.Round, e.Task.Step, e.Task.Index, e.Run, w.Place.Host, e.How, e.No)
	newest := j.Clear(e.Task, e.Run, h.now)
	if newest || e.How == fleet.EndDone {
		h.box.mark(j)
	}
	switch e.How {
	case fleet.EndDone:
		w.Well()
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

func (h *Helm) failed(w *crew.Worker, j *job, e fleet.EndSeen) {
	j.Fail(e.Task, e.Run, h.attempts(j), h.now)
	elsewhere := len(j.failed) > 1 || len(j.failed) == 1 && !j.failed[w.Place.Host]
	j.failed[w.Place.Host] = true
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

// tend looks after what runs: leases that lapsed, starts in doubt, stops
// without an answer, runs that stand still or are not wanted any more.
func (h *Helm) tend() {
	for _, w := range h.crew.Sorted() {
		if w.Leased() && h.now.After(w.Lapse()) {
			h.lose(w, "its lease has lapsed")
			w.Synced = false
			continue
		}
		for _, r := range w.Sorted() {
			h.tendRun(w, r)
		}
	}
	h.crew.Sweep()
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
// told in whole percents, so that a long task shows none for a while.
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
	return !s.Spec.Lasting && still >= hangPercents*h.span(j, s)/100
}
