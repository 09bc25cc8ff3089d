// Package outbox decides when entries are appended to the log. An entry stays
// until the fold has met it; one whose append failed is looked for in the log
// before it is sent again, as the answer alone may have been lost. Entries keep their order.
package outbox

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Bounds of the outbox.
const (
	MaxPending = 4096 // entries
	MaxBatch   = 64   // entries in one append
	AppendGap  = 20 * time.Millisecond
	MinRetry   = 250 * time.Millisecond
	MaxRetry   = 4 * time.Second
	SeekSpan   = 2 * time.Second // an acknowledged entry not met by then is sent again
)

type item struct {
	entry  *wire.Entry
	sent   bool
	flying bool
	failed time.Time // when its last append failed; zero if it did not
	acked  time.Time
	retry  time.Duration
}

// Box holds the entries of one daemon that are not yet met in the log. It
// belongs to one goroutine.
type Box struct {
	items  []*item
	byID   map[fleet.EntryID]*item
	flying bool
	last   time.Time
}

// New returns an empty outbox.
func New() *Box { return &Box{byID: map[fleet.EntryID]*item{}} }

// Put takes an entry; one with a known id is taken once. It reports false if
// the outbox is full.
func (b *Box) Put(e *wire.Entry) bool {
	id := fleet.EntryID(e.Id)
	if _, ok := b.byID[id]; ok {
		return true
	}
	if len(b.items) >= MaxPending {
		return false
	}
	it := &item{entry: e}
	b.items = append(b.items, it)
	b.byID[id] = it
	return true
}

// Has reports whether an entry is still pending.
func (b *Box) Has(id fleet.EntryID) bool {
	_, ok := b.byID[id]
	return ok
}

// Len returns how many entries are pending.
func (b *Box) Len() int { return len(b.items) }

// Withdraw takes an entry back and reports whether it surely has no effect:
// it was never sent.
func (b *Box) Withdraw(id fleet.EntryID) bool {
	it, ok := b.byID[id]
	if !ok || it.sent {
		return false
	}
	b.remove(func(o *item) bool { return o == it })
	return true
}

// Met removes the entries that the fold knows.
func (b *Box) Met(known func(fleet.EntryID) bool) {
	b.remove(func(it *item) bool { return known(fleet.EntryID(it.entry.Id)) })
}

func (b *Box) remove(gone func(*item) bool) {
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

// Batch returns the entries to append now, or none. Fresh is the time up to
// which the log's records are known.
func (b *Box) Batch(now, fresh time.Time) []*wire.Entry {
	if b.flying || now.Sub(b.last) < AppendGap {
		return nil
	}
	var batch []*wire.Entry
	for _, it := range b.items {
		if len(batch) == MaxBatch {
			break
		}
		if it.due(now, fresh) {
			it.sent, it.flying = true, true
			batch = append(batch, it.entry)
		} else if it.acked.IsZero() {
			break // later entries may rest on this one
		}
	}
	if len(batch) > 0 {
		b.flying, b.last = true, now
	}
	return batch
}

func (it *item) due(now, fresh time.Time) bool {
	switch {
	case it.flying:
		return false
	case !it.failed.IsZero():
		return fresh.After(it.failed) && now.Sub(it.failed) >= it.retry
	case !it.acked.IsZero():
		return fresh.After(it.acked) && now.Sub(it.acked) >= SeekSpan
	}
	return true
}

// Done takes the result of the last batch.
func (b *Box) Done(now time.Time, err error) {
	b.flying = false
	for _, it := range b.items {
		if !it.flying {
			continue
		}
		it.flying = false
		it.landed(now, err)
	}
}

func (it *item) landed(now time.Time, err error) {
	if err == nil {
		it.acked, it.failed, it.retry = now, time.Time{}, 0
		return
	}
	it.failed, it.acked = now, time.Time{}
	it.retry = min(max(2*it.retry, MinRetry), MaxRetry)
}
