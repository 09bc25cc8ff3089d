package sched_test

import (
	"fmt"
	"slices"
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

// dropWorkspaceA makes a configuration without workspace a, which is yet to be posted.
func (w *world) dropWorkspaceA() {
	c := *w.config
	c.Version, c.Spaces = c.Version+1, []queue.Space{{Name: "b", Limit: accelCap(8)}}
	w.config = queue.New(c)
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
	w.dropWorkspaceA()
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

// mentioned reports whether a log event of a kind is about a job.
func (w *world) mentioned(c event.Code, job string) bool {
	return slices.ContainsFunc(w.logged, func(e event.Event) bool { return e.Code == c && e.About == job })
}

// By due time alone, the earlier backlog of one workspace would go before work of another that
// uses nothing yet. The work of the other one is due later here, so only the share brings it forward.
func TestShareGoesBeforeDueTime(t *testing.T) {
	w := newCappedWorld(t, quota.Limit{Weight: 1}, quota.Limit{Weight: 1})
	for i := range 40 {
		w.submit(flowOf("a", fmt.Sprint("early", i), "bulk", taskStep(2, 8, time.Duration(1500+100*(i%10))*time.Millisecond)))
	}
	w.run(500 * time.Millisecond)
	late := flowOf("b", "late", "bulk", taskStep(4, 8, 8*time.Second))
	w.submitAccepted(late)
	w.runUntil(2500*time.Millisecond, "the share", func() bool { return w.startCount("late") == 4 })
}

// At the same priority, tasks that arrive all the time take each part of the cap as it becomes
// free, and a gang would never find enough of it.
func TestGangThatIsOverdueGetsTheCapBeforeTasksOfItsPriority(t *testing.T) {
	w := newCappedWorld(t, accelCap(16), quota.Limit{})
	submitted := 0
	stream := func() {
		w.submit(flowOf("a", fmt.Sprint("stream", submitted), "bulk", taskStep(2, 1, time.Duration(1000+70*(submitted%7))*time.Millisecond)))
		submitted++
		w.run(100 * time.Millisecond)
	}
	for range 20 {
		stream()
	}
	w.submitAccepted(flowOf("a", "overdue", "bulk", gangStep(12, 1, time.Second)))
	for range 50 {
		stream()
	}
	qt.Assert(t, w.startCount("overdue"), qt.Equals, 12)
}

// Work that has waited for longer keeps its placement if only a part has to be withdrawn.
func TestNewestPlacementsAreWithdrawnFirst(t *testing.T) {
	w := newCappedWorld(t, accelCap(32), quota.Limit{})
	w.appendDelay = 300 * time.Millisecond
	w.submit(flowOf("a", "older", "long", gangStep(4, 4, time.Second)))
	w.submit(flowOf("a", "younger", "long", gangStep(4, 4, 1200*time.Millisecond)))
	w.run(150 * time.Millisecond)
	w.setLimits(accelCap(16), quota.Limit{})
	w.appendDelay = 0
	w.runUntil(time.Second, "withdrawal", func() bool { return w.mentioned(event.RunStopped, "younger") })
	w.runUntil(time.Second, "start of the older gang", func() bool { return w.startCount("older") == 4 })
	qt.Assert(t, w.mentioned(event.RunStopped, "older"), qt.IsFalse)
}

// What a job had running when it was cancelled long ago has ended, or its leases have expired. A
// new lead must not hold its resources because of one worker that is out of reach.
func TestJobCancelledLongAgoDoesNotCount(t *testing.T) {
	w := newCappedWorld(t, accelCap(16), quota.Limit{})
	old := flowOf("a", "past", "bulk", taskStep(2, 8, time.Minute))
	w.submitAccepted(old)
	w.post(sched.CancelRequested{Ask: &wire.FlowAsk{Id: old.Id, Queue: old.Queue, Space: old.Space}, Deadline: w.now.Add(time.Second)})
	w.run(20 * time.Second)
	w.workers["w1-3"].cutOff = true
	w.restartDaemon()
	w.becomeLead()
	w.submitAccepted(flowOf("a", "present", "bulk", taskStep(2, 8, time.Second)))
	w.runUntil(time.Second, "start of the next job", func() bool { return w.startCount("present") == 2 })
}

// Before a new lead has read the list of workers, it knows no worker whose report it waits for.
func TestRunsCountBeforeTheListOfWorkersIsRead(t *testing.T) {
	w := newCappedWorld(t, accelCap(16), quota.Limit{})
	old := flowOf("a", "unread0", "bulk", taskStep(2, 8, time.Minute))
	w.submitAccepted(old)
	w.run(200 * time.Millisecond)
	for _, one := range w.workers {
		one.cutOff = len(one.runs) > 0
	}
	w.post(sched.CancelRequested{Ask: &wire.FlowAsk{Id: old.Id, Queue: old.Queue, Space: old.Space}, Deadline: w.now.Add(time.Second)})
	w.run(100 * time.Millisecond)
	w.restartDaemon()
	w.events = slices.DeleteFunc(w.events, func(e sched.Event) bool { _, ok := e.(sched.WorkersListed); return ok })
	w.listHangs = true
	w.becomeLead()
	w.run(400 * time.Millisecond)
	qt.Assert(t, w.scheduler.SpaceUse("a").Spaces[0].Used.Accels, qt.Equals, int64(16))
	w.listHangs = false
	w.submit(flowOf("a", "unread1", "bulk", taskStep(2, 8, time.Second)))
	w.runWithin(4*time.Second, "unread", 16)
}

// The records of a workspace's jobs come in no order. The cap that its newest job was accepted
// with is the one that the operator set last.
func TestNewestRecordedCapHolds(t *testing.T) {
	w := newCappedWorld(t, accelCap(8), quota.Limit{})
	for i, accels := range []fleet.Accels{8, 8, 8, 8, 12} {
		f := flowOf("a", fmt.Sprint("record", i), "bulk", taskStep(1, 2, time.Minute))
		f.Cap = fleet.Res{Accels: accels}.Wire()
		w.submitAccepted(f)
	}
	w.dropWorkspaceA()
	for range 4 { // the order of the records is random
		w.restartDaemon()
		w.becomeLead()
		qt.Assert(t, w.scheduler.SpaceUse("a").Spaces[0].Cap.Accels, qt.Equals, int64(12))
	}
}

// A small cap makes a backlog long also on an empty site. Jobs that cannot be of use any more are
// refused at once.
func TestBacklogUnderASmallCapIsRefused(t *testing.T) {
	w := newCappedWorld(t, accelCap(8), quota.Limit{})
	w.submitAccepted(flowOf("a", "pile0", "long", taskStep(8, 8, 2*time.Second)))
	w.submitAccepted(flowOf("a", "pile1", "long", taskStep(8, 8, 2*time.Second)))
	id := w.submit(flowOf("a", "pile2", "long", taskStep(8, 8, 2*time.Second)))
	w.run(100 * time.Millisecond)
	qt.Assert(t, w.submitReplies[id].Verdict, qt.Equals, wire.Verdict_REFUSED)
	w.submitAccepted(flowOf("b", "pile3", "long", taskStep(8, 8, 2*time.Second)))
}

// A run that fills the cap and is about to end is no reason for a refusal.
func TestBacklogLeavesOutWhatHasRun(t *testing.T) {
	w := newCappedWorld(t, accelCap(8), quota.Limit{})
	w.submitAccepted(flowOf("a", "nearend", "bulk", taskStep(1, 8, 20*time.Second)))
	w.run(18 * time.Second)
	w.submitAccepted(flowOf("a", "after", "bulk", taskStep(1, 8, time.Second)))
}

// Urgent work beyond the share of its workspace must not stop the work of a workspace that is
// within its own, even where that would cost least.
func TestUrgentWorkBeyondItsShareStopsOnlyItsOwn(t *testing.T) {
	w := newCappedWorld(t, quota.Limit{Weight: 1}, quota.Limit{Weight: 1})
	w.submitAccepted(flowOf("b", "borrower", "bulk", taskStep(5, 8, time.Minute)))
	w.run(2 * time.Second)
	w.submitAccepted(flowOf("a", "young", "bulk", taskStep(3, 8, time.Minute)))
	w.run(500 * time.Millisecond)
	w.submitAccepted(flowOf("b", "rush", "urgent", taskStep(1, 8, 5*time.Second)))
	w.runUntil(2*time.Second, "start of the urgent job", func() bool { return w.startCount("rush") == 1 })
	qt.Assert(t, w.mentioned(event.RunStopped, "young"), qt.IsFalse)
	qt.Assert(t, w.mentioned(event.RunStopped, "borrower"), qt.IsTrue)
}

// Event 319 tells that a wait begins. Logged with each plan, it would hide everything else.
func TestWaitForTheCapIsLoggedOnce(t *testing.T) {
	w := newCappedWorld(t, accelCap(8), quota.Limit{})
	w.submitAccepted(flowOf("a", "filling", "bulk", taskStep(1, 8, 10*time.Second)))
	w.run(100 * time.Millisecond)
	w.submitAccepted(flowOf("a", "waiting", "bulk", taskStep(1, 8, time.Second)))
	w.run(5 * time.Second)
	qt.Assert(t, w.eventCount(event.JobCapped), qt.Equals, 1)
}

// At equal cost, capacity comes from the workspace that has more than its share.
func TestBorrowedCapacityIsReclaimedFirst(t *testing.T) {
	w := newCappedWorld(t, quota.Limit{Weight: 3}, quota.Limit{Weight: 1})
	for i := range 8 {
		w.submit(flowOf("a", fmt.Sprintf("mix%da", i), "bulk", taskStep(4, 1, time.Minute)))
		w.submit(flowOf("b", fmt.Sprintf("mix%db", i), "bulk", taskStep(4, 1, time.Minute)))
	}
	w.run(time.Second)
	qt.Assert(t, w.accelsInUse("mix"), qt.Equals, int64(64))
	w.submitAccepted(flowOf("a", "reclaim", "urgent", taskStep(1, 4, 5*time.Second)))
	w.runUntil(2*time.Second, "start of the urgent job", func() bool { return w.startCount("reclaim") == 1 })
	stopped := 0
	for i := range 8 {
		qt.Assert(t, w.mentioned(event.RunStopped, fmt.Sprintf("mix%da", i)), qt.IsFalse)
		if w.mentioned(event.RunStopped, fmt.Sprintf("mix%db", i)) {
			stopped++
		}
	}
	qt.Assert(t, stopped > 0, qt.IsTrue)
}

// A start that got no answer is not sent again after the cap was lowered below what is in use.
func TestStartIsNotSentAgainAboveTheCap(t *testing.T) {
	w := newCappedWorld(t, accelCap(32), quota.Limit{})
	for _, one := range w.workers {
		one.startDelay, one.maxDelayed = 3*time.Second, 1
	}
	w.submitAccepted(flowOf("a", "resend", "bulk", taskStep(4, 8, 10*time.Second)))
	w.runUntil(time.Second, "starts", func() bool {
		n := 0
		for _, one := range w.workers {
			n += len(one.pending)
		}
		return n == 4
	})
	w.setLimits(accelCap(8), quota.Limit{})
	w.run(time.Second)
	qt.Assert(t, w.startCount("resend"), qt.Equals, 0)
}

// A gang that the lowered cap can never hold must not keep back the other work of its
// workspace.
func TestGangAboveTheLoweredCapBlocksNothing(t *testing.T) {
	w := newCappedWorld(t, accelCap(32), quota.Limit{})
	w.submitAccepted(flowOf("b", "full", "urgent", taskStep(8, 8, 2*time.Second)))
	w.submitAccepted(flowOf("a", "toowide", "long", gangStep(4, 8, time.Second)))
	w.setLimits(accelCap(16), quota.Limit{})
	small := flowOf("a", "small", "bulk", taskStep(4, 4, time.Second))
	w.submitAccepted(small)
	w.awaitCompleted(small, 6*time.Second)
	qt.Assert(t, w.startCount("toowide"), qt.Equals, 0)
}

// Runs that are being stopped on a worker out of reach free nothing before its lease has
// expired. Urgent work within its guarantee must not wait for them.
func TestGuaranteeDoesNotWaitForRunsOutOfReach(t *testing.T) {
	w := newCappedWorld(t, accelCap(24), quota.Limit{})
	w.submitAccepted(flowOf("a", "own", "bulk", taskStep(3, 8, time.Minute)))
	w.run(20 * time.Second)
	for _, one := range w.sorted() {
		if len(one.runs) > 0 {
			one.cutOff = true
			break
		}
	}
	w.submitAccepted(flowOf("a", "first", "urgent", gangStep(1, 8, time.Minute)))
	w.submitAccepted(flowOf("a", "second", "urgent", gangStep(1, 8, time.Minute)))
	w.runUntil(2700*time.Millisecond, "start of both", func() bool { return w.startCount("first") == 1 && w.startCount("second") == 1 })
}

// A job that was accepted without a limit, as its workspace was not configured, must not
// remove the cap that the records of earlier jobs hold.
func TestJobWithoutALimitDoesNotRemoveTheRecordedCap(t *testing.T) {
	w := newCappedWorld(t, accelCap(8), quota.Limit{})
	f := flowOf("a", "kept", "bulk", taskStep(4, 8, time.Second))
	f.Cap = (fleet.Res{Accels: 8}).Wire()
	w.submitAccepted(f)
	w.dropWorkspaceA()
	w.postConfig()
	w.submitAccepted(flowOf("a", "kept2", "bulk", taskStep(4, 8, time.Second)))
	w.runWithin(9*time.Second, "kept", 8)
}

// Runs that take nothing of the resource that is short must not be stopped for it.
func TestOnlyRunsThatFreeTheCapAreStopped(t *testing.T) {
	w := newCappedWorld(t, accelCap(16), quota.Limit{})
	w.submitAccepted(flowOf("a", "cores", "bulk", taskStep(20, 0, time.Minute)))
	w.submitAccepted(flowOf("a", "accels", "bulk", taskStep(16, 1, time.Minute)))
	w.run(20 * time.Second)
	w.submitAccepted(flowOf("a", "urgent", "urgent", gangStep(1, 8, time.Second)))
	w.runUntil(2700*time.Millisecond, "start", func() bool { return w.startCount("urgent") == 1 })
	qt.Assert(t, w.startCount("cores"), qt.Equals, 20)
	qt.Assert(t, w.running("cores"), qt.Equals, 20)
}

// Urgent tasks that are no gang start as many at once as the cap holds.
func TestUrgentTasksClaimTheCapInParts(t *testing.T) {
	w := newCappedWorld(t, accelCap(16), quota.Limit{})
	own := flowOf("a", "own", "bulk", taskStep(16, 1, time.Minute))
	own.Steps[0].Saves = true
	w.submitAccepted(own)
	w.run(20 * time.Second)
	f := flowOf("a", "parts", "urgent", taskStep(20, 1, time.Second))
	w.submitAccepted(f)
	w.runUntil(2700*time.Millisecond, "starts", func() bool { return w.startCount("parts") >= 16 })
	w.awaitCompleted(f, 4*time.Second)
}

// A backlog of tasks without accelerators is a backlog.
func TestBacklogWithoutAcceleratorsIsRefused(t *testing.T) {
	w := newCappedWorld(t, quota.Limit{Weight: 1}, quota.Limit{Weight: 1})
	refused := 0
	for i := range 60 {
		step := taskStep(100, 0, 2*time.Second)
		step.Each = (fleet.Res{Cores: 4000, Mem: 1024}).Wire()
		id := w.submit(flowOf("a", fmt.Sprint("plain", i), "long", step))
		w.run(20 * time.Millisecond)
		if r := w.submitReplies[id]; r != nil && r.Verdict == wire.Verdict_REFUSED {
			refused++
		}
	}
	qt.Assert(t, refused > 0, qt.IsTrue)
}

// A job with several steps that wait is logged once for each.
func TestEachStepIsLoggedOnceAsItWaitsForTheCap(t *testing.T) {
	w := newCappedWorld(t, accelCap(8), quota.Limit{})
	f := flowOf("a", "steps", "bulk", taskStep(20, 8, 300*time.Millisecond))
	f.Steps = append(f.Steps, taskStep(20, 8, 300*time.Millisecond))
	w.submitAccepted(f)
	w.run(3 * time.Second)
	qt.Assert(t, w.eventCount(event.JobCapped), qt.Equals, 2)
}

// A lead without a configuration must not end with a nil dereference when urgent work lacks
// capacity.
func TestUrgentWorkWaitsUnderALeadWithoutAConfiguration(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	w.submitAccepted(flowOf("a", "full", "bulk", taskStep(1, 8, time.Minute)))
	w.run(20 * time.Second)
	w.submitAccepted(flowOf("a", "urgent", "urgent", taskStep(1, 8, time.Second)))
	w.config = nil
	w.restartDaemon()
	w.becomeLead()
	w.run(5 * time.Second)
}

// A lead whose daemon has started since the operator stored an invalid configuration has none.
// It schedules by the limits in the records of the jobs, and must not wait for a configuration
// that may come hours later.
func TestInvalidConfigurationDoesNotKeepANewLeadFromPlacing(t *testing.T) {
	w := newCappedWorld(t, accelCap(8), quota.Limit{})
	f := flowOf("a", "invalid", "bulk", taskStep(4, 8, time.Second))
	f.Cap, f.Weight = (fleet.Res{Accels: 8}).Wire(), 1
	w.submitAccepted(f)
	w.config = nil
	w.restartDaemon()
	w.runWithin(10*time.Second, "invalid", 8)
	w.awaitCompleted(f, 5*time.Second)
}

// Before a new lead has read the operator's records, a cap may be lower than the recorded one.
func TestNothingStartsBeforeTheOperatorsRecordsAreRead(t *testing.T) {
	w := newCappedWorld(t, accelCap(16), quota.Limit{})
	f := flowOf("a", "norecords", "bulk", taskStep(4, 8, time.Second))
	f.Cap, f.Weight = (fleet.Res{Accels: 16}).Wire(), 1
	w.submitAccepted(f)
	w.restartDaemon()
	w.events = slices.DeleteFunc(w.events, func(e sched.Event) bool { _, ok := e.(sched.ConfigChanged); return ok })
	w.becomeLead()
	before := w.startCount("norecords")
	w.run(3 * time.Second)
	qt.Assert(t, w.startCount("norecords"), qt.Equals, before)
	w.postConfig()
	w.awaitCompleted(f, 5*time.Second)
}

// Tasks of an urgent step that no stop in their own workspace can bring under the cap must not
// keep the others, which fit under it, from preempting work of other workspaces.
func TestTasksUnderTheCapPreemptBesideOnesAboveIt(t *testing.T) {
	w := newCappedWorld(t, accelCap(16), quota.Limit{})
	w.submitAccepted(flowOf("a", "first", "urgent", taskStep(8, 1, time.Minute)))
	w.run(200 * time.Millisecond)
	other := flowOf("b", "other", "bulk", taskStep(56, 1, time.Minute))
	other.Steps[0].Saves = true
	w.submitAccepted(other)
	w.run(5 * time.Second)
	w.submitAccepted(flowOf("a", "second", "urgent", taskStep(12, 1, 10*time.Second)))
	w.runUntil(1500*time.Millisecond, "start of a task under the cap", func() bool { return w.startCount("second") > 0 })
}

// A gang that cannot start beside a lasting task of its workspace must not keep back the other
// work of its workspace for as long as that task runs.
func TestGangBesideALastingTaskBlocksNothing(t *testing.T) {
	w := newCappedWorld(t, accelCap(16), quota.Limit{})
	lasting := flowOf("a", "lasting", "long", taskStep(1, 8, time.Second))
	lasting.Steps[0].Lasting, runTimes["lasting"] = true, time.Hour
	w.submitAccepted(lasting)
	w.submitAccepted(flowOf("a", "wide", "long", gangStep(2, 8, time.Second)))
	w.run(10 * time.Second)
	small := flowOf("a", "small", "bulk", taskStep(2, 4, time.Second))
	w.submitAccepted(small)
	w.awaitCompleted(small, 5*time.Second)
}

// The runs of its own workspace that are stopped for the cap must not start again at once in the
// room and under the cap that they left, or urgent work within the guarantee waits forever. They
// could start in the same place, or in room on other workers.
func TestGuaranteeIsServedWhenOwnWorkIsSpreadOverWorkers(t *testing.T) {
	for name, ends := range map[string]time.Duration{"full": 5 * time.Minute, "room elsewhere": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			w := newCappedWorld(t, accelCap(24), quota.Limit{})
			spread := func(space, id string, step *wire.Step, limit int32) {
				f := flowOf(space, id, "bulk", step)
				f.Steps[0].Spread, f.Target = limit, time.Hour.Milliseconds()
				w.submitAccepted(f)
			}
			spread("b", "other", taskStep(5, 5, 5*time.Minute), 1)
			w.run(200 * time.Millisecond)
			spread("b", "others", taskStep(5, 3, ends), 1)
			w.run(200 * time.Millisecond)
			for i := range 3 {
				spread("a", fmt.Sprint("own", i), taskStep(8, 1, 5*time.Minute), 3)
				w.run(5 * time.Second)
			}
			w.run(15 * time.Second)
			w.submitAccepted(flowOf("a", "urgent", "urgent", gangStep(2, 8, time.Second)))
			w.runUntil(2700*time.Millisecond, "start of the urgent gang", func() bool { return w.startCount("urgent") == 2 })
			qt.Assert(t, w.eventCount(event.JobEvicted) <= 2, qt.IsTrue, qt.Commentf("stops once for the cap and once for room, not %d times", w.eventCount(event.JobEvicted)))
		})
	}
}

// A job was cancelled under the former lead, and its tasks have ended. A worker that is out of
// reach and never ran any of them must not keep urgent work from its guarantee.
func TestCancelledJobDoesNotDelayTheGuaranteeUnderANewLead(t *testing.T) {
	w := newCappedWorld(t, accelCap(16), quota.Limit{})
	old := flowOf("a", "hg0", "bulk", taskStep(2, 8, time.Minute))
	w.submitAccepted(old)
	w.run(200 * time.Millisecond)
	for _, one := range w.sorted() {
		if len(one.runs) == 0 {
			one.cutOff = true
			break
		}
	}
	w.post(sched.CancelRequested{Ask: &wire.FlowAsk{Id: old.Id, Queue: old.Queue, Space: old.Space}, Deadline: w.now.Add(time.Second)})
	w.run(2 * time.Second)
	w.restartDaemon()
	w.becomeLead()
	w.submitAccepted(flowOf("a", "hg1", "urgent", gangStep(2, 8, time.Second)))
	w.runUntil(2700*time.Millisecond, "start", func() bool { return w.startCount("hg1") == 2 })
}

// Workers of a cancelled job are cut off and no longer listed as the lead changes. What they may
// still run must count.
func TestRunsOfACancelledJobOnUnlistedWorkersCount(t *testing.T) {
	w := newCappedWorld(t, accelCap(16), quota.Limit{})
	old := flowOf("a", "unl0", "bulk", taskStep(2, 8, time.Minute))
	w.submitAccepted(old)
	w.run(200 * time.Millisecond)
	for _, one := range w.workers {
		if len(one.runs) > 0 {
			one.cutOff, one.unlisted = true, true
		}
	}
	w.post(sched.CancelRequested{Ask: &wire.FlowAsk{Id: old.Id, Queue: old.Queue, Space: old.Space}, Deadline: w.now.Add(time.Second)})
	w.run(100 * time.Millisecond)
	w.postWorkers()
	w.restartDaemon()
	w.becomeLead()
	next := flowOf("a", "unl1", "bulk", taskStep(2, 8, time.Second))
	w.submitAccepted(next)
	w.runWithin(12*time.Second, "unl", 16)
	w.awaitCompleted(next, 3*time.Second)
}
