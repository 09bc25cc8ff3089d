package site

import (
	"context"
	"maps"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/helm"
)

// workersSpan is the pause between two reads of the workers' entries. A worker
// that is taken away may say so a second and a half before.
const workersSpan = 200 * time.Millisecond

// workers follows the workers' entries while this daemon leads.
type workers struct {
	site    *Site
	entries map[fleet.HostID]fleet.WorkerEntry
}

func (w *workers) follow(ctx context.Context) {
	_, topic := w.site.edges.Reader.Topics()
	f := follower{site: w.site, topic: topic, rest: workersSpan, take: w.take}
	for ctx.Err() == nil {
		if !w.site.view.Load().here {
			f.loaded = false
			pause(ctx, followRetry/2)
			continue
		}
		if !f.loaded {
			w.entries = map[fleet.HostID]fleet.WorkerEntry{}
		}
		if err := f.step(ctx); err != nil {
			f.lost(err)
			pause(ctx, followRetry)
			continue
		}
		f.regained()
		pause(ctx, f.rest)
	}
}

// take notes the entries that changed. One that cannot be read names no worker.
func (w *workers) take(records []fleet.Record, _ fleet.Offset) {
	for _, r := range records {
		id := fleet.HostID(r.Key)
		if len(r.Value) == 0 {
			delete(w.entries, id)
			continue
		}
		e, err := w.site.edges.Reader.Worker(r)
		if err != nil {
			w.site.tell(event.RecordBad, r.Key, "offset=%d: %v", r.Offset, err)
			delete(w.entries, id)
			continue
		}
		w.entries[id] = e
	}
	w.site.loop.Post(helm.Listed{Entries: maps.Clone(w.entries)})
}
