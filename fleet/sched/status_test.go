package sched_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// statusWait is the longest time for which a question about a job may wait in these tests.
const statusWait = 300 * time.Millisecond

// Load pattern: callers ask for the end of urgent jobs every 250 ms, each at the moment at which
// its job ends, and the store takes from 4 to 160 ms for an append. The first question learns of
// the end.
func TestQuestionThatCrossesTheEndLearnsOfIt(t *testing.T) {
	for _, delay := range []time.Duration{0, 30 * time.Millisecond, 160 * time.Millisecond} {
		w := newWorld(t, 2, 4)
		w.becomeLead()
		w.run(time.Second)
		w.appendDelay = delay
		for i := range 10 {
			f := newFlow(fmt.Sprintf("crossed%d-%s", i, delay), "urgent", gangStep(2, 2, time.Second))
			runTimes[fleet.JobID(f.Id)] = 600*time.Millisecond + time.Duration(37*i)*time.Millisecond
			w.submitAccepted(f)
			w.runUntil(2*time.Second, "start", func() bool { return w.startCount(fleet.JobID(f.Id)) == 2 })
			w.runUntil(2*time.Second, "end at the worker", func() bool { return w.endedRuns() > 2*i })
			asked := w.now
			id := w.askStatus(f)
			w.runUntil(statusWait, "answer", func() bool { return w.statusReplies[id] != nil })
			qt.Check(t, w.statusReplies[id].Stage, qt.Equals, wire.Stage_COMPLETED, qt.Commentf("job %d, appends take %s more: answered after %s", i, delay, w.now.Sub(asked)))
			w.run(time.Second)
		}
	}
}

// endedRuns returns how many runs have ended on the workers.
func (w *world) endedRuns() int {
	n := 0
	for _, one := range w.workers {
		n += int(one.ended)
	}
	return n
}

// A question is answered at once about a job that cannot end now, and within a tenth of a second
// about one that goes on.
func TestQuestionAboutAJobThatGoesOnIsAnswered(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	runs, waits := newFlow("goes-on", "bulk", taskStep(1, 8, time.Minute)), newFlow("queued", "bulk", taskStep(1, 8, time.Minute))
	runTimes["goes-on"], runTimes["queued"] = time.Minute, time.Minute
	w.submitAccepted(runs)
	w.run(200 * time.Millisecond)
	w.submitAccepted(waits)
	unknown := newFlow("unknown", "bulk", taskStep(1, 8, time.Minute))
	for _, c := range []struct {
		flow    *wire.Flow
		within  time.Duration
		verdict wire.Verdict
		stage   wire.Stage
	}{
		{runs, 100 * time.Millisecond, wire.Verdict_OK, wire.Stage_RUNS},
		{waits, w.tick, wire.Verdict_OK, wire.Stage_WAITS},
		{unknown, w.tick, wire.Verdict_ABSENT, 0},
	} {
		id := w.askStatus(c.flow)
		w.run(c.within)
		r := w.statusReplies[id]
		qt.Assert(t, r, qt.IsNotNil, qt.Commentf("%s", c.flow.Id))
		qt.Check(t, r.Verdict, qt.Equals, c.verdict, qt.Commentf("%s", c.flow.Id))
		qt.Check(t, r.Stage, qt.Equals, c.stage, qt.Commentf("%s", c.flow.Id))
	}
}

// While the store is away, the end of a job cannot be told soon, so that nobody waits for it. A
// question is answered also if the daemon gives up the lead meanwhile.
func TestQuestionDoesNotWaitForAStoreThatIsAway(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	runTimes["unstored-end"] = 500 * time.Millisecond
	f := newFlow("unstored-end", "urgent", gangStep(1, 2, time.Second))
	w.submitAccepted(f)
	w.run(200 * time.Millisecond)
	w.store.down, w.peerAnswers = true, 0
	w.run(1500 * time.Millisecond)
	id := w.askStatus(f)
	w.run(w.tick)
	qt.Assert(t, w.statusReplies[id], qt.IsNotNil)

	w.store.down = false
	w.run(time.Second)
	runTimes["lead-lost"] = time.Minute
	f = newFlow("lead-lost", "urgent", gangStep(1, 2, time.Minute))
	w.submitAccepted(f)
	w.run(100 * time.Millisecond)
	id = w.askStatus(f)
	w.post(sched.BeatReceived{Beat: &wire.Beat{Host: "e2", Term: int64(len(w.store.records)) + 1, Inc: 1}})
	w.run(w.tick)
	qt.Assert(t, w.statusReplies[id].GetVerdict(), qt.Equals, wire.Verdict_ASTRAY)
}
