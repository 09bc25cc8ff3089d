// Package mirror keeps a copy of a topic of the store: the newest record of each key.
package mirror

import (
	"maps"
	"slices"

	"dragonflydeck.example/fleet"
)

// Update is what one answer of the store, or of another daemon, tells about a topic.
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
	base    fleet.Offset // end of the newest whole update; what was removed before it has left no record
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
// A whole update replaces what the copy holds from before its end: the store keeps the
// newest record of each key for good, but not the record that removed a key, so its
// absence may be all that tells of the removal. An update that ends no later than the
// copy changes nothing, as it would bring back what was removed since.
func (m *Mirror) Apply(u Update) bool {
	if u.End <= m.end {
		return false
	}
	if u.Whole {
		maps.DeleteFunc(m.records, func(_ string, r fleet.Record) bool { return r.Offset < u.End })
		m.base = u.End
	}
	for _, r := range u.Records {
		if before, ok := m.records[r.Key]; !ok || r.Offset > before.Offset {
			m.records[r.Key] = r
		}
	}
	m.end = u.End
	return true
}

// Since returns what a copy lacks that is complete up to an offset. It is whole if keys
// may have been removed after that offset of which this copy holds no record.
func (m *Mirror) Since(end fleet.Offset) Update {
	u := Update{End: m.end, Whole: end < m.base}
	for _, key := range slices.Sorted(maps.Keys(m.records)) {
		r := m.records[key]
		if u.Whole && len(r.Value) > 0 || !u.Whole && r.Offset >= end {
			u.Records = append(u.Records, r)
		}
	}
	return u
}
