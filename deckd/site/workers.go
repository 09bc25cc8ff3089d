package site

import (
	"context"
	"maps"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/mirror"
	"dragonflydeck.example/fleet/sched"
)

// workersReadInterval is the time between the beginnings of two reads of the workers'
// entries. A worker that is about to be removed may announce it only 1.5 s ahead.
const workersReadInterval = 200 * time.Millisecond

// workerFollower follows the workers' service discovery entries while this
// daemon is the lead.
type workerFollower struct {
	site    *Site
	entries map[fleet.HostID]fleet.WorkerEntry
}

// follow reads the entries again and again while this daemon leads, until the context
// ends, and posts them to the control loop.
func (w *workerFollower) follow(ctx context.Context) {
	_, topic := w.site.deps.Reader.Topics()
	f := follower{site: w.site, topic: topic, hedges: true, apply: w.apply}
	for ctx.Err() == nil {
		if !w.site.view.Load().leading {
			f.loaded = false
			w.awaitLead(ctx)
			continue
		}
		sentAt := time.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.noteFailure(err)
			sleep(ctx, followRetryDelay)
			continue
		}
		f.noteSuccess()
		if f.loaded {
			w.site.loop.Post(sched.WorkersListed{Entries: maps.Clone(w.entries), ReadAt: f.readAt})
		}
		if f.readAt.Before(sentAt) {
			continue // there is more to read
		}
		sleep(ctx, time.Until(sentAt.Add(workersReadInterval)))
	}
}

// awaitLead waits until this daemon becomes the lead.
func (w *workerFollower) awaitLead(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.site.leadGained:
	}
}

// apply updates the entries, or replaces them if the update is whole. A worker whose entry
// cannot be decoded counts as not listed.
func (w *workerFollower) apply(u mirror.Update) {
	if u.Whole {
		w.entries = map[fleet.HostID]fleet.WorkerEntry{}
	}
	for _, r := range u.Records {
		id := fleet.HostID(r.Key)
		if len(r.Value) == 0 {
			delete(w.entries, id)
			continue
		}
		e, err := w.site.deps.Reader.Worker(r)
		if err != nil {
			w.site.log(event.RecordBad, r.Key, "offset=%d: %v", r.Offset, err)
			delete(w.entries, id)
			continue
		}
		w.entries[id] = e
	}
}
