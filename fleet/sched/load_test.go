package sched_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// A tight gang that fits on no rack is spread over several without a long wait while
// most of the site is free. One small task on each rack must not delay it.
func TestTightGangSpreadsOutOnAnIdleSite(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.becomeLead()
	runTimes["small"], runTimes["tight"] = time.Hour, 2*time.Second
	small := newFlow("small", "bulk", taskStep(2, 1, time.Hour))
	for _, one := range w.workers {
		one.capacity = fleet.Res{Cores: 64000, Mem: 131072, Accels: 8}
	}
	small.Steps[0].Spread = 1
	for id, one := range w.workers {
		one.draining = id != "w0-0" && id != "w1-0"
	}
	w.postWorkers()
	w.submitAccepted(small)
	w.run(200 * time.Millisecond)
	for _, one := range w.workers {
		one.draining = false
	}
	w.postWorkers()
	f := newFlow("tight", "long", gangStep(4, 8, 2*time.Second))
	f.Steps[0].Tight = true
	w.submitAccepted(f)
	w.runUntil(3*time.Second, "start", func() bool { return w.startCount("tight") == 4 })
}

// Progress is reported in whole percents, so a task of an hour shows none for half a
// minute. It must not count as hanging.
func TestLongTaskDoesNotStandStill(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	runTimes["hour"] = time.Hour
	w.submitAccepted(newFlow("hour", "bulk", taskStep(1, 1, time.Hour)))
	w.run(2 * time.Minute)
	qt.Assert(t, w.startCount("hour"), qt.Equals, 1)
}

// A hanging task is started on another worker, and its worker is quarantined.
func TestTaskThatStandsStillIsStartedElsewhere(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	runTimes["still"] = 10 * time.Second
	w.submitAccepted(newFlow("still", "bulk", taskStep(1, 1, 10*time.Second)))
	w.run(time.Second)
	for _, one := range w.workers {
		one.hangs = len(one.runs) > 0
	}
	w.runUntil(10*time.Second, "second start", func() bool { return w.startCount("still") == 2 })
	qt.Assert(t, w.eventCount(event.WorkerAside), qt.Equals, 1)
}

// Load pattern: a gang with one slow worker. The members that have finished their
// part wait for it, and must not count as hanging.
func TestGangWaitsForItsSlowestMember(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	runTimes["uneven"] = 10 * time.Second
	w.endGangsTogether()
	w.workers["w0-0"].slow = 2
	f := newFlow("uneven", "long", gangStep(2, 8, 10*time.Second))
	w.submitAccepted(f)
	w.awaitCompleted(f, 25*time.Second)
	qt.Assert(t, w.startCount("uneven"), qt.Equals, 2)
}

// Load pattern: a stream of urgent jobs against one long task. The task is preempted
// only a few times, and then runs to its end.
func TestLongTaskEndsUnderAStreamOfUrgentJobs(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	runTimes["starved"] = 6 * time.Second
	long := newFlow("starved", "bulk", taskStep(1, 8, 6*time.Second))
	w.submitAccepted(long)
	for i := range 16 {
		id := fmt.Sprintf("urgent%d", i)
		runTimes[fleet.JobID(id)] = 1500 * time.Millisecond
		urgent := newFlow(id, "urgent", gangStep(2, 8, 1500*time.Millisecond))
		urgent.Space = "b"
		w.submit(urgent)
		w.run(2500 * time.Millisecond)
	}
	qt.Assert(t, w.stage(long), qt.Equals, wire.Stage_COMPLETED)
	qt.Assert(t, w.startCount("starved") <= 4, qt.IsTrue)
}

// A worker is not quarantined for failing a job that has failed elsewhere. The job
// must still not use up its attempts there at once (soak seed 519).
func TestJobDoesNotSpendItsAttemptsOnOneWorkerAtOnce(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	for _, one := range w.workers {
		one.fails = true
	}
	f := newFlow("unlucky", "bulk", taskStep(1, 1, time.Second))
	f.Attempts = 4
	w.submitAccepted(f)
	w.run(900 * time.Millisecond)
	qt.Assert(t, w.startCount("unlucky") <= 2, qt.IsTrue, qt.Commentf("%d starts", w.startCount("unlucky")))
	for _, one := range w.workers {
		one.fails = false
	}
	runTimes["unlucky"] = time.Second
	w.awaitCompleted(f, 8*time.Second)
}

// Load pattern: an urgent job arrives just after a change of the lead. The new lead
// has only just seen the running gang, but must count the work done so far,
// and must not preempt the gang for less.
func TestNewLeadKnowsWhatRunsAreWorth(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	runTimes["old"] = 20 * time.Second
	old := newFlow("old", "bulk", gangStep(2, 8, 20*time.Second))
	w.submitAccepted(old)
	w.run(10 * time.Second)
	w.restartDaemon()
	w.becomeLead()
	runTimes["urgent"] = 1500 * time.Millisecond
	urgent := newFlow("urgent", "urgent", gangStep(2, 8, 1500*time.Millisecond))
	urgent.Space = "b"
	w.submitAccepted(urgent)
	w.awaitCompleted(old, 12*time.Second)
	qt.Assert(t, w.startCount("old"), qt.Equals, 2)
	w.awaitCompleted(urgent, 3*time.Second)
}

// Load pattern: one worker in six begins to fail every other task while wide gangs
// arrive. No job may use up its attempts on these workers.
func TestJobsOutliveWorkersThatFail(t *testing.T) {
	w := newWorld(t, 5, 12)
	w.endGangsTogether()
	w.becomeLead()
	stream := func(name string) []*wire.Flow {
		var all []*wire.Flow
		for i := range 40 {
			id := fmt.Sprint(name, i)
			runTimes[fleet.JobID(id)] = time.Second
			f := newFlow(id, "urgent", gangStep(8, 4, time.Second))
			all = append(all, f)
			w.submit(f)
			w.run(100 * time.Millisecond)
		}
		return all
	}
	stream("before")
	for r := range 5 {
		for i := r; i < 12; i += 6 {
			w.workers[fleet.HostID(fmt.Sprintf("w%d-%d", r, i))].flaky = true
		}
	}
	all := stream("after")
	w.run(5 * time.Second)
	for _, f := range all {
		qt.Check(t, w.stage(f), qt.Equals, wire.Stage_COMPLETED, qt.Commentf("job %s", f.Id))
	}
}
