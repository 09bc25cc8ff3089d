package place

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	qt "github.com/frankban/quicktest"
)

var hundredOfEach = fleet.Res{Cores: 100, Mem: 100, Accels: 100}

// fullDomains returns two failure domains without free resources. A job that
// needs the given resources waits in the first.
func fullDomains(need fleet.Res) []DomainLoad {
	full := DomainLoad{Open: true, FitsEmpty: true, Total: hundredOfEach, Used: hundredOfEach}
	home, other := full, full
	home.Domain, other.Domain = "d1", "d2"
	home.Queued = need
	return []DomainLoad{home, other}
}

// A job was counted twice in the load of its home, as queued and as the job to be
// placed. So a large gang moved between two full domains 1800 times in twelve
// hours.
func TestJobStaysWhereOthersAreAsCrowded(t *testing.T) {
	need := fleet.Res{Accels: 50}
	wait := HomeWait{Need: need, Home: "d1", Waited: LargeJobWait - 1, Age: time.Minute}
	domains := fullDomains(need)
	qt.Assert(t, Move(wait, domains), qt.Equals, fleet.DomainID(""))

	domains[1].Used = fleet.Res{Accels: 80}
	qt.Assert(t, Move(wait, domains), qt.Equals, fleet.DomainID("d2"))

	wait.Waited = MinHomeWait - 1
	qt.Assert(t, Move(wait, domains), qt.Equals, fleet.DomainID(""))
}

func TestLargeJobTriesTheNextDomainUntilItMayReserve(t *testing.T) {
	large, small := fleet.Res{Accels: 25}, fleet.Res{Accels: 24}
	wait := HomeWait{Need: large, Home: "d1", Waited: LargeJobWait, Age: ReserveAfter - 1}
	qt.Assert(t, Move(wait, fullDomains(large)), qt.Equals, fleet.DomainID("d2"))

	wait.Age = ReserveAfter
	qt.Assert(t, Move(wait, fullDomains(large)), qt.Equals, fleet.DomainID(""))

	wait = HomeWait{Need: small, Home: "d1", Waited: LargeJobWait, Age: LargeJobWait}
	qt.Assert(t, Move(wait, fullDomains(small)), qt.Equals, fleet.DomainID(""))
}

func TestJobLeavesADomainThatIsOutAtOnce(t *testing.T) {
	need := fleet.Res{Accels: 1}
	domains := fullDomains(need)
	domains[0].Open = false
	wait := HomeWait{Need: need, Home: "d1"}
	qt.Assert(t, Move(wait, domains), qt.Equals, fleet.DomainID("d2"))

	domains[1].Open = false
	qt.Assert(t, Move(wait, domains), qt.Equals, fleet.DomainID(""))
}
