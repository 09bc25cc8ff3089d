package home

import (
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/wire"
)

// Admit decides which failure domains carry the shapes of a workspace, beside
// the guarantees of all others. The error names what is missing.
func Admit(b *board.Board, w *wire.Space) ([]*wire.Home, error) {
	var want []place.Shape
	for _, s := range w.Shapes {
		want = append(want, shape(s, s.Count))
	}
	given := given(b, fleet.SpaceID(w.Name), nil)
	got, err := place.Admit(NewAtlas(b).Areas(), given, want)
	if err != nil {
		return nil, &Error{Op: "admit guarantee", Kind: Short, Text: err.Error()}
	}
	return homes(got), nil
}

func shape(s *wire.Shape, count int32) place.Shape {
	return place.Shape{Count: int(count), Tasks: int(s.Tasks), Each: fleet.ResOf(s.Each)}
}

func homes(shares []place.Share) []*wire.Home {
	var out []*wire.Home
	for _, s := range shares {
		out = append(out, &wire.Home{Shape: int32(s.Shape), Domain: string(s.Domain), Count: int32(s.Count)})
	}
	return out
}

// given lists the guarantees of every workspace but one, and of that one the
// homes that it keeps.
func given(b *board.Board, but fleet.SpaceID, kept []*wire.Home) []place.Guarantee {
	var out []place.Guarantee
	for id, w := range b.State.Spaces {
		list := w.Homes
		if id == but {
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

// Rehome moves the guarantees of a workspace out of domains that are out of
// service. It returns nil if none lies there, or if they fit nowhere else.
func Rehome(b *board.Board, w *wire.Space) []*wire.Home {
	var kept, lost []*wire.Home
	for _, h := range w.Homes {
		if b.State.Out(fleet.DomainID(h.Domain)) {
			lost = append(lost, h)
		} else {
			kept = append(kept, h)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	var want []place.Shape
	for _, h := range lost {
		want = append(want, shape(w.Shapes[h.Shape], h.Count))
	}
	got, err := place.Admit(NewAtlas(b).Areas(), given(b, fleet.SpaceID(w.Name), kept), want)
	if err != nil {
		return nil
	}
	for _, s := range got {
		kept = append(kept, &wire.Home{Shape: lost[s.Shape].Shape, Domain: string(s.Domain), Count: int32(s.Count)})
	}
	return kept
}
