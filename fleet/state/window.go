package state

import "dragonflydeck.example/fleet"

// MaxEntryIDs is how many of the newest entry IDs the state remembers. Senders
// look up the outcome of their entries by ID. An older entry that is repeated
// still has no effect, because every kind of record carries a condition (base,
// prev, attempt or id) that no longer holds.
const MaxEntryIDs = 2048

type outcome struct {
	err error
}

// window holds the outcomes of the newest entries by ID.
type window struct {
	order    []fleet.EntryID
	outcomes map[fleet.EntryID]outcome
}

func newWindow() *window {
	return &window{outcomes: map[fleet.EntryID]outcome{}}
}

func (w *window) get(id fleet.EntryID) (bool, error) {
	o, ok := w.outcomes[id]
	return ok, o.err
}

func (w *window) put(id fleet.EntryID, err error) {
	w.outcomes[id] = outcome{err}
	w.order = append(w.order, id)
	if len(w.order) <= MaxEntryIDs {
		return
	}
	delete(w.outcomes, w.order[0])
	w.order = w.order[1:]
}
