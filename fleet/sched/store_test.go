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

// An append whose answer is lost is found in the store, even if the answers to all
// appends are lost for a while.
func TestAppendWithoutAnswerIsFound(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	runTimes["lost"] = time.Second
	w.store.lost = true
	f := newFlow("lost", "bulk", taskStep(1, 1, time.Second))
	id := w.submit(f)
	w.runUntil(time.Second, "answer", func() bool { return w.submitReplies[id] != nil })
	qt.Assert(t, w.submitReplies[id].Verdict, qt.Equals, wire.Verdict_OK)
	w.awaitCompleted(f, 3*time.Second)
	qt.Assert(t, w.startCount("lost"), qt.Equals, 1)
}

// A lead that finds another daemon's claim at the offset of its own append steps
// down, and reports the job being stored as unknown.
func TestAppendBehindAnothersClaimEndsTheLead(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	w.store.records = append(w.store.records, fleet.Record{Key: sched.LeadKey, Value: otherClaim, Offset: fleet.Offset(len(w.store.records))})
	id := w.submit(newFlow("late", "bulk", taskStep(1, 1, time.Second)))
	w.runUntil(time.Second, "answer", func() bool { return w.submitReplies[id] != nil })
	qt.Assert(t, w.submitReplies[id].Verdict, qt.Equals, wire.Verdict_UNKNOWN)
	qt.Assert(t, w.scheduler.Leads(), qt.IsFalse)
}

// A lead that shuts down repeats its final heartbeat for a limited time, as a
// datagram may be lost.
func TestLeavingLeadSaysSoAgain(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	w.leavingBeats = 0
	w.post(sched.Leave{})
	w.run(2 * time.Second)
	qt.Assert(t, w.leavingBeats > 5, qt.IsTrue)
	qt.Assert(t, w.scheduler.Leads(), qt.IsFalse)
	said := w.leavingBeats
	w.run(2 * time.Second)
	qt.Assert(t, w.leavingBeats, qt.Equals, said)
}

// Load pattern: the store does not answer for seconds while jobs arrive. A job is
// accepted within half a second after the store is back, although earlier calls
// still hang.
func TestJobsAreAcceptedSoonAfterTheStoreIsBack(t *testing.T) {
	for away := 1900 * time.Millisecond; away < 4*time.Second; away += 300 * time.Millisecond {
		w := newWorld(t, 1, 2)
		w.becomeLead()
		w.store.down = true
		w.submit(newFlow("first", "bulk", taskStep(1, 1, time.Second)))
		w.run(away)
		w.store.down = false
		back := w.now
		w.runUntil(time.Second, "accept", func() bool {
			id := w.submit(newFlow(fmt.Sprint("next", w.now.UnixMilli()), "bulk", taskStep(1, 1, time.Second)))
			w.run(30 * time.Millisecond)
			return w.submitReplies[id].GetVerdict() == wire.Verdict_OK
		})
		took := w.now.Sub(back)
		qt.Check(t, took <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("store down for %s: accepted %s after it was back", away, took))
	}
}

// Load pattern: the store is slow. A job is accepted and placed in one append, so
// that it starts on acceptance and not an append later.
func TestJobStartsWithItsAcceptance(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	w.run(time.Second)
	w.appendDelay = 400 * time.Millisecond
	w.appends = 0
	runTimes["quick"] = time.Second
	f := newFlow("quick", "urgent", gangStep(2, 2, time.Second))
	w.submitAccepted(f)
	w.runUntil(50*time.Millisecond, "start", func() bool { return w.startCount("quick") == 2 })
	qt.Assert(t, w.appends, qt.Equals, 1)
}

// A job that is refused because the store does not answer frees the capacity
// assigned to it.
func TestRefusedJobLeavesItsRoom(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	w.store.down = true
	w.submit(newFlow("sent", "bulk", taskStep(1, 1, time.Second)))
	w.run(100 * time.Millisecond)
	waits := newFlow("waits", "urgent", gangStep(1, 3, time.Second))
	waits.Repeat = &wire.Repeat{Count: 2, First: w.now.UnixMilli()}
	refused := w.submit(waits)
	w.runUntil(2*time.Second, "refusal", func() bool { return w.submitReplies[refused] != nil })
	qt.Assert(t, w.submitReplies[refused].Verdict, qt.Equals, wire.Verdict_REFUSED)
	w.store.down = false
	w.run(time.Second)
	runTimes["next"] = time.Second
	next := newFlow("next", "urgent", gangStep(1, 7, time.Second))
	w.submitAccepted(next)
	w.awaitCompleted(next, 2*time.Second)
	qt.Assert(t, w.startCount("waits"), qt.Equals, 0)
}

// Load pattern: the store takes a hundred times longer than usual. Once that is
// known, jobs are accepted late rather than refused.
func TestSlowStoreIsNotTakenForOneThatIsAway(t *testing.T) {
	w := newWorld(t, 2, 8)
	w.becomeLead()
	w.run(time.Second)
	w.appendDelay = 700 * time.Millisecond
	var ids []sched.Waiter
	for i := range 40 {
		id := fmt.Sprint("slow", i)
		runTimes[fleet.JobID(id)] = time.Second
		ids = append(ids, w.submit(newFlow(id, "urgent", gangStep(2, 2, time.Second))))
		w.run(150 * time.Millisecond)
	}
	w.run(3 * time.Second)
	refused := 0
	for i, id := range ids {
		if v := w.submitReplies[id].GetVerdict(); v != wire.Verdict_OK {
			qt.Check(t, i < 8, qt.IsTrue, qt.Commentf("job %d: %s", i, v))
			refused++
		}
	}
	qt.Assert(t, refused < 8, qt.IsTrue, qt.Commentf("%d refused", refused))
}

// Load pattern: a failure domain is cut off together with the lead. The lead
// announces within a second that it is cut off, and announces when the connection is
// back. It does not if only the store is unavailable.
func TestLeadThatIsCutOffSaysSo(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	w.post(fourMembers())
	for _, c := range []struct {
		answers int
		alone   bool
	}{{3, false}, {2, false}, {1, true}, {0, true}} {
		w.peerAnswers, w.store.down = c.answers, true
		w.submit(newFlow(fmt.Sprint("cut", c.answers), "bulk", taskStep(1, 1, time.Second)))
		w.run(900 * time.Millisecond)
		qt.Check(t, w.alone, qt.Equals, c.alone, qt.Commentf("%d of 3 peers answer", c.answers))
		w.store.down = false
		w.run(2 * time.Second)
		qt.Check(t, w.alone, qt.IsFalse)
	}
}

// A cancellation is not acknowledged before it is stored, even if the caller repeats
// it while the append is in flight (simulated day, seed 11).
func TestCancellationOnItsWayIsNotAcknowledged(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	runTimes["cancelled"] = time.Minute
	f := newFlow("cancelled", "bulk", taskStep(1, 1, time.Minute))
	w.submitAccepted(f)
	w.run(200 * time.Millisecond)
	w.store.down, w.workers["w0-0"].cutOff = true, true
	for i := range 8 {
		id := w.cancel(f)
		w.run(300 * time.Millisecond)
		if r := w.cancelReplies[id]; r != nil {
			qt.Check(t, r.Verdict, qt.Not(qt.Equals), wire.Verdict_OK, qt.Commentf("try %d", i))
		}
		qt.Check(t, w.stage(f), qt.Not(qt.Equals), wire.Stage_WITHDRAWN)
	}
	w.store.down, w.workers["w0-0"].cutOff = false, false
	id := w.cancel(f)
	w.runUntil(time.Second, "acknowledgement", func() bool { return w.cancelReplies[id].GetVerdict() == wire.Verdict_OK })
	w.restartDaemon()
	w.becomeLead()
	w.run(time.Second)
	qt.Assert(t, w.stage(f), qt.Equals, wire.Stage_WITHDRAWN)
	qt.Assert(t, w.startCount("cancelled"), qt.Equals, 1)
}

// Load pattern: none. A lead that has nothing to store must ask the store alone whether
// it still leads. It asked all peers three times a second, which on a site of a hundred
// daemons was most of what an idle lead did.
func TestIdleLeadAsksOnlyTheStore(t *testing.T) {
	w := newLeadOfFour(t, 1, 1)
	w.peerAsks = 0
	w.run(10 * time.Second)
	qt.Assert(t, w.peerAsks, qt.Equals, 0)
	w.store.down = true
	w.run(time.Second)
	qt.Assert(t, w.peerAsks > 0, qt.IsTrue, qt.Commentf("the peers are asked once the store is silent"))
}

// An answer of the store may arrive after the daemon has given up the lead and claimed
// it again. It must not be taken for the answer to a newer append.
func TestAnswerFromAnEarlierLeadIsNotTakenForANewerOne(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	w.submitAccepted(newFlow("first", "bulk", taskStep(1, 1, time.Minute)))
	w.run(200 * time.Millisecond)
	old := w.lastBatch
	w.post(sched.BeatReceived{Beat: &wire.Beat{Host: "e2", Term: int64(len(w.store.records)), Inc: 1}})
	w.run(50 * time.Millisecond)
	qt.Assert(t, w.scheduler.Leads(), qt.IsFalse)
	w.becomeLead()
	w.store.down = true
	id := w.submit(newFlow("second", "bulk", taskStep(1, 1, time.Minute)))
	w.run(50 * time.Millisecond)
	for n := range old {
		w.post(sched.Appended{Batch: n + 1, End: fleet.Offset(len(w.store.records)), SentAt: w.now})
		w.run(30 * time.Millisecond)
	}
	qt.Assert(t, w.submitReplies[id] == nil || w.submitReplies[id].Verdict != wire.Verdict_OK, qt.IsTrue, qt.Commentf("accepted, but not stored"))
}

// Load pattern: the store begins to reject appends just as a job is being stored. As it
// says that nothing was done, the caller is told so within a second, and when to come
// back, and does not wait until its deadline passes (inc-afa4).
func TestJobInARejectedAppendIsRefused(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	old := newFlow("old", "bulk", taskStep(1, 1, time.Minute))
	runTimes["old"], runTimes["new"] = time.Minute, time.Minute
	w.submitAccepted(old)
	w.store.rejects = true
	f := newFlow("new", "bulk", taskStep(1, 1, time.Minute))
	id := w.submit(f)
	w.runUntil(time.Second, "refusal", func() bool { return w.submitReplies[id] != nil })
	qt.Assert(t, w.submitReplies[id].Verdict, qt.Equals, wire.Verdict_REFUSED)
	qt.Assert(t, w.submitReplies[id].Retry > 0, qt.IsTrue)
	w.store.rejects = false
	w.run(time.Second)
	qt.Assert(t, w.scheduler.Status(&wire.FlowAsk{Id: "new", Queue: "bulk", Space: "a"}).Verdict, qt.Equals, wire.Verdict_ABSENT)
	qt.Assert(t, w.startCount("new"), qt.Equals, 0)
	qt.Assert(t, w.startCount("old"), qt.Equals, 1)
	w.submitAccepted(f)
	w.runUntil(time.Second, "start", func() bool { return w.startCount("new") == 1 })
	w.restartDaemon()
	w.becomeLead()
	qt.Assert(t, w.stage(f), qt.Equals, wire.Stage_RUNS)
}

// An append without an answer may still take effect. A job in it is not refused, even
// if the store rejects every later attempt.
func TestJobInAnAppendInDoubtIsNotRefused(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	w.run(100 * time.Millisecond)
	w.store.down = true
	id := w.submit(newFlow("doubt", "bulk", taskStep(1, 1, time.Minute)))
	w.run(600 * time.Millisecond)
	w.store.down, w.store.rejects = false, true
	w.run(4 * time.Second)
	qt.Assert(t, w.submitReplies[id].Verdict, qt.Equals, wire.Verdict_UNKNOWN)
}

// A failure domain is cut off together with the lead, a task ends in it, and its worker's
// process is replaced before the cut heals. The next lead has run the task again meanwhile, so
// that the old one must not have said that the job is done, however long its appends have failed
// and whoever answers it (issue 25, seed 40119 of its day).
func TestEndIsNotToldByALeadInACut(t *testing.T) {
	for answers := range 4 {
		w := newLeadOfFour(t, 1, 2)
		id := fmt.Sprint("cut", answers)
		runTimes[fleet.JobID(id)] = time.Second
		f := newFlow(id, "urgent", gangStep(2, 2, time.Second))
		w.submitAccepted(f)
		w.run(300 * time.Millisecond)
		w.peerAnswers, w.store.down = answers, true
		for range 80 {
			w.run(100 * time.Millisecond)
			qt.Assert(t, w.stage(f), qt.Equals, wire.Stage_RUNS, qt.Commentf("%d of 3 peers answer, at %s", answers, w.now.Sub(startTime)))
		}
	}
}

// Load pattern: the store turns the lead away and serves the others while jobs arrive. Its peers
// hear of it within 0.35 s, and of its recovery at once, so that they replace it soon, but not after
// an outage for all.
func TestLeadThatIsTurnedAwaySaysSoSoon(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.post(fourMembers())
	w.becomeLead()
	w.run(time.Second)
	before := len(w.store.records)
	w.store.rejects = true
	w.submit(newFlow("turned-away", "bulk", taskStep(1, 1, time.Minute)))
	w.run(100 * time.Millisecond)
	qt.Assert(t, w.blind, qt.IsFalse, qt.Commentf("a moment of overload is no outage"))
	w.run(250 * time.Millisecond)
	qt.Assert(t, w.blind, qt.IsTrue)
	w.store.rejects = false
	w.runUntil(200*time.Millisecond, "append", func() bool { return len(w.store.records) > before })
	w.run(2 * w.tick)
	qt.Assert(t, w.blind, qt.IsFalse)
}

// Load pattern: the answers of all appends are lost for seconds while jobs arrive, and the store
// answers reads at once. Each append is found within the least timeout and a read: an answer that
// is lost does not make the store slow.
func TestLostAnswersDoNotSlowDownFurtherAppends(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	w.store.lost = true
	for i := range 6 {
		f := newFlow(fmt.Sprint("lost-answer", i), "bulk", taskStep(1, 1, time.Minute))
		id, sent := w.submit(f), w.now
		w.runUntil(2*time.Second, "answer", func() bool { return w.submitReplies[id] != nil })
		took := w.now.Sub(sent)
		qt.Check(t, took < 1100*time.Millisecond, qt.IsTrue, qt.Commentf("job %d, behind at most one other append: %s", i, took))
	}
}

// Guards against an accepted job that the next lead does not know: it has the id of one that is
// forgotten while the store is slow.
func TestJobIsNotDeletedWithAFormerOneOfItsID(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	runTimes["again"] = 100 * time.Millisecond
	f := newFlow("again", "bulk", taskStep(1, 1, time.Second))
	w.submitAccepted(f)
	w.awaitCompleted(f, 2*time.Second)
	w.run(limits.Status)
	w.runUntil(20*time.Second, "forgetting", func() bool {
		w.appendDelay = 0
		w.submit(newFlow(fmt.Sprint("other", w.now.UnixMilli()), "bulk", taskStep(1, 1, time.Second)))
		w.appendDelay = 200 * time.Millisecond
		w.step()
		return w.scheduler.Status(&wire.FlowAsk{Id: f.Id, Queue: f.Queue, Space: f.Space}).Verdict == wire.Verdict_ABSENT
	})
	runTimes["again"] = time.Minute
	w.submitAccepted(newFlow("again", "bulk", taskStep(1, 1, time.Minute)))
	w.appendDelay = 0
	w.run(time.Second)
	found := false
	for _, r := range w.store.newest() {
		found = found || r.Key == "flow/again"
	}
	qt.Assert(t, found, qt.IsTrue)
}
