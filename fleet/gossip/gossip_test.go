package gossip_test

import (
	"testing"

	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/gossip"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

func turn(id string, at int64, out bool) *wire.Entry {
	return &wire.Entry{Id: id, At: at, Kind: &wire.Entry_Turn{Turn: &wire.Turn{Name: "d1", Out: out}}}
}

// While the log is away, an operator's order to take a domain out may arrive after a
// newer one to bring it back. The newer one holds, whatever the order of arrival.
func TestNewestOrderForADomainHolds(t *testing.T) {
	older, newer := turn("out", 1, true), turn("back", 2, false)
	for _, order := range [][]*wire.Entry{{older, newer}, {newer, older}} {
		b := board.New(board.Identity{Host: "e1", Domain: "d1"})
		for _, e := range order {
			gossip.Hold(b, e)
		}
		qt.Check(t, b.Holds, qt.HasLen, 1)
		qt.Check(t, b.Holds["back"], qt.IsNotNil, qt.Commentf("%s came first", order[0].Id))
	}
}
