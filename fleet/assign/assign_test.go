package assign_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/assign"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// site returns a site with racks of workers that have 8 accelerators each.
func site(racks, perRack int) (*assign.Site, []*pool.Worker) {
	p := pool.New(6 * time.Second)
	for r := range racks {
		for i := range perRack {
			e := fleet.WorkerEntry{
				Endpoint: fleet.Endpoint{Host: fleet.HostID(fmt.Sprintf("w%d-%d", r, i))},
				Service:  "desk", State: fleet.WorkerReady, Labels: []string{"a", fmt.Sprint("r", r)},
				Capacity: fleet.Res{Cores: 64000, Mem: 131072, Accels: 8},
			}
			w, _ := p.Update(e, fmt.Sprint("r", r), now)
			w.Synced = true
		}
	}
	return &assign.Site{Now: now, Pool: p}, p.Sorted()
}

// unit returns a unit of all tasks of a job that has only the given step.
func unit(step *wire.Step) assign.Unit {
	j := flow.New(&wire.Flow{Id: "j", Steps: []*wire.Step{step}}, now)
	u := assign.Unit{Job: j, Step: j.Rounds[0].Steps[0], Service: "desk"}
	for i := range u.Step.Tasks {
		u.Indexes = append(u.Indexes, i)
	}
	return u
}

func step(count int32, accels int64) *wire.Step {
	return &wire.Step{Count: count, Each: &wire.Res{Cores: 1000, Accels: accels}}
}

func tight(count int32, accels int64) *wire.Step {
	s := step(count, accels)
	s.Gang, s.Tight = true, true
	return s
}

var serial int

// busy adds a run that takes some accelerators of a worker.
func busy(w *pool.Worker, accels fleet.Accels) *pool.Run {
	serial++
	r := &pool.Run{Task: fleet.Task{Job: fleet.JobID(fmt.Sprint("busy", serial))}, No: 1, Phase: pool.Running, Each: fleet.Res{Accels: accels}}
	w.Add(r)
	return r
}

func racks(placements []assign.Placement) map[string]int {
	out := map[string]int{}
	for _, p := range placements {
		out[p.Worker.Rack]++
	}
	return out
}

func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	s, all := site(1, 2)
	busy(all[0], 1)
	qt.Assert(t, s.Place(unit(tight(2, 8))), qt.HasLen, 0)
	qt.Assert(t, s.Place(unit(tight(2, 7))), qt.HasLen, 2)
}

// With wide gangs among many small ones, a small gang must take the rack that is in
// use, so that the other stays empty.
func TestSmallGangLeavesAnEmptyRackFree(t *testing.T) {
	s, all := site(2, 4)
	busy(all[4], 8)
	qt.Assert(t, racks(s.Place(unit(tight(2, 8)))), qt.DeepEquals, map[string]int{"r1": 2})
	qt.Assert(t, racks(s.Place(unit(tight(4, 8)))), qt.DeepEquals, map[string]int{"r0": 4})
}

func TestSmallTasksFillUsedWorkersFirst(t *testing.T) {
	s, all := site(1, 3)
	busy(all[2], 6)
	placements := s.Place(unit(step(3, 1)))
	qt.Assert(t, placements[0].Worker, qt.Equals, all[2])
	qt.Assert(t, placements[1].Worker, qt.Equals, all[2])
	qt.Assert(t, placements[2].Worker, qt.Not(qt.Equals), all[2])
}

func TestSpreadBoundsTheTasksOnAWorker(t *testing.T) {
	s, _ := site(1, 3)
	spread := step(5, 1)
	spread.Spread = 1
	qt.Assert(t, s.Place(unit(spread)), qt.HasLen, 3)
}

// Workers may become several times slower while they report themselves as healthy.
func TestSlowWorkersAreTheLastToBeTaken(t *testing.T) {
	s, all := site(1, 3)
	busy(all[0], 4)
	for range 4 {
		all[0].Observe(math.Log(6), 0.05, now)
	}
	placements := s.Place(unit(step(17, 1)))
	qt.Assert(t, placements, qt.HasLen, 17)
	qt.Assert(t, placements[0].Worker, qt.Not(qt.Equals), all[0])
	qt.Assert(t, placements[16].Worker, qt.Equals, all[0])
}

// A job must not spend its few attempts on the worker that failed it.
func TestWorkersThatFailedTheJobAreTheLastToBeTaken(t *testing.T) {
	s, all := site(1, 2)
	u := unit(step(1, 1))
	busy(all[0], 4)
	qt.Assert(t, s.Place(u)[0].Worker, qt.Equals, all[0])
	u.Avoid = map[fleet.HostID]time.Time{all[0].Endpoint.Host: now}
	qt.Assert(t, s.Place(u)[0].Worker, qt.Equals, all[1])
	u.Avoid[all[0].Endpoint.Host] = now.Add(time.Second)
	busy(all[1], 8)
	qt.Assert(t, s.Place(u), qt.HasLen, 0)
}

// An urgent gang finds every rack full of long work: preemption takes the cheapest
// rack, and stops no more on a worker than is needed.
func TestPreemptionLosesTheLeastWork(t *testing.T) {
	s, all := site(2, 2)
	cost := map[*pool.Run]float64{}
	for i, w := range all {
		cost[busy(w, 4)] = float64(100 * (4 - i))
		cost[busy(w, 4)] = 1000
	}
	plan, ok := s.PlanPreemption(unit(tight(2, 4)), func(w *pool.Worker) []assign.Victim {
		var out []assign.Victim
		for _, r := range w.Sorted() {
			out = append(out, assign.Victim{Run: r, Cost: cost[r]})
		}
		assign.SortVictims(out)
		return out
	})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, plan.Cost, qt.Equals, 300.0)
	qt.Assert(t, plan.Workers, qt.HasLen, 2)
	qt.Assert(t, plan.Workers[0].Rack, qt.Equals, "r1")
}

func TestReservedWorkerRunsNoOtherJob(t *testing.T) {
	s, all := site(1, 1)
	all[0].Reserve("other", now.Add(time.Second), false)
	qt.Assert(t, s.Place(unit(step(1, 1))), qt.HasLen, 0)
	s.Now = now.Add(2 * time.Second)
	qt.Assert(t, s.Place(unit(step(1, 1))), qt.HasLen, 1)
}

// Guards against a guarantee that waits for a reservation of work that is not owed (issue 50).
func TestReservationHoldsAgainstAGuaranteeOnlyForAnother(t *testing.T) {
	s, all := site(1, 1)
	u := unit(step(1, 1))
	u.Entitled = func() bool { return true }
	all[0].Reserve("other", now.Add(time.Second), true)
	qt.Check(t, s.Place(u), qt.HasLen, 0)
	all[0].Reserve("other", now.Add(time.Second), false)
	qt.Check(t, s.Place(u), qt.HasLen, 1)
	u.Entitled = func() bool { return false }
	qt.Check(t, s.Place(u), qt.HasLen, 0)
}

func TestFailureDomainThatIsOutGetsNothing(t *testing.T) {
	s, all := site(1, 1)
	all[0].Domain = "d1"
	s.OutOfService = map[fleet.DomainID]bool{"d1": true}
	qt.Assert(t, s.Place(unit(step(1, 1))), qt.HasLen, 0)
}

// A gang that is kept within one failure domain gets one with room, but no slow worker for it.
func TestGangStaysWithinAFailureDomain(t *testing.T) {
	domains := func(u assign.Unit, s *assign.Site) map[fleet.DomainID]bool {
		out := map[fleet.DomainID]bool{}
		for _, pl := range s.Place(u) {
			out[pl.Worker.Domain] = true
		}
		return out
	}
	s, all := site(2, 2)
	for _, w := range all {
		w.Domain = fleet.DomainID("d-" + w.Rack)
	}
	busy(all[0], 6) // the fullest worker; its domain lacks room for the whole gang
	gang := step(3, 4)
	gang.Gang = true
	u := unit(gang)
	qt.Check(t, domains(u, s), qt.HasLen, 2)
	u.OneDomain = true
	qt.Check(t, domains(u, s), qt.DeepEquals, map[fleet.DomainID]bool{"d-r1": true})

	s, all = site(2, 2)
	for _, w := range all {
		w.Domain = fleet.DomainID("d-" + w.Rack)
	}
	all[0].Observe(math.Log(4), 0.01, now)
	all[2].Observe(math.Log(4), 0.01, now)
	u = unit(&wire.Step{Count: 2, Each: &wire.Res{Cores: 1000, Accels: 8}, Gang: true})
	u.OneDomain = true
	qt.Check(t, domains(u, s), qt.HasLen, 2)
}
