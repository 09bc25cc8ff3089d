package state

import "dragonflydeck.example/fleet"

// KeptIDs is how many of the newest entry ids the fold remembers. They tell the
// sender what became of an entry; that a repeat has no effect is also sure from
// the condition that every kind of record carries (base, prev, attempt or id).
const KeptIDs = 2048

type outcome struct {
	err error
}

// window remembers the outcome of the newest entries by id.
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
	if len(w.order) <= KeptIDs {
		return
	}
	delete(w.outcomes, w.order[0])
	w.order = w.order[1:]
}
