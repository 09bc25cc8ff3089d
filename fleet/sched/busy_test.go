package sched_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	qt "github.com/frankban/quicktest"
)

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
