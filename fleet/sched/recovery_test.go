package sched_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/pool"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// The runs of a worker that is gone are started elsewhere. Polls that do not reach
// the worker must not extend its lease.
func TestRunsOfAWorkerThatIsGoneStartElsewhere(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	f := newFlow("moved", "bulk", taskStep(1, 1, 20*time.Second))
	runTimes["moved"] = 20 * time.Second
	w.submitAccepted(f)
	w.run(time.Second)
	for _, one := range w.workers {
		if len(one.runs) > 0 {
			one.cutOff, one.unlisted = true, true
		}
	}
	w.postWorkers()
	w.runUntil(limits.Lease+3*time.Second, "second start", func() bool { return w.startCount("moved") == 2 })
	qt.Assert(t, w.eventCount(event.WorkerLost), qt.Equals, 1)
}

// The gang of a worker that is gone is started elsewhere. Stops that do not reach
// the worker must not count as contact with it.
func TestGangOfAWorkerThatIsGoneStartsElsewhere(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.becomeLead()
	f := newFlow("gang", "long", gangStep(2, 8, 20*time.Second))
	runTimes["gang"] = 20 * time.Second
	w.submitAccepted(f)
	w.run(time.Second)
	for _, one := range w.workers {
		if len(one.runs) > 0 {
			one.cutOff, one.unlisted = true, true
			break
		}
	}
	w.postWorkers()
	for _, one := range w.workers {
		for k := range one.runs {
			if !one.cutOff {
				one.end(k, fleet.EndBroken, "")
			}
		}
	}
	w.runUntil(limits.Lease+3*time.Second, "second start", func() bool { return w.startCount("gang") == 4 })
}

// A start without an answer is stopped. Once the stop is answered, a poll that does
// not list the run confirms that it is gone, even if a long poll is in flight.
func TestStartThatGotNoAnswerIsSettled(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	runTimes["late"] = time.Second
	for _, one := range w.workers {
		one.startDelay = 8 * time.Second
	}
	f := newFlow("late", "bulk", taskStep(1, 1, time.Second))
	w.submitAccepted(f)
	w.runUntil(2*time.Second, "stop", func() bool { return w.eventCount(event.RunStopped) > 0 })
	for _, one := range w.workers {
		one.startDelay = 0
	}
	w.runUntil(4*time.Second, "start elsewhere", func() bool { return w.startCount("late") == 1 })
	w.awaitCompleted(f, 2*time.Second)
	w.run(8 * time.Second)
	qt.Assert(t, w.startCount("late"), qt.Equals, 1)
}

// A worker that was idle for longer than a lease has no lease in force. That must
// not make it lost when the next start for it is queued but not sent yet.
func TestIdleWorkerIsNotLostAtItsNextStart(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	runTimes["first"], runTimes["second"] = 200*time.Millisecond, 200*time.Millisecond
	f := newFlow("first", "bulk", taskStep(1, 1, 200*time.Millisecond))
	w.submitAccepted(f)
	w.awaitCompleted(f, time.Second)
	w.run(2 * limits.Lease)
	w.appendDelay = 50 * time.Millisecond
	s := newFlow("second", "bulk", taskStep(1, 1, 200*time.Millisecond))
	w.submitAccepted(s)
	w.awaitCompleted(s, time.Second)
	qt.Assert(t, w.eventCount(event.WorkerLost), qt.Equals, 0)
}

// On a draining worker, runs that would not end in time are moved to another worker
// before it leaves.
func TestRunsLeaveAWorkerThatLeaves(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	runTimes["leaves"], runTimes["stays"] = 10*time.Second, time.Second
	long := newFlow("leaves", "bulk", taskStep(1, 1, 10*time.Second))
	long.Steps[0].Saves = true
	short := newFlow("stays", "bulk", taskStep(1, 1, time.Second))
	w.submitAccepted(long)
	w.submitAccepted(short)
	w.run(300 * time.Millisecond)
	for _, one := range w.workers {
		if len(one.runs) > 0 {
			one.draining, one.drainLeft = true, 2*time.Second
		}
	}
	w.postWorkers()
	w.runUntil(2*time.Second, "start elsewhere", func() bool { return w.startCount("leaves") == 2 })
	w.awaitCompleted(short, 2*time.Second)
	qt.Assert(t, w.startCount("stays"), qt.Equals, 1)
}

// Load pattern: one request in twenty gets no answer and is carried out seconds
// later. The start is sent again, as it is idempotent, and the gang keeps the work
// that its other members have done.
func TestStartWithoutAnswerIsSentAgain(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.endGangsTogether()
	w.becomeLead()
	w.workers["w0-1"].startDelay, w.workers["w0-1"].maxDelayed = 3*time.Second, 1
	runTimes["again"] = 2 * time.Second
	f := newFlow("again", "urgent", gangStep(4, 8, 2*time.Second))
	begun := w.now
	w.submitAccepted(f)
	w.awaitCompleted(f, 4*time.Second)
	qt.Assert(t, w.now.Sub(begun) < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("it took %s", w.now.Sub(begun)))
	w.run(4 * time.Second)
	qt.Assert(t, w.startCount("again"), qt.Equals, 4)
}

// A run that has ended before its start is sent again must not start anew: its
// worker reports the end.
func TestStartThatIsSentAgainAfterItsEnd(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	for _, one := range w.workers {
		one.losesAnswers = true
	}
	runTimes["brief"] = 50 * time.Millisecond
	f := newFlow("brief", "bulk", taskStep(1, 1, 50*time.Millisecond))
	w.submitAccepted(f)
	w.run(400 * time.Millisecond)
	for _, one := range w.workers {
		one.losesAnswers = false
	}
	w.awaitCompleted(f, 3*time.Second)
	qt.Assert(t, w.startCount("brief"), qt.Equals, 1)
}

// If a start is sent again and that send is refused or cannot be made, the first
// send may still have taken effect. This happened on a large site when all
// connections were in use.
func TestSecondSendThatFailsTellsNothingAboutTheFirst(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.Unsent, fleet.Full, fleet.NotApplied, fleet.Late} {
		w := newWorld(t, 1, 2)
		w.becomeLead()
		for _, one := range w.workers {
			one.losesAnswers, one.repeatedStartErr = true, &fleet.Error{Op: "start", Kind: kind}
		}
		runTimes["second"] = 3 * time.Second
		f := newFlow("second", "bulk", taskStep(1, 1, 3*time.Second))
		w.submitAccepted(f)
		begun, overlap := w.now, 0
		w.runUntil(12*time.Second, "end", func() bool {
			running := 0
			for _, one := range w.workers {
				one.losesAnswers = one.losesAnswers && w.now.Sub(begun) < 500*time.Millisecond
				running += len(one.runs)
			}
			overlap = max(overlap, running)
			return w.stage(f) == wire.Stage_COMPLETED
		})
		qt.Check(t, overlap, qt.Equals, 1, qt.Commentf("kind %s", kind))
	}
}

// Load pattern: workers are taken away at short notice, before their process can
// drain. Runs that would end too late, or too late to be reported, are stopped while
// their end can still be reported, and not only when the lease has expired.
func TestRunsLeaveAWorkerThatIsTakenAway(t *testing.T) {
	for run := 1200 * time.Millisecond; run < 4*time.Second; run += 200 * time.Millisecond {
		w := newWorld(t, 1, 2)
		w.endGangsTogether()
		w.becomeLead()
		runTimes["taken"] = run
		f := newFlow("taken", "urgent", gangStep(2, 8, run))
		w.submitAccepted(f)
		w.run(300 * time.Millisecond)
		gone := w.workers["w0-0"]
		gone.draining, gone.drainLeft = true, 1600*time.Millisecond
		w.postWorkers()
		w.run(1600 * time.Millisecond)
		gone.cutOff, gone.hangs = true, true
		w.workers["w0-2"] = newWorker("w0-2", "r0", w.now)
		w.postWorkers()
		w.runUntil(run+time.Second, fmt.Sprintf("end of a run of %s", run), func() bool { return w.stage(f) == wire.Stage_COMPLETED })
	}
}

// A start in flight when a worker's process is replaced may be carried out by the
// new process. Its capacity stays taken until that is known.
func TestStartThatMayReachAReplacedProcessKeepsItsRoom(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	runTimes["early"], runTimes["wide"] = time.Minute, time.Second
	var one *worker
	for _, one = range w.workers {
		one.startDelay = 700 * time.Millisecond
	}
	w.submitAccepted(newFlow("early", "bulk", taskStep(1, 8, time.Minute)))
	w.runUntil(time.Second, "start on its way", func() bool { return len(one.pending) > 0 })
	pending := one.pending
	one.crash(w.now)
	one.pending, one.startDelay = pending, 0
	w.postWorkers()
	w.submitAccepted(newFlow("wide", "urgent", taskStep(1, 8, time.Second)))
	w.run(3 * time.Second)
	qt.Assert(t, one.maxAccels <= 8, qt.IsTrue, qt.Commentf("%d accelerators in use", one.maxAccels))
}

// A long poll in flight must not delay the poll that confirms a stop.
func TestStopIsSettledBesideALongPoll(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	runTimes["long"], runTimes["late"] = time.Minute, time.Second
	w.submitAccepted(newFlow("long", "bulk", taskStep(1, 1, time.Minute)))
	w.run(300 * time.Millisecond)
	var one *worker
	for _, one = range w.workers {
		one.startDelay = 8 * time.Second
	}
	w.submitAccepted(newFlow("late", "bulk", taskStep(1, 1, time.Second)))
	w.run(100 * time.Millisecond)
	one.startDelay = 0
	w.runUntil(callTimeout+600*time.Millisecond, "second start", func() bool { return w.startCount("late") == 1 })
}

// Ends of runs without a job record require nothing to be stored. They are
// acknowledged at once, and the worker is not polled over and over.
func TestEndsOfStrayRunsAreForgotten(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	for _, one := range w.workers {
		for n := range 3 {
			k := pool.Key{Task: fleet.Task{Job: "nobody", Index: n}, No: 1}
			one.runs[k] = &running{left: time.Minute}
			one.leaseUntil = w.now.Add(time.Hour)
		}
	}
	runTimes["known"] = time.Second
	f := newFlow("known", "bulk", taskStep(1, 1, time.Second))
	w.submitAccepted(f)
	w.awaitCompleted(f, 5*time.Second)
	w.run(2 * time.Second)
	w.polls = 0
	w.run(5 * time.Second)
	qt.Assert(t, w.polls < 10, qt.IsTrue, qt.Commentf("%d polls", w.polls))
	for _, one := range w.workers {
		qt.Assert(t, one.ends, qt.HasLen, 0)
	}
}

// A worker that was cut off for longer than its lease may have finished runs before.
// It is polled for their ends once it is reachable, even if it has left the service
// discovery, so that a finished task is not run to its end again.
func TestEndsBehindACutAreStillAskedFor(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	runTimes["behind"] = 4 * time.Second
	f := newFlow("behind", "bulk", taskStep(1, 1, 4*time.Second))
	w.submitAccepted(f)
	w.run(500 * time.Millisecond)
	var one *worker
	for _, o := range w.workers {
		if len(o.runs) > 0 {
			one = o
		}
	}
	one.cutOff, one.unlisted = true, true
	w.postWorkers()
	w.runUntil(limits.Lease+3*time.Second, "second start", func() bool { return w.startCount("behind") == 2 })
	runTimes["behind"] = time.Minute
	for _, o := range w.workers {
		for _, r := range o.runs {
			r.left = time.Minute
		}
	}
	one.cutOff = false
	w.awaitCompleted(f, 3*time.Second)
}

// A worker's new process may answer a start before the restart is known. The next
// poll decides what it runs (soak seed 511).
func TestStartAnsweredByTheNextProcessIsKept(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	runTimes["kept"] = 2 * time.Second
	for _, one := range w.workers {
		one.crash(w.now)
	}
	f := newFlow("kept", "bulk", taskStep(1, 1, 2*time.Second))
	w.submitAccepted(f)
	w.runUntil(time.Second, "start", func() bool { return w.running("kept") == 1 })
	w.run(20 * time.Millisecond)
	w.postWorkers()
	w.awaitCompleted(f, 4*time.Second)
	qt.Assert(t, w.startCount("kept"), qt.Equals, 1)
}

// Load pattern: a failure domain is cut off while urgent gangs arrive. None of them
// waits for workers there, except for the few placed before it is detected.
func TestGangsAvoidAFailureDomainThatIsCutOff(t *testing.T) {
	w := newWorld(t, 6, 4)
	for _, one := range w.workers {
		one.domain = "near"
		if one.rack < "r2" {
			one.domain = "far"
		}
	}
	w.postWorkers()
	w.becomeLead()
	runTimes["busy"] = time.Minute
	busy := newFlow("busy", "bulk", taskStep(24, 1, time.Minute))
	busy.Steps[0].Spread = 1
	w.submitAccepted(busy)
	w.run(time.Second)
	for _, one := range w.workers {
		one.cutOff = one.domain == "far"
	}
	w.run(400 * time.Millisecond)
	for i := range 20 {
		id := fmt.Sprint("urgent", i)
		runTimes[fleet.JobID(id)] = time.Second
		f := newFlow(id, "urgent", gangStep(4, 2, time.Second))
		begun := w.now
		w.submitAccepted(f)
		w.awaitCompleted(f, 6*time.Second)
		qt.Check(t, w.now.Sub(begun) < 1300*time.Millisecond, qt.IsTrue, qt.Commentf("gang %d took %s", i, w.now.Sub(begun)))
	}
	for _, one := range w.workers {
		one.cutOff = false
	}
	w.runUntil(time.Second, "answer from the domain", func() bool { return w.eventCount(event.DomainHeard) == 1 })
}

// Load pattern: a failure domain is cut off together with the lead for longer than
// an election takes. Once the old lead notices, it renews no leases, so that the new
// lead may rely on their expiry (trouble-3 of acampa-prod-grown).
func TestLeadThatIsCutOffGrantsNoLeases(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	runTimes["inside"] = time.Minute
	w.submitAccepted(newFlow("inside", "bulk", taskStep(1, 1, time.Minute)))
	w.run(time.Second)
	w.post(sched.Members{All: []elect.Member{{Host: "e1"}, {Host: "e2"}, {Host: "e3"}, {Host: "e4"}}})
	w.peerAnswers = 3
	w.run(2 * limits.Lease)
	qt.Assert(t, w.running("inside"), qt.Equals, 1, qt.Commentf("most peers answer"))
	w.peerAnswers, w.store.down = 1, true
	cut := w.now
	w.run(2 * time.Second)
	until := w.workers["w0-0"].leaseUntil
	w.run(3 * time.Second)
	qt.Assert(t, w.workers["w0-0"].leaseUntil, qt.Equals, until)
	qt.Assert(t, until.Sub(cut) <= limits.Lease+1250*time.Millisecond, qt.IsTrue, qt.Commentf("%s after the cut", until.Sub(cut)))
}

// Load pattern: a failure domain is cut off together with the lead, and gangs span the cut.
// The next lead renews the leases outside. When the old lead took them for expired, it stopped
// the members on its side, and with them all work of the gangs was lost: 114,000 core-seconds
// in one cut of 6.4 s.
func TestLeadThatIsCutOffStopsNoGangs(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.endGangsTogether()
	w.becomeLead()
	runTimes["spans"] = time.Minute
	w.submitAccepted(newFlow("spans", "bulk", gangStep(2, 8, time.Minute)))
	w.run(time.Second)
	w.post(sched.Members{All: []elect.Member{{Host: "e1"}, {Host: "e2"}, {Host: "e3"}, {Host: "e4"}}})
	w.peerAnswers, w.store.down = 1, true
	outside, inside := w.workers["w0-0"], w.workers["w0-1"]
	outside.cutOff = true
	for end := w.now.Add(2 * limits.Lease); w.now.Before(end); {
		outside.leaseUntil, inside.leaseUntil = w.now.Add(limits.Lease), w.now.Add(limits.Lease) // renewed by the next lead
		w.step()
	}
	w.store.records = append(w.store.records, fleet.Record{Key: sched.LeadKey, Value: otherClaim, Offset: fleet.Offset(len(w.store.records))})
	w.store.down, outside.cutOff = false, false
	w.runUntil(time.Second, "end of its term", func() bool { return w.eventCount(event.LeadLost) == 1 })
	qt.Assert(t, w.eventCount(event.RunStopped), qt.Equals, 0)
	qt.Assert(t, w.running("spans"), qt.Equals, 2)
}

// pollsOfNewLead replaces the lead and returns the most polls that were open at a time
// until it knew the idle workers, and how many starts it makes in a second for a job as
// wide as the site.
func (w *world) pollsOfNewLead() (open, starts int) {
	w.restartDaemon()
	w.openPolls, w.maxOpenPolls = 0, 0
	w.becomeLead()
	w.run(500 * time.Millisecond)
	open = w.maxOpenPolls
	runTimes["wide"] = time.Minute
	w.submit(newFlow("wide", "bulk", taskStep(int32(len(w.workers)), 8, time.Minute)))
	w.run(time.Second)
	return open, w.startCount("wide")
}

// mostOpenPolls is how many workers a new lead may ask at one time. Each question is a
// connection, and the smallest hosts have 3,900 of them for all purposes.
const mostOpenPolls = 256

// Load pattern: a new lead of a site of 1,000 workers. It must not open a connection
// to each of them at once, and still use all of them within a second. When it did, a
// site of 300 hosts and 3,000 workers had no lead for 30 s after all hosts were killed:
// each new one ran out of descriptors, sent no heartbeats and was replaced.
func TestNewLeadAsksFewWorkersAtOnce(t *testing.T) {
	w := newWorld(t, 50, 20)
	w.becomeLead()
	open, starts := w.pollsOfNewLead()
	qt.Check(t, open <= mostOpenPolls, qt.IsTrue, qt.Commentf("%d polls at once", open))
	qt.Check(t, starts, qt.Equals, 1000)
}

// Load pattern: a new lead of a site of 1,000 workers of which a fifth does not answer.
// The others must not wait for those, and those must not be asked over and over.
func TestSilentWorkersDoNotHoldUpANewLead(t *testing.T) {
	w := newWorld(t, 50, 20)
	for r := range 10 {
		for i := range 20 {
			w.workers[fleet.HostID(fmt.Sprintf("w%d-%d", r, i))].cutOff = true
		}
	}
	w.becomeLead()
	open, starts := w.pollsOfNewLead()
	qt.Check(t, open <= 2*200+mostOpenPolls, qt.IsTrue, qt.Commentf("%d polls at once", open))
	qt.Check(t, starts, qt.Equals, 800)
	w.run(4 * time.Second)
	w.polls = 0
	w.run(5 * time.Second)
	silent := w.polls - 800*4 // a worker that runs something is polled each 1.5 s
	qt.Check(t, silent <= 200*6, qt.IsTrue, qt.Commentf("%d polls of silent workers in 5 s", silent))
}

// A lead is frozen for longer than a lease, and wakes under its successor, which has
// started the lapsed task again. The old one must start and stop nothing, and notice
// that it no longer leads.
func TestLeadFrozenForLongerThanALeaseStepsDown(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	runTimes["slept"] = time.Hour
	f := newFlow("slept", "bulk", taskStep(1, 8, time.Hour))
	w.submitAccepted(f)
	w.runUntil(time.Second, "start", func() bool { return w.startCount("slept") == 1 })
	for end := w.now.Add(limits.Lease + 2*time.Second); w.now.Before(end); {
		w.now = w.now.Add(w.tick)
		for _, one := range w.workers {
			one.advance(w.now)
		}
	}
	end, err := w.store.append(fleet.Offset(len(w.store.records)), []fleet.Record{{Key: sched.LeadKey, Value: otherClaim}})
	qt.Assert(t, err, qt.IsNil)
	next := w.workers["w0-1"]
	task := fleet.Task{Job: "slept"}
	_, _, err = next.start(w.now, fleet.StartOrder{Task: task, Run: 1 << 13, Term: fleet.Term(end), LeaseUntil: next.clock(w.now.Add(limits.Lease))})
	qt.Assert(t, err, qt.IsNil)
	w.runUntil(2*time.Second, "step down", func() bool { return !w.scheduler.Leads() })
	qt.Assert(t, w.startCount("slept"), qt.Equals, 2)
	qt.Assert(t, next.runs, qt.HasLen, 1)
	for _, r := range next.runs {
		qt.Assert(t, r.stop.IsZero(), qt.IsTrue)
	}
}

// Guards against heard=2562047h47m16.8s, the largest duration, for a worker that a new lead has never heard.
func TestWorkerThatWasNeverHeardIsLoggedAsSuch(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.sorted()[0].cutOff = true
	w.becomeLead()
	w.run(3 * time.Second)
	w.sorted()[0].unlisted = true
	w.postWorkers()
	w.run(time.Second)
	for _, c := range []event.Code{event.LookFailed, event.WorkerGone} {
		lines := w.linesAbout("w0-0", c)
		qt.Assert(t, len(lines) > 0, qt.IsTrue, qt.Commentf("%s", c))
		qt.Check(t, lines[0], qt.Contains, "heard=never")
	}
}
