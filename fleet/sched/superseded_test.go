package sched_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// Guards against a gang that goes on running after its job was told to be completed: its first run
// ended behind a cut, and a second one was started meanwhile (soak, seed 3).
func TestSecondRunOfAGangIsStoppedOnceTheFirstHasEnded(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	w.endGangsTogether()
	runTimes["gang"] = 3 * time.Second
	f := newFlow("gang", "bulk", gangStep(2, 2, time.Minute))
	w.submitAccepted(f)
	w.runUntil(time.Second, "start", func() bool { return w.startCount("gang") == 2 })
	first, _ := w.onlyRun()
	first.cutOff = true
	first.breakPolls()
	w.runUntil(3500*time.Millisecond, "end behind the cut", func() bool { return len(first.ends) == 2 })
	runTimes["gang"] = time.Minute
	w.runUntil(12*time.Second, "second run", func() bool { return w.startCount("gang") == 4 })
	first.cutOff = false
	w.runUntil(2*time.Second, "end", func() bool { return w.stage(f) == wire.Stage_COMPLETED })
	w.run(time.Second)
	qt.Check(t, w.running(fleet.JobID(f.Id)), qt.Equals, 0)
}
