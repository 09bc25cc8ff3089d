package sched_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/speed"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

// Slowdowns of the workers of a mixed site, a third each.
const (
	slowFactor = 1 / 0.6
	fastFactor = 1 / 1.6
)

// newMixedWorld returns a site of 45 workers on 5 racks. In each rack a third of the workers is
// slow and a third fast. It is large enough for the speeds of its workers to be known to differ.
func newMixedWorld(t *testing.T) *world {
	w := newWorld(t, 5, 9)
	for i, one := range w.sorted() {
		one.slow = [...]float64{slowFactor, 1, fastFactor}[i%3]
	}
	w.advanceGangsTogether()
	w.becomeLead()
	return w
}

// newLearnedWorld returns a mixed site whose lead knows the speeds.
func newLearnedWorld(t *testing.T) *world {
	w := newMixedWorld(t)
	w.teach("teach")
	qt.Assert(t, w.differs(), qt.IsTrue)
	return w
}

// estimateErrors are factors between the real run times of jobs and the callers' estimates.
var estimateErrors = []float64{1, 0.6, 1.8, 1.2, 0.8, 2.2}

// teach runs wide steps of single tasks, one on each worker at a time.
func (w *world) teach(name string) {
	w.t.Helper()
	for i, factor := range estimateErrors {
		span := 2 * time.Second
		f := newFlow(fmt.Sprint(name, i), "bulk", taskStep(int32(len(w.workers)), 8, span))
		runTimes[fleet.JobID(f.Id)] = time.Duration(factor * float64(span))
		w.submitAccepted(f)
		w.awaitCompleted(f, 30*time.Second)
	}
}

// differs reports whether the lead knows that the workers differ.
func (w *world) differs() bool { return len(w.scheduler.SpeedClasses()) > 0 }

// speeds returns the lead's estimates by worker.
func (w *world) speeds() map[fleet.HostID]*wire.WorkerSpeed {
	all := map[fleet.HostID]*wire.WorkerSpeed{}
	for _, s := range w.scheduler.WorkerSpeeds("").GetWorkers() {
		all[fleet.HostID(s.Host)] = s
	}
	return all
}

// worstError returns by how much the estimates are off at most, as a factor relative to the
// geometric mean of the workers' true slowdowns.
func (w *world) worstError() float64 {
	center := 0.0
	for _, one := range w.workers {
		center += math.Log(one.slow) / float64(len(w.workers))
	}
	worst := 0.0
	for id, s := range w.speeds() {
		worst = max(worst, math.Abs(math.Log(s.Slowdown)-math.Log(w.workers[id].slow)+center))
	}
	return math.Exp(worst)
}

// storedSpeeds returns the incarnations of the workers whose speeds are in the store.
func (w *world) storedSpeeds() map[fleet.HostID]int64 {
	all := map[fleet.HostID]int64{}
	for _, r := range w.store.newest() {
		host, ok := strings.CutPrefix(r.Key, sched.SpeedKey)
		if !ok {
			continue
		}
		s := &wire.Speed{}
		qt.Assert(w.t, proto.Unmarshal(r.Value, s), qt.IsNil)
		all[fleet.HostID(host)] = s.Inc
	}
	return all
}

// touch makes the lead append something.
func (w *world) touch(id string) {
	w.t.Helper()
	f := newFlow(id, "bulk", taskStep(1, 0, 100*time.Millisecond))
	runTimes[fleet.JobID(id)] = 100 * time.Millisecond
	w.submitAccepted(f)
	w.awaitCompleted(f, 10*time.Second)
}

// startsBySlowdown returns how many runs of jobs with a prefix have started on workers of each
// slowdown.
func (w *world) startsBySlowdown(prefix string) map[float64]int {
	n := map[float64]int{}
	for _, one := range w.workers {
		for job, count := range one.started {
			if strings.HasPrefix(string(job), prefix) {
				n[one.slow] += count
			}
		}
	}
	return n
}

// urgentStream submits tight urgent gangs of three workers of a rack, one each 400 ms, and returns
// how many of them ended after their objective.
func (w *world) urgentStream(name string, count int) (late int) {
	w.t.Helper()
	const span = 2 * time.Second
	due := time.Duration(1.5*float64(span)) + 250*time.Millisecond
	var ends []time.Time
	var jobs []*wire.Flow
	for i := range count {
		step := gangStep(3, 8, span)
		step.Tight = true
		f := newFlow(fmt.Sprint(name, i), "urgent", step)
		runTimes[fleet.JobID(f.Id)] = span
		w.submitAccepted(f)
		jobs, ends = append(jobs, f), append(ends, w.now.Add(due))
		w.run(400 * time.Millisecond)
	}
	for i, f := range jobs {
		done := w.doneEvent(f)
		if done < 0 {
			w.awaitCompleted(f, 30*time.Second)
			done = w.doneEvent(f)
		}
		if w.logged[done].At.After(ends[i]) {
			late++
		}
	}
	return late
}

// doneEvent returns the index of the log event of a job's end, -1 if there is none yet.
func (w *world) doneEvent(f *wire.Flow) int {
	return slices.IndexFunc(w.logged, func(e event.Event) bool { return e.Code == event.JobDone && e.About == f.Id })
}

// Load pattern: a third of the workers slow and a third fast, wide steps of single tasks, and
// then a stream of tight urgent gangs on a site with idle workers of all speeds. A gang with one
// slow member is late: 2 s at 0.6 of the speed take 3.33 s, and it is due after 3.25 s.
func TestUrgentGangsAvoidSlowWorkers(t *testing.T) {
	w := newMixedWorld(t)
	before := w.urgentStream("before", 12)
	qt.Check(t, before > 0, qt.IsTrue, qt.Commentf("the stream is in time without what is learned"))
	w.teach("wide")
	qt.Assert(t, w.differs(), qt.IsTrue)
	qt.Check(t, w.worstError() < 1.2, qt.IsTrue, qt.Commentf("off by a factor of %.2f", w.worstError()))
	qt.Check(t, w.urgentStream("after", 12), qt.Equals, 0, qt.Commentf("%d before", before))
	qt.Check(t, w.startsBySlowdown("after")[slowFactor], qt.Equals, 0)
}

// Load pattern: as before, with the stream of urgent gangs running from the beginning among the
// wide steps, which take every worker. Later the wide steps leave two thirds of the site idle.
func TestUrgentGangsAmongWideStepsAreInTime(t *testing.T) {
	w := newMixedWorld(t)
	var wide []*wire.Flow
	for i := range 12 {
		f := newFlow(fmt.Sprint("among", i), "bulk", taskStep(45, 8, 2*time.Second))
		runTimes[fleet.JobID(f.Id)] = time.Duration(estimateErrors[i%len(estimateErrors)] * float64(2*time.Second))
		w.submitAccepted(f)
		wide = append(wide, f)
		w.urgentStream(fmt.Sprint("early", i, "-"), 3)
	}
	for _, f := range wide {
		w.awaitCompleted(f, time.Minute)
	}
	qt.Assert(t, w.differs(), qt.IsTrue)
	for i := range 4 {
		f := newFlow(fmt.Sprint("beside", i), "bulk", taskStep(15, 8, 2*time.Second))
		runTimes[fleet.JobID(f.Id)] = 2 * time.Second
		w.submitAccepted(f)
		qt.Check(t, w.urgentStream(fmt.Sprint("late", i, "-"), 3), qt.Equals, 0)
	}
	qt.Check(t, w.startsBySlowdown("late")[slowFactor], qt.Equals, 0)
}

// Failure: the lead is lost. The next one must not learn again what the former one knew.
func TestNewLeadKnowsTheSpeeds(t *testing.T) {
	w := newLearnedWorld(t)
	before := w.speeds()
	w.restartDaemon()
	w.becomeLead()
	qt.Assert(t, w.differs(), qt.IsTrue)
	w.checkSpeeds(before)
	qt.Check(t, w.urgentStream("next", 6), qt.Equals, 0)
	qt.Check(t, w.startsBySlowdown("next")[slowFactor], qt.Equals, 0)
}

// checkSpeeds checks that the estimates are those that a former lead had, up to what a move must
// be for a new record.
func (w *world) checkSpeeds(before map[fleet.HostID]*wire.WorkerSpeed) {
	w.t.Helper()
	const recordedMove = 0.1 + 0.03 // the grid adds an error to what is restored
	for id, now := range w.speeds() {
		was := before[id]
		qt.Check(w.t, now.Count > 0, qt.IsTrue, qt.Commentf("%s", id))
		moved := math.Abs(math.Log(now.Slowdown / was.Slowdown))
		qt.Check(w.t, moved < recordedMove, qt.IsTrue, qt.Commentf("%s: %.2f before, %.2f now", id, was.Slowdown, now.Slowdown))
		qt.Check(w.t, math.Abs(now.Spread-was.Spread) < recordedMove, qt.IsTrue, qt.Commentf("%s: spread %.2f before, %.2f now", id, was.Spread, now.Spread))
	}
}

// Failures: the store is cut off, rejects appends, or does them and loses the answers, each time
// for longer than it takes to refuse the jobs of an append, while runs are measured.
func TestStoreOutageLosesNoSpeeds(t *testing.T) {
	for name, fail := range map[string]func(*store, bool){
		"down":    func(s *store, on bool) { s.down = on },
		"rejects": func(s *store, on bool) { s.rejects = on },
		"lost":    func(s *store, on bool) { s.lost = on },
	} {
		t.Run(name, func(t *testing.T) {
			w := newMixedWorld(t)
			for i, factor := range estimateErrors {
				f := newFlow(fmt.Sprint("outage", i), "bulk", taskStep(int32(len(w.workers)), 8, 4*time.Second))
				runTimes[fleet.JobID(f.Id)] = time.Duration(factor * float64(4*time.Second))
				w.submitAccepted(f)
				w.run(2900 * time.Millisecond) // some runs have just been measured, and none has ended
				fail(w.store, true)
				w.submit(newFlow(fmt.Sprint("refused", i), "bulk", taskStep(1, 0, time.Second)))
				w.run(3 * time.Second)
				fail(w.store, false)
				w.run(2 * time.Second)
				w.awaitCompleted(f, 60*time.Second)
				if w.differs() {
					break // what was lost in a later outage could be replaced by a newer record
				}
			}
			w.touch("after")
			before := w.speeds()
			qt.Assert(t, len(w.storedSpeeds()), qt.Equals, len(w.workers))
			w.restartDaemon()
			w.becomeLead()
			w.checkSpeeds(before)
		})
	}
}

// Failure: a worker's process is replaced, as by one on another machine. What is known of the
// former process, also from its record in the store, says nothing of the next one.
func TestReplacedWorkerStartsFromThePrior(t *testing.T) {
	w := newLearnedWorld(t)
	one := w.workers["w0-0"]
	qt.Assert(t, one.slow, qt.Equals, slowFactor)
	one.crash(w.now)
	one.slow = fastFactor
	w.postWorkers()
	w.run(time.Second)
	w.checkUnknown(one.id)
	w.restartDaemon()
	w.becomeLead()
	w.run(time.Second)
	qt.Assert(t, w.storedSpeeds()[one.id] != 0, qt.IsTrue)
	w.checkUnknown(one.id)
	w.teach("again")
	w.touch("record")
	qt.Check(t, w.speeds()[one.id].Slowdown < 0.85, qt.IsTrue, qt.Commentf("%.2f", w.speeds()[one.id].Slowdown))
	qt.Check(t, w.storedSpeeds()[one.id], qt.Equals, int64(one.inc))
}

// checkUnknown checks that a worker has the estimate of one that was never measured.
func (w *world) checkUnknown(id fleet.HostID) {
	w.t.Helper()
	s := w.speeds()[id]
	qt.Check(w.t, s.Count, qt.Equals, int32(0))
	qt.Check(w.t, s.Spread > 0.3, qt.IsTrue, qt.Commentf("spread %.2f", s.Spread))
	qt.Check(w.t, math.Abs(math.Log(s.Slowdown)) < 0.1, qt.IsTrue, qt.Commentf("slowdown %.2f", s.Slowdown))
}

// goneAfter is how long a worker without runs is kept at most after its entry is gone.
const goneAfter = 40 * time.Second

// Failure: a worker leaves for good. Without the deletion the store would keep the record of
// each worker that ever ran.
func TestRecordOfAGoneWorkerIsDeleted(t *testing.T) {
	w := newLearnedWorld(t)
	gone := w.workers["w0-0"]
	qt.Assert(t, w.storedSpeeds()[gone.id] != 0, qt.IsTrue)
	gone.unlisted = true
	w.postWorkers()
	w.run(goneAfter)
	w.touch("later")
	qt.Check(t, w.storedSpeeds()[gone.id], qt.Equals, int64(0))
	qt.Check(t, len(w.storedSpeeds()), qt.Equals, len(w.workers)-1)
}

// Failure: a worker leaves while no daemon leads. The next lead reads its record and never sees
// the worker.
func TestRecordOfAWorkerGoneWithoutALeadIsDeleted(t *testing.T) {
	w := newLearnedWorld(t)
	gone := w.workers["w0-0"]
	gone.unlisted = true
	w.restartDaemon()
	w.becomeLead()
	w.run(goneAfter)
	w.touch("later")
	qt.Check(t, w.storedSpeeds()[gone.id], qt.Equals, int64(0))
	qt.Check(t, len(w.storedSpeeds()), qt.Equals, len(w.workers)-1)
	qt.Check(t, w.scheduler.SpeedClasses()[service], qt.DeepEquals, map[speed.Class]int{
		speed.Unknown: 0, speed.Fast: 15, speed.Middle: 15, speed.Slow: 14,
	})
}

// Failure: the list of workers cannot be read when a daemon takes the lead. Workers that it does
// not know yet are not gone.
func TestSpeedsAreKeptUntilTheListIsRead(t *testing.T) {
	w := newLearnedWorld(t)
	before := w.speeds()
	w.listHangs = true
	w.restartDaemon()
	w.events = slices.DeleteFunc(w.events, func(e sched.Event) bool { _, ok := e.(sched.WorkersListed); return ok })
	w.becomeLead()
	w.run(5 * time.Second)
	w.listHangs = false
	w.run(time.Second)
	w.touch("later")
	w.checkSpeeds(before)
	qt.Check(t, len(w.storedSpeeds()), qt.Equals, len(w.workers))
}

// Failure: the store holds records that cannot be decoded, or that make no sense. The next lead
// logs and ignores them and has all others.
func TestBadSpeedRecordsAreIgnored(t *testing.T) {
	w := newLearnedWorld(t)
	nan, err := proto.Marshal(&wire.Speed{Host: "w0-1", Inc: int64(w.workers["w0-1"].inc), Service: service, Mean: 0.1, Spread: float32(math.NaN()), Count: 3})
	qt.Assert(t, err, qt.IsNil)
	_, err = w.store.append(fleet.Offset(len(w.store.records)), []fleet.Record{
		{Key: sched.SpeedKey + "w0-0", Value: []byte{0xff, 0xff}}, {Key: sched.SpeedKey + "w0-1", Value: nan},
	})
	qt.Assert(t, err, qt.IsNil)
	w.restartDaemon()
	w.becomeLead()
	w.run(time.Second)
	qt.Check(t, w.eventCount(event.RecordBad), qt.Equals, 2)
	for id, s := range w.speeds() {
		qt.Check(t, s.Count > 0, qt.Equals, id != "w0-0" && id != "w0-1", qt.Commentf("%s", id))
	}
	qt.Check(t, w.differs(), qt.IsTrue)
	w.touch("goes-on")
}

// Load pattern: a site with equal workers, whose callers' estimates are off. It must be scheduled
// as before, and nothing of speeds is of use to the next lead or to the operator.
func TestEqualWorkersAreNotRecorded(t *testing.T) {
	w := newWorld(t, 5, 9)
	w.becomeLead()
	w.teach("equal")
	w.teach("more")
	for _, r := range w.store.records {
		qt.Assert(t, strings.HasPrefix(r.Key, sched.SpeedKey), qt.IsFalse, qt.Commentf("%s", r.Key))
	}
	qt.Check(t, w.differs(), qt.IsFalse)
	qt.Check(t, w.eventCount(event.WorkerSpeed), qt.Equals, 0)
	for id, s := range w.speeds() {
		qt.Check(t, s.Count > 0, qt.IsTrue, qt.Commentf("%s", id))
		qt.Check(t, math.Abs(math.Log(s.Slowdown)) < 0.15, qt.IsTrue, qt.Commentf("%s: %.2f", id, s.Slowdown))
	}
}

// An operator learns from event 612 in which class each worker of a mixed site is, also of those
// whose class was known before it was known that the workers differ.
func TestClassesAreLogged(t *testing.T) {
	w := newLearnedWorld(t)
	w.run(3 * time.Second)
	class := map[string]string{}
	for _, e := range w.logged {
		if e.Code == event.WorkerSpeed {
			class[e.About] = strings.TrimPrefix(strings.Fields(e.Text)[0], "class=")
		}
	}
	qt.Check(t, w.scheduler.SpeedClasses()[service], qt.DeepEquals, map[speed.Class]int{
		speed.Unknown: 0, speed.Fast: 15, speed.Middle: 15, speed.Slow: 15,
	})
	for _, one := range w.sorted() {
		want := map[float64]string{slowFactor: "slow", 1: "middle", fastFactor: "fast"}[one.slow]
		qt.Check(t, class[string(one.id)], qt.Equals, want, qt.Commentf("%s", one.id))
	}
}

// Load pattern: work with much slack comes while the site is idle. It leaves the fast workers to
// urgent work, and takes them when it would wait otherwise.
func TestWorkWithSlackTakesSlowWorkersFirst(t *testing.T) {
	w := newLearnedWorld(t)
	const span = 2 * time.Second
	calm := newFlow("calm", "bulk", taskStep(15, 8, span))
	runTimes["calm"] = span
	w.submitAccepted(calm)
	w.run(500 * time.Millisecond)
	qt.Check(t, w.startsBySlowdown("calm"), qt.DeepEquals, map[float64]int{slowFactor: 15})
	qt.Check(t, w.urgentStream("urgent", 3), qt.Equals, 0)
	qt.Check(t, w.startsBySlowdown("urgent"), qt.DeepEquals, map[float64]int{fastFactor: 9})
	w.awaitCompleted(calm, 10*time.Second)
	w.run(time.Second)
	wide := newFlow("wide", "bulk", taskStep(45, 8, span))
	runTimes["wide"] = span
	w.submitAccepted(wide)
	w.run(500 * time.Millisecond)
	qt.Check(t, w.startsBySlowdown("wide"), qt.DeepEquals, map[float64]int{slowFactor: 15, 1: 15, fastFactor: 15})
}

// Failure: a worker is taken away, and its run resumes elsewhere from a checkpoint. How much of
// the run was left is not known, so that its run time says nothing of the worker.
func TestResumedRunsAreNotMeasured(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	const span = 4 * time.Second
	runTimes["resumes"] = span
	f := newFlow("resumes", "bulk", taskStep(1, 8, span))
	w.submitAccepted(f)
	w.run(time.Second)
	first := slices.IndexFunc(w.sorted(), func(one *worker) bool { return len(one.runs) > 0 })
	qt.Assert(t, first >= 0, qt.IsTrue)
	w.sorted()[first].leave()
	w.postWorkers()
	w.awaitCompleted(f, 20*time.Second)
	other := w.sorted()[1-first]
	qt.Assert(t, other.started["resumes"], qt.Equals, 1)
	for id, s := range w.speeds() {
		qt.Check(t, s.Count, qt.Equals, int32(0), qt.Commentf("%s", id))
	}
	runTimes["whole"] = span
	whole := newFlow("whole", "bulk", taskStep(1, 8, span))
	w.submitAccepted(whole)
	w.awaitCompleted(whole, 20*time.Second)
	qt.Check(t, w.speeds()[other.id].Count, qt.Equals, int32(1), qt.Commentf("a run from the beginning is measured"))
}

// Transient factors from which fleet/pool counts a worker as somewhat slower, and as too slow for
// urgent work.
const (
	slowerPace = 1.2
	slowPace   = 1.5
)

// Failure: a fast worker is 8 times slower for some seconds. It is avoided soon, and is a fast
// worker again afterwards: its profile must not follow.
func TestTransientSlownessIsFoundAndForgotten(t *testing.T) {
	w := newLearnedWorld(t)
	one := w.workers["w0-2"]
	qt.Assert(t, one.slow, qt.Equals, fastFactor)
	before := w.speeds()[one.id]
	one.slow = 8 * fastFactor
	f := newFlow("during", "bulk", taskStep(45, 8, 6*time.Second))
	runTimes["during"] = 6 * time.Second
	w.submitAccepted(f)
	w.runUntil(6*time.Second, "transient slowness", func() bool { return w.speeds()[one.id].Transient > 3 })
	for id, s := range w.speeds() {
		qt.Check(t, s.Transient < 1.5, qt.Equals, id != one.id, qt.Commentf("%s: %.2f", id, s.Transient))
	}
	one.slow = fastFactor
	w.awaitCompleted(f, 60*time.Second)
	over := w.now
	w.teach("after")
	t.Logf("%s after: transient factor %.2f", w.now.Sub(over), w.speeds()[one.id].Transient)
	qt.Check(t, w.speeds()[one.id].Transient < slowPace, qt.IsTrue)
	w.run(time.Minute)
	now := w.speeds()[one.id]
	qt.Check(t, now.Transient < slowerPace, qt.IsTrue, qt.Commentf("transient factor %.2f", now.Transient))
	qt.Check(t, math.Abs(math.Log(now.Slowdown/before.Slowdown)) < 0.2, qt.IsTrue, qt.Commentf("%.2f before, %.2f now", before.Slowdown, now.Slowdown))
}

// Load pattern: wide steps of tasks that run for a few seconds. A worker's progress is known up to
// 1.5 s late. If a measurement takes the time of one report and the progress of the one before,
// healthy workers seem to be up to 8 times slower than they are, and are avoided.
func TestHealthyWorkersHaveNoTransientSlowness(t *testing.T) {
	w := newMixedWorld(t)
	w.teach("steady")
	for id, s := range w.speeds() {
		qt.Check(t, s.Transient > 0.6 && s.Transient < 1.5, qt.IsTrue, qt.Commentf("%s: %.2f", id, s.Transient))
	}
}
