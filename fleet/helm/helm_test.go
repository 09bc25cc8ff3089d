package helm_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
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
