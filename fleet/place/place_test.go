package place

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	qt "github.com/frankban/quicktest"
)

var startTime = time.Unix(1000, 0)

func newPlanner(workers int) *Planner {
	p := New(Defaults())
	for i := range workers {
		p.SetNode(Node{ID: fleet.HostID(fmt.Sprint("w", i)), Rack: fleet.Rack(i / 2), Total: workerRes})
	}
	p.Open()
	return p
}

// Short jobs arrive all the time and end before they can be preempted, so that the
// free room never suffices for a large gang. It starts by its reservation.
func TestLargeGangIsNotStarvedByShortJobs(t *testing.T) {
	p := newPlanner(4)
	ends := map[fleet.JobID]time.Time{}
	now, n, started := startTime, 0, time.Duration(0)
	for now.Sub(startTime) < time.Hour && started == 0 {
		for id, at := range ends {
			if !at.After(now) {
				p.Done(id, now)
				delete(ends, id)
			}
		}
		for range 4 {
			n++
			p.Add(Job{ID: fleet.JobID(fmt.Sprintf("s%05d", n)), Space: "a", Tasks: 2, Each: accelTask, Declared: time.Minute, Since: now})
		}
		if now == startTime.Add(2*time.Minute) {
			p.Add(Job{ID: "large", Space: "b", Tasks: 16, Each: accelTask, Declared: time.Hour, Since: now})
		}
		for _, d := range p.Plan(now) {
			ends[d.Job] = now.Add(time.Minute)
			if d.Job == "large" {
				started = now.Sub(startTime)
			}
		}
		now = now.Add(10 * time.Second)
	}
	qt.Assert(t, started > 0, qt.IsTrue, qt.Commentf("the large gang did not start within an hour"))
	qt.Assert(t, started < ReserveAfter+10*time.Minute, qt.IsTrue, qt.Commentf("the large gang started after %s", started))
}

// A gang runs in one rack if it fits there, else in neighbouring ones.
func TestGangsAreAdjacent(t *testing.T) {
	p := newPlanner(6)
	p.Add(Job{ID: "a", Space: "s", Tasks: 8, Each: accelTask, Since: startTime})
	p.Add(Job{ID: "b", Space: "s", Tasks: 16, Each: accelTask, Since: startTime.Add(time.Second)})
	for _, d := range p.Plan(startTime.Add(time.Minute)) {
		low, high := fleet.Rack(99), fleet.Rack(-1)
		for _, part := range d.Parts {
			low, high = min(low, p.nodes[part.Worker].Rack), max(high, p.nodes[part.Worker].Rack)
		}
		want := map[fleet.JobID]fleet.Rack{"a": 0, "b": 1}[d.Job]
		qt.Check(t, high-low, qt.Equals, want, qt.Commentf("%s: %v", d.Job, d.Parts))
	}
}

// After a return to service, starts are limited during the ramp time.
func TestDomainThatComesBackFillsStepByStep(t *testing.T) {
	p := newPlanner(8)
	p.EndDrain(startTime)
	for i := range 32 {
		p.Add(Job{ID: fleet.JobID(fmt.Sprintf("j%02d", i)), Space: "s", Tasks: 1, Each: accelTask, Since: startTime})
	}
	qt.Assert(t, p.Plan(startTime), qt.HasLen, 8)
	qt.Assert(t, len(p.Plan(startTime.Add(4*time.Second))) <= 13, qt.IsTrue)
	p.Plan(startTime.Add(Defaults().Ramp))
	_, running := p.Counts()
	qt.Assert(t, running, qt.Equals, 32)
}

// A worker on which every job fails is quarantined; a job that fails on every
// worker is parked and quarantines none.
func TestFailuresAreAttributedToWorkerOrJob(t *testing.T) {
	p := newPlanner(4)
	fail := func(id fleet.JobID, on fleet.HostID) FailureVerdict {
		p.Restore(Job{ID: id, Space: "s", Tasks: 1, Each: accelTask}, []Part{{on, 1}}, false, startTime)
		return p.Fail(id, []fleet.HostID{on}, startTime)
	}
	qt.Assert(t, fail("a", "w0").Quarantined, qt.HasLen, 0)
	qt.Assert(t, fail("b", "w0").Quarantined, qt.HasLen, 0)
	qt.Assert(t, fail("c", "w0").Quarantined, qt.DeepEquals, []fleet.HostID{"w0"})
	j := Job{ID: "bad", Space: "s", Tasks: 1, Each: accelTask, Faulty: []fleet.HostID{"w1", "w2"}}
	p.Restore(j, []Part{{"w3", 1}}, false, startTime)
	qt.Assert(t, p.Fail("bad", []fleet.HostID{"w3"}, startTime).Park, qt.IsTrue)
	qt.Assert(t, p.Quarantined(), qt.HasLen, 1)
}

func TestRunTimesAreLearned(t *testing.T) {
	p := newPlanner(1)
	for i := range 30 {
		id := fleet.JobID(fmt.Sprint(i))
		p.Restore(Job{ID: id, Space: "s", Tasks: 1, Each: accelTask, Declared: time.Hour}, []Part{{"w0", 1}}, false, startTime)
		p.Done(id, startTime.Add(15*time.Minute))
	}
	got := p.space("s").estimate(time.Hour)
	qt.Assert(t, got > 14*time.Minute && got < 17*time.Minute, qt.IsTrue, qt.Commentf("%s", got))
}

func ExampleAdmit() {
	domain := DomainNodes{Domain: "d1", Nodes: []Node{{ID: "w1", Total: workerRes}, {ID: "w2", Total: workerRes}}}
	want := []Shape{{Count: 2, Tasks: 4, Each: accelTask}}
	fmt.Println(Admit([]DomainNodes{domain}, nil, want))
	_, err := Admit([]DomainNodes{domain}, []Guarantee{{Space: "a", Domain: "d1", Shape: want[0]}}, want)
	fmt.Println(err)
	// Output:
	// [{0 d1 2}] <nil>
	// admit: 0 of 2 gangs of 4 tasks (1000m cores, 1024 MiB, 1 accelerators each) fit beside the existing guarantees
}
