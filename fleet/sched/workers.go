package sched

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/pool"
)

// updateWorkers applies the list of workers in the service discovery.
func (sc *Scheduler) updateWorkers(entries map[fleet.HostID]fleet.WorkerEntry) {
	sc.entries = entries
	if sc.mode != leading {
		return
	}
	for _, e := range entries {
		old, known := sc.pool.Workers[e.Endpoint.Host]
		state := fleet.WorkerState(0)
		if known {
			state = old.State
		}
		w, restarted := sc.pool.Update(e, rackOf(e.Labels), sc.now)
		if restarted {
			sc.noteRestart(w)
		}
		if !known || state != e.State {
			sc.changed = true
		}
		if e.State == fleet.WorkerDraining && (!known || state != e.State) {
			sc.noteDrain(w)
		}
	}
	for id, w := range sc.pool.Workers {
		if _, ok := entries[id]; !ok && w.Listed {
			sc.logf(event.WorkerGone, string(id), "runs=%d heard=%s ago", len(w.Runs), sc.now.Sub(w.LastHeard))
			sc.pool.Unlist(id)
		}
	}
}

// rackOf returns the rack of a worker, which is its second label.
func rackOf(labels []string) string {
	if len(labels) < 2 {
		return ""
	}
	return labels[1]
}

// loseWorker closes the runs of a worker at whose address another process answers,
// and removes it from the listed workers.
func (sc *Scheduler) loseWorker(w *pool.Worker) {
	sc.closeRuns(w, "another process answers at its address")
	w.UnknownEndsUntil = time.Time{}
	sc.pool.Unlist(w.Endpoint.Host)
}

// closeRuns closes every run of a worker that is lost.
func (sc *Scheduler) closeRuns(w *pool.Worker, why string) {
	sc.logf(event.WorkerLost, string(w.Endpoint.Host), "runs=%d heard=%s ago: %s", len(w.Runs), sc.now.Sub(w.LastHeard), why)
	for _, r := range w.Sorted() {
		sc.closeRun(w, r, why)
	}
}

// noteRestart handles the replacement of a worker's process by a new one. The runs
// are not closed until the next poll: the new process may have answered a start
// before the restart was known, and may still carry out a start that is in flight.
func (sc *Scheduler) noteRestart(w *pool.Worker) {
	sc.logf(event.WorkerLost, string(w.Endpoint.Host), "runs=%d heard=%s ago: its process was replaced", len(w.Runs), sc.now.Sub(w.LastHeard))
	for _, r := range w.Sorted() {
		if r.Phase == pool.Sent && r.Dispatched {
			r.Phase, r.Since = pool.Unconfirmed, sc.now
		}
	}
}
