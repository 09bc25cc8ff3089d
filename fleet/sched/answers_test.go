package sched_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/pool"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// onlyRun returns the only run in the site and its worker.
func (w *world) onlyRun() (*worker, pool.Key) {
	w.t.Helper()
	for _, one := range w.sorted() {
		for k := range one.runs {
			return one, k
		}
	}
	w.t.Fatal("nothing runs")
	return nil, pool.Key{}
}

// mostAtOnce runs for a while and returns the most runs that were there at one time.
func (w *world) mostAtOnce(span time.Duration) int {
	most := 0
	for end := w.now.Add(span); w.now.Before(end); {
		w.step()
		n := 0
		for _, one := range w.workers {
			n += len(one.runs)
		}
		most = max(most, n)
	}
	return most
}

// Guards against a task that runs twice at a time: a second send of a start fails, whose first send
// took effect, and its daemon has lost the lead and taken it again in between.
func TestStartThatFailsAfterTheLeadWasTakenAgainEndsNoRun(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.becomeLead()
	for _, one := range w.workers {
		one.losesAnswers = true
	}
	runTimes["again"] = 5 * time.Second
	w.submitAccepted(newFlow("again", "bulk", taskStep(1, 1, 5*time.Second)))
	w.runUntil(time.Second, "start", func() bool { return w.startCount("again") == 1 })
	one, k := w.onlyRun()
	former := w.scheduler.Elect.Lead().Term
	w.store.records = append(w.store.records, fleet.Record{Key: sched.LeadKey, Value: otherClaim, Offset: fleet.Offset(len(w.store.records))})
	w.later = nil
	w.post(sched.BeatReceived{Beat: &wire.Beat{Host: "e2", Addr: "e2:7000", Term: int64(len(w.store.records)), Inc: 1, Leaving: true}})
	w.inc++
	w.post(sched.Members{All: fourMembers().All[:1], Inc: w.inc})
	w.step()
	w.runUntil(time.Second, "lead", w.scheduler.Leads)
	for _, o := range w.workers {
		o.losesAnswers = false
	}
	w.post(sched.Started{Endpoint: fleet.Endpoint{Host: one.id}, Term: former, Key: k, Err: &fleet.Error{Op: "start", Kind: fleet.Unsent}})
	qt.Assert(t, w.mostAtOnce(3*time.Second), qt.Equals, 1)
}

// Guards against tasks that run twice at a time: a worker starts again at another address, and
// another process answers a call that was sent to its former one.
func TestAnswerFromTheFormerAddressOfAWorkerEndsNoRuns(t *testing.T) {
	replaced := &fleet.Error{Op: "call", Kind: fleet.Replaced}
	for name, answer := range map[string]func(w *world, at fleet.Endpoint, k pool.Key) sched.Event{
		"poll": func(w *world, at fleet.Endpoint, _ pool.Key) sched.Event {
			return sched.Polled{Endpoint: at, Term: w.scheduler.Elect.Lead().Term, At: w.local().Add(-time.Second), Wait: 1500 * time.Millisecond, Err: replaced}
		},
		"start": func(w *world, at fleet.Endpoint, k pool.Key) sched.Event {
			return sched.Started{Endpoint: at, Term: w.scheduler.Elect.Lead().Term, SentAt: w.local(), Key: k, Err: replaced}
		},
		"stop": func(w *world, at fleet.Endpoint, k pool.Key) sched.Event {
			return sched.Stopped{Endpoint: at, Term: w.scheduler.Elect.Lead().Term, SentAt: w.local(), Key: k, Err: replaced}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 2)
			w.becomeLead()
			id := fleet.JobID("moved-" + name)
			runTimes[id] = 5 * time.Second
			w.submitAccepted(newFlow(string(id), "bulk", taskStep(1, 1, 5*time.Second)))
			w.runUntil(time.Second, "start", func() bool { return w.startCount(id) == 1 })
			w.run(100 * time.Millisecond)
			one, k := w.onlyRun()
			w.post(answer(w, fleet.Endpoint{Host: one.id, Addr: "former:1"}, k))
			qt.Assert(t, w.mostAtOnce(3*time.Second), qt.Equals, 1)
			qt.Assert(t, w.startCount(id), qt.Equals, 1)
		})
	}
}

// Guards against a lead that steps down for its own claim: a read that it sent in a former term of its
// own, to see whether it still leads, is answered after it has taken the lead again.
func TestCheckFromAFormerTermDoesNotEndTheLead(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	sentAt, at := w.local(), len(w.store.records)
	w.store.records = append(w.store.records, fleet.Record{Key: sched.LeadKey, Value: otherClaim, Offset: fleet.Offset(at)})
	w.later = nil
	w.post(sched.BeatReceived{Beat: &wire.Beat{Host: "e2", Addr: "e2:7000", Term: int64(len(w.store.records)), Inc: 1, Leaving: true}})
	w.inc++
	w.post(sched.Members{All: fourMembers().All[:1], Inc: w.inc})
	w.step()
	w.becomeLead()
	qt.Assert(t, w.eventCount(event.LeadLost), qt.Equals, 1)
	w.post(sched.Checked{Records: w.store.records[at:], End: fleet.Offset(len(w.store.records)), SentAt: sentAt})
	w.step()
	w.step()
	qt.Assert(t, w.eventCount(event.LeadLost), qt.Equals, 1)
}
