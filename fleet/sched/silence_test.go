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

// fourDaemons makes the daemon one of four and the lead of a running gang that fills both workers.
func fourDaemons(t *testing.T, id fleet.JobID) *world {
	w := newWorld(t, 1, 2)
	w.endGangsTogether()
	w.peerAnswers = 3
	w.post(fourMembers())
	w.becomeLead()
	runTimes[id] = time.Minute
	w.submitAccepted(newFlow(string(id), "bulk", gangStep(2, 8, time.Minute)))
	w.run(time.Second)
	return w
}

// An answer of the store that was sent before a cut may arrive 1.2 s later, the timeout of a read.
// It must not count as a present confirmation: the lead in the cut would renew leases later than
// its successor allows for (issue 25).
func TestLateAnswerOfTheStoreRenewsNoLeases(t *testing.T) {
	for phase := time.Duration(0); phase < 1500*time.Millisecond; phase += 100 * time.Millisecond {
		w := fourDaemons(t, "late-answer")
		w.run(phase)
		w.peerAnswers, w.store.down = 1, true
		cut, end := w.now, fleet.Offset(len(w.store.records))
		w.run(1200 * time.Millisecond)
		w.post(sched.Checked{End: end, SentAt: cut})
		w.run(3 * time.Second)
		until := w.workers["w0-0"].leaseUntil.Sub(cut)
		qt.Check(t, until <= limits.Lease+1250*time.Millisecond, qt.IsTrue, qt.Commentf("cut at phase %s: %s after the cut", phase, until))
	}
}

// freeze lets the time pass for the workers, but not for the daemon.
func (w *world) freeze(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(w.tick)
		for _, one := range w.workers {
			one.advance(w.now)
		}
	}
}

// A lead wakes from a freeze behind a cut. Its successor renews the leases outside. It must not
// take them for expired, and stop the other members of their gangs, before the store or its peers
// have answered since (issue 25).
func TestLeadThatWakesInACutStopsNoGangs(t *testing.T) {
	w := fourDaemons(t, "wakes")
	outside, inside := w.workers["w0-0"], w.workers["w0-1"]
	outside.leaseUntil, inside.leaseUntil = w.now.Add(time.Hour), w.now.Add(time.Hour) // renewed by the next lead
	w.freeze(2 * limits.Lease)
	w.peerAnswers, w.store.down, outside.cutOff = 0, true, true
	w.run(2 * time.Second)
	qt.Check(t, w.eventCount(event.WorkerLost), qt.Equals, 0)
	qt.Check(t, w.eventCount(event.RunStopped), qt.Equals, 0)
}

// A lead freezes for 2 s, in which it may be replaced, and wakes behind a cut. It must not
// renew leases by what it knew before (issue 25).
func TestLeadThatWakesInACutRenewsNoLeases(t *testing.T) {
	w := fourDaemons(t, "wakes-soon")
	frozen := w.now
	w.freeze(2 * time.Second)
	w.peerAnswers, w.store.down = 0, true
	w.run(2 * time.Second)
	for _, one := range w.workers {
		qt.Check(t, one.leaseUntil.Sub(frozen) <= limits.Lease+1250*time.Millisecond, qt.IsTrue, qt.Commentf("%s after the freeze", one.leaseUntil.Sub(frozen)))
	}
}

// The store is away for all, all peers answer, and the lead freezes. When it wakes it may have
// been replaced. It must not report an end that it learns of then, nor one from before the
// freeze (issue 25).
func TestEndIsNotToldByAnswersFromBeforeAFreeze(t *testing.T) {
	w := newLeadOfFour(t, 1, 2)
	runTimes["froze"], runTimes["ended-before"] = 4*time.Second, time.Second
	f, before := newFlow("froze", "urgent", gangStep(2, 2, 4*time.Second)), newFlow("ended-before", "urgent", gangStep(2, 2, time.Second))
	w.submitAccepted(f)
	w.submitAccepted(before)
	w.run(300 * time.Millisecond)
	w.store.down = true
	w.run(2 * time.Second)
	w.freeze(5 * time.Second)
	w.peerAnswers = 0
	for range 300 {
		w.step()
		qt.Assert(t, w.stage(f), qt.Equals, wire.Stage_RUNS, qt.Commentf("at %s", w.now.Sub(startTime)))
		qt.Assert(t, w.stage(before), qt.Equals, wire.Stage_RUNS, qt.Commentf("at %s", w.now.Sub(startTime)))
	}
}

// Answers of a round that arrive in the next one say nothing about the present: two late
// ones and one of now are not three peers that answer (issue 25).
func TestAnswersOfAnEarlierRoundAreNotCounted(t *testing.T) {
	w := newLeadOfFour(t, 1, 1)
	w.peerAnswers, w.store.down = 1, true
	w.submit(newFlow("rounds", "bulk", taskStep(1, 1, time.Second)))
	rounds := w.peerAsks
	asked := w.now
	w.runUntil(2*time.Second, "second round", func() bool { return w.peerAsks == rounds+2 })
	for range 2 {
		w.post(sched.PeerAnswered{AskedAt: asked, Reply: &wire.SightReply{}})
	}
	w.run(400 * time.Millisecond)
	qt.Check(t, w.alone, qt.IsTrue)
}

// A lead in a cut does not know the jobs that its successor has accepted. It must not tell
// callers that there is no such job (issue 25).
func TestLeadInACutDoesNotSayThatAJobIsUnknown(t *testing.T) {
	w := fourDaemons(t, "known")
	ask := &wire.FlowAsk{Id: "elsewhere", Queue: "bulk", Space: "a"}
	qt.Assert(t, w.scheduler.Status(ask).Verdict, qt.Equals, wire.Verdict_ABSENT)
	w.peerAnswers, w.store.down = 1, true
	w.run(2 * time.Second)
	qt.Check(t, w.scheduler.Status(ask).Verdict, qt.Equals, wire.Verdict_UNKNOWN)
	id := w.cancel(newFlow("elsewhere", "bulk", taskStep(1, 1, time.Minute)))
	w.run(50 * time.Millisecond)
	qt.Assert(t, w.cancelReplies[id], qt.IsNotNil)
	qt.Check(t, w.cancelReplies[id].Verdict, qt.Equals, wire.Verdict_UNKNOWN)
	w.peerAnswers, w.store.down = 3, false
	w.run(2 * time.Second)
	qt.Check(t, w.scheduler.Status(ask).Verdict, qt.Equals, wire.Verdict_ABSENT)
}

// A task ends behind a cut, and nothing was being stored when the cut began. Its end must not be
// told while the first append behind the cut is new, as it will be lost (issue 25).
func TestEndIsNotToldByANewAppendInACut(t *testing.T) {
	w := newLeadOfFour(t, 1, 2)
	runTimes["window"] = time.Second
	f := newFlow("window", "urgent", gangStep(2, 2, time.Second))
	w.submitAccepted(f)
	w.run(300 * time.Millisecond)
	w.peerAnswers, w.store.down = 0, true
	for range 300 {
		w.step()
		qt.Assert(t, w.stage(f), qt.Equals, wire.Stage_RUNS, qt.Commentf("at %s", w.now.Sub(startTime)))
	}
}

// The answer to a claim arrives late, as after a freeze, in which another daemon may have claimed. The
// new lead must grant no leases by it (issue 25).
func TestLateAnswerToAClaimConfirmsNoLead(t *testing.T) {
	w := fourDaemons(t, "claimed")
	w.restartDaemon()
	w.post(fourMembers())
	w.claimDelay, w.claims = 3*time.Second, 0
	w.runUntil(5*time.Second, "claim", func() bool { return w.claims > 0 })
	w.peerAnswers, w.store.down = 0, true
	w.runUntil(5*time.Second, "lead", w.scheduler.Leads)
	until := w.workers["w0-0"].leaseUntil
	w.run(2 * time.Second)
	qt.Check(t, w.workers["w0-0"].leaseUntil, qt.Equals, until)
}
