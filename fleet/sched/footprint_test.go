package sched_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

// heap returns the bytes that are in use.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// newSmallLead returns a lead on a site whose smallest daemon has little memory.
func newSmallLead(t *testing.T, memory fleet.Mebibytes) *world {
	w := newWorld(t, 1, 1)
	w.memory = memory
	w.restartDaemon()
	w.becomeLead()
	return w
}

// Guards against daemons that end by their memory, one after the other (review/9): state was made for each
// task of each round of an accepted job, however far ahead it is due.
func TestRoundsThatAreNotDueTakeNoMemory(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	before := heap()
	for i := range 100 {
		f := newFlow(fmt.Sprintf("hourly-%d", i), "bulk", taskStep(1, 1, time.Second))
		f.Repeat = &wire.Repeat{Count: 17520, First: w.now.Add(time.Hour).UnixMilli(), Every: time.Hour.Milliseconds()}
		w.submitAccepted(f)
	}
	qt.Check(t, heap()-before < 8<<20, qt.IsTrue, qt.Commentf("%d MiB", (heap()-before)>>20))
	runtime.KeepAlive(w)
}

// Whatever the shape of the jobs: what is accepted takes no more memory than the smallest daemon has for it, on the
// lead that accepts it and on the next one. What is beyond is refused with the limit.
func TestAcceptedWorkFitsIntoTheMemoryOfEveryDaemon(t *testing.T) {
	for _, c := range []struct {
		name   string
		memory fleet.Mebibytes
		flow   func(w *world, id string) *wire.Flow
	}{
		{"many-small", 64, func(_ *world, id string) *wire.Flow { return newFlow(id, "bulk", taskStep(1, 1, time.Second)) }},
		{"wide", 64, func(_ *world, id string) *wire.Flow { return newFlow(id, "bulk", taskStep(2000, 1, time.Second)) }},
		{"many-steps", 64, func(_ *world, id string) *wire.Flow {
			f := newFlow(id, "bulk", taskStep(1, 1, time.Second))
			for i := range 500 {
				s := taskStep(1, 1, time.Second)
				s.After = []int32{int32(i)}
				f.Steps = append(f.Steps, s)
			}
			return f
		}},
		{"long-texts", 64, func(_ *world, id string) *wire.Flow {
			f := newFlow(id, "bulk", taskStep(1, 1, time.Second))
			f.Steps[0].Image = strings.Repeat("x", 200<<10)
			return f
		}},
		{"overdue-rounds", 8, func(w *world, id string) *wire.Flow {
			f := newFlow(id, "bulk", taskStep(1, 1, time.Second))
			f.Repeat = &wire.Repeat{Count: 50000, First: w.now.Add(-time.Hour).UnixMilli(), Every: 1}
			return f
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, budget := newSmallLead(t, c.memory), int64(c.memory<<20)/4
			w.config.Queues[2].Target = 1000 * time.Hour // no job is refused as late
			before := heap()
			why, accepted := "", 0
			for i := 0; why == "" && i < 20000; i++ {
				f := c.flow(w, fmt.Sprintf("%s-%d", c.name, i))
				f.Target = time.Hour.Milliseconds() * 1000
				id := w.submit(f)
				w.runUntil(time.Second, "answer", func() bool { return w.submitReplies[id] != nil })
				if why = w.submitReplies[id].Why; why == "" {
					accepted++
				}
				delete(w.submitReplies, id)
			}
			qt.Check(t, why, qt.Contains, fmt.Sprintf("of the %d KiB that the daemons of the site hold", budget>>10))
			qt.Check(t, accepted >= 10, qt.IsTrue, qt.Commentf("%d accepted", accepted))
			w.run(time.Second)
			w.logged = nil
			stored := int64(0)
			for _, r := range w.store.records {
				stored += int64(cap(r.Value))
			}
			lead := heap() - before - stored
			qt.Check(t, lead <= budget, qt.IsTrue, qt.Commentf("%d KiB for %d jobs", lead>>10, accepted))
			w.restartDaemon()
			w.becomeLead()
			w.run(100 * time.Millisecond)
			w.logged = nil
			stored = 0
			for _, r := range w.store.records {
				stored += int64(cap(r.Value))
			}
			next := heap() - before - stored
			qt.Check(t, next <= budget, qt.IsTrue, qt.Commentf("%d KiB on the next lead", next>>10))
			runtime.KeepAlive(w)
		})
	}
}

// Rounds that are due and beyond what a record can hold wait for those before, and all of them run.
func TestOverdueRoundsWaitForRoomAndAllRun(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.limits.Record = 4 << 10 // holds the progress of 28 tasks
	w.restartDaemon()
	w.becomeLead()
	runTimes["overdue"] = 20 * time.Millisecond
	f := newFlow("overdue", "bulk", taskStep(1, 1, 20*time.Millisecond))
	f.Repeat = &wire.Repeat{Count: 300, First: w.now.Add(-time.Minute).UnixMilli(), Every: 1}
	w.submitAccepted(f)
	w.run(time.Second)
	w.restartDaemon() // in the middle
	w.becomeLead()
	w.awaitCompleted(f, time.Minute)
	qt.Check(t, w.startCount("overdue"), qt.Equals, 300)
	for _, r := range w.store.records {
		qt.Assert(t, len(r.Value) <= 4<<10, qt.IsTrue, qt.Commentf("record %s of %d bytes", r.Key, len(r.Value)))
	}
}

// Guards against a site that a single job stops: its record outgrows what the store takes, and the append is
// repeated by one lead after the other. Such a job is refused at once, with the limit.
func TestJobThatNoRecordHoldsIsRefused(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.limits.Record = 256 << 10
	w.restartDaemon()
	w.becomeLead()
	wide := w.submit(newFlow("wide", "bulk", taskStep(10000, 1, time.Second)))
	long := newFlow("long", "bulk", taskStep(1, 1, time.Second))
	long.Steps[0].Image = strings.Repeat("x", 256<<10)
	text := w.submit(long)
	w.run(100 * time.Millisecond)
	qt.Check(t, w.submitReplies[wide].Why, qt.Equals, "a round of the job has 10000 tasks, and a record of the store holds the progress of 2044")
	qt.Check(t, w.submitReplies[text].Why, qt.Matches, "the job takes 262.* bytes, and a record of the store holds 261632")
}

// Guards against a record that checkpoints make too long for the store: those that do not fit are left out.
func TestLongCheckpointsDoNotOutgrowARecord(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.limits.Record = 8 << 10
	w.restartDaemon()
	w.becomeLead()
	runTimes["long-saves"] = time.Hour
	f := newFlow("long-saves", "bulk", taskStep(16, 1, time.Hour))
	f.Steps[0].Saves = true
	w.submitAccepted(f)
	w.runUntil(2*time.Second, "start", func() bool { return w.startCount("long-saves") == 16 })
	for _, one := range w.workers {
		one.saved = strings.Repeat("s", 1000)
	}
	w.run(4 * time.Second)
	one, _ := w.onlyRun()
	one.crash(w.now)
	w.run(10 * time.Second)
	for _, r := range w.store.records {
		qt.Assert(t, len(r.Value) <= 8<<10, qt.IsTrue, qt.Commentf("record %s of %d bytes", r.Key, len(r.Value)))
	}
	track := &wire.Track{}
	for _, r := range w.store.newest() {
		if r.Key == "track/long-saves" {
			qt.Assert(t, proto.Unmarshal(r.Value, track), qt.IsNil)
		}
	}
	qt.Check(t, len(track.Pieces), qt.Equals, 16)
}

// Guards against an append that the store never takes, as the progress of many wide jobs is larger than a call may be. It
// goes into several calls, and no end is acknowledged before it is stored.
func TestProgressOfManyWideJobsGoesIntoSeveralCalls(t *testing.T) {
	const wideJobs, callBytes = 24, 2 << 20
	w := newWorld(t, 1, 4)
	w.becomeLead()
	for _, one := range w.workers {
		one.saved = strings.Repeat("s", 1800)
	}
	for i := range wideJobs {
		id := fmt.Sprintf("crowd-%d", i)
		runTimes[fleet.JobID(id)] = time.Hour
		f := newFlow(id, "bulk", taskStep(70, 1, 10*time.Millisecond))
		f.Steps[0].Each = &wire.Res{Cores: 1, Mem: 1}
		f.Target = (1000 * time.Hour).Milliseconds()
		w.submitAccepted(f)
	}
	w.tick = 50 * time.Millisecond
	w.run(3 * time.Second) // until polls have reported checkpoints
	one := w.sorted()[0]
	one.crash(w.now)
	one.inc++
	w.postWorkers()
	w.run(2 * time.Second)
	stored := 0
	for _, r := range w.store.newest() {
		stored += len(r.Value)
	}
	qt.Check(t, stored > callBytes, qt.IsTrue, qt.Commentf("%d bytes of records", stored))
	qt.Check(t, w.largestAppend <= callBytes, qt.IsTrue, qt.Commentf("%d bytes in one call", w.largestAppend))
}

// Guards against a daemon that ends by its memory as thousands of tasks start or are stopped at once: each call in flight takes
// memory of its own. All of them start and stop within seconds all the same.
func TestOrdersInFlightAreLimited(t *testing.T) {
	const wideJobs, tasks = 3, 1000
	w := newWorld(t, 1, 4)
	w.becomeLead()
	for i := range wideJobs {
		id := fmt.Sprintf("orders-%d", i)
		runTimes[fleet.JobID(id)] = time.Hour
		f := newFlow(id, "bulk", taskStep(tasks, 1, 10*time.Millisecond))
		f.Steps[0].Each = &wire.Res{Cores: 1, Mem: 1}
		f.Target = (1000 * time.Hour).Milliseconds()
		w.submitAccepted(f)
	}
	running := func() int {
		n := 0
		for i := range wideJobs {
			n += w.running(fleet.JobID(fmt.Sprintf("orders-%d", i)))
		}
		return n
	}
	w.runUntil(3*time.Second, "start of all tasks", func() bool { return running() == wideJobs*tasks })
	for i := range wideJobs {
		w.post(sched.CancelRequested{Waiter: sched.Waiter(1e6 + i), Ask: &wire.FlowAsk{Id: fmt.Sprintf("orders-%d", i), Queue: "bulk", Space: "a"}, Deadline: w.local().Add(time.Minute)})
	}
	w.runUntil(4*time.Second, "end of all tasks", func() bool { return running() == 0 })
	qt.Check(t, w.mostOrders <= 1024, qt.IsTrue, qt.Commentf("%d orders in flight", w.mostOrders))
}

// The memory of accepted work is given back once it has ended and is forgotten.
func TestEndedWorkMakesRoom(t *testing.T) {
	w := newSmallLead(t, 32)
	members := sched.Members{All: []elect.Member{{Host: w.host}}, Memory: 32}
	w.post(members)
	for round := range 3 {
		accepted := 0
		for i := 0; ; i++ {
			id := fleet.JobID(fmt.Sprintf("ends-%d-%d", round, i))
			runTimes[id] = 10 * time.Millisecond
			f := newFlow(string(id), "bulk", taskStep(100, 1, 10*time.Millisecond))
			f.Target = time.Hour.Milliseconds()
			waiter := w.submit(f)
			w.runUntil(time.Second, "answer", func() bool { return w.submitReplies[waiter] != nil })
			if w.submitReplies[waiter].Why != "" {
				break
			}
			accepted++
		}
		qt.Check(t, accepted > 20, qt.IsTrue, qt.Commentf("round %d: %d", round, accepted))
		w.tick = 200 * time.Millisecond
		w.run(limits.Status + 3*time.Minute)
		w.tick = 10 * time.Millisecond
	}
}
