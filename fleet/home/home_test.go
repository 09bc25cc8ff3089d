package home_test

import (
	"testing"

	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/home"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// A workspace's record may name a shape that it does not have. That must not stop the
// lead, and moves nothing.
func TestHomeOfAnUnknownShapeIsNotMoved(t *testing.T) {
	b := board.New(board.Identity{Host: "e1", Domain: "d2"})
	b.State.Domain("d1").Out = true
	w := &wire.Space{Name: "s", Homes: []*wire.Home{{Shape: 3, Domain: "d1", Count: 1}}}
	qt.Assert(t, home.Rehome(b, w), qt.IsNil)
}
