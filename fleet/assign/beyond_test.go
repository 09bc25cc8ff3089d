package assign_test

import (
	"testing"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/assign"
	"dragonflydeck.example/fleet/pool"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// Room that depends on the stop of an earlier run of the same worker must not be taken without
// that stop, also if it comes from a workspace beyond its share and costs the same. The runs
// would be stopped, and the unit would still have no room.
func TestRoomBesideRunsBeyondTheirShareIsComplete(t *testing.T) {
	s, all := site(1, 1)
	w := all[0]
	add := func(job fleet.JobID, each fleet.Res) *pool.Run {
		r := &pool.Run{Task: fleet.Task{Job: job}, No: 1, Phase: pool.Running, Each: each}
		w.Add(r)
		return r
	}
	memory := add("memory", fleet.Res{Cores: 2000, Mem: 100000})
	cores := add("cores", fleet.Res{Cores: 40000})
	add("rest", w.Free())
	each := fleet.Res{Cores: 2000, Mem: 10000}
	u := urgent(&wire.Step{Count: 3, Each: each.Wire()})
	victims := []assign.Victim{{Run: memory, Cost: 5}, {Run: cores, Cost: 6, Beyond: true}}
	assign.SortVictims(victims)
	plan, ok := s.PlanPreemption(u, func(*pool.Worker) []assign.Victim { return victims })
	qt.Assert(t, ok, qt.IsTrue)
	room := w.Free()
	for _, r := range plan.Runs {
		room = room.Add(r.Each)
	}
	qt.Assert(t, each.Fits(room), qt.IsTrue, qt.Commentf("stopped %d runs, room %s", len(plan.Runs), room))
}
