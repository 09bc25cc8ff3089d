package pool_test

import (
	"math"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/pool"
	qt "github.com/frankban/quicktest"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const lease = 6 * time.Second

func entry(clock fleet.Ticks) fleet.WorkerEntry {
	return fleet.WorkerEntry{Endpoint: fleet.Endpoint{Host: "w", Addr: "w:1"}, Clock: clock, Inc: 1}
}

// An entry of the service discovery is seconds older than the worker's answers. If
// its clock were used, a lease would seem shorter than it is.
func TestEntryDoesNotMoveTheClock(t *testing.T) {
	p := pool.New(lease)
	w, _ := p.Update(entry(1000), "r1", now)
	w.Synced = true
	w.NoteClock(9000, now)
	p.Update(entry(2000), "r1", now)
	qt.Assert(t, w.GrantLease(lease, now), qt.Equals, fleet.Ticks(15000))
	w.NoteClock(9100, now.Add(100*time.Millisecond))
	qt.Assert(t, w.LeasesExpireAt().After(now.Add(lease)), qt.IsTrue)
}

// A worker's clock may run 2% slow, so that its lease lasts longer on the lead's
// clock.
func TestLeaseExpiryAllowsForASlowClock(t *testing.T) {
	p := pool.New(lease)
	w, _ := p.Update(entry(0), "r1", now)
	w.Synced = true
	w.NoteClock(1000, now)
	w.GrantLease(lease, now)
	qt.Assert(t, w.LeasesExpireAt().Sub(now) > lease*100/98, qt.IsTrue)
}

func TestUpdateAfterARestart(t *testing.T) {
	p := pool.New(lease)
	p.Update(entry(0), "r1", now)
	e := entry(0)
	e.Inc = 2
	_, restarted := p.Update(e, "r1", now)
	qt.Assert(t, restarted, qt.IsTrue)
	old := entry(0)
	w, restarted := p.Update(old, "r1", now)
	qt.Assert(t, restarted, qt.IsFalse)
	qt.Assert(t, w.Inc, qt.Equals, fleet.Incarnation(2))
}

func TestRoomIsTakenUntilARunIsDropped(t *testing.T) {
	p := pool.New(lease)
	e := entry(0)
	e.Capacity = fleet.Res{Cores: 4000, Mem: 100, Accels: 8}
	w, _ := p.Update(e, "r1", now)
	r := &pool.Run{Task: fleet.Task{Job: "j"}, No: 1, Each: fleet.Res{Cores: 1000, Accels: 2}}
	w.Add(r)
	w.Add(r)
	qt.Assert(t, w.Free().Accels, qt.Equals, fleet.Accels(6))
	w.Drop(pool.Key{Task: r.Task, No: 1})
	w.Drop(pool.Key{Task: r.Task, No: 1})
	qt.Assert(t, w.Free(), qt.Equals, e.Capacity)
}

// A worker that becomes several times slower is recognised after a few measurements.
// It counts as normal again some time after they stop, or after good ones.
func TestSlowWorkerIsRecognisedAndRecovers(t *testing.T) {
	p := pool.New(lease)
	w, _ := p.Update(entry(0), "r1", now)
	qt.Assert(t, w.Pace(now), qt.Equals, pool.Normal)
	for i := range 3 {
		w.Observe(math.Log(6.5), 0.06, now.Add(time.Duration(i)*time.Second))
	}
	at := now.Add(2 * time.Second)
	qt.Assert(t, w.Pace(at), qt.Equals, pool.VerySlow)
	qt.Assert(t, w.Pace(at.Add(5*time.Minute)) < pool.Slow, qt.IsTrue)
	for i := range 4 {
		w.Observe(0, 0.06, at.Add(time.Duration(i)*time.Second))
	}
	qt.Assert(t, w.Pace(at.Add(4*time.Second)) < pool.Slow, qt.IsTrue)
}

func TestWorkerThatFailsDifferentJobsIsQuarantined(t *testing.T) {
	p := pool.New(lease)
	w, _ := p.Update(entry(0), "r1", now)
	w.Synced = true
	w.State = fleet.WorkerReady
	qt.Assert(t, w.CountFail(now), qt.IsFalse)
	qt.Assert(t, w.CountFail(now), qt.IsTrue)
	qt.Assert(t, w.Usable(now), qt.IsFalse)
	qt.Assert(t, w.Usable(now.Add(5*time.Second)), qt.IsTrue)
}

// A worker may fail only some of its tasks: a single failure makes a worker without
// other outcomes suspect, but counts little against many successes.
func TestWorkerIsSuspectAfterAFailureAndProvenBySuccesses(t *testing.T) {
	p := pool.New(lease)
	w, _ := p.Update(entry(0), "r1", now)
	qt.Assert(t, w.Suspect(now), qt.IsFalse)
	qt.Assert(t, w.Proven(now), qt.IsFalse)
	w.RecordFail(false, now)
	qt.Assert(t, w.Suspect(now), qt.IsTrue)
	qt.Assert(t, w.Suspect(now.Add(30*time.Second)), qt.IsFalse)
	for range 10 {
		w.NoteSuccess(now)
	}
	qt.Assert(t, w.Suspect(now), qt.IsFalse)
	qt.Assert(t, w.Proven(now), qt.IsTrue)
	for range 4 {
		w.RecordFail(false, now)
		w.NoteSuccess(now)
	}
	qt.Assert(t, w.Suspect(now), qt.IsTrue, qt.Commentf("four of the last eight failed"))
}

// An entry without its process's start time must not hide that the worker was
// restarted since.
func TestEntryWithoutAStartTimeKeepsTheKnownOne(t *testing.T) {
	p := pool.New(lease)
	p.Update(entry(0), "r1", now)
	e := entry(0)
	e.Inc = 0
	w, _ := p.Update(e, "r1", now)
	qt.Assert(t, w.Inc, qt.Equals, fleet.Incarnation(1))
	e.Inc = 2
	_, restarted := p.Update(e, "r1", now)
	qt.Assert(t, restarted, qt.IsTrue)
}

// A raised limit also counts for leases that are unknown already.
func TestRaisedLeaseLimitCountsForUnknownLeases(t *testing.T) {
	p := pool.New(lease)
	w, _ := p.Update(entry(0), "r1", now)
	p.SetMaxLease(2*lease, now)
	qt.Assert(t, w.LeasesExpireAt().Sub(now) > 2*lease, qt.IsTrue, qt.Commentf("expires after %s", w.LeasesExpireAt().Sub(now)))
	p.SetMaxLease(lease, now)
	qt.Assert(t, w.LeasesExpireAt().Sub(now) > 2*lease, qt.IsTrue, qt.Commentf("a lease that was granted does not become shorter"))
}

// A task crashes its worker, and the worker's next process answers an order before its
// restart is known. That must not seem to show that the task has outlived its start.
func TestAnswerOfTheNextProcessSaysNothingOfTheFormer(t *testing.T) {
	p := pool.New(lease)
	w, _ := p.Update(entry(1000), "r1", now)
	r := &pool.Run{Phase: pool.Running, SentAt: now, Confirmed: true}
	w.Add(r)
	p.NoteOrderAnswer(w, 9000, now)
	w.NoteFailedCall(now.Add(10 * time.Millisecond))
	w.NoteBrokenCall(now.Add(10 * time.Millisecond))
	p.NoteOrderAnswer(w, 50, now.Add(2*time.Second))
	qt.Check(t, w.DiedStarting(r), qt.IsTrue)
	qt.Check(t, w.Outlived(r), qt.IsFalse)
	p.NoteOrderAnswer(w, 8990, now.Add(2*time.Second)) // overtaken on its way
	qt.Check(t, w.Outlived(r), qt.IsTrue)
}

// A worker's process is replaced, or the limit of leases raised, just after a new lead took over.
// A former lead may still grant leases for a while, so that their latest end must not move back
// (issue 25).
func TestForeignLeasesAreStillExpectedAfterARestart(t *testing.T) {
	p := pool.New(lease)
	w, _ := p.Update(entry(0), "r1", now)
	w.ExpectForeignLeases(now.Add(1250 * time.Millisecond))
	until := w.LeasesExpireAt()
	e := entry(0)
	e.Inc = 2
	p.Update(e, "r1", now.Add(100*time.Millisecond))
	qt.Check(t, w.LeasesExpireAt().Before(until), qt.IsFalse)
	p.SetMaxLease(lease+100*time.Millisecond, now.Add(200*time.Millisecond))
	qt.Check(t, w.LeasesExpireAt().Before(until), qt.IsFalse)
}
