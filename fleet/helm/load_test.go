package helm_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

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

// Load pattern: a gang with one slow worker. The other members have done their
// part, and wait for it without standing still.
func TestGangWaitsForItsSlowestMember(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.lead()
	spans["uneven"] = 10 * time.Second
	w.couple()
	w.workers["w0-0"].slow = 2
	f := flow("uneven", "long", gang(2, 8, 10*time.Second))
	w.accept(f)
	w.done(f, 25*time.Second)
	qt.Assert(t, w.starts("uneven"), qt.Equals, 2)
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

// Load pattern: an urgent job arrives just after the lead was replaced. What runs
// has been worked on for long, although the new lead has only just seen it, and
// is not thrown away for less.
func TestNewLeadKnowsWhatRunsAreWorth(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.lead()
	spans["old"] = 20 * time.Second
	old := flow("old", "bulk", gang(2, 8, 20*time.Second))
	w.accept(old)
	w.run(10 * time.Second)
	w.boot()
	w.lead()
	spans["urgent"] = 1500 * time.Millisecond
	urgent := flow("urgent", "urgent", gang(2, 8, 1500*time.Millisecond))
	urgent.Space = "b"
	w.accept(urgent)
	w.done(old, 12*time.Second)
	qt.Assert(t, w.starts("old"), qt.Equals, 2)
	w.done(urgent, 3*time.Second)
}

// Load pattern: one worker in six begins to fail every other task, while gangs
// arrive that need many workers. No job spends its attempts on them.
func TestJobsOutliveWorkersThatFail(t *testing.T) {
	w := newWorld(t, 5, 12)
	w.couple()
	w.lead()
	stream := func(name string) []*wire.Flow {
		var all []*wire.Flow
		for i := range 40 {
			id := fmt.Sprint(name, i)
			spans[fleet.JobID(id)] = time.Second
			f := flow(id, "urgent", gang(8, 4, time.Second))
			all = append(all, f)
			w.hand(f)
			w.run(100 * time.Millisecond)
		}
		return all
	}
	stream("before")
	for r := range 5 {
		for i := r; i < 12; i += 6 {
			w.workers[fleet.HostID(fmt.Sprintf("w%d-%d", r, i))].flaky = true
		}
	}
	all := stream("after")
	w.run(5 * time.Second)
	for _, f := range all {
		qt.Check(t, w.stage(f), qt.Equals, wire.Stage_COMPLETED, qt.Commentf("job %s", f.Id))
	}
}
