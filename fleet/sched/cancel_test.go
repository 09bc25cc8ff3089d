package sched_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// Guards against a job that starts after its cancellation was acknowledged: it was cancelled
// while it was stored, its append was refused in the end, and its caller submits it again.
func TestCancellationOfARefusedJobIsNotAcknowledged(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	w.store.rejects = true
	f := newFlow("refused", "bulk", taskStep(1, 1, time.Second))
	runTimes["refused"] = time.Second
	submitted := w.submit(f)
	w.run(500 * time.Millisecond)
	cancelled := w.cancel(f)
	w.runUntil(2*time.Second, "refusal", func() bool { return w.submitReplies[submitted] != nil })
	qt.Assert(t, w.submitReplies[submitted].Verdict, qt.Equals, wire.Verdict_REFUSED)
	w.store.rejects = false
	w.run(500 * time.Millisecond)
	w.submit(newFlow("refused", "bulk", taskStep(1, 1, time.Second)))
	w.run(time.Second)
	qt.Assert(t, w.cancelReplies[cancelled].GetVerdict(), qt.Equals, wire.Verdict_ABSENT)
	qt.Assert(t, w.startCount("refused"), qt.Equals, 1)
}
