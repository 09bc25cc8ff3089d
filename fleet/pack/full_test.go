package pack_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/pack"
	qt "github.com/frankban/quicktest"
)

// Load pattern: many jobs of a few shapes wait for a full site. What one could not
// get, no other of its shape gets that needs as much.
func TestFullSiteIsLookedThroughOnceForEachShape(t *testing.T) {
	full := pack.Full{}
	full.Note(unit(tight(4, 2)))
	qt.Assert(t, full.Holds(unit(tight(4, 2))), qt.IsTrue)
	qt.Assert(t, full.Holds(unit(tight(9, 2))), qt.IsTrue)
	qt.Assert(t, full.Holds(unit(tight(3, 2))), qt.IsFalse)
	qt.Assert(t, full.Holds(unit(tight(4, 1))), qt.IsFalse)
	qt.Assert(t, full.Holds(unit(step(4, 2))), qt.IsFalse)
	far := unit(tight(4, 2))
	far.Far = true
	qt.Assert(t, full.Holds(far), qt.IsFalse)
	full.Note(unit(step(9, 2)))
	qt.Assert(t, full.Holds(unit(step(1, 2))), qt.IsTrue, qt.Commentf("not even one task found room"))
}

// What a unit could not get for reasons of its own tells nothing about others.
func TestUnitBoundToSomeWorkersTellsNothingAboutOthers(t *testing.T) {
	full := pack.Full{}
	u := unit(step(1, 2))
	u.Avoid = map[fleet.HostID]time.Time{"w": now}
	full.Note(u)
	spread := step(1, 2)
	spread.Spread = 1
	full.Note(unit(spread))
	qt.Assert(t, full.Holds(unit(step(1, 2))), qt.IsFalse)
}
