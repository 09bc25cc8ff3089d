package assign_test

import (
	"testing"

	"dragonflydeck.example/fleet/assign"
	"dragonflydeck.example/fleet/pool"
	qt "github.com/frankban/quicktest"
)

// Runs must not be stopped for a placement that is late anyway, however cheap they are.
func TestPreemptionPrefersWorkersOnWhichTheUnitIsInTime(t *testing.T) {
	s, all := site(2, 2)
	setSpeeds(s, byRack(slow, normal))
	cost := map[*pool.Run]float64{}
	for i, w := range all {
		cost[busy(w, 8)] = float64(10 * (1 + i))
	}
	victims := func(w *pool.Worker) []assign.Victim {
		var out []assign.Victim
		for _, r := range w.Sorted() {
			out = append(out, assign.Victim{Run: r, Cost: cost[r]})
		}
		return out
	}
	for _, u := range []assign.Unit{urgent(tight(2, 8)), urgent(gang(2, 8)), urgent(step(2, 8))} {
		plan, ok := s.PlanPreemption(u, victims)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, plan.Workers[0].Rack, qt.Equals, "r1")
		qt.Assert(t, plan.Late, qt.IsFalse)
	}
	wide, ok := s.PlanPreemption(urgent(gang(3, 8)), victims)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, wide.Workers, qt.HasLen, 3)
	qt.Assert(t, wide.Late, qt.IsTrue)
	hopeless, _ := s.PlanPreemption(withSlack(unit(tight(2, 8)), -1, true), victims)
	qt.Assert(t, hopeless.Late, qt.IsTrue)
	qt.Assert(t, hopeless.Workers[0].Rack, qt.Equals, "r0", qt.Commentf("late everywhere, so the cost decides"))
}
