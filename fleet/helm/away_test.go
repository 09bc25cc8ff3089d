package helm_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/helm"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

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

// Load pattern: the store is silent for seconds while jobs arrive. The first job
// after its return is accepted within half a second, although calls made before
// still hang.
func TestJobsAreAcceptedSoonAfterTheStoreIsBack(t *testing.T) {
	for away := 1900 * time.Millisecond; away < 4*time.Second; away += 300 * time.Millisecond {
		w := newWorld(t, 1, 2)
		w.lead()
		w.store.down = true
		w.hand(flow("first", "bulk", tasks(1, 1, time.Second)))
		w.run(away)
		w.store.down = false
		back := w.now
		w.until(time.Second, "accept", func() bool {
			id := w.hand(flow(fmt.Sprint("next", w.now.UnixMilli()), "bulk", tasks(1, 1, time.Second)))
			w.run(30 * time.Millisecond)
			return w.hands[id].GetVerdict() == wire.Verdict_OK
		})
		took := w.now.Sub(back)
		qt.Check(t, took <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("away for %s: accepted %s after the store was back", away, took))
	}
}

// Load pattern: the store is slow. A job is accepted and placed by one append, so
// that it starts when it is accepted and not an append later.
func TestJobStartsWithItsAcceptance(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.lead()
	w.run(time.Second)
	w.lag = 400 * time.Millisecond
	w.appends = 0
	spans["quick"] = time.Second
	f := flow("quick", "urgent", gang(2, 2, time.Second))
	w.accept(f)
	w.until(50*time.Millisecond, "start", func() bool { return w.starts("quick") == 2 })
	qt.Assert(t, w.appends, qt.Equals, 1)
}

// A job that is refused as the store does not answer leaves the room that was
// found for it.
func TestRefusedJobLeavesItsRoom(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.lead()
	w.store.down = true
	w.hand(flow("sent", "bulk", tasks(1, 1, time.Second)))
	w.run(100 * time.Millisecond)
	waits := flow("waits", "urgent", gang(1, 3, time.Second))
	waits.Repeat = &wire.Repeat{Count: 2, First: w.now.UnixMilli()}
	refused := w.hand(waits)
	w.until(2*time.Second, "refusal", func() bool { return w.hands[refused] != nil })
	qt.Assert(t, w.hands[refused].Verdict, qt.Equals, wire.Verdict_REFUSED)
	w.store.down = false
	w.run(time.Second)
	spans["next"] = time.Second
	next := flow("next", "urgent", gang(1, 7, time.Second))
	w.accept(next)
	w.done(next, 2*time.Second)
	qt.Assert(t, w.starts("waits"), qt.Equals, 0)
}

// Load pattern: the store takes a hundred times longer than it should. Once that is
// known, jobs are accepted late rather than refused.
func TestSlowStoreIsNotTakenForOneThatIsAway(t *testing.T) {
	w := newWorld(t, 2, 8)
	w.lead()
	w.run(time.Second)
	w.lag = 700 * time.Millisecond
	var ids []helm.Waiter
	for i := range 40 {
		id := fmt.Sprint("slow", i)
		spans[fleet.JobID(id)] = time.Second
		ids = append(ids, w.hand(flow(id, "urgent", gang(2, 2, time.Second))))
		w.run(150 * time.Millisecond)
	}
	w.run(3 * time.Second)
	refused := 0
	for i, id := range ids {
		if v := w.hands[id].GetVerdict(); v != wire.Verdict_OK {
			qt.Check(t, i < 8, qt.IsTrue, qt.Commentf("job %d: %s", i, v))
			refused++
		}
	}
	qt.Assert(t, refused < 8, qt.IsTrue, qt.Commentf("%d refused", refused))
}

// Load pattern: a failure domain is cut off with the lead in it. The lead says so
// within a second, and that it is well when the cut heals. An outage of the store for
// all is no cut.
func TestLeadThatIsCutOffSaysSo(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.lead()
	w.post(helm.Members{All: []elect.Member{{Host: "e1"}, {Host: "e2"}, {Host: "e3"}, {Host: "e4"}}})
	for _, c := range []struct {
		answers int
		alone   bool
	}{{3, false}, {2, false}, {1, true}, {0, true}} {
		w.answers, w.store.down = c.answers, true
		w.hand(flow(fmt.Sprint("cut", c.answers), "bulk", tasks(1, 1, time.Second)))
		w.run(900 * time.Millisecond)
		qt.Check(t, w.alone, qt.Equals, c.alone, qt.Commentf("%d of 3 peers answer", c.answers))
		w.store.down = false
		w.run(2 * time.Second)
		qt.Check(t, w.alone, qt.IsFalse)
	}
}

// A cancellation is not acknowledged before it is stored, also if the caller asks
// again while it is on its way to the store. Found by a day of our own, seed 11.
func TestCancellationOnItsWayIsNotAcknowledged(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.lead()
	spans["cancelled"] = time.Minute
	f := flow("cancelled", "bulk", tasks(1, 1, time.Minute))
	w.accept(f)
	w.run(200 * time.Millisecond)
	w.store.down, w.workers["w0-0"].cut = true, true
	for i := range 8 {
		id := w.cancel(f)
		w.run(300 * time.Millisecond)
		if r := w.drops[id]; r != nil {
			qt.Check(t, r.Verdict, qt.Not(qt.Equals), wire.Verdict_OK, qt.Commentf("try %d", i))
		}
		qt.Check(t, w.stage(f), qt.Not(qt.Equals), wire.Stage_WITHDRAWN)
	}
	w.store.down, w.workers["w0-0"].cut = false, false
	id := w.cancel(f)
	w.until(time.Second, "acknowledgement", func() bool { return w.drops[id].GetVerdict() == wire.Verdict_OK })
	w.boot()
	w.lead()
	w.run(time.Second)
	qt.Assert(t, w.stage(f), qt.Equals, wire.Stage_WITHDRAWN)
	qt.Assert(t, w.starts("cancelled"), qt.Equals, 1)
}
