package sched

import (
	"maps"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/pool"
)

// maxListGap is the time between two reads of the list of workers above which the
// next one is logged.
const maxListGap = time.Second

// workerList is the newest list of workers from the service discovery.
type workerList struct {
	entries map[fleet.HostID]fleet.WorkerEntry
	readAt  time.Time  // when the read that completed it was sent; zero before the first
	term    fleet.Term // newest term of this daemon when the list arrived

	reported bool // it was logged that the list is too old
}

// count returns how many workers of the list are ready and how many are draining.
func (l *workerList) count() (ready, draining int) {
	for _, e := range l.entries {
		if e.State == fleet.WorkerDraining {
			draining++
		} else {
			ready++
		}
	}
	return ready, draining
}

// ListReadAt returns when the read of the newest list of workers was sent.
func (sc *Scheduler) ListReadAt() time.Time { return sc.list.readAt }

// handleWorkersListed replaces the list of workers.
func (sc *Scheduler) handleWorkersListed(e WorkersListed) {
	before := sc.list
	sc.list = workerList{entries: e.Entries, readAt: e.ReadAt, term: sc.term}
	sc.list.reported = before.reported && !sc.listIsCurrent()
	if sc.mode != leading {
		return
	}
	renewed := before.reported && !sc.list.reported
	if before.term != sc.term || renewed || e.ReadAt.Sub(before.readAt) > maxListGap {
		ready, draining := sc.list.count()
		sc.logf(event.WorkersRead, string(sc.self.Host), "term=%d ready=%d draining=%d age=%s before=%s", sc.term, ready, draining, age(sc.now, e.ReadAt), age(sc.now, before.readAt))
	}
	sc.updateWorkers(e.Entries)
}

// minListAge is the least age that the list may reach; the reads of a healthy store are
// a few hundred milliseconds apart.
const minListAge = 500 * time.Millisecond

// maxListAge is the age up to which tasks start by the list of workers. A worker gets no
// new task later than limits.Drain after its notice is stored. Half of that is for the
// notice to be read, half for a start on its way.
func (sc *Scheduler) maxListAge() time.Duration { return max(sc.limits.Drain/2, minListAge) }

// listIsCurrent reports whether the list of workers is new enough to start tasks by it.
func (sc *Scheduler) listIsCurrent() bool {
	return sc.now.Sub(sc.list.readAt) <= sc.maxListAge()
}

// reportOldList logs when the list of workers has become too old to start tasks by it.
func (sc *Scheduler) reportOldList() {
	if sc.list.reported || sc.listIsCurrent() || sc.now.Sub(sc.leadingSince) <= sc.maxListAge() {
		return
	}
	sc.list.reported = true
	sc.logf(event.WorkersUnread, string(sc.self.Host), "term=%d age=%s", sc.term, age(sc.now, sc.list.readAt))
}

// recallWorkers adds the workers that this daemon knew when it last led. They are polled,
// and get no tasks before the present list is read.
func (sc *Scheduler) recallWorkers() {
	sc.list.reported = false
	entries := maps.Clone(sc.list.entries)
	for id, e := range entries {
		e.State = fleet.WorkerUnknown
		entries[id] = e
	}
	sc.updateWorkers(entries)
}

// updateWorkers applies a list of workers to the pool.
func (sc *Scheduler) updateWorkers(entries map[fleet.HostID]fleet.WorkerEntry) {
	for _, e := range entries {
		old, known := sc.pool.Workers[e.Endpoint.Host]
		state := fleet.WorkerUnknown
		if known {
			state = old.State
		}
		w, restarted := sc.pool.Update(e, rackOf(e.Labels), sc.now)
		if restarted {
			sc.noteRestart(w, state)
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
			sc.logf(event.WorkerGone, string(id), "runs=%d heard=%s", len(w.Runs), ago(sc.now, w.LastHeard))
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
// and removes it from the listed workers. An answer from a former address of the worker says
// nothing about its present process.
func (sc *Scheduler) loseWorker(w *pool.Worker) {
	sc.judgeLoss(w, w.State != fleet.WorkerDraining, "another process answers at its address")
	sc.closeRuns(w, "another process answers at its address")
	w.UnknownEndsUntil = time.Time{}
	sc.pool.Unlist(w.Endpoint.Host)
}

// closeRuns closes every run of a worker that is lost.
func (sc *Scheduler) closeRuns(w *pool.Worker, why string) {
	sc.logf(event.WorkerLost, string(w.Endpoint.Host), "runs=%d heard=%s: %s", len(w.Runs), ago(sc.now, w.LastHeard), why)
	for _, r := range w.Sorted() {
		sc.closeRun(w, r, why)
	}
}

// noteRestart handles the replacement of a worker's process by a new one. The runs
// are not closed until the next poll: the new process may have answered a start
// before the restart was known, and may still carry out a start that is in flight. State
// is what the former process announced.
func (sc *Scheduler) noteRestart(w *pool.Worker, state fleet.WorkerState) {
	sc.logf(event.WorkerLost, string(w.Endpoint.Host), "runs=%d heard=%s: its process was replaced", len(w.Runs), ago(sc.now, w.LastHeard))
	sc.judgeLoss(w, state != fleet.WorkerDraining, "its process was replaced")
	w.ReplacedAt = sc.now
	for _, r := range w.Sorted() {
		switch {
		case r.Phase == pool.Sent && r.Dispatched, r.Phase == pool.Running && r.Sends > 1:
			r.Phase, r.Since = pool.Unconfirmed, sc.now
		case r.Phase == pool.Stopping:
			r.StopAnswered = time.Time{} // the new process knows nothing of the stop
		}
	}
}
