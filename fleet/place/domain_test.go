package place

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	qt "github.com/frankban/quicktest"
)

var hundred = fleet.Res{Cores: 100, Mem: 100, Accels: 100}

// pair is two failure domains in which everything is in use; the job waits in
// the first.
func pair(need fleet.Res) []View {
	v := View{Open: true, Ever: true, Total: hundred, Used: hundred}
	home, other := v, v
	home.Domain, other.Domain = "d1", "d2"
	home.Queued = need
	return []View{home, other}
}

// TestJobStaysWhereOthersAreAsCrowded is the case of a large gang that moved
// between full domains 1800 times in twelve hours, as it counted itself twice
// at home.
func TestJobStaysWhereOthersAreAsCrowded(t *testing.T) {
	need := fleet.Res{Accels: 50}
	stay := Stay{Need: need, Home: "d1", Here: TurnSpan - 1, Age: time.Minute}
	views := pair(need)
	qt.Assert(t, Move(stay, views), qt.Equals, fleet.DomainID(""))

	views[1].Used = fleet.Res{Accels: 80}
	qt.Assert(t, Move(stay, views), qt.Equals, fleet.DomainID("d2"))

	stay.Here = StaySpan - 1
	qt.Assert(t, Move(stay, views), qt.Equals, fleet.DomainID(""))
}

func TestLargeJobTriesTheNextDomainUntilRoomIsKept(t *testing.T) {
	large, small := fleet.Res{Accels: 25}, fleet.Res{Accels: 24}
	stay := Stay{Need: large, Home: "d1", Here: TurnSpan, Age: HoldAfter - 1}
	qt.Assert(t, Move(stay, pair(large)), qt.Equals, fleet.DomainID("d2"))

	stay.Age = HoldAfter
	qt.Assert(t, Move(stay, pair(large)), qt.Equals, fleet.DomainID(""))

	stay = Stay{Need: small, Home: "d1", Here: TurnSpan, Age: TurnSpan}
	qt.Assert(t, Move(stay, pair(small)), qt.Equals, fleet.DomainID(""))
}

func TestJobLeavesADomainThatIsOutAtOnce(t *testing.T) {
	need := fleet.Res{Accels: 1}
	views := pair(need)
	views[0].Open = false
	stay := Stay{Need: need, Home: "d1"}
	qt.Assert(t, Move(stay, views), qt.Equals, fleet.DomainID("d2"))

	views[1].Open = false
	qt.Assert(t, Move(stay, views), qt.Equals, fleet.DomainID(""))
}
