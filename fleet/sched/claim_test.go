package sched_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/queue"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// reclaimTime is how long a workspace may wait for its guarantee.
const reclaimTime = 2700 * time.Millisecond

// newGuaranteedSite returns a lead of four workers with 8 accelerators each, 8 of which are guaranteed to workspace
// u, and 8 to workspace v.
func newGuaranteedSite(t *testing.T) *world {
	w := newWorld(t, 2, 2)
	c := *w.config
	c.Version++
	c.Spaces = []queue.Space{{Name: "t"}, {Name: "u", Accels: 8}, {Name: "v", Accels: 8}}
	w.config = queue.New(c)
	w.postConfig()
	w.becomeLead()
	return w
}

func inSpace(space string, f *wire.Flow) *wire.Flow {
	f.Space = space
	return f
}

// submitUrgent submits urgent tasks of an hour that are not refused as late.
func (w *world) submitUrgent(id, space string, count int32) {
	w.t.Helper()
	runTimes[fleet.JobID(id)] = time.Hour
	f := inSpace(space, newFlow(id, "urgent", taskStep(count, 1, time.Hour)))
	f.Target = (100 * time.Hour).Milliseconds()
	w.submitAccepted(f)
}

// fill submits jobs that use all accelerators, and waits until all of their tasks run.
func (w *world) fill(name, queueName, space string, step func() *wire.Step) {
	w.t.Helper()
	n := 0
	for i := 0; n < 32; i++ {
		s := step()
		id := fmt.Sprintf("%s-%d", name, i)
		runTimes[fleet.JobID(id)] = time.Hour
		f := inSpace(space, newFlow(id, queueName, s))
		f.Target = (100 * time.Hour).Milliseconds() // no job is refused as late
		w.submitAccepted(f)
		tasks := int(s.Count)
		w.runUntil(3*time.Second, "start of "+id, func() bool { return w.running(fleet.JobID(id)) == tasks })
		n += tasks * int(s.Each.Accels)
	}
	w.run(2 * time.Second)
}

// Guards against a guarantee that is not given (review/7): others may use what is idle of it, whatever their work
// is, and it was never taken back from tasks that last nor from work of the highest priority. All tasks of the job that claims
// it begin in time, also if they are no gang.
func TestGuaranteeIsGivenWhateverFillsTheSite(t *testing.T) {
	lasting := func(s *wire.Step) *wire.Step { s.Lasting = true; return s }
	fillers := []struct {
		name, queue string
		step        func() *wire.Step
	}{
		{"bulk", "bulk", func() *wire.Step { return taskStep(16, 1, time.Hour) }},
		{"lasting", "bulk", func() *wire.Step { return lasting(taskStep(16, 1, time.Hour)) }},
		{"lasting-gangs", "bulk", func() *wire.Step { return lasting(gangStep(8, 1, time.Hour)) }},
		{"urgent", "urgent", func() *wire.Step { return taskStep(16, 1, time.Hour) }},
		{"urgent-gangs", "urgent", func() *wire.Step { return gangStep(4, 2, time.Hour) }},
		{"urgent-wide-gang", "urgent", func() *wire.Step { return gangStep(16, 2, time.Hour) }},
		{"urgent-lasting", "urgent", func() *wire.Step { return lasting(taskStep(16, 1, time.Hour)) }},
		{"urgent-large", "urgent", func() *wire.Step { return taskStep(4, 8, time.Hour) }},
	}
	claims := []struct {
		name string
		step func() *wire.Step
	}{
		{"tasks", func() *wire.Step { return taskStep(8, 1, 2*time.Second) }},
		{"gang", func() *wire.Step { return gangStep(4, 2, 2*time.Second) }},
		{"large", func() *wire.Step { return taskStep(1, 8, 2*time.Second) }},
	}
	for _, f := range fillers {
		for _, c := range claims {
			t.Run(f.name+"/"+c.name, func(t *testing.T) {
				w := newGuaranteedSite(t)
				name := f.name + "-" + c.name
				w.fill("fill-"+name, f.queue, "t", f.step)
				id := "claim-" + name
				runTimes[fleet.JobID(id)] = 2 * time.Second
				step := c.step()
				w.submitAccepted(inSpace("u", newFlow(id, "urgent", step)))
				w.runUntil(reclaimTime, "start of all tasks", func() bool { return w.startCount(fleet.JobID(id)) == int(step.Count) })
			})
		}
	}
}

// Tasks that last and were stopped for a guarantee start again as soon as there is room, and no more are stopped
// than the guarantee needs.
func TestLastingTasksThatWereStoppedForAGuaranteeStartAgain(t *testing.T) {
	w := newGuaranteedSite(t)
	w.fill("lasts-again", "bulk", "t", func() *wire.Step { s := taskStep(32, 1, time.Hour); s.Lasting = true; return s })
	runTimes["claims-once"] = 2 * time.Second
	f := inSpace("u", newFlow("claims-once", "urgent", taskStep(8, 1, 2*time.Second)))
	w.submitAccepted(f)
	w.runUntil(reclaimTime, "start", func() bool { return w.startCount("claims-once") == 8 })
	qt.Check(t, w.running("lasts-again-0"), qt.Equals, 24)
	w.awaitCompleted(f, 5*time.Second)
	w.runUntil(2*time.Second, "second start", func() bool { return w.running("lasts-again-0") == 32 })
}

// Less urgent work is stopped before urgent work, and tasks that end before those that last.
func TestGuaranteeStopsTheLeastUrgentFirst(t *testing.T) {
	w := newGuaranteedSite(t)
	for _, c := range []struct {
		id, queue string
		lasting   bool
	}{{"order-urgent", "urgent", false}, {"order-lasting", "bulk", true}, {"order-bulk", "bulk", false}, {"order-urgent-lasting", "urgent", true}} {
		s := taskStep(8, 1, time.Hour)
		s.Lasting = c.lasting
		runTimes[fleet.JobID(c.id)] = time.Hour
		f := inSpace("t", newFlow(c.id, c.queue, s))
		f.Target = (100 * time.Hour).Milliseconds()
		w.submitAccepted(f)
		w.runUntil(time.Second, "start", func() bool { return w.running(fleet.JobID(c.id)) == 8 })
		w.run(3 * time.Second)
	}
	for i, first := range []fleet.JobID{"order-bulk", "order-lasting"} {
		id := fleet.JobID(fmt.Sprint("order-claim-", i))
		runTimes[id] = time.Hour
		w.submitAccepted(inSpace([]string{"u", "v"}[i], newFlow(string(id), "urgent", taskStep(8, 1, time.Hour))))
		w.runUntil(reclaimTime, "start", func() bool { return w.startCount(id) == 8 })
		qt.Check(t, w.running(first), qt.Equals, 0)
	}
	qt.Check(t, w.running("order-urgent"), qt.Equals, 8)
	qt.Check(t, w.running("order-urgent-lasting"), qt.Equals, 8)
}

// Work within the guarantee of its own workspace is never stopped for another's. Of a workspace that uses more,
// the work that has run for longest keeps the guarantee.
func TestWorkWithinItsGuaranteeIsNotStoppedForAnother(t *testing.T) {
	w := newGuaranteedSite(t)
	w.submitUrgent("owed-v", "v", 8)
	w.run(time.Second)
	w.submitUrgent("extra-v", "v", 16)
	w.run(time.Second)
	w.submitUrgent("extra-t", "t", 8)
	w.runUntil(time.Second, "start", func() bool { return w.running("extra-t") == 8 })
	w.run(2 * time.Second)
	w.submitUrgent("claim-u", "u", 8)
	w.runUntil(reclaimTime, "start", func() bool { return w.startCount("claim-u") == 8 })
	qt.Check(t, w.running("owed-v"), qt.Equals, 8)
	qt.Check(t, w.running("extra-v")+w.running("extra-t"), qt.Equals, 16)
	w.run(20 * time.Second)
	qt.Check(t, w.running("owed-v"), qt.Equals, 8)
	qt.Check(t, w.running("claim-u"), qt.Equals, 8)
	qt.Check(t, w.startCount("claim-u"), qt.Equals, 8)
}

// Guards against a claim that stops what was started last, as that loses least, although it is within the guarantee of its own
// workspace.
func TestYoungWorkWithinItsGuaranteeIsNotStopped(t *testing.T) {
	w := newGuaranteedSite(t)
	w.submitUrgent("old-extra-t", "t", 24)
	w.run(30 * time.Second)
	w.submitUrgent("young-owed-v", "v", 8)
	w.runUntil(time.Second, "start", func() bool { return w.running("young-owed-v") == 8 })
	w.run(2 * time.Second)
	w.submitUrgent("young-claim-u", "u", 8)
	w.runUntil(reclaimTime, "start", func() bool { return w.startCount("young-claim-u") == 8 })
	qt.Check(t, w.running("young-owed-v"), qt.Equals, 8)
	qt.Check(t, w.running("old-extra-t"), qt.Equals, 16)
}

// Guards against a claim whose capacity others take: the stops on one worker end before those on the others, while urgent work
// of another workspace waits that was submitted earlier.
func TestCapacityOfAClaimIsKeptUntilAllOfItsTasksStart(t *testing.T) {
	w := newGuaranteedSite(t)
	for i, one := range w.sorted() {
		one.stopTime = time.Duration(1+i) * 90 * time.Millisecond
	}
	runTimes["kept-t"] = time.Hour
	f := newFlow("kept-t", "urgent", taskStep(64, 1, time.Hour))
	f.Steps[0].Spread = 8
	w.submitAccepted(inSpace("t", f))
	w.runUntil(3*time.Second, "start", func() bool { return w.running("kept-t") == 32 })
	runTimes["kept-claim"] = time.Hour
	s := taskStep(8, 1, time.Hour)
	s.Spread = 2
	w.submitAccepted(inSpace("u", newFlow("kept-claim", "urgent", s)))
	w.runUntil(reclaimTime, "start", func() bool { return w.startCount("kept-claim") == 8 })
	w.run(time.Second)
	qt.Check(t, w.running("kept-t"), qt.Equals, 24)
}

// A claim stops no more tasks of a step than may be missing at a time.
func TestGuaranteeKeepsToWhatAStepMayMiss(t *testing.T) {
	w := newGuaranteedSite(t)
	w.fill("misses", "bulk", "t", func() *wire.Step {
		s := taskStep(16, 1, time.Hour)
		s.Lasting, s.Misses = true, 4
		return s
	})
	for _, one := range w.workers {
		one.atWork = true
	}
	w.run(3 * time.Second)
	least := 16
	runTimes["claim-misses"] = time.Hour
	w.submitAccepted(inSpace("u", newFlow("claim-misses", "urgent", taskStep(8, 1, time.Hour))))
	w.runUntil(reclaimTime, "start", func() bool {
		least = min(least, w.running("misses-0"), w.running("misses-1"))
		return w.startCount("claim-misses") == 8
	})
	qt.Check(t, least, qt.Equals, 12)
	runTimes["claim-more"] = time.Hour
	w.submitAccepted(inSpace("v", newFlow("claim-more", "urgent", taskStep(8, 1, time.Hour))))
	w.run(10 * time.Second)
	qt.Check(t, w.running("misses-0"), qt.Equals, 12)
	qt.Check(t, w.running("misses-1"), qt.Equals, 12)
	qt.Check(t, w.eventCount(event.ClaimUnserved) > 0, qt.IsTrue)
}

// A gang whose tasks must not all be missing is not stopped for a claim, as it stops as a whole.
func TestGuaranteeStopsNoGangThatMustNotMissAll(t *testing.T) {
	w := newGuaranteedSite(t)
	w.fill("gang-misses", "bulk", "t", func() *wire.Step {
		s := gangStep(16, 1, time.Hour)
		s.Lasting, s.Misses = true, 4
		return s
	})
	for _, one := range w.workers {
		one.atWork = true
	}
	w.run(3 * time.Second)
	runTimes["claim-gang-misses"] = time.Hour
	w.submitAccepted(inSpace("u", newFlow("claim-gang-misses", "urgent", taskStep(4, 1, time.Hour))))
	w.run(5 * time.Second)
	qt.Check(t, w.running("gang-misses-0")+w.running("gang-misses-1"), qt.Equals, 32)
}

// Urgent work of a workspace without a guarantee has nothing to claim, whatever little it needs: it stops less urgent tasks
// that end, and nothing else.
func TestUrgentWorkWithoutAGuaranteeStopsNoUrgentNorLastingTasks(t *testing.T) {
	for _, lasting := range []bool{true, false} {
		w := newGuaranteedSite(t)
		name := fmt.Sprint("no-guarantee-", lasting)
		queueName := "urgent"
		if lasting {
			queueName = "bulk"
		}
		w.fill(name, queueName, "u", func() *wire.Step {
			s := taskStep(16, 1, time.Hour)
			s.Lasting, s.Each.Mem = lasting, 8192
			return s
		})
		id := "cpu-only-" + name
		runTimes[fleet.JobID(id)] = time.Hour
		f := inSpace("t", newFlow(id, "urgent", taskStep(64, 0, time.Hour)))
		f.Steps[0].Each = &wire.Res{Cores: 1000, Mem: 8192}
		f.Target = (100 * time.Hour).Milliseconds()
		w.submitAccepted(f)
		w.run(5 * time.Second)
		qt.Check(t, w.running(fleet.JobID(name+"-0"))+w.running(fleet.JobID(name+"-1")), qt.Equals, 32)
	}
}

// Guards against a guarantee that is refused: a large backlog of urgent work of others is no reason for that.
func TestBacklogOfOthersDoesNotRefuseAGuarantee(t *testing.T) {
	w := newGuaranteedSite(t)
	f := newFlow("backlog-t", "urgent", taskStep(64, 1, time.Hour))
	f.Target = time.Hour.Milliseconds() * 100
	runTimes["backlog-t"] = time.Hour
	w.submitAccepted(inSpace("t", f))
	w.run(2 * time.Second)
	beyond := w.submit(inSpace("t", newFlow("backlog-more", "urgent", taskStep(1, 1, time.Second))))
	runTimes["claim-backlog"] = time.Second
	w.submitAccepted(inSpace("u", newFlow("claim-backlog", "urgent", taskStep(8, 1, time.Second))))
	w.runUntil(reclaimTime, "start", func() bool { return w.startCount("claim-backlog") == 8 })
	qt.Check(t, w.submitReplies[beyond].Verdict, qt.Equals, wire.Verdict_REFUSED)
}

// Guards against a claim that waits for a reservation of work that is not owed (issue 50): another urgent job has
// stopped runs and reserved their workers.
func TestReservationOfOthersDoesNotDelayAGuarantee(t *testing.T) {
	w := newGuaranteedSite(t)
	w.fill("reserved-fill", "bulk", "t", func() *wire.Step { s := taskStep(8, 1, time.Hour); s.Saves = true; return s })
	for i := range 6 { // each stops runs and reserves their workers
		id := fmt.Sprintf("reserved-%d", i)
		runTimes[fleet.JobID(id)] = time.Hour
		f := inSpace("t", newFlow(id, "urgent", taskStep(4, 1, time.Hour)))
		f.Target = time.Hour.Milliseconds()
		w.submit(f)
		w.run(200 * time.Millisecond)
	}
	runTimes["claim-reserved"] = time.Hour
	w.submitAccepted(inSpace("u", newFlow("claim-reserved", "urgent", gangStep(8, 1, time.Hour))))
	w.runUntil(reclaimTime, "start", func() bool { return w.startCount("claim-reserved") == 8 })
}
