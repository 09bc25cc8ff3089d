package place

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	qt "github.com/frankban/quicktest"
)

var begin = time.Unix(1000, 0)

func newRack(workers int) *Planner {
	p := New(Defaults())
	for i := range workers {
		p.SetNode(Node{ID: fleet.HostID(fmt.Sprint("w", i)), Rack: fleet.Rack(i / 2), Total: box})
	}
	p.Open()
	return p
}

// Short jobs come without end and end before they could be preempted. Room is
// kept for the gang that waits, so it starts.
func TestLargeGangIsNotStarvedByShortJobs(t *testing.T) {
	p := newRack(4)
	ends := map[fleet.JobID]time.Time{}
	now, n, started := begin, 0, time.Duration(0)
	for now.Sub(begin) < time.Hour && started == 0 {
		for id, at := range ends {
			if !at.After(now) {
				p.Done(id, now)
				delete(ends, id)
			}
		}
		for range 4 {
			n++
			p.Add(Job{ID: fleet.JobID(fmt.Sprintf("s%05d", n)), Space: "a", Tasks: 2, Each: one, Declared: time.Minute, Since: now})
		}
		if now == begin.Add(2*time.Minute) {
			p.Add(Job{ID: "large", Space: "b", Tasks: 16, Each: one, Declared: time.Hour, Since: now})
		}
		for _, d := range p.Plan(now) {
			ends[d.Job] = now.Add(time.Minute)
			if d.Job == "large" {
				started = now.Sub(begin)
			}
		}
		now = now.Add(10 * time.Second)
	}
	qt.Assert(t, started > 0, qt.IsTrue, qt.Commentf("the gang did not start within an hour"))
	qt.Assert(t, started < HoldAfter+10*time.Minute, qt.IsTrue, qt.Commentf("it started after %s", started))
}

// A gang lies in one rack if it fits there, else in neighbouring ones.
func TestGangsAreAdjacent(t *testing.T) {
	p := newRack(6)
	p.Add(Job{ID: "a", Space: "s", Tasks: 8, Each: one, Since: begin})
	p.Add(Job{ID: "b", Space: "s", Tasks: 16, Each: one, Since: begin.Add(time.Second)})
	for _, d := range p.Plan(begin.Add(time.Minute)) {
		low, high := fleet.Rack(99), fleet.Rack(-1)
		for _, part := range d.Parts {
			low, high = min(low, p.nodes[part.Worker].Rack), max(high, p.nodes[part.Worker].Rack)
		}
		want := map[fleet.JobID]fleet.Rack{"a": 0, "b": 1}[d.Job]
		qt.Check(t, high-low, qt.Equals, want, qt.Commentf("%s: %v", d.Job, d.Parts))
	}
}

// A domain that comes back fills step by step, urgent work apart.
func TestDomainThatComesBackFillsStepByStep(t *testing.T) {
	p := newRack(8)
	p.Fill(begin)
	for i := range 32 {
		p.Add(Job{ID: fleet.JobID(fmt.Sprintf("j%02d", i)), Space: "s", Tasks: 1, Each: one, Since: begin})
	}
	qt.Assert(t, p.Plan(begin), qt.HasLen, 8)
	qt.Assert(t, len(p.Plan(begin.Add(4*time.Second))) <= 13, qt.IsTrue)
	p.Plan(begin.Add(Defaults().Ramp))
	_, running := p.Counts()
	qt.Assert(t, running, qt.Equals, 32)
}

// A job that fails everywhere is told from a worker that fails everything.
func TestFaultsAreToldApart(t *testing.T) {
	p := newRack(4)
	fail := func(id fleet.JobID, on fleet.HostID) Verdict {
		p.Restore(Job{ID: id, Space: "s", Tasks: 1, Each: one}, []Part{{on, 1}}, false, begin)
		return p.Fail(id, []fleet.HostID{on}, begin)
	}
	qt.Assert(t, fail("a", "w0").Aside, qt.HasLen, 0)
	qt.Assert(t, fail("b", "w0").Aside, qt.HasLen, 0)
	qt.Assert(t, fail("c", "w0").Aside, qt.DeepEquals, []fleet.HostID{"w0"})
	j := Job{ID: "bad", Space: "s", Tasks: 1, Each: one, Faulty: []fleet.HostID{"w1", "w2"}}
	p.Restore(j, []Part{{"w3", 1}}, false, begin)
	qt.Assert(t, p.Fail("bad", []fleet.HostID{"w3"}, begin).Park, qt.IsTrue)
	qt.Assert(t, p.Aside(), qt.HasLen, 1)
}

func TestRunTimesAreLearned(t *testing.T) {
	p := newRack(1)
	for i := range 30 {
		id := fleet.JobID(fmt.Sprint(i))
		p.Restore(Job{ID: id, Space: "s", Tasks: 1, Each: one, Declared: time.Hour}, []Part{{"w0", 1}}, false, begin)
		p.Done(id, begin.Add(15*time.Minute))
	}
	got := p.space("s").estimate(time.Hour)
	qt.Assert(t, got > 14*time.Minute && got < 17*time.Minute, qt.IsTrue, qt.Commentf("%s", got))
}

func ExampleAdmit() {
	area := Area{Domain: "d1", Nodes: []Node{{ID: "w1", Total: box}, {ID: "w2", Total: box}}}
	want := []Shape{{Count: 2, Tasks: 4, Each: one}}
	fmt.Println(Admit([]Area{area}, nil, want))
	_, err := Admit([]Area{area}, []Guarantee{{Space: "a", Domain: "d1", Shape: want[0]}}, want)
	fmt.Println(err)
	// Output:
	// [{0 d1 2}] <nil>
	// admit: 0 of 2 gangs of 4 tasks (1000m cores, 1024 MiB, 1 accelerators each) fit beside the guarantees given already
}
