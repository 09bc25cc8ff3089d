package helm

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
)

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
		if e.State == fleet.WorkerDraining && (!known || state != e.State) {
			h.leaves(w)
		}
	}
	for id, w := range h.crew.Workers {
		if _, ok := entries[id]; !ok && w.Listed {
			h.note(event.WorkerGone, string(id), "runs=%d heard=%s ago", len(w.Runs), h.now.Sub(w.Heard))
			h.crew.Leave(id)
		}
	}
}

// rackOf returns the rack among a worker's labels: the second one.
func rackOf(labels []string) string {
	if len(labels) < 2 {
		return ""
	}
	return labels[1]
}

// gone notes that another process answers at a worker's address.
func (h *Helm) gone(w *crew.Worker) {
	h.lose(w, "another process answers at its address")
	w.Owes = time.Time{}
	h.crew.Leave(w.Place.Host)
}

// lose closes every run of a worker whose process has ended.
func (h *Helm) lose(w *crew.Worker, why string) {
	h.note(event.WorkerLost, string(w.Place.Host), "runs=%d heard=%s ago: %s", len(w.Runs), h.now.Sub(w.Heard), why)
	for _, r := range w.Sorted() {
		h.close(w, r, why)
	}
}

// reborn notes that a worker has started anew. Its next look tells which runs the
// new process has: it may have answered a start before anything told that it is
// another one, and a start without an answer may still be carried out by it.
func (h *Helm) reborn(w *crew.Worker) {
	h.note(event.WorkerLost, string(w.Place.Host), "runs=%d heard=%s ago: its process is another one", len(w.Runs), h.now.Sub(w.Heard))
	for _, r := range w.Sorted() {
		if r.Phase == crew.Sent && r.Left {
			r.Phase, r.Since = crew.Doubtful, h.now
		}
	}
}
