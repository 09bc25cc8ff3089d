package board

import (
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
)

// Bounds of what a daemon remembers beside the state.
const (
	KeptEvents  = 4096
	KeptRecords = 4096
)

// Recent remembers the newest events of this daemon and the newest records of
// the log, for explanations and for peers that lost the log.
type Recent struct {
	events  []event.Event
	records []*wire.Stamped
}

// NewRecent returns an empty memory.
func NewRecent() *Recent { return &Recent{} }

// Add remembers an event.
func (r *Recent) Add(e event.Event) {
	r.events = append(r.events, e)
	if len(r.events) > 2*KeptEvents {
		r.events = append([]event.Event{}, r.events[KeptEvents:]...)
	}
}

// Keep remembers a log record.
func (r *Recent) Keep(s *wire.Stamped) {
	r.records = append(r.records, s)
	if len(r.records) > 2*KeptRecords {
		r.records = append([]*wire.Stamped{}, r.records[KeptRecords:]...)
	}
}

// Cut forgets the records, after a jump of the state.
func (r *Recent) Cut() { r.records = nil }

// Events returns the events about a name, or all for an empty name.
func (r *Recent) Events(about string) []event.Event {
	var out []event.Event
	for _, e := range r.events {
		if about == "" || e.About == about {
			out = append(out, e)
		}
	}
	return out
}

// Records returns the records kept.
func (r *Recent) Records() []*wire.Stamped { return r.records }

// From returns the records from an offset on, and whether all of them are kept.
func (r *Recent) From(at fleet.Offset) ([]*wire.Stamped, bool) {
	for i, s := range r.records {
		if s.Offset == int64(at) {
			return r.records[i:], true
		}
	}
	return nil, false
}
