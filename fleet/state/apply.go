package state

import (
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Apply applies one record. If records before it are missing, it returns a Gap
// error and changes nothing. It skips a record that has been applied already.
// Any other error is the outcome of the record, which then counts as applied
// but has no effect.
func (s *State) Apply(at fleet.Offset, e *wire.Entry) error {
	if at < s.Next {
		return nil
	}
	if at > s.Next {
		return fail("apply", Gap, "expected record %d, got %d", s.Next, at)
	}
	s.Next = at + 1
	id := fleet.EntryID(e.GetId())
	if id == "" {
		return s.applyEntry(at, e) // of another writer; it repeats no known entry
	}
	if found, err := s.seen.get(id); found {
		return err
	}
	err := s.applyEntry(at, e)
	s.seen.put(id, err)
	return err
}

func (s *State) applyEntry(at fleet.Offset, e *wire.Entry) error {
	switch k := e.GetKind().(type) {
	case *wire.Entry_Space:
		return s.setSpace(at, k.Space)
	case *wire.Entry_Drop:
		return s.dropSpace(at, k.Drop)
	case *wire.Entry_Turn:
		return s.turnDomain(at, e.At, k.Turn)
	case *wire.Entry_Submit:
		return s.submit(at, e.At, k.Submit)
	case *wire.Entry_Cancel:
		return s.cancel(at, e.At, k.Cancel)
	case *wire.Entry_Claim:
		return s.claim(at, k.Claim)
	case *wire.Entry_Place:
		return s.place(at, e.At, k.Place)
	case *wire.Entry_Settle:
		return s.settle(at, e.At, k.Settle)
	case *wire.Entry_Move:
		return s.move(at, e.At, k.Move)
	case *wire.Entry_Seat:
		return s.seat(at, e.At, k.Seat)
	case *wire.Entry_Image:
		return nil
	}
	return fail("apply", Broken, "record %d is of a kind that this version does not know", at)
}
