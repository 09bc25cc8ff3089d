package sched_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

func TestJobOfTwoStepsRunsInOrder(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.becomeLead()
	f := newFlow("steps", "bulk", taskStep(4, 1, time.Second))
	f.Steps = append(f.Steps, taskStep(2, 1, time.Second))
	f.Steps[1].After = []int32{0}
	runTimes["steps"] = time.Second
	w.submitAccepted(f)
	w.run(900 * time.Millisecond)
	qt.Assert(t, w.startCount("steps"), qt.Equals, 4)
	w.awaitCompleted(f, 3*time.Second)
	qt.Assert(t, w.startCount("steps"), qt.Equals, 6)
}

func TestGangFailsOnceARunAndJobWithTheLastAttempt(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.becomeLead()
	for _, one := range w.workers {
		one.fails = true
	}
	f := newFlow("doomed", "urgent", gangStep(3, 2, time.Second))
	runTimes["doomed"] = time.Second
	w.submitAccepted(f)
	w.runUntil(30*time.Second, "job's end", func() bool { return w.stage(f) == wire.Stage_BROKE })
	qt.Assert(t, w.startCount("doomed"), qt.Equals, 9)
}

func TestCancelledJobIsStopped(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	f := newFlow("cancelled", "bulk", taskStep(4, 1, time.Minute))
	runTimes["cancelled"] = time.Minute
	w.submitAccepted(f)
	w.run(500 * time.Millisecond)
	id := w.cancel(f)
	w.runUntil(time.Second, "answer", func() bool { return w.cancelReplies[id] != nil })
	qt.Assert(t, w.cancelReplies[id].Verdict, qt.Equals, wire.Verdict_OK)
	w.run(time.Second)
	for _, one := range w.workers {
		qt.Assert(t, one.runs, qt.HasLen, 0)
	}
}

// cancel submits a cancellation and returns its waiter.
func (w *world) cancel(f *wire.Flow) sched.Waiter {
	w.waiters++
	w.post(sched.CancelRequested{Waiter: w.waiters, Ask: &wire.FlowAsk{Id: f.Id, Queue: f.Queue, Space: f.Space}, Deadline: w.now.Add(3 * time.Second)})
	return w.waiters
}

func (w *world) running(job fleet.JobID) int {
	n := 0
	for _, one := range w.workers {
		for k := range one.runs {
			if k.Task.Job == job {
				n++
			}
		}
	}
	return n
}

// Rounds start at their scheduled times, and a lasting task is started again no
// matter how it ends.
func TestRoundsAndLastingTasks(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	runTimes["timed"], runTimes["lasting"] = time.Second, 500*time.Millisecond
	timed := newFlow("timed", "bulk", taskStep(1, 1, time.Second))
	timed.Repeat = &wire.Repeat{Count: 3, First: w.now.Add(2 * time.Second).UnixMilli(), Every: 2000}
	lasting := newFlow("lasting", "bulk", taskStep(1, 1, time.Second))
	lasting.Steps[0].Lasting = true
	w.submitAccepted(timed)
	w.submitAccepted(lasting)
	w.run(1900 * time.Millisecond)
	qt.Assert(t, w.startCount("timed"), qt.Equals, 0)
	w.run(300 * time.Millisecond)
	qt.Assert(t, w.startCount("timed"), qt.Equals, 1)
	w.awaitCompleted(timed, 6*time.Second)
	qt.Assert(t, w.startCount("timed"), qt.Equals, 3)
	qt.Assert(t, w.startCount("lasting") > 6, qt.IsTrue)
	qt.Assert(t, w.stage(lasting), qt.Equals, wire.Stage_RUNS)
	w.cancel(lasting)
	w.run(time.Second)
	qt.Assert(t, w.running("lasting"), qt.Equals, 0)
}

// Guards against a job that fails before its attempts are used up: the members of a gang fail in
// one run, and the lead changes between their ends.
func TestRunOfAGangFailsOnceWhoeverLeads(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	runTimes["gang"] = time.Minute
	f := newFlow("gang", "bulk", gangStep(2, 8, time.Minute))
	w.submitAccepted(f)
	w.runUntil(time.Second, "start", func() bool { return w.startCount("gang") == 2 })
	w.workers["w0-1"].cutOff = true
	w.run(1600 * time.Millisecond) // the poll before is answered
	for _, one := range w.workers {
		one.fails = true
	}
	w.runUntil(time.Second, "failure", func() bool { return w.storedFails("gang") > 0 })
	w.restartDaemon()
	w.workers["w0-1"].cutOff = false
	for _, one := range w.workers {
		one.fails = false
	}
	w.becomeLead()
	w.run(2 * time.Second)
	qt.Assert(t, w.storedFails("gang"), qt.Equals, int32(1))
}

// storedFails returns how often the first step of a job has failed, as stored.
func (w *world) storedFails(id string) int32 {
	if track := w.storedTrack(id); track != nil {
		return track.Pieces[0].Fails
	}
	return 0
}
