package sched_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/sched"
	qt "github.com/frankban/quicktest"
)

// lateStart returns a world in which a start is on its way to a worker for long, and the other
// worker is free.
func lateStart(t *testing.T, job fleet.JobID) (*world, *worker, func(time.Time)) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	for _, one := range w.workers {
		one.startDelay = 10 * time.Second
	}
	runTimes[job] = 20 * time.Second
	w.submitAccepted(newFlow(string(job), "bulk", taskStep(1, 1, 20*time.Second)))
	var one *worker
	w.runUntil(time.Second, "start on its way", func() bool {
		for _, o := range w.sorted() {
			if len(o.pending) > 0 {
				one = o
			}
		}
		return one != nil
	})
	return w, one, one.pending[0]
}

// Guards against a task that runs twice at a time: a process that has answered the stop of a run is
// replaced, and the start of that run reaches the new one, which knows nothing of the stop.
func TestStopAnsweredByAFormerProcessEndsNoRunOfTheNewOne(t *testing.T) {
	w, one, start := lateStart(t, "late")
	w.runUntil(3*time.Second, "stop", func() bool { return len(one.closed) > 0 })
	one.crash(w.now)
	for _, o := range w.workers {
		o.startDelay = 0
	}
	w.runUntil(3*time.Second, "second run", func() bool { return w.startCount("late") == 1 })
	start(w.now)
	qt.Assert(t, w.mostAtOnce(time.Second), qt.Equals, 1)
}

// Guards against a task that runs twice at a time: a process that has answered one of two sends of a
// start is replaced, and the other one reaches the new process.
func TestStartAnsweredByAFormerProcessMayStillReachTheNewOne(t *testing.T) {
	w, one, start := lateStart(t, "late2")
	one.startDelay = 0
	w.runUntil(time.Second, "start", func() bool { return len(one.runs) == 1 })
	w.run(50 * time.Millisecond)
	one.crash(w.now)
	for _, o := range w.workers {
		o.startDelay = 0
	}
	w.runUntil(3*time.Second, "second run", func() bool { return w.startCount("late2") == 2 })
	start(w.now)
	qt.Assert(t, w.mostAtOnce(time.Second), qt.Equals, 1)
}

// Guards against a task that runs twice at a time: the answer of a former process to a stop arrives
// after the list of workers has shown the new one, which knows nothing of the stop.
func TestLateAnswerOfAFormerProcessToAStopEndsNoRunOfTheNewOne(t *testing.T) {
	w, one, start := lateStart(t, "late3")
	w.runUntil(3*time.Second, "stop", func() bool { return len(one.closed) > 0 })
	w.delayStops(100 * time.Millisecond)
	one.crash(w.now)
	w.postWorkers()
	for _, o := range w.workers {
		o.startDelay = 0
	}
	w.runUntil(3*time.Second, "second run", func() bool { return w.startCount("late3") == 1 })
	start(w.now)
	qt.Assert(t, w.mostAtOnce(time.Second), qt.Equals, 1)
}

// delayStops delays the answers to stops that are on their way to the daemon.
func (w *world) delayStops(span time.Duration) {
	for i, d := range w.later {
		if _, ok := d.event.(sched.Stopped); ok {
			w.later[i].at = d.at.Add(span)
		}
	}
}
