package sched_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// An end is told while the store is away for all daemons. Then the lead and the worker are both
// lost before it is stored. The task must not run again.
func TestToldEndSurvivesTheLossOfLeadAndWorker(t *testing.T) {
	w := newLeadOfFour(t, 1, 1)
	runTimes["told"] = time.Second
	f := newFlow("told", "urgent", taskStep(1, 2, time.Second))
	w.submitAccepted(f)
	w.run(300 * time.Millisecond)
	w.store.down = true
	w.runUntil(8*time.Second, "end", func() bool { return w.stage(f) == wire.Stage_COMPLETED })
	w.loseLeadAndWorkers()
	w.store.down = false
	w.becomeLead()
	w.run(3 * time.Second)
	qt.Check(t, w.startCount("told"), qt.Equals, 1)
	qt.Check(t, w.stage(f), qt.Equals, wire.Stage_COMPLETED)
}

// loseLeadAndWorkers replaces the daemon and all workers by new processes.
func (w *world) loseLeadAndWorkers() {
	for _, one := range w.workers {
		one.crash(w.now)
	}
	w.restartDaemon()
	w.post(fourMembers())
}

// The store rejects the lead alone, so that another daemon takes over within two seconds. An end
// may be told before it is stored only if whoever leads next knows of it: if the worker is lost,
// too, the task must not start again (hunted day trouble-1 of the large deployment, seed
// 471532680459).
func TestEndIsToldOnceAllDaemonsKeepIt(t *testing.T) {
	for answers := range 4 {
		w := newLeadOfFour(t, 1, 2)
		id := fleet.JobID(fmt.Sprint("unstored", answers))
		runTimes[id] = time.Second
		f := newFlow(string(id), "urgent", gangStep(2, 2, time.Second))
		w.submitAccepted(f)
		w.run(300 * time.Millisecond)
		w.store.rejects, w.peerAnswers = true, answers
		w.submit(newFlow("refused", "urgent", gangStep(2, 2, time.Second)))
		if answers < 3 {
			for range 50 {
				w.run(100 * time.Millisecond)
				qt.Assert(t, w.stage(f), qt.Equals, wire.Stage_RUNS, qt.Commentf("%d of 3 peers answer, at %s", answers, w.now.Sub(startTime)))
			}
			continue
		}
		w.runUntil(1500*time.Millisecond, "end", func() bool { return w.stage(f) == wire.Stage_COMPLETED })
		w.loseLeadAndWorkers()
		w.store.rejects = false
		w.becomeLead()
		w.run(3 * time.Second)
		qt.Check(t, w.startCount(id), qt.Equals, 2, qt.Commentf("the gang has two members"))
		qt.Check(t, w.stage(f), qt.Equals, wire.Stage_COMPLETED)
	}
}

// Load pattern: the store is silent for seconds while urgent jobs with little slack end. Their
// callers learn of each end within 0.4 s.
func TestEndsAreToldInAnOutageOfTheStore(t *testing.T) {
	w := newLeadOfFour(t, 2, 8)
	var flows []*wire.Flow
	var due []time.Time
	for i := range 12 {
		f := newFlow(fmt.Sprint("in-outage", i), "urgent", gangStep(2, 2, time.Second))
		runTimes[fleet.JobID(f.Id)] = time.Second + time.Duration(i)*300*time.Millisecond
		flows = append(flows, f)
		w.submitAccepted(f)
		due = append(due, w.now.Add(runTimes[fleet.JobID(f.Id)]))
	}
	w.run(500 * time.Millisecond)
	w.store.down = true
	for i, f := range flows {
		w.runUntil(5*time.Second, "end of "+f.Id, func() bool { return w.stage(f) == wire.Stage_COMPLETED })
		qt.Check(t, w.now.Sub(due[i]) < 400*time.Millisecond, qt.IsTrue, qt.Commentf("job %d told %s after its end", i, w.now.Sub(due[i])))
	}
	w.store.down = false
	w.run(2 * time.Second)
	for _, one := range w.workers {
		qt.Check(t, one.ends, qt.HasLen, 0)
	}
}

// A new lead starts nothing again that ran under the former one before it knows the ends that
// its peers keep, however fast it learns that a worker was replaced.
func TestNewLeadWaitsForTheEndsThatPeersKeep(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.peerAnswers, w.peerDelay = 3, 250*time.Millisecond
	w.post(fourMembers())
	w.becomeLead()
	runTimes["kept"], runTimes["open"] = time.Minute, time.Minute
	kept, open := newFlow("kept", "urgent", taskStep(1, 2, time.Second)), newFlow("open", "urgent", taskStep(1, 2, time.Second))
	w.submitAccepted(kept)
	w.submitAccepted(open)
	w.run(300 * time.Millisecond)
	w.keptEnds = []string{"kept"}
	w.loseLeadAndWorkers()
	w.becomeLead()
	w.run(time.Second)
	qt.Check(t, w.startCount("kept"), qt.Equals, 1)
	qt.Check(t, w.startCount("open"), qt.Equals, 2)
	qt.Check(t, w.eventCount(event.EndsAdopted), qt.Equals, 1)
}

// Daemons are replaced one by one while the store is away. Each learns of the ends that the
// others keep as it starts, so that it knows them when the others are gone.
func TestDaemonLearnsKeptEndsAsItStarts(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.peerAnswers, w.keptEnds = 3, []string{"known"}
	w.post(fourMembers())
	w.run(100 * time.Millisecond)
	qt.Check(t, w.scheduler.KeepEnds(&wire.EndsAsk{}).Jobs, qt.DeepEquals, []string{"known"})
}

// A daemon does not keep ends for a lead that it knows to be replaced, as the next one may
// have begun without them, nor more than it has room for.
func TestDaemonKeepsEndsOnlyOfTheNewestLead(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.post(sched.BeatReceived{Beat: &wire.Beat{Host: "e2", Term: 7, Inc: 1}})
	w.run(w.tick)
	for _, c := range []struct {
		term, jobs int
		kept       bool
	}{{6, 1, false}, {7, 1, true}, {8, 1, true}, {8, 1 << 20, false}} {
		ask := &wire.EndsAsk{Term: int64(c.term)}
		for i := range c.jobs {
			ask.Jobs = append(ask.Jobs, fmt.Sprint(c.term, "-", i))
		}
		r := w.scheduler.KeepEnds(ask)
		qt.Check(t, r.Kept, qt.Equals, c.kept, qt.Commentf("%d ends of term %d", c.jobs, c.term))
		qt.Check(t, r.Term, qt.Equals, int64(7))
	}
}
