package sched_test

import (
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
