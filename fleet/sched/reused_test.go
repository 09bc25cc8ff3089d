package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a job that is shown as completed without a run: its id was that of a job that is
// forgotten, and a worker that was cut off since lists an end of the former one.
func TestEndOfAForgottenJobEndsNoTaskOfALaterOneOfItsID(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	runTimes["again"] = time.Second
	f := newFlow("again", "bulk", taskStep(1, 1, time.Second))
	w.submitAccepted(f)
	w.runUntil(time.Second, "start", func() bool { return w.startCount("again") == 1 })
	one, _ := w.onlyRun()
	one.cutOff = true
	one.breakPolls()
	w.awaitCompleted(f, 20*time.Second)
	w.run(limits.Status + 6*time.Second)
	qt.Assert(t, len(one.ends), qt.Equals, 1)
	runTimes["again"] = time.Minute
	f = newFlow("again", "bulk", taskStep(1, 1, time.Minute))
	before := w.startCount("again")
	w.submitAccepted(f)
	w.runUntil(time.Second, "start", func() bool { return w.startCount("again") > before })
	one.cutOff = false
	w.run(3 * time.Second)
	qt.Assert(t, w.stage(f).String(), qt.Equals, "RUNS")
}
