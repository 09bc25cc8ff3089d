package sched_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	qt "github.com/frankban/quicktest"
)

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
