package sched_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/sched"
	qt "github.com/frankban/quicktest"
)

// losePolls makes the answers to polls that are on their way to the daemon fail a second later.
func (w *world) losePolls() {
	for i, d := range w.later {
		if e, ok := d.event.(sched.Polled); ok && e.Err == nil {
			e.Report, e.Err = fleet.WorkerReport{}, &fleet.Error{Op: "look", Kind: fleet.OutcomeUnknown, Err: errUnreachable}
			w.later[i] = delayed{w.now.Add(callTimeout), e}
		}
	}
}

// loseStarts does the same with the answers to starts.
func (w *world) loseStarts() {
	for i, d := range w.later {
		if e, ok := d.event.(sched.Started); ok && e.Clock > 0 {
			e.Clock, e.Err = 0, &fleet.Error{Op: "start", Kind: fleet.OutcomeUnknown, Err: errUnreachable}
			w.later[i] = delayed{w.now.Add(callTimeout), e}
		}
	}
}

// endOnIdleWorker runs a job on the only worker, which forgets the end of its run, and returns the worker.
func endOnIdleWorker(w *world) *worker {
	w.t.Helper()
	w.becomeLead()
	one := w.sorted()[0]
	runTimes["former"], runTimes["later"] = 60*time.Millisecond, 60*time.Millisecond
	former := newFlow("former", "urgent", taskStep(1, 2, time.Second))
	w.submitAccepted(former)
	w.awaitCompleted(former, time.Second)
	w.runUntil(time.Second, "acknowledgement", func() bool { return len(one.ends) == 0 })
	return one
}

// checkUnread fails the test if a worker has forgotten the end of a job that no lead has read.
func (w *world) checkUnread(one *worker, id string) {
	w.t.Helper()
	qt.Assert(w.t, one.ended, qt.Equals, fleet.EndNo(1))
	if len(one.ends) == 0 && len(w.linesAbout(id, event.RunEnded)) == 0 {
		w.printLog()
		w.t.Errorf("%s was told to forget an end that no lead has read", one.id)
	}
}

// Guards against ends that a worker forgets before any lead has read them: the process of an idle
// worker is replaced, and polls follow before any of the lost answers of the new one is overdue.
func TestPollBeforeAnyAnswerIsOverdueLetsANewProcessForgetNothing(t *testing.T) {
	w := newWorld(t, 1, 1)
	one := endOnIdleWorker(w)
	w.run(3 * time.Second)
	one.crash(w.now)
	later := newFlow("later", "urgent", taskStep(1, 2, time.Second))
	w.submit(later)
	for until := w.now.Add(330 * time.Millisecond); w.now.Before(until); {
		w.step()
		w.losePolls()
		w.loseStarts()
	}
	w.checkUnread(one, later.Id)
	w.awaitCompleted(later, 5*time.Second)
	qt.Check(t, w.startCount("later"), qt.Equals, 1)
}

// Guards against ends that a worker forgets before any lead has read them: the clock of a young
// worker's new process does not show that it is a new one, and answers to polls are lost.
func TestNewProcessOfAYoungWorkerIsNotToldToForgetEndsOfTheFormer(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.sorted()[0].crash(w.now)
	w.postWorkers()
	one := endOnIdleWorker(w)
	w.run(800 * time.Millisecond)
	one.crash(w.now)
	later := newFlow("later", "urgent", taskStep(1, 2, time.Second))
	w.submit(later)
	for until := w.now.Add(800 * time.Millisecond); w.now.Before(until) && (one.ended == 0 || len(one.ends) > 0); {
		w.step()
		w.losePolls()
	}
	w.checkUnread(one, later.Id)
	w.awaitCompleted(later, 5*time.Second)
	qt.Check(t, w.startCount("later"), qt.Equals, 1)
}

// Guards against ends that a worker forgets before they are stored, so that no lead learns of them
// any more: a batch held ends of a process that was replaced meanwhile, and the first ends of the
// new one, whose numbers begin anew, counted as stored with it.
func TestEndsOfANewProcessAreNotForgottenWithThoseOfTheFormer(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	one := w.sorted()[0]
	runTimes["former"], runTimes["later"] = 60*time.Millisecond, 60*time.Millisecond
	former, later := newFlow("former", "urgent", taskStep(1, 2, time.Second)), newFlow("later", "urgent", taskStep(1, 2, time.Second))
	w.submitAccepted(former)
	w.runUntil(time.Second, "start", func() bool { return w.startCount("former") == 1 })
	one.startDelay, one.maxDelayed = time.Second, 1
	w.submitAccepted(later)
	w.runUntil(time.Second, "start that is not answered", func() bool { return len(one.pending) == 1 })
	w.appendDelay = 450 * time.Millisecond
	appends := w.appends
	w.runUntil(time.Second, "append of the end", func() bool { return w.appends > appends })
	w.store.down = true // the append that is under way is its last
	one.startDelay = 0
	one.crash(w.now)
	w.runUntil(time.Second, "end in the new process", func() bool { return one.ended == 1 })
	for until := w.now.Add(3 * time.Second); w.now.Before(until); {
		w.step()
		if len(one.ends) == 0 && !w.endIsStored("later") {
			w.printLog()
			t.Fatalf("at %s the worker forgets an end that is not stored", w.now.Sub(startTime))
		}
	}
}

// Guards against ends that a worker forgets before any lead has read them: its process was replaced
// unnoticed, and the next poll acknowledged the ends of the former process to the new one, whose
// numbers begin anew.
func TestNewProcessIsNotToldToForgetEndsOfTheFormer(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	one := w.sorted()[0]
	for _, id := range []fleet.JobID{"former", "later"} {
		runTimes[id] = 60 * time.Millisecond
	}
	former, later := newFlow("former", "urgent", taskStep(1, 2, time.Second)), newFlow("later", "urgent", taskStep(1, 2, time.Second))
	w.submitAccepted(former)
	w.awaitCompleted(former, time.Second)
	w.runUntil(time.Second, "acknowledgement", func() bool { return len(one.ends) == 0 })
	one.startDelay, one.maxDelayed = time.Second, 1
	w.submitAccepted(later)
	w.runUntil(time.Second, "start that is not answered", func() bool { return len(one.pending) == 1 })
	one.startDelay = 0
	one.crash(w.now)
	w.awaitCompleted(later, 2*time.Second)
	qt.Check(t, w.startCount("later"), qt.Equals, 1)
}

// Guards against ends of a new process that are forgotten by a poll for the former one, sent before
// any call to the worker failed: only a poll with something to forget names a number.
func TestPollsNameNoEndsThatAreForgotten(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	one := w.sorted()[0]
	runTimes["short"], runTimes["long"] = 60*time.Millisecond, time.Minute
	w.submitAccepted(newFlow("long", "bulk", taskStep(1, 2, time.Minute)))
	w.submitAccepted(newFlow("short", "urgent", taskStep(1, 2, time.Second)))
	w.runUntil(time.Second, "acknowledgement", func() bool { return one.acked == 1 })
	w.run(2 * time.Second)
	qt.Check(t, one.acked, qt.Equals, fleet.EndNo(0))
	qt.Check(t, one.ends, qt.HasLen, 0)
}

// Guards against ends that a worker forgets before any lead has read them: the long poll that lets it
// forget an end hangs as its process is replaced, and another poll follows before any answer is overdue.
func TestNewProcessOfABusyWorkerIsNotToldToForgetEndsOfTheFormer(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	one := w.sorted()[0]
	runTimes["long"], runTimes["former"], runTimes["later"] = time.Minute, 60*time.Millisecond, 60*time.Millisecond
	w.submitAccepted(newFlow("long", "bulk", taskStep(1, 2, time.Minute)))
	former, later := newFlow("former", "urgent", taskStep(1, 2, time.Second)), newFlow("later", "urgent", taskStep(1, 2, time.Second))
	w.submitAccepted(former)
	w.awaitCompleted(former, time.Second)
	w.runUntil(time.Second, "acknowledgement", func() bool { return one.ended == 1 && len(one.ends) == 0 && len(one.longPolls) > 0 })
	one.longPolls = nil // no answer, and no failure for long
	one.crash(w.now)
	w.submit(later)
	for until := w.now.Add(330 * time.Millisecond); w.now.Before(until); {
		w.step()
		w.losePolls()
		w.loseStarts()
	}
	w.checkUnread(one, later.Id)
	w.awaitCompleted(later, 8*time.Second)
	qt.Check(t, w.startCount(fleet.JobID(later.Id)), qt.Equals, 1)
}

// Guards against ends that a worker lists for ever, so that each poll is answered at once: a poll that
// named ends of a former process reached the new one, and was answered after the list of workers had
// shown that one.
func TestEndsOfANewProcessAreForgottenAfterAPollForTheFormer(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	one := w.sorted()[0]
	runTimes["long"] = time.Minute
	w.submitAccepted(newFlow("long", "bulk", taskStep(1, 2, time.Minute)))
	for i := range 5 {
		f := newFlow(fmt.Sprint("former", i), "urgent", taskStep(1, 1, time.Second))
		runTimes[fleet.JobID(f.Id)] = 60 * time.Millisecond
		w.submitAccepted(f)
		w.awaitCompleted(f, 2*time.Second)
	}
	w.runUntil(time.Second, "acknowledgement", func() bool { return one.ended == 5 && len(one.ends) == 0 && len(one.longPolls) > 0 })
	onItsWay := one.longPolls
	one.longPolls = nil
	one.crash(w.now)
	one.longPolls = onItsWay
	w.postWorkers()
	w.run(2 * time.Second)
	for i := range 2 {
		f := newFlow(fmt.Sprint("later", i), "urgent", taskStep(1, 1, time.Second))
		runTimes[fleet.JobID(f.Id)] = 60 * time.Millisecond
		w.submitAccepted(f)
		w.awaitCompleted(f, 2*time.Second)
	}
	w.run(time.Second)
	before := w.polls
	w.run(2 * time.Second)
	qt.Check(t, one.ends, qt.HasLen, 0)
	qt.Check(t, w.polls-before < 20, qt.IsTrue, qt.Commentf("%d polls of one worker in 2 s", w.polls-before))
}
