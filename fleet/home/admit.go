package home

import (
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/wire"
)

// Admit assigns the guaranteed shapes of a workspace to failure domains, taking
// the guarantees of all other workspaces into account. The error says which
// capacity is missing.
func Admit(b *board.Board, w *wire.Space) ([]*wire.Home, error) {
	var want []place.Shape
	for _, s := range w.Shapes {
		want = append(want, shape(s, s.Count))
	}
	existing := guarantees(b, fleet.SpaceID(w.Name), nil)
	got, err := place.Admit(NewLoads(b).OpenDomains(), existing, want)
	if err != nil {
		return nil, &Error{Op: "admit guarantee", Kind: NoCapacity, Text: err.Error()}
	}
	return homes(got), nil
}

func shape(s *wire.Shape, count int32) place.Shape {
	return place.Shape{Count: int(count), Tasks: int(s.Tasks), Each: fleet.ResOf(s.Each)}
}

func homes(admitted []place.DomainGuarantee) []*wire.Home {
	var out []*wire.Home
	for _, s := range admitted {
		out = append(out, &wire.Home{Shape: int32(s.Shape), Domain: string(s.Domain), Count: int32(s.Count)})
	}
	return out
}

// guarantees returns the guarantees of all workspaces. For the workspace except
// it uses the homes in kept instead of the recorded ones.
func guarantees(b *board.Board, except fleet.SpaceID, kept []*wire.Home) []place.Guarantee {
	var out []place.Guarantee
	for id, w := range b.State.Spaces {
		list := w.Homes
		if id == except {
			list = kept
		}
		for _, h := range list {
			if int(h.Shape) < len(w.Shapes) {
				out = append(out, place.Guarantee{Space: id, Domain: fleet.DomainID(h.Domain), Shape: shape(w.Shapes[h.Shape], h.Count)})
			}
		}
	}
	return out
}

// Rehome moves the guarantees of a workspace away from failure domains that are
// out of service. It returns nil if there are none to move, or if they fit
// nowhere else.
func Rehome(b *board.Board, w *wire.Space) []*wire.Home {
	var staying, lost []*wire.Home
	for _, h := range w.Homes {
		if b.State.OutOfService(fleet.DomainID(h.Domain)) && h.Shape >= 0 && int(h.Shape) < len(w.Shapes) {
			lost = append(lost, h)
		} else {
			staying = append(staying, h)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	var want []place.Shape
	for _, h := range lost {
		want = append(want, shape(w.Shapes[h.Shape], h.Count))
	}
	got, err := place.Admit(NewLoads(b).OpenDomains(), guarantees(b, fleet.SpaceID(w.Name), staying), want)
	if err != nil {
		return nil
	}
	for _, s := range got {
		staying = append(staying, &wire.Home{Shape: lost[s.Shape].Shape, Domain: string(s.Domain), Count: int32(s.Count)})
	}
	return staying
}
