package sched_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// leave makes a worker announce that it leaves.
func (w *worker) leave() { w.draining, w.drainLeft = true, limits.Drain }

// follow lets another daemon lead for a while.
func (w *world) follow(span time.Duration) {
	term := int64(len(w.store.records) + 1)
	for end := w.now.Add(span); w.now.Before(end); {
		w.post(sched.BeatReceived{Beat: &wire.Beat{Host: "e2", Term: term, Inc: 1}})
		w.run(100 * time.Millisecond)
	}
}

// checkNothingStartsOn submits a job by a list of workers that is not renewed, renews the
// list, and checks that the job ends without a start on the worker.
func (w *world) checkNothingStartsOn(left *worker, id string) {
	w.t.Helper()
	const span = 100 * time.Millisecond
	runTimes[fleet.JobID(id)] = span
	f := newFlow(id, "bulk", taskStep(16, 1, span))
	w.submitAccepted(f)
	w.run(500 * time.Millisecond)
	qt.Check(w.t, left.started[fleet.JobID(id)], qt.Equals, 0)
	w.listHangs = false
	w.postWorkers()
	w.awaitCompleted(f, 2*time.Second)
	qt.Check(w.t, left.started[fleet.JobID(id)], qt.Equals, 0)
}

// A daemon leads, follows another lead while a worker leaves, and leads again before it
// has read the present list of workers.
func TestLeadThatReturnsStartsNothingOnWorkersThatLeft(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	w.run(500 * time.Millisecond)
	w.listHangs = true
	w.follow(500 * time.Millisecond)
	qt.Assert(t, w.scheduler.Leads(), qt.IsFalse)
	left := w.workers["w0-0"]
	left.leave()
	w.follow(limits.Drain)
	w.becomeLead()
	w.checkNothingStartsOn(left, "returns")
}

// The list of workers cannot be read while the store takes appends, and a worker leaves
// meanwhile.
func TestNothingStartsByAListThatIsNotRenewed(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	w.run(500 * time.Millisecond)
	w.listHangs = true
	left := w.workers["w0-0"]
	left.leave()
	w.run(limits.Drain - 50*time.Millisecond)
	reads := w.eventCount(event.WorkersRead)
	w.checkNothingStartsOn(left, "unread")
	qt.Check(t, w.eventCount(event.WorkersUnread), qt.Equals, 1)
	qt.Check(t, w.eventCount(event.WorkersRead), qt.Equals, reads+1)
}

// While a placement is being stored, its worker leaves, disappears from the list, or has
// its failure domain taken out of service.
func TestStartIsNotSentToWorkerThatLeavesWhileItIsStored(t *testing.T) {
	for name, leave := range map[string]func(*world, *worker){
		"leaves":     func(_ *world, one *worker) { one.leave() },
		"disappears": func(_ *world, one *worker) { one.unlisted = true },
		"domain out": func(w *world, one *worker) {
			w.outOfService = map[fleet.DomainID]bool{one.domain: true}
			w.postConfig()
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 4)
			left := w.workers["w0-0"]
			left.domain = "d2"
			w.postWorkers()
			w.becomeLead()
			w.run(500 * time.Millisecond)
			runTimes["stored"], runTimes["gang"] = 100*time.Millisecond, 100*time.Millisecond
			f := newFlow("stored", "bulk", taskStep(16, 1, 100*time.Millisecond))
			gang := newFlow("gang", "bulk", gangStep(2, 8, 100*time.Millisecond))
			w.appendDelay = 300 * time.Millisecond
			w.submit(f)
			w.submit(gang)
			w.run(150 * time.Millisecond)
			leave(w, left)
			w.postWorkers()
			w.run(300 * time.Millisecond)
			qt.Check(t, left.started["stored"]+left.started["gang"], qt.Equals, 0)
			w.appendDelay = 0
			w.awaitCompleted(f, 3*time.Second)
			w.awaitCompleted(gang, 3*time.Second)
			qt.Check(t, left.started["stored"]+left.started["gang"], qt.Equals, 0)
			qt.Check(t, w.startCount("gang"), qt.Equals, 2, qt.Commentf("no member starts before the whole gang can"))
		})
	}
}

// A start gets no answer, and its worker leaves before the start would be sent again.
func TestStartIsNotSentAgainToWorkerThatLeaves(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	w.run(500 * time.Millisecond)
	left := w.workers["w0-0"]
	left.cutOff = true
	runTimes["again"] = 100 * time.Millisecond
	f := newFlow("again", "bulk", taskStep(16, 1, 100*time.Millisecond))
	w.submitAccepted(f)
	w.run(50 * time.Millisecond)
	left.cutOff = false
	left.leave()
	w.postWorkers()
	w.awaitCompleted(f, 5*time.Second)
	qt.Check(t, left.started["again"], qt.Equals, 0)
}
