package sched_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/queue"
	"dragonflydeck.example/fleet/quota"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// accelCap returns a limit of accelerators only.
func accelCap(n fleet.Accels) quota.Limit {
	return quota.Limit{Cap: fleet.Res{Accels: n}, Weight: 1}
}

// newCappedWorld returns a site of 8 workers with 8 accelerators each, on which the workspaces a
// and b have limits.
func newCappedWorld(t *testing.T, a, b quota.Limit) *world {
	w := newWorld(t, 2, 4)
	w.setLimits(a, b)
	w.becomeLead()
	return w
}

// setLimits puts a configuration with new limits into effect.
func (w *world) setLimits(a, b quota.Limit) {
	c := *w.config
	c.Version++
	c.Spaces = []queue.Space{{Name: "a", Accels: 16, Limit: a}, {Name: "b", Limit: b}}
	w.config = queue.New(c)
	w.postConfig()
}

// flowOf returns a job of a workspace.
func flowOf(space, id, queueName string, step *wire.Step) *wire.Flow {
	runTimes[fleet.JobID(id)] = time.Duration(step.Span) * time.Millisecond
	f := newFlow(id, queueName, step)
	f.Space = space
	return f
}

// accelsInUse returns how many accelerators the runs of jobs with a prefix take on the workers,
// with those that are being stopped.
func (w *world) accelsInUse(prefix string) int64 {
	n := int64(0)
	for _, one := range w.workers {
		for k := range one.runs {
			if id := string(k.Task.Job); len(id) >= len(prefix) && id[:len(prefix)] == prefix {
				n += accelsOf[k.Task.Job]
			}
		}
	}
	return n
}

// runWithin runs for a while and checks at each step that jobs with a prefix use no more
// than a number of accelerators.
func (w *world) runWithin(span time.Duration, prefix string, limit int64) {
	w.t.Helper()
	for end := w.now.Add(span); w.now.Before(end); {
		w.step()
		if n := w.accelsInUse(prefix); n > limit {
			w.printLog()
			w.t.Fatalf("jobs %s* use %d accelerators at %s, at most %d are allowed", prefix, n, w.now.Sub(startTime), limit)
		}
	}
}

// Without a cap, one workspace takes the whole site.
func TestWorkspaceStaysWithinItsCap(t *testing.T) {
	w := newCappedWorld(t, accelCap(20), quota.Limit{Weight: 1})
	var all []*wire.Flow
	for i := range 6 {
		all = append(all, flowOf("a", fmt.Sprint("a", i), "bulk", taskStep(7, 2, 2*time.Second)))
		w.submit(all[i])
	}
	w.runWithin(time.Second, "a", 20)
	qt.Assert(t, w.accelsInUse("a"), qt.Equals, int64(20))
	w.runWithin(9*time.Second, "a", 20)
	for _, f := range all {
		w.awaitCompleted(f, 10*time.Second)
	}
	qt.Assert(t, w.eventCount(event.JobCapped) > 0, qt.IsTrue)
}

// Every resource of a cap counts, also the processor time that a task takes only while others
// leave it idle.
func TestEachResourceOfACapIsKept(t *testing.T) {
	for name, limit := range map[string]fleet.Res{"cores": {Cores: 4000}, "memory": {Mem: 4096}} {
		t.Run(name, func(t *testing.T) {
			w := newCappedWorld(t, quota.Limit{Cap: limit}, quota.Limit{})
			id := "c" + name
			f := flowOf("a", id, "bulk", taskStep(9, 1, 3*time.Second))
			f.Steps[0].Fills = true
			w.submitAccepted(f)
			w.runWithin(8*time.Second, id, 4)
			w.awaitCompleted(f, 8*time.Second)
		})
	}
}

// Parts of the cap become free one by one. Less urgent tasks of the workspace must not take
// them while a gang waits for several.
func TestGangGetsThePartsOfTheCapThatBecomeFree(t *testing.T) {
	w := newCappedWorld(t, accelCap(16), quota.Limit{})
	for i := range 16 {
		w.submit(flowOf("a", fmt.Sprint("few", i), "bulk", taskStep(1, 1, time.Duration(1000+150*i)*time.Millisecond)))
	}
	w.run(300 * time.Millisecond)
	w.submitAccepted(flowOf("a", "many", "bulk", taskStep(60, 1, 1500*time.Millisecond)))
	gang := flowOf("a", "gang", "long", gangStep(12, 1, time.Second))
	w.submitAccepted(gang)
	w.runUntil(4*time.Second, "start of the gang", func() bool { return w.startCount("gang") == 12 })
	w.awaitCompleted(gang, 3*time.Second)
}

// A job that can never run under its cap must not wait until its caller gives up.
func TestJobThatNeverFitsUnderTheCapIsRefused(t *testing.T) {
	w := newCappedWorld(t, accelCap(12), quota.Limit{})
	id := w.submit(flowOf("a", "wide", "long", gangStep(4, 4, time.Second)))
	w.run(100 * time.Millisecond)
	r := w.submitReplies[id]
	qt.Assert(t, r.Verdict, qt.Equals, wire.Verdict_REFUSED)
	qt.Assert(t, r.Why, qt.Equals, `workspace "a" may have 12 accelerators, and 16 are needed for a gang of the job`)
	qt.Assert(t, r.Retry, qt.Equals, int64(10_000))
	w.submitAccepted(flowOf("b", "wideb", "long", gangStep(4, 4, time.Second)))
}

// A cap that is lowered below what runs stops nothing, and lets nothing start until enough
// has ended.
func TestLoweredCapStopsNothingAndStartsNothing(t *testing.T) {
	w := newCappedWorld(t, accelCap(32), quota.Limit{})
	w.submitAccepted(flowOf("a", "low1", "bulk", taskStep(4, 8, 3*time.Second)))
	w.run(500 * time.Millisecond)
	w.setLimits(accelCap(8), quota.Limit{})
	second := flowOf("a", "next1", "bulk", taskStep(1, 8, time.Second))
	w.submitAccepted(second)
	w.runWithin(2*time.Second, "next", 0)
	qt.Assert(t, w.accelsInUse("low"), qt.Equals, int64(32))
	w.awaitCompleted(second, 4*time.Second)
	qt.Assert(t, w.eventCount(event.RunStopped), qt.Equals, 0)
	qt.Assert(t, w.eventCount(event.CapsChanged) > 0, qt.IsTrue)
}

// A cap may be lowered between the choice of the workers and the start, which takes as long
// as the store does.
func TestStartsThatAreNotSentAreWithdrawnIfTheCapIsLowered(t *testing.T) {
	w := newCappedWorld(t, accelCap(32), quota.Limit{})
	gangs := []*wire.Flow{flowOf("a", "g0", "long", gangStep(4, 4, time.Second)), flowOf("a", "g1", "long", gangStep(4, 4, time.Second))}
	w.submitAccepted(gangs[0])
	w.submit(gangs[1])
	w.appendDelay = 300 * time.Millisecond
	w.run(150 * time.Millisecond)
	w.setLimits(accelCap(16), quota.Limit{})
	w.appendDelay = 0
	w.runWithin(5*time.Second, "g", 16)
	for _, f := range gangs {
		w.awaitCompleted(f, 5*time.Second)
	}
}

// A raised or removed cap holds at once.
func TestRaisedAndRemovedCapsHoldAtOnce(t *testing.T) {
	w := newCappedWorld(t, accelCap(8), quota.Limit{})
	w.submitAccepted(flowOf("a", "raise", "bulk", taskStep(8, 8, time.Minute)))
	w.runWithin(time.Second, "raise", 8)
	w.setLimits(accelCap(24), quota.Limit{})
	w.runUntil(500*time.Millisecond, "three tasks", func() bool { return w.accelsInUse("raise") == 24 })
	w.setLimits(quota.Limit{}, quota.Limit{})
	w.runUntil(500*time.Millisecond, "all tasks", func() bool { return w.accelsInUse("raise") == 64 })
}

// The jobs of a workspace that is removed keep the cap that they were accepted with, also
// under a new lead, which has never read it.
func TestRemovedWorkspaceKeepsItsCap(t *testing.T) {
	w := newCappedWorld(t, accelCap(8), quota.Limit{})
	f := flowOf("a", "gone", "bulk", taskStep(4, 8, time.Second))
	f.Cap, f.Weight = (fleet.Res{Accels: 8}).Wire(), 1
	w.submitAccepted(f)
	c := *w.config
	c.Version, c.Spaces = c.Version+1, []queue.Space{{Name: "b", Limit: accelCap(8)}}
	w.config = queue.New(c)
	w.postConfig()
	w.runWithin(1500*time.Millisecond, "gone", 8)
	w.restartDaemon()
	w.runWithin(4*time.Second, "gone", 8)
	w.awaitCompleted(f, 9*time.Second)
}

// A new lead must count what the former one started before it starts anything.
func TestCapHoldsAcrossAChangeOfLead(t *testing.T) {
	w := newCappedWorld(t, accelCap(16), quota.Limit{})
	var all []*wire.Flow
	for i := range 4 {
		all = append(all, flowOf("a", fmt.Sprint("lead", i), "bulk", taskStep(4, 4, 1500*time.Millisecond)))
		w.submitAccepted(all[i])
	}
	for range 4 {
		w.runWithin(400*time.Millisecond, "lead", 16)
		w.restartDaemon()
		w.runWithin(2500*time.Millisecond, "lead", 16)
	}
	for _, f := range all {
		w.awaitCompleted(f, 10*time.Second)
	}
}

// The record of a cancelled job does not tell what still runs. A worker that is out of reach
// may run its tasks until its lease has expired.
func TestTasksOfACancelledJobCountUnderANewLead(t *testing.T) {
	w := newCappedWorld(t, accelCap(16), quota.Limit{})
	old := flowOf("a", "hold0", "bulk", taskStep(2, 8, time.Minute))
	w.submitAccepted(old)
	w.run(200 * time.Millisecond)
	for _, one := range w.workers {
		one.cutOff = len(one.runs) > 0
	}
	w.post(sched.CancelRequested{Ask: &wire.FlowAsk{Id: old.Id, Queue: old.Queue, Space: old.Space}, Deadline: w.now.Add(time.Second)})
	w.run(100 * time.Millisecond)
	w.restartDaemon()
	w.becomeLead()
	next := flowOf("a", "hold1", "bulk", taskStep(2, 8, time.Second))
	w.submitAccepted(next)
	w.runWithin(12*time.Second, "hold", 16)
	w.awaitCompleted(next, 3*time.Second)
}

// A workspace fills its cap with its own long work, and then claims its guarantee. The work
// of other workspaces must not be stopped for it.
func TestGuaranteeIsServedWhenOwnWorkFillsTheCap(t *testing.T) {
	w := newCappedWorld(t, accelCap(24), quota.Limit{})
	w.submitAccepted(flowOf("b", "other", "bulk", taskStep(4, 8, time.Minute)))
	w.submitAccepted(flowOf("a", "own", "bulk", taskStep(24, 1, time.Minute)))
	w.run(20 * time.Second)
	w.submitAccepted(flowOf("a", "urgent", "urgent", gangStep(2, 8, time.Second)))
	w.runUntil(2700*time.Millisecond, "start of the urgent gang", func() bool { return w.startCount("urgent") == 2 })
	qt.Assert(t, w.startCount("other"), qt.Equals, 4)
	qt.Assert(t, w.accelsInUse("other"), qt.Equals, int64(32))
}

// Load pattern: a workspace with a burst fills the site. Work of another workspace that
// arrives later gets the capacity that becomes free first, up to its share.
func TestBurstOfOneWorkspaceLeavesOthersTheirShare(t *testing.T) {
	w := newCappedWorld(t, quota.Limit{Weight: 1}, quota.Limit{Weight: 1})
	for i := range 40 {
		w.submit(flowOf("a", fmt.Sprint("burst", i), "bulk", taskStep(2, 8, time.Duration(1500+100*(i%10))*time.Millisecond)))
	}
	w.run(500 * time.Millisecond)
	qt.Assert(t, w.accelsInUse("burst"), qt.Equals, int64(64), qt.Commentf("idle capacity is lent"))
	var own []*wire.Flow
	for i := range 4 {
		own = append(own, flowOf("b", fmt.Sprint("share", i), "bulk", taskStep(1, 8, time.Second)))
		w.submitAccepted(own[i])
	}
	w.runUntil(2500*time.Millisecond, "the share", func() bool {
		n := 0
		for _, f := range own {
			n += w.startCount(fleet.JobID(f.Id))
		}
		return n == 4
	})
	for _, f := range own {
		w.awaitCompleted(f, 2*time.Second)
	}
}

// Load pattern: as above. The backlog of one workspace must not get the jobs of another one
// refused, and its own further jobs are refused at once.
func TestBacklogOfOneWorkspaceRefusesOnlyItsOwnJobs(t *testing.T) {
	w := newCappedWorld(t, quota.Limit{Weight: 1}, quota.Limit{Weight: 1})
	var last int
	refused := 0
	for i := range 60 {
		id := w.submit(flowOf("a", fmt.Sprint("flood", i), "long", taskStep(8, 8, 2*time.Second)))
		w.run(20 * time.Millisecond)
		if r := w.submitReplies[id]; r != nil && r.Verdict == wire.Verdict_REFUSED {
			refused, last = refused+1, i
		}
	}
	qt.Assert(t, refused > 0, qt.IsTrue)
	qt.Assert(t, last, qt.Equals, 59)
	f := flowOf("b", "welcome", "long", taskStep(1, 8, time.Second))
	w.submitAccepted(f)
	w.awaitCompleted(f, 4*time.Second)
}

// Operators see what a workspace has running and what waits for its cap.
func TestSpaceUseTellsWhatWaitsForTheCap(t *testing.T) {
	w := newCappedWorld(t, accelCap(16), quota.Limit{Weight: 3})
	w.submitAccepted(flowOf("a", "seen", "bulk", taskStep(5, 8, time.Minute)))
	w.run(500 * time.Millisecond)
	all := w.scheduler.SpaceUse("")
	qt.Assert(t, all.Spaces, qt.HasLen, 2)
	a := w.scheduler.SpaceUse("a").Spaces[0]
	qt.Assert(t, a.Used.Accels, qt.Equals, int64(16))
	qt.Assert(t, a.Cap.Accels, qt.Equals, int64(16))
	qt.Assert(t, a.Capped, qt.Equals, int32(3))
	qt.Assert(t, a.Share, qt.Equals, 1.0, qt.Commentf("no other workspace has work"))
	qt.Assert(t, w.scheduler.SpaceUse("nobody").Spaces, qt.HasLen, 0)
}
