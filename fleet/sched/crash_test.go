package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// Limits that the platform sets for tasks that crash their workers.
const (
	toleratedCrashes = 3 // workers that may crash under a task
	toleratedStarts  = 2 // starts of it after that
)

// errDown is what a call to a worker gets whose process is not there.
var errDown = &fleet.Error{Op: "call", Kind: fleet.Unsent, Err: errUnreachable}

// crasher makes workers crash some time after they start certain tasks, and counts what
// that costs.
type crasher struct {
	after   map[fleet.Task]time.Duration
	down    time.Duration // how long a worker is down after a crash
	silent  bool          // calls to a worker that is down get no answer, instead of being refused
	crashes map[fleet.Task]int
	late    map[fleet.Task]int // starts after toleratedCrashes
	beside  map[fleet.Task]int // newest crash: runs of other jobs that were lost with the worker
}

// entryTTL is how long the entry of a worker that is down stays listed.
const entryTTL = 4500 * time.Millisecond

// addCrasher adds a crasher without tasks to all workers.
func (w *world) addCrasher(down time.Duration) *crasher {
	c := &crasher{down: down, after: map[fleet.Task]time.Duration{}, crashes: map[fleet.Task]int{}, late: map[fleet.Task]int{}, beside: map[fleet.Task]int{}}
	for _, one := range w.workers {
		one.crasher = c
	}
	return c
}

func (c *crasher) noteStart(w *worker, t fleet.Task, now time.Time) {
	if c == nil {
		return
	}
	after, deadly := c.after[t]
	if !deadly {
		return
	}
	if c.crashes[t] >= toleratedCrashes {
		c.late[t]++
	}
	w.crashAt = now.Add(after)
}

func (c *crasher) noteCrash(w *worker) {
	for k := range w.runs {
		if _, deadly := c.after[k.Task]; !deadly {
			continue
		}
		c.crashes[k.Task]++
		c.beside[k.Task] = 0
		for o := range w.runs {
			if o.Task.Job != k.Task.Job {
				c.beside[k.Task]++
			}
		}
	}
}

func (w *worker) isDown() bool { return !w.upAt.IsZero() }

// refuse is the outcome of a call to a worker that is down.
func (w *worker) refuse() (fleet.Ticks, time.Duration, error) {
	if w.crasher.silent {
		return w.timedOut("call")
	}
	return 0, callTime, errDown
}

// advanceCrash crashes the worker, and brings it back, when that is due.
func (w *worker) advanceCrash(now time.Time) {
	if !w.crashAt.IsZero() && !now.Before(w.crashAt) {
		w.goDown(now, w.crasher.down)
	}
	w.hung = slices.DeleteFunc(w.hung, func(p longPoll) bool {
		due := !now.Before(p.until)
		if due {
			p.fail()
		}
		return due
	})
	if w.isDown() && !now.Before(w.upAt) {
		w.crash(now)
		w.upAt, w.losesAnswers = time.Time{}, false
	}
}

// goDown ends the worker's process. Another one starts after the given time.
func (w *worker) goDown(now time.Time, span time.Duration) {
	if w.crasher != nil {
		w.crasher.noteCrash(w)
	}
	inc, polls := w.inc, w.longPolls
	if w.crasher.silent {
		w.longPolls = nil // these time out
		for _, p := range polls {
			w.hung = append(w.hung, longPoll{until: p.until.Add(callTimeout), fail: p.fail})
		}
	}
	w.crash(now)
	w.inc, w.crashAt, w.upAt = inc, time.Time{}, now.Add(span)
}

// postCrashed delivers the list of workers when an entry of a worker that crashed has
// expired or is back.
func (w *world) postCrashed() {
	changed := false
	for _, one := range w.workers {
		if one.crasher == nil {
			continue
		}
		unlisted := one.isDown() && one.upAt.Sub(w.now) < one.crasher.down-entryTTL
		changed = changed || unlisted != one.unlisted || w.listed[one.id].Inc != one.inc
		one.unlisted = unlisted
	}
	if changed && !w.listHangs && !w.store.down && !w.cut.hasStore() {
		w.postWorkers()
	}
}

func task(job string, index int) fleet.Task { return fleet.Task{Job: fleet.JobID(job), Index: index} }

// checkGivenUp waits until a job is given up, and checks that none of its tasks was started
// more often than the platform allows.
func (w *world) checkGivenUp(f *wire.Flow, c *crasher) {
	w.t.Helper()
	w.runUntil(time.Minute, "end of "+f.Id, func() bool { return w.stage(f) == wire.Stage_BROKE })
	for t := range c.after {
		qt.Check(w.t, c.late[t] <= toleratedStarts, qt.IsTrue, qt.Commentf("task %v was started %d times after %d workers had crashed under it", t, c.late[t], toleratedCrashes))
	}
	w.run(time.Second)
	qt.Check(w.t, w.running(fleet.JobID(f.Id)), qt.Equals, 0)
}

// A task crashes each worker that starts it.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	const soon = 10 * time.Millisecond
	alone := taskStep(1, 8, 8*time.Second)
	deadly := map[string]struct {
		step   *wire.Step
		index  int
		after  time.Duration // from the start to the crash
		down   time.Duration // until the worker is back
		silent bool          // it falls silent meanwhile
		mute   bool          // orders are not answered before the first crash of a worker
	}{
		"alone":                       {step: alone, after: soon, down: 3 * time.Second},
		"beside its siblings":         {step: taskStep(4, 1, 8*time.Second), index: 2, after: soon, down: 3 * time.Second},
		"in a gang":                   {step: gangStep(3, 8, 8*time.Second), index: 1, after: soon, down: 3 * time.Second},
		"before its start's answer":   {step: alone, after: time.Nanosecond, down: 3 * time.Second, mute: true},
		"back within a poll":          {step: alone, after: soon, down: 100 * time.Millisecond},
		"back after its lease":        {step: alone, after: soon, down: 15 * time.Second},
		"silent":                      {step: alone, after: soon, down: 3 * time.Second, silent: true},
		"silent for longer":           {step: alone, after: soon, down: 15 * time.Second, silent: true},
		"some time after its start":   {step: alone, after: 800 * time.Millisecond, down: 3 * time.Second},
		"a long time after its start": {step: alone, after: 5 * time.Second, down: 3 * time.Second},
	}
	for name, d := range deadly {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, 6)
			c := w.addCrasher(d.down)
			c.silent = d.silent
			c.after[task("deadly", d.index)] = d.after
			for _, one := range w.workers {
				one.losesAnswers = d.mute
			}
			runTimes["deadly"] = 8 * time.Second
			w.becomeLead()
			w.run(500 * time.Millisecond)
			f := newFlow("deadly", "long", d.step)
			w.submitAccepted(f)
			w.checkGivenUp(f, c)
		})
	}
}

// A task crashes each worker that starts it, while other workers crash for their own
// reasons all the time.
func TestTaskThatCrashesItsWorkersIsGivenUpBesideOtherCrashes(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			w := newWorld(t, 2, 8)
			c := w.addCrasher(time.Second)
			c.silent = seed%2 == 1
			c.after[task("deadly", 0)] = 10 * time.Millisecond
			runTimes["deadly"] = 8 * time.Second
			w.becomeLead()
			w.run(500 * time.Millisecond)
			f := newFlow("deadly", "long", taskStep(1, 1, 8*time.Second))
			w.submitAccepted(f)
			for end := w.now.Add(time.Minute); w.now.Before(end) && w.stage(f) != wire.Stage_BROKE; w.run(300 * time.Millisecond) {
				for _, one := range w.sorted() {
					if !one.isDown() && rng.IntN(6) == 0 {
						one.goDown(w.now, c.down)
					}
				}
			}
			w.checkGivenUp(f, c)
		})
	}
}

// excusedCrashes is how many crashes are not held against a task that lived longer before.
const excusedCrashes = 2

// A task runs for seconds before its worker crashes, and then crashes each worker that
// starts it, while others crash for their own reasons. Its long life must not let it
// crash workers without limit.
func TestTaskThatCrashesItsWorkersIsGivenUpAfterALongLife(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			w := newWorld(t, 2, 8)
			c := w.addCrasher(time.Second)
			c.silent = seed%2 == 1
			deadly := task("deadly", 0)
			runTimes["deadly"] = 8 * time.Second
			w.becomeLead()
			w.run(500 * time.Millisecond)
			f := newFlow("deadly", "long", taskStep(1, 1, 8*time.Second))
			w.submitAccepted(f)
			w.run(4 * time.Second)
			for _, one := range w.sorted() {
				if len(one.runs) > 0 {
					one.goDown(w.now, c.down)
				}
			}
			c.after[deadly] = 10 * time.Millisecond
			for end := w.now.Add(time.Minute); w.now.Before(end) && w.stage(f) != wire.Stage_BROKE; w.run(300 * time.Millisecond) {
				for _, one := range w.sorted() {
					if !one.isDown() && rng.IntN(6) == 0 {
						one.goDown(w.now, c.down)
					}
				}
			}
			qt.Check(t, w.stage(f), qt.Equals, wire.Stage_BROKE)
			qt.Check(t, c.late[deadly] <= toleratedStarts+excusedCrashes, qt.IsTrue, qt.Commentf("%d starts after %d crashes", c.late[deadly], toleratedCrashes))
		})
	}
}

// A task crashes each worker that starts it, and each time the lead is replaced before or
// after the worker is back.
func TestTaskThatCrashesItsWorkersIsGivenUpByLeadsInTurn(t *testing.T) {
	for _, down := range []time.Duration{10 * time.Millisecond, 3 * time.Second} {
		t.Run(down.String(), func(t *testing.T) {
			w := newWorld(t, 2, 6)
			c := w.addCrasher(down)
			c.after[task("deadly", 0)] = 10 * time.Millisecond
			runTimes["deadly"] = 8 * time.Second
			w.becomeLead()
			f := newFlow("deadly", "long", taskStep(1, 8, 8*time.Second))
			w.submitAccepted(f)
			for crashes := range toleratedCrashes + toleratedStarts {
				w.runUntil(time.Minute, "crash or end", func() bool {
					return c.crashes[task("deadly", 0)] > crashes || w.stage(f) == wire.Stage_BROKE
				})
				if w.stage(f) == wire.Stage_BROKE {
					break
				}
				w.restartDaemon()
				w.becomeLead()
			}
			w.checkGivenUp(f, c)
		})
	}
}

// Tasks stand beside one that crashes its workers. They all can be done, and are.
func TestTaskBesideOneThatCrashesItsWorkersIsDone(t *testing.T) {
	w := newWorld(t, 1, 6)
	c := w.addCrasher(3 * time.Second)
	w.becomeLead()
	w.run(500 * time.Millisecond)
	var sound, deadly []*wire.Flow
	for i := range 8 {
		id := fmt.Sprint("sound", i)
		runTimes[fleet.JobID(id)] = 4 * time.Second
		sound = append(sound, newFlow(id, "long", taskStep(4, 1, 4*time.Second)))
	}
	for i := range 4 {
		id := fmt.Sprint("deadly", i)
		runTimes[fleet.JobID(id)] = 4 * time.Second
		c.after[task(id, 0)] = 10 * time.Millisecond
		deadly = append(deadly, newFlow(id, "long", taskStep(1, 1, 4*time.Second)))
	}
	for i, f := range sound {
		w.submit(f)
		if i < len(deadly) {
			w.submit(deadly[i])
		}
	}
	w.run(time.Second)
	for _, f := range deadly {
		w.checkGivenUp(f, c)
	}
	for _, f := range sound {
		w.awaitCompleted(f, time.Minute)
	}
}

// A task that has crashed a worker takes no other job's work with it when it crashes the
// next one, as long as there is an idle worker.
func TestTaskThatCrashedAWorkerIsStartedApart(t *testing.T) {
	w := newWorld(t, 1, 8)
	c := w.addCrasher(3 * time.Second)
	c.after[task("deadly", 0)] = 10 * time.Millisecond
	runTimes["deadly"], runTimes["sound"], runTimes["later"] = 8*time.Second, 20*time.Second, 20*time.Second
	w.becomeLead()
	w.run(500 * time.Millisecond)
	sound := newFlow("sound", "long", taskStep(4, 1, 20*time.Second))
	w.submitAccepted(sound)
	f := newFlow("deadly", "long", taskStep(1, 1, 8*time.Second))
	w.submitAccepted(f)
	w.runUntil(5*time.Second, "first crash", func() bool { return c.crashes[task("deadly", 0)] == 1 })
	for crashes := 1; crashes <= toleratedCrashes+toleratedStarts && w.stage(f) != wire.Stage_BROKE; crashes = c.crashes[task("deadly", 0)] {
		w.runUntil(20*time.Second, "crash or end", func() bool {
			return c.crashes[task("deadly", 0)] > crashes || w.stage(f) == wire.Stage_BROKE
		})
		qt.Check(t, c.crashes[task("deadly", 0)] == 1 || c.beside[task("deadly", 0)] == 0, qt.IsTrue)
	}
	qt.Check(t, w.stage(f), qt.Equals, wire.Stage_BROKE)
	w.awaitCompleted(sound, time.Minute)
}

// Workers crash for their own reasons for a minute, under short tasks, long ones and gangs:
// a third of them at a time, and single ones in between.
func TestTaskIsNotGivenUpBecauseWorkersCrashForTheirOwnReasons(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkOwnCrashes(t, seed) })
	}
}

// As above: five workers crash under the same task within the minute.
func TestTaskIsNotGivenUpAfterFiveCrashesThatItDidNotCause(t *testing.T) {
	for _, seed := range []uint64{180, 199, 308} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkOwnCrashes(t, seed) })
	}
}

// checkOwnCrashes lets workers crash at random for a minute, and checks that all jobs end.
func checkOwnCrashes(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	w := newWorld(t, 3, 8)
	w.addCrasher(3 * time.Second)
	w.becomeLead()
	w.run(500 * time.Millisecond)
	var all []*wire.Flow
	add := func(step *wire.Step, span time.Duration) {
		id := fmt.Sprint("own", len(all))
		runTimes[fleet.JobID(id)] = span
		all = append(all, newFlow(id, "bulk", step))
		w.submitAccepted(all[len(all)-1])
	}
	steps := []func(){
		func() { add(taskStep(4, 8, 6*time.Second), 6*time.Second) },
		func() { add(taskStep(12, 1, 2*time.Second), 2*time.Second) },
		func() { add(gangStep(3, 4, 4*time.Second), 4*time.Second) },
	}
	for end := w.now.Add(time.Minute); w.now.Before(end); {
		steps[rng.IntN(len(steps))]()
		w.run(time.Duration(rng.IntN(3000)) * time.Millisecond)
		many := rng.IntN(4) == 0
		for _, one := range w.sorted() {
			if !one.isDown() && (many && rng.IntN(3) == 0 || rng.IntN(len(w.workers)) == 0) {
				one.goDown(w.now, one.crasher.down)
			}
		}
	}
	for _, f := range all {
		w.awaitCompleted(f, 2*time.Minute)
	}
}

// A third of the workers go down and up by turns for a while. The others have no room but
// beside long tasks, so that those that come back are the emptiest.
func TestTaskIsNotGivenUpOnWorkersThatGoDownAndUp(t *testing.T) {
	for _, ms := range []time.Duration{200, 300, 400, 500, 600, 700, 850, 1000, 1200, 1500, 2000, 3000, 4000} {
		gap := ms * time.Millisecond
		t.Run(gap.String(), func(t *testing.T) {
			w := newWorld(t, 2, 6)
			w.addCrasher(gap)
			for i, one := range w.sorted() {
				if i%3 == 0 {
					one.capacity.Accels = 4 // too few for the long tasks
				}
			}
			w.postWorkers()
			w.becomeLead()
			w.run(500 * time.Millisecond)
			runTimes["long"] = 80 * time.Second
			long := newFlow("long", "bulk", taskStep(8, 5, 80*time.Second))
			long.Steps[0].Spread = 1
			w.submitAccepted(long)
			w.run(500 * time.Millisecond)
			var all []*wire.Flow
			flip := w.now
			for end := w.now.Add(60 * time.Second); w.now.Before(end); {
				id := fmt.Sprint("flap", len(all))
				runTimes[fleet.JobID(id)] = 1500 * time.Millisecond
				all = append(all, newFlow(id, "long", taskStep(3, 2, 1500*time.Millisecond)))
				w.submitAccepted(all[len(all)-1])
				w.run(600 * time.Millisecond)
				if w.now.Sub(flip) < 2*gap {
					continue
				}
				flip = w.now
				for i, one := range w.sorted() {
					if i%3 == 0 && !one.isDown() {
						one.goDown(w.now, gap)
					}
				}
			}
			for _, f := range all {
				w.awaitCompleted(f, time.Minute)
			}
		})
	}
}

// A lasting task loses any number of workers that crash for their own reasons, and is
// started again each time. One that crashes its workers is given up.
func TestLastingTaskIsGivenUpOnlyIfItCrashesItsWorkers(t *testing.T) {
	w := newWorld(t, 1, 6)
	c := w.addCrasher(3 * time.Second)
	w.becomeLead()
	w.run(500 * time.Millisecond)
	runTimes["lasts"], runTimes["deadly"] = time.Hour, time.Hour
	f, deadly := newFlow("lasts", "bulk", taskStep(1, 8, time.Second)), newFlow("deadly", "bulk", taskStep(1, 8, time.Second))
	f.Steps[0].Lasting, deadly.Steps[0].Lasting = true, true
	w.submitAccepted(f)
	for range 12 {
		w.run(5 * time.Second)
		for _, one := range w.sorted() {
			if len(one.runs) > 0 {
				one.goDown(w.now, one.crasher.down)
			}
		}
	}
	w.runUntil(10*time.Second, "start after the last crash", func() bool { return w.running("lasts") == 1 })
	qt.Check(t, w.stage(f), qt.Equals, wire.Stage_RUNS)
	c.after[task("deadly", 0)] = 10 * time.Millisecond
	w.submitAccepted(deadly)
	w.checkGivenUp(deadly, c)
}

// A worker's capacity shrinks while a placement is being stored, and grows again.
func TestStartIsNotSentToWorkerWhoseCapacityShrankMeanwhile(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.becomeLead()
	w.run(500 * time.Millisecond)
	runTimes["running"], runTimes["stored"], runTimes["gang"] = 3*time.Second, 100*time.Millisecond, 100*time.Millisecond
	running := newFlow("running", "bulk", taskStep(4, 4, 3*time.Second))
	running.Steps[0].Spread = 1
	w.submitAccepted(running)
	w.run(200 * time.Millisecond)
	w.appendDelay = 300 * time.Millisecond
	f := newFlow("stored", "bulk", taskStep(8, 1, 100*time.Millisecond))
	gang := newFlow("gang", "bulk", gangStep(2, 4, 100*time.Millisecond))
	w.submit(f)
	w.submit(gang)
	w.run(150 * time.Millisecond)
	full := w.workers["w0-0"].capacity
	for _, one := range w.workers {
		one.capacity.Accels = 5
	}
	w.postWorkers()
	w.run(400 * time.Millisecond)
	w.appendDelay = 0
	for _, one := range w.workers {
		qt.Check(t, one.maxAccels <= 5, qt.IsTrue, qt.Commentf("%s runs tasks of %d accelerators", one.id, one.maxAccels))
	}
	w.awaitCompleted(f, 2*time.Second)
	for _, one := range w.workers {
		qt.Check(t, one.maxAccels <= 5, qt.IsTrue)
		one.capacity = full
	}
	w.postWorkers()
	w.awaitCompleted(gang, time.Second)
	w.awaitCompleted(running, 4*time.Second)
	qt.Check(t, w.startCount("running"), qt.Equals, 4)
	qt.Check(t, w.eventCount(event.RunLost), qt.Equals, 0)
}
