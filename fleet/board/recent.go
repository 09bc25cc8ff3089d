package board

import (
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
)

// Limits of what a daemon keeps in memory besides the state. Up to twice as
// many are kept before the older half is dropped.
const (
	MaxRecentEvents  = 4096
	MaxRecentRecords = 4096
)

// Recent holds the newest events of this daemon and the newest records of the
// log, for explanations and for peers that cannot read the log.
type Recent struct {
	events  []event.Event
	records []*wire.Stamped
}

// NewRecent returns an empty Recent.
func NewRecent() *Recent { return &Recent{} }

// AddEvent adds an event.
func (r *Recent) AddEvent(e event.Event) {
	r.events = append(r.events, e)
	if len(r.events) > 2*MaxRecentEvents {
		r.events = append([]event.Event{}, r.events[MaxRecentEvents:]...)
	}
}

// AddRecord adds a log record.
func (r *Recent) AddRecord(s *wire.Stamped) {
	r.records = append(r.records, s)
	if len(r.records) > 2*MaxRecentRecords {
		r.records = append([]*wire.Stamped{}, r.records[MaxRecentRecords:]...)
	}
}

// DropRecords drops the records, as they do not lead up to a state loaded from an
// image.
func (r *Recent) DropRecords() { r.records = nil }

// Events returns the events about a name, or all events if the name is empty.
func (r *Recent) Events(about string) []event.Event {
	var out []event.Event
	for _, e := range r.events {
		if about == "" || e.About == about {
			out = append(out, e)
		}
	}
	return out
}

// Records returns the records, oldest first.
func (r *Recent) Records() []*wire.Stamped { return r.records }

// RecordsFrom returns the records from an offset on, and false if that record is not
// kept.
func (r *Recent) RecordsFrom(at fleet.Offset) ([]*wire.Stamped, bool) {
	for i, s := range r.records {
		if s.Offset == int64(at) {
			return r.records[i:], true
		}
	}
	return nil, false
}
