package helm_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/helm"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

func TestJobOfTwoStepsRunsInOrder(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.lead()
	f := flow("steps", "bulk", tasks(4, 1, time.Second))
	f.Steps = append(f.Steps, tasks(2, 1, time.Second))
	f.Steps[1].After = []int32{0}
	spans["steps"] = time.Second
	w.accept(f)
	w.run(900 * time.Millisecond)
	qt.Assert(t, w.starts("steps"), qt.Equals, 4)
	w.done(f, 3*time.Second)
	qt.Assert(t, w.starts("steps"), qt.Equals, 6)
}

func TestGangFailsOnceARunAndJobWithTheLastAttempt(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.lead()
	for _, one := range w.workers {
		one.fails = true
	}
	f := flow("doomed", "urgent", gang(3, 2, time.Second))
	spans["doomed"] = time.Second
	w.accept(f)
	w.until(30*time.Second, "job's end", func() bool { return w.stage(f) == wire.Stage_BROKE })
	qt.Assert(t, w.starts("doomed"), qt.Equals, 9)
}

func TestCancelledJobIsStopped(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.lead()
	f := flow("cancelled", "bulk", tasks(4, 1, time.Minute))
	spans["cancelled"] = time.Minute
	w.accept(f)
	w.run(500 * time.Millisecond)
	id := w.cancel(f)
	w.until(time.Second, "answer", func() bool { return w.drops[id] != nil })
	qt.Assert(t, w.drops[id].Verdict, qt.Equals, wire.Verdict_OK)
	w.run(time.Second)
	for _, one := range w.workers {
		qt.Assert(t, one.runs, qt.HasLen, 0)
	}
}

// A worker that leaves takes its runs with it. Looks that do not reach it must
// not put off the end of its lease.
func TestRunsOfAWorkerThatIsGoneStartElsewhere(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.lead()
	f := flow("moved", "bulk", tasks(1, 1, 20*time.Second))
	spans["moved"] = 20 * time.Second
	w.accept(f)
	w.run(time.Second)
	for _, one := range w.workers {
		if len(one.runs) > 0 {
			one.cut, one.unlisted = true, true
		}
	}
	w.list()
	w.until(limits.Lease+3*time.Second, "second start", func() bool { return w.starts("moved") == 2 })
	qt.Assert(t, w.count(event.WorkerLost), qt.Equals, 1)
}

// cancel hands a cancellation in.
func (w *world) cancel(f *wire.Flow) helm.Waiter {
	w.waiters++
	w.post(helm.Dropped{Waiter: w.waiters, Ask: &wire.FlowAsk{Id: f.Id, Queue: f.Queue, Space: f.Space}, Until: w.now.Add(3 * time.Second)})
	return w.waiters
}

func (w *world) running(job fleet.JobID) int {
	n := 0
	for _, one := range w.workers {
		for k := range one.runs {
			if k.Task.Job == job {
				n++
			}
		}
	}
	return n
}

// Stops that do not reach a worker are no sign of life.
func TestGangOfAWorkerThatIsGoneStartsElsewhere(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.lead()
	f := flow("gang", "long", gang(2, 8, 20*time.Second))
	spans["gang"] = 20 * time.Second
	w.accept(f)
	w.run(time.Second)
	for _, one := range w.workers {
		if len(one.runs) > 0 {
			one.cut, one.unlisted = true, true
			break
		}
	}
	w.list()
	for _, one := range w.workers {
		for k := range one.runs {
			if !one.cut {
				one.end(k, fleet.EndBroken, "")
			}
		}
	}
	w.until(limits.Lease+3*time.Second, "second start", func() bool { return w.starts("gang") == 4 })
}

// A gang that no rack has room for waits for none while most of the site is
// free: one small task on each rack must not hold it up.
func TestTightGangSpreadsOutOnAnIdleSite(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.lead()
	spans["small"], spans["tight"] = time.Hour, 2*time.Second
	small := flow("small", "bulk", tasks(2, 1, time.Hour))
	for _, one := range w.workers {
		one.room = fleet.Res{Cores: 64000, Mem: 131072, Accels: 8}
	}
	small.Steps[0].Spread = 1
	for id, one := range w.workers {
		one.draining = id != "w0-0" && id != "w1-0"
	}
	w.list()
	w.accept(small)
	w.run(200 * time.Millisecond)
	for _, one := range w.workers {
		one.draining = false
	}
	w.list()
	f := flow("tight", "long", gang(4, 8, 2*time.Second))
	f.Steps[0].Tight = true
	w.accept(f)
	w.until(3*time.Second, "start", func() bool { return w.starts("tight") == 4 })
}

// A start without an answer is stopped. Once the stop is answered, a look that
// does not show the run settles it, however long looks may wait.
func TestStartThatGotNoAnswerIsSettled(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.lead()
	spans["late"] = time.Second
	for _, one := range w.workers {
		one.lateFor = 8 * time.Second
	}
	f := flow("late", "bulk", tasks(1, 1, time.Second))
	w.accept(f)
	w.run(100 * time.Millisecond)
	for _, one := range w.workers {
		one.lateFor = 0
	}
	w.until(4*time.Second, "start elsewhere", func() bool { return w.starts("late") == 1 })
	w.done(f, 2*time.Second)
	w.run(8 * time.Second)
	qt.Assert(t, w.starts("late"), qt.Equals, 1)
}

// A worker that was idle for longer than a lease has none in force. That says
// nothing about a start that has not left yet.
func TestIdleWorkerIsNotLostAtItsNextStart(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.lead()
	spans["first"], spans["second"] = 200*time.Millisecond, 200*time.Millisecond
	f := flow("first", "bulk", tasks(1, 1, 200*time.Millisecond))
	w.accept(f)
	w.done(f, time.Second)
	w.run(2 * limits.Lease)
	w.lag = 50 * time.Millisecond
	s := flow("second", "bulk", tasks(1, 1, 200*time.Millisecond))
	w.accept(s)
	w.done(s, time.Second)
	qt.Assert(t, w.count(event.WorkerLost), qt.Equals, 0)
}

// A worker that leaves takes its runs with it: what would not end in time is
// started elsewhere before.
func TestRunsLeaveAWorkerThatLeaves(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.lead()
	spans["leaves"], spans["stays"] = 10*time.Second, time.Second
	long := flow("leaves", "bulk", tasks(1, 1, 10*time.Second))
	long.Steps[0].Saves = true
	short := flow("stays", "bulk", tasks(1, 1, time.Second))
	w.accept(long)
	w.accept(short)
	w.run(300 * time.Millisecond)
	for _, one := range w.workers {
		if len(one.runs) > 0 {
			one.draining, one.left = true, 2*time.Second
		}
	}
	w.list()
	w.until(2*time.Second, "start elsewhere", func() bool { return w.starts("leaves") == 2 })
	w.done(short, 2*time.Second)
	qt.Assert(t, w.starts("stays"), qt.Equals, 1)
}

// Appends whose answers are lost are found, also if every answer is lost for a
// while.
func TestAppendWithoutAnswerIsFound(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.lead()
	spans["lost"] = time.Second
	w.store.lost = true
	f := flow("lost", "bulk", tasks(1, 1, time.Second))
	id := w.hand(f)
	w.until(time.Second, "answer", func() bool { return w.hands[id] != nil })
	qt.Assert(t, w.hands[id].Verdict, qt.Equals, wire.Verdict_OK)
	w.done(f, 3*time.Second)
	qt.Assert(t, w.starts("lost"), qt.Equals, 1)
}

// Whoever finds another's claim where an append was tried no longer leads, and
// says nothing about what was being stored.
func TestAppendBehindAnothersClaimEndsTheLead(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.lead()
	w.store.records = append(w.store.records, fleet.Record{Key: helm.LeadKey, Value: []byte("other"), Offset: fleet.Offset(len(w.store.records))})
	id := w.hand(flow("late", "bulk", tasks(1, 1, time.Second)))
	w.until(time.Second, "answer", func() bool { return w.hands[id] != nil })
	qt.Assert(t, w.hands[id].Verdict, qt.Equals, wire.Verdict_UNKNOWN)
	qt.Assert(t, w.helm.Leads(), qt.IsFalse)
}

// A start that is on its way when a worker's process is replaced may be carried
// out by the new one: its room is taken until that is known.
func TestStartThatMayReachAReplacedProcessKeepsItsRoom(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.lead()
	spans["early"], spans["wide"] = time.Minute, time.Second
	var one *worker
	for _, one = range w.workers {
		one.lateFor = 700 * time.Millisecond
	}
	w.accept(flow("early", "bulk", tasks(1, 8, time.Minute)))
	w.until(time.Second, "start on its way", func() bool { return len(one.pending) > 0 })
	pending := one.pending
	one.crash(w.now)
	one.pending, one.lateFor = pending, 0
	w.list()
	w.accept(flow("wide", "urgent", tasks(1, 8, time.Second)))
	w.run(3 * time.Second)
	qt.Assert(t, one.most <= 8, qt.IsTrue, qt.Commentf("%d accelerators were taken", one.most))
}

// Progress is told in whole percents: a task of an hour shows none for half a
// minute, and does not stand still.
func TestLongTaskDoesNotStandStill(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.lead()
	spans["hour"] = time.Hour
	w.accept(flow("hour", "bulk", tasks(1, 1, time.Hour)))
	w.run(2 * time.Minute)
	qt.Assert(t, w.starts("hour"), qt.Equals, 1)
}

// A task that stands still is started elsewhere, and its worker is set aside.
func TestTaskThatStandsStillIsStartedElsewhere(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.lead()
	spans["still"] = 10 * time.Second
	w.accept(flow("still", "bulk", tasks(1, 1, 10*time.Second)))
	w.run(time.Second)
	for _, one := range w.workers {
		one.hangs = len(one.runs) > 0
	}
	w.until(10*time.Second, "second start", func() bool { return w.starts("still") == 2 })
	qt.Assert(t, w.count(event.WorkerAside), qt.Equals, 1)
}

// Load pattern: the store goes away while urgent jobs run. Their ends are told at
// once, as the workers keep them until they are stored.
func TestEndIsToldWhileTheStoreIsAway(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.lead()
	spans["ends"] = time.Second
	f := flow("ends", "urgent", gang(2, 2, time.Second))
	w.accept(f)
	w.run(300 * time.Millisecond)
	w.store.down = true
	waits := w.hand(flow("refused", "urgent", gang(2, 2, time.Second)))
	w.until(2*time.Second, "end", func() bool { return w.stage(f) == wire.Stage_COMPLETED })
	for _, one := range w.workers {
		if one.ended > 0 {
			qt.Assert(t, one.ends, qt.HasLen, int(one.ended), qt.Commentf("%s may not forget an end that is not stored", one.id))
		}
	}
	w.store.down = false
	w.run(4 * time.Second)
	qt.Assert(t, w.hands[waits], qt.IsNotNil)
	qt.Assert(t, w.starts("ends"), qt.Equals, 2)
	for _, one := range w.workers {
		qt.Assert(t, one.ends, qt.HasLen, 0)
	}
}

// A look that waits for an end does not hold up the one that settles a stop.
func TestStopIsSettledBesideALookThatWaits(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.lead()
	spans["long"], spans["late"] = time.Minute, time.Second
	w.accept(flow("long", "bulk", tasks(1, 1, time.Minute)))
	w.run(300 * time.Millisecond)
	var one *worker
	for _, one = range w.workers {
		one.lateFor = 8 * time.Second
	}
	w.accept(flow("late", "bulk", tasks(1, 1, time.Second)))
	w.run(100 * time.Millisecond)
	one.lateFor = 0
	w.until(timeout+600*time.Millisecond, "second start", func() bool { return w.starts("late") == 1 })
}

// Rounds start at their times, and a lasting task is started again however it
// ends.
func TestRoundsAndLastingTasks(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.lead()
	spans["timed"], spans["lasting"] = time.Second, 500*time.Millisecond
	timed := flow("timed", "bulk", tasks(1, 1, time.Second))
	timed.Repeat = &wire.Repeat{Count: 3, First: w.now.Add(2 * time.Second).UnixMilli(), Every: 2000}
	lasting := flow("lasting", "bulk", tasks(1, 1, time.Second))
	lasting.Steps[0].Lasting = true
	w.accept(timed)
	w.accept(lasting)
	w.run(1900 * time.Millisecond)
	qt.Assert(t, w.starts("timed"), qt.Equals, 0)
	w.run(300 * time.Millisecond)
	qt.Assert(t, w.starts("timed"), qt.Equals, 1)
	w.done(timed, 6*time.Second)
	qt.Assert(t, w.starts("timed"), qt.Equals, 3)
	qt.Assert(t, w.starts("lasting") > 6, qt.IsTrue)
	qt.Assert(t, w.stage(lasting), qt.Equals, wire.Stage_RUNS)
	w.cancel(lasting)
	w.run(time.Second)
	qt.Assert(t, w.running("lasting"), qt.Equals, 0)
}

// A lead that leaves says so more than once, as a datagram may be lost.
func TestLeavingLeadSaysSoAgain(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.lead()
	w.farewells = 0
	w.post(helm.Leave{})
	w.run(2 * time.Second)
	qt.Assert(t, w.farewells > 5, qt.IsTrue)
	qt.Assert(t, w.helm.Leads(), qt.IsFalse)
	said := w.farewells
	w.run(2 * time.Second)
	qt.Assert(t, w.farewells, qt.Equals, said)
}

// Ends of runs that no record names rest on nothing that has to be stored: the
// worker may forget them at once, and is not asked again and again.
func TestEndsOfStrayRunsAreForgotten(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.lead()
	for _, one := range w.workers {
		for n := range 3 {
			k := crew.Key{Task: fleet.Task{Job: "nobody", Index: n}, No: 1}
			one.runs[k] = &running{left: time.Minute}
			one.until = w.now.Add(time.Hour)
		}
	}
	spans["known"] = time.Second
	f := flow("known", "bulk", tasks(1, 1, time.Second))
	w.accept(f)
	w.done(f, 5*time.Second)
	w.run(2 * time.Second)
	w.looks = 0
	w.run(5 * time.Second)
	qt.Assert(t, w.looks < 10, qt.IsTrue, qt.Commentf("%d looks", w.looks))
	for _, one := range w.workers {
		qt.Assert(t, one.ends, qt.HasLen, 0)
	}
}

// A worker that was cut off for longer than its lease may have ended its runs
// before. It is asked for its ends once it can be reached, also if it has no entry
// any more: a task that is done must not be run again to its end.
func TestEndsBehindACutAreStillAskedFor(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.lead()
	spans["behind"] = 4 * time.Second
	f := flow("behind", "bulk", tasks(1, 1, 4*time.Second))
	w.accept(f)
	w.run(500 * time.Millisecond)
	var one *worker
	for _, o := range w.workers {
		if len(o.runs) > 0 {
			one = o
		}
	}
	one.cut, one.unlisted = true, true
	w.list()
	w.until(limits.Lease+3*time.Second, "second start", func() bool { return w.starts("behind") == 2 })
	spans["behind"] = time.Minute
	for _, o := range w.workers {
		for _, r := range o.runs {
			r.left = time.Minute
		}
	}
	one.cut = false
	w.done(f, 3*time.Second)
}

// Load pattern: a stream of urgent jobs against one long task. The task is
// stopped for them a few times at most, and then runs to its end.
func TestLongTaskEndsUnderAStreamOfUrgentJobs(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.lead()
	spans["starved"] = 6 * time.Second
	long := flow("starved", "bulk", tasks(1, 8, 6*time.Second))
	w.accept(long)
	for i := range 16 {
		id := fmt.Sprintf("urgent%d", i)
		spans[fleet.JobID(id)] = 1500 * time.Millisecond
		urgent := flow(id, "urgent", gang(2, 8, 1500*time.Millisecond))
		urgent.Space = "b"
		w.hand(urgent)
		w.run(2500 * time.Millisecond)
	}
	qt.Assert(t, w.stage(long), qt.Equals, wire.Stage_COMPLETED)
	qt.Assert(t, w.starts("starved") <= 4, qt.IsTrue)
}

// A worker's next process may answer a start before anything tells that it is
// another one. What it runs is for its next look to say. Found by the soak, seed
// 511.
func TestStartAnsweredByTheNextProcessIsKept(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.lead()
	spans["kept"] = 2 * time.Second
	for _, one := range w.workers {
		one.crash(w.now)
	}
	f := flow("kept", "bulk", tasks(1, 1, 2*time.Second))
	w.accept(f)
	w.until(time.Second, "start", func() bool { return w.running("kept") == 1 })
	w.run(20 * time.Millisecond)
	w.list()
	w.done(f, 4*time.Second)
	qt.Assert(t, w.starts("kept"), qt.Equals, 1)
}

// A job that has failed elsewhere is no proof against the next worker that fails
// it, and does not spend its attempts there at once. Found by the soak, seed 519.
func TestJobDoesNotSpendItsAttemptsOnOneWorkerAtOnce(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.lead()
	for _, one := range w.workers {
		one.fails = true
	}
	f := flow("unlucky", "bulk", tasks(1, 1, time.Second))
	f.Attempts = 4
	w.accept(f)
	w.run(900 * time.Millisecond)
	qt.Assert(t, w.starts("unlucky") <= 2, qt.IsTrue, qt.Commentf("%d starts", w.starts("unlucky")))
	for _, one := range w.workers {
		one.fails = false
	}
	spans["unlucky"] = time.Second
	w.done(f, 8*time.Second)
}
