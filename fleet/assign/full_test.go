package assign_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/assign"
	qt "github.com/frankban/quicktest"
)

// When many jobs of a few shapes wait for a full site, a unit of the same shape that
// needs at least as many tasks at once must not be searched for again.
func TestFullSiteIsSearchedOnceForEachShape(t *testing.T) {
	full := assign.FullCache{}
	full.Add(unit(tight(4, 2)))
	qt.Assert(t, full.Rejects(unit(tight(4, 2))), qt.IsTrue)
	qt.Assert(t, full.Rejects(unit(tight(9, 2))), qt.IsTrue)
	qt.Assert(t, full.Rejects(unit(tight(3, 2))), qt.IsFalse)
	qt.Assert(t, full.Rejects(unit(tight(4, 1))), qt.IsFalse)
	qt.Assert(t, full.Rejects(unit(step(4, 2))), qt.IsFalse)
	anyRack := unit(tight(4, 2))
	anyRack.AnyRack = true
	qt.Assert(t, full.Rejects(anyRack), qt.IsFalse)
	full.Add(unit(step(9, 2)))
	qt.Assert(t, full.Rejects(unit(step(1, 2))), qt.IsTrue, qt.Commentf("not even one task found room"))
}

// A unit that finds no room because of its own restrictions says nothing about other
// units.
func TestUnitBoundToSomeWorkersTellsNothingAboutOthers(t *testing.T) {
	full := assign.FullCache{}
	u := unit(step(1, 2))
	u.Avoid = map[fleet.HostID]time.Time{"w": now}
	full.Add(u)
	spread := step(1, 2)
	spread.Spread = 1
	full.Add(unit(spread))
	qt.Assert(t, full.Rejects(unit(step(1, 2))), qt.IsFalse)
}
