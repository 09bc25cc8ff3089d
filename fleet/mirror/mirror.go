// Package mirror keeps a copy of a topic of the store: the newest record of each key.
package mirror

import "dragonflydeck.example/fleet"

// Update is what one answer of the store tells about a topic.
type Update struct {
	Records []fleet.Record
	End     fleet.Offset // the records tell all that happened before it
	// Whole is set if the records are the newest of all keys, as in a listing. A key
	// without a record has been removed. Otherwise the records continue those that are
	// known.
	Whole bool
}

// Mirror is a copy of a topic. It is never older than the newest update that was applied.
type Mirror struct {
	records map[string]fleet.Record
	end     fleet.Offset
}

// New returns a copy of an empty topic.
func New() *Mirror { return &Mirror{records: map[string]fleet.Record{}} }

// End returns the offset up to which the copy is complete.
func (m *Mirror) End() fleet.Offset { return m.end }

// Records returns the newest record of each key; a record without a value tells that its
// key was removed. The caller must not change the map.
func (m *Mirror) Records() map[string]fleet.Record { return m.records }

// Apply brings the copy up to date and reports whether the update told anything new.
//
// A whole update replaces the copy: the store keeps the newest record of each key for
// good, but not the record that removed a key, so its absence may be all that tells of
// the removal. For the same reason a record from before the end of the copy is ignored,
// even if its key is unknown.
func (m *Mirror) Apply(u Update) bool {
	if u.End <= m.end {
		return false
	}
	known := m.end
	if u.Whole {
		m.records, known = make(map[string]fleet.Record, len(u.Records)), 0
	}
	for _, r := range u.Records {
		if before, ok := m.records[r.Key]; r.Offset >= known && (!ok || r.Offset > before.Offset) {
			m.records[r.Key] = r
		}
	}
	m.end = u.End
	return true
}
