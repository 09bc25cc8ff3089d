package helm_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
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
