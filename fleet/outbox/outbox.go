// Package outbox decides when entries are appended to the log. An entry stays in the
// outbox until it was read back from the log. One whose append failed is sent again
// only after the log was read, as the append may have succeeded and only its answer
// was lost. Entries keep their order.
package outbox

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Bounds of the outbox.
const (
	MaxPending     = 4096 // entries
	MaxBatch       = 64   // entries in one append
	AppendInterval = 20 * time.Millisecond
	MinRetry       = 250 * time.Millisecond
	MaxRetry       = 4 * time.Second
	ResendAfter    = 2 * time.Second // an acknowledged entry that was not read back by then is sent again
)

type pending struct {
	entry      *wire.Entry
	sent       bool
	inFlight   bool
	failedAt   time.Time // when its last append failed; zero unless it did
	ackedAt    time.Time
	retryDelay time.Duration
}

// Outbox holds the entries of one daemon that were not read back from the log yet. It
// is not safe for concurrent use.
type Outbox struct {
	items     []*pending
	byID      map[fleet.EntryID]*pending
	inFlight  bool
	lastBatch time.Time
}

// New returns an empty outbox.
func New() *Outbox { return &Outbox{byID: map[fleet.EntryID]*pending{}} }

// Put adds an entry, unless one with the same id is pending. It reports false if the
// outbox is full.
func (b *Outbox) Put(e *wire.Entry) bool {
	id := fleet.EntryID(e.Id)
	if _, ok := b.byID[id]; ok {
		return true
	}
	if len(b.items) >= MaxPending {
		return false
	}
	it := &pending{entry: e}
	b.items = append(b.items, it)
	b.byID[id] = it
	return true
}

// Has reports whether an entry is still pending.
func (b *Outbox) Has(id fleet.EntryID) bool {
	_, ok := b.byID[id]
	return ok
}

// Len returns how many entries are pending.
func (b *Outbox) Len() int { return len(b.items) }

// Withdraw removes an entry that was never sent. It reports false for any other, as
// that one may take effect.
func (b *Outbox) Withdraw(id fleet.EntryID) bool {
	it, ok := b.byID[id]
	if !ok || it.sent {
		return false
	}
	b.remove(func(o *pending) bool { return o == it })
	return true
}

// Prune removes the entries that are known to be in the log.
func (b *Outbox) Prune(known func(fleet.EntryID) bool) {
	b.remove(func(it *pending) bool { return known(fleet.EntryID(it.entry.Id)) })
}

func (b *Outbox) remove(gone func(*pending) bool) {
	kept := b.items[:0]
	for _, it := range b.items {
		if gone(it) {
			delete(b.byID, fleet.EntryID(it.entry.Id))
			continue
		}
		kept = append(kept, it)
	}
	clear(b.items[len(kept):])
	b.items = kept
}

// Batch returns the entries to append now, or none. ReadAt is the time up to which
// the log has been read.
func (b *Outbox) Batch(now, readAt time.Time) []*wire.Entry {
	if b.inFlight || now.Sub(b.lastBatch) < AppendInterval {
		return nil
	}
	var batch []*wire.Entry
	for _, it := range b.items {
		if len(batch) == MaxBatch {
			break
		}
		if it.due(now, readAt) {
			it.sent, it.inFlight = true, true
			batch = append(batch, it.entry)
		} else if it.ackedAt.IsZero() {
			break // later entries may depend on this one
		}
	}
	if len(batch) > 0 {
		b.inFlight, b.lastBatch = true, now
	}
	return batch
}

func (it *pending) due(now, readAt time.Time) bool {
	switch {
	case it.inFlight:
		return false
	case !it.failedAt.IsZero():
		return readAt.After(it.failedAt) && now.Sub(it.failedAt) >= it.retryDelay
	case !it.ackedAt.IsZero():
		return readAt.After(it.ackedAt) && now.Sub(it.ackedAt) >= ResendAfter
	}
	return true
}

// BatchDone records the result of the last batch.
func (b *Outbox) BatchDone(now time.Time, err error) {
	b.inFlight = false
	for _, it := range b.items {
		if !it.inFlight {
			continue
		}
		it.inFlight = false
		it.finish(now, err)
	}
}

func (it *pending) finish(now time.Time, err error) {
	if err == nil {
		it.ackedAt, it.failedAt, it.retryDelay = now, time.Time{}, 0
		return
	}
	it.failedAt, it.ackedAt = now, time.Time{}
	it.retryDelay = min(max(2*it.retryDelay, MinRetry), MaxRetry)
}
