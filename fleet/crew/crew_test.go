package crew_test

import (
	"math"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	qt "github.com/frankban/quicktest"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const lease = 6 * time.Second

func entry(clock fleet.Ticks) fleet.WorkerEntry {
	return fleet.WorkerEntry{Place: fleet.Place{Host: "w", Addr: "w:1"}, Clock: clock, Born: 1}
}

// An entry is seconds older than the worker's answers. Its clock must not make
// a lease look shorter than it is.
func TestEntryDoesNotMoveTheClock(t *testing.T) {
	c := crew.New(lease)
	w, _ := c.Enter(entry(1000), "r1", now)
	w.Synced = true
	w.Tick(9000, now)
	c.Enter(entry(2000), "r1", now)
	qt.Assert(t, w.Lease(lease, now), qt.Equals, fleet.Ticks(15000))
	w.Tick(9100, now.Add(100*time.Millisecond))
	qt.Assert(t, w.Lapse().After(now.Add(lease)), qt.IsTrue)
}

// A worker's clock may be 2% slow: its lease lasts longer than on ours.
func TestLapseAllowsForASlowClock(t *testing.T) {
	c := crew.New(lease)
	w, _ := c.Enter(entry(0), "r1", now)
	w.Synced = true
	w.Tick(1000, now)
	w.Lease(lease, now)
	qt.Assert(t, w.Lapse().Sub(now) > lease*100/98, qt.IsTrue)
}

func TestReborn(t *testing.T) {
	c := crew.New(lease)
	c.Enter(entry(0), "r1", now)
	e := entry(0)
	e.Born = 2
	_, reborn := c.Enter(e, "r1", now)
	qt.Assert(t, reborn, qt.IsTrue)
	old := entry(0)
	w, reborn := c.Enter(old, "r1", now)
	qt.Assert(t, reborn, qt.IsFalse)
	qt.Assert(t, w.Born, qt.Equals, fleet.Incarnation(2))
}

func TestRoomIsTakenUntilARunIsDropped(t *testing.T) {
	c := crew.New(lease)
	e := entry(0)
	e.Room = fleet.Res{Cores: 4000, Mem: 100, Accels: 8}
	w, _ := c.Enter(e, "r1", now)
	r := &crew.Run{Task: fleet.Task{Job: "j"}, No: 1, Each: fleet.Res{Cores: 1000, Accels: 2}}
	w.Add(r)
	w.Add(r)
	qt.Assert(t, w.Free().Accels, qt.Equals, fleet.Accels(6))
	w.Drop(crew.Key{Task: r.Task, No: 1})
	w.Drop(crew.Key{Task: r.Task, No: 1})
	qt.Assert(t, w.Free(), qt.Equals, e.Room)
}

// A worker that turns several times slower is known after two measurements, and
// forgiven some time after they stop.
func TestSlowWorkerIsKnownAndForgiven(t *testing.T) {
	c := crew.New(lease)
	w, _ := c.Enter(entry(0), "r1", now)
	qt.Assert(t, w.Pace(now), qt.Equals, crew.Brisk)
	for i := range 3 {
		w.Observe(math.Log(6.5), 0.06, now.Add(time.Duration(i)*time.Second))
	}
	at := now.Add(2 * time.Second)
	qt.Assert(t, w.Pace(at), qt.Equals, crew.Crawling)
	qt.Assert(t, w.Pace(at.Add(5*time.Minute)) < crew.Sluggish, qt.IsTrue)
	for i := range 4 {
		w.Observe(0, 0.06, at.Add(time.Duration(i)*time.Second))
	}
	qt.Assert(t, w.Pace(at.Add(4*time.Second)) < crew.Sluggish, qt.IsTrue)
}

func TestWorkerThatFailsDifferentJobsIsSetAside(t *testing.T) {
	c := crew.New(lease)
	w, _ := c.Enter(entry(0), "r1", now)
	w.Synced = true
	w.State = fleet.WorkerReady
	qt.Assert(t, w.Failed(now), qt.IsFalse)
	qt.Assert(t, w.Failed(now), qt.IsTrue)
	qt.Assert(t, w.Usable(now), qt.IsFalse)
	qt.Assert(t, w.Usable(now.Add(5*time.Second)), qt.IsTrue)
}

// Load pattern: workers that fail some of their tasks. One fail tells against a
// worker that has shown nothing else, and little against one that does well.
func TestWorkerIsSuspectAfterAFailAndProvenByGoodEnds(t *testing.T) {
	c := crew.New(lease)
	w, _ := c.Enter(entry(0), "r1", now)
	qt.Assert(t, w.Suspect(now), qt.IsFalse)
	qt.Assert(t, w.Proven(now), qt.IsFalse)
	w.NoteFail(false, now)
	qt.Assert(t, w.Suspect(now), qt.IsTrue)
	qt.Assert(t, w.Suspect(now.Add(30*time.Second)), qt.IsFalse)
	for range 10 {
		w.Well(now)
	}
	qt.Assert(t, w.Suspect(now), qt.IsFalse)
	qt.Assert(t, w.Proven(now), qt.IsTrue)
	for range 4 {
		w.NoteFail(false, now)
		w.Well(now)
	}
	qt.Assert(t, w.Suspect(now), qt.IsTrue, qt.Commentf("four of the last eight failed"))
}
