package sched_test

import (
	"fmt"
	"strings"
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

// Guards against tasks that start after their job's cancellation was acknowledged: the job was in a
// later batch than others that came with it, and its cancellation counted as stored with the first.
func TestCancellationIsNotAcknowledgedBeforeItsJobIsStored(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	var last *wire.Flow
	for i := range 4 {
		last = newFlow(fmt.Sprint("large", i), "bulk", taskStep(1, 1, time.Second))
		last.Spec = strings.Repeat("x", 200<<10)
		w.submit(last)
	}
	id, appends := w.cancel(last), w.appends
	w.runUntil(time.Second, "append", func() bool { return w.appends > appends })
	w.store.down = true // the append that is under way is its last
	w.run(time.Second)
	qt.Check(t, w.cancelReplies[id].GetVerdict(), qt.Not(qt.Equals), wire.Verdict_OK)
	w.store.down = false
	id = w.cancel(last)
	w.runUntil(time.Second, "acknowledgement", func() bool { return w.cancelReplies[id].GetVerdict() == wire.Verdict_OK })
	qt.Check(t, w.endIsStored(last.Id), qt.IsTrue)
}
