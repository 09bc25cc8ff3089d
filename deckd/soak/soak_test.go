package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"dragonflydeck.example/standin/engine"
	"dragonflydeck.example/standin/relay"
	"dragonflydeck.example/standin/store"
	qt "github.com/frankban/quicktest"
)

var (
	freshSeeds = flag.Int("seeds", 0, "number of random seeds to run in addition to the regression seeds")
	onlySeed   = flag.Uint64("seed", 0, "run only this seed")
	faultTime  = flag.Duration("span", 12*time.Second, "how long faults are injected")
)

const (
	warmupTime    = 4 * time.Second             // for the site to elect a lead
	drainNotice   = 1600 * time.Millisecond     // how long before its removal a worker announces it
	leaveNotice   = 7 * time.Second             // how long before its end a worker announces that it leaves
	shrunkFor     = 8 * time.Second             // how long a capacity stays shrunk
	cancelTimeout = 3*time.Second + stopTimeout // for the tasks of a cancelled job to stop
	settleTimeout = 45 * time.Second            // for the accepted jobs to end after the last fault
)

// seed identifies a run of the soak test: the value for the random number generator
// and the number of faults to choose from. The number is kept because a fault that
// is added later would change the runs of earlier seeds.
type seed struct {
	value  uint64
	faults int
}

// Numbers of faults that existed when the regression seeds were recorded.
const (
	firstFaults  = 15
	secondFaults = 17
	thirdFaults  = 20
	fourthFaults = 21
	fifthFaults  = 22
)

// regressions lists seeds that once failed, each with the cause.
var regressions = []seed{
	{1, firstFaults},                     // fault of the stand-in: the members of a gang ended one by one
	{102, firstFaults},                   // a job used up all its attempts on the one worker that fails everything
	{103, firstFaults},                   // no fault in the daemon: the auditor took the end of a second run for that of the first
	{110, firstFaults},                   // a lead waited forever for an append that the store had discarded
	{116, firstFaults},                   // a delayed start was executed by the worker's next process
	{519, firstFaults},                   // a job that had failed elsewhere immediately used up its attempts on another such worker
	{511, firstFaults},                   // a start answered by the worker's next process was dropped once that process became known
	{28, thirdFaults},                    // never failed: tasks that crash their workers, and capacities that shrink
	{16234692449347075357, thirdFaults},  // an answer of a worker's next process was taken for one of the former, which a task had crashed
	{12926456547503137442, secondFaults}, // no fault in the daemon: a cancellation without an answer had taken effect
	{258, fourthFaults},                  // nothing enforced caps: one is removed, then set again; later a daemon is killed
	{417, fourthFaults},                  // nothing enforced caps: one is raised and lowered, then all daemons are killed
	{902, fifthFaults},                   // a failure domain that was taken back as the history went stayed out of service
}

// fault is a kind of fault. The function inject starts it and returns the function
// that ends it.
type fault struct {
	name   string
	inject func(r *rig, rng *rand.Rand) (undo func())
}

func pick[T any](rng *rand.Rand, all []T) T { return all[rng.IntN(len(all))] }

var faults = []fault{
	{"kill", func(r *rig, rng *rand.Rand) func() {
		d := pick(rng, r.daemons)
		d.kill()
		return func() { d.resume(r.t) }
	}},
	{"kill all", func(r *rig, _ *rand.Rand) func() { return r.killAll() }},
	{"freeze", func(r *rig, rng *rand.Rand) func() {
		d := pick(rng, r.daemons)
		d.signal(syscall.SIGSTOP)
		return func() { d.resume(r.t) }
	}},
	{"stop and start", func(r *rig, rng *rand.Rand) func() {
		d := pick(rng, r.daemons)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			d.stop()
		}()
		return func() {
			<-stopped
			d.resume(r.t)
		}
	}},
	{"reload", func(r *rig, rng *rand.Rand) func() {
		pick(rng, r.daemons).signal(syscall.SIGHUP)
		return func() {}
	}},
	{"cut from the store", func(r *rig, rng *rand.Rand) func() {
		return disturbRelay(rng, pick(rng, r.daemons).storeRelay)
	}},
	{"connections to the store go silent", func(r *rig, _ *rand.Rand) func() {
		for _, d := range r.daemons {
			d.storeRelay.SilenceOpen()
		}
		return func() {}
	}},
	{"cut from a worker", func(r *rig, rng *rand.Rand) func() {
		e := pick(rng, r.workers)
		e.CutLink(true)
		undo := disturbRelay(rng, e.relay)
		return func() {
			undo()
			e.CutLink(false)
		}
	}},
	{"worker crashes", func(r *rig, rng *rand.Rand) func() {
		pick(rng, r.workers).Crash()
		return func() {}
	}},
	{"worker does not answer", func(r *rig, rng *rand.Rand) func() {
		e := pick(rng, r.workers)
		e.DropReplies(true)
		return func() { e.DropReplies(false) }
	}},
	{"worker fails everything", func(r *rig, rng *rand.Rand) func() {
		e := pick(rng, r.workers)
		e.FailRuns(true)
		return func() { e.FailRuns(false) }
	}},
	{"worker hangs", func(r *rig, rng *rand.Rand) func() {
		e := pick(rng, r.workers)
		e.HangRuns(true)
		return func() { e.HangRuns(false) }
	}},
	{"store", func(r *rig, rng *rand.Rand) func() {
		r.store.SetMode(pick(rng, []store.Mode{store.Silent, store.Busy, store.ReplyLost}))
		return func() { r.store.SetMode(store.Normal) }
	}},
	{"store forgets", func(r *rig, _ *rand.Rand) func() {
		for _, topic := range []string{topicOperator, topicWorkers, "keyed.jobs", "keyed.hosts"} {
			r.store.Compact(topic)
		}
		return func() {}
	}},
	{"configuration", func(r *rig, _ *rand.Rand) func() {
		r.configure()
		return func() {}
	}},
	{"worker carries orders out late", func(r *rig, rng *rand.Rand) func() {
		e := pick(rng, r.workers)
		e.DelayOrders(true)
		return func() { e.DelayOrders(false) }
	}},
	{"worker is taken away", func(r *rig, rng *rand.Rand) func() {
		e := pick(rng, r.workers)
		e.Drain(drainNotice)
		removal := time.AfterFunc(drainNotice, func() {
			e.relay.SetMode(relay.Reset)
			e.Crash()
		})
		return func() {
			removal.Stop()
			e.Drain(0)
			e.relay.SetMode(relay.Pass)
		}
	}},
	{"workers leave", func(r *rig, rng *rand.Rand) func() {
		leaving := []*worker{pick(rng, r.workers), pick(rng, r.workers)}
		for _, e := range leaving {
			e.Drain(leaveNotice)
			time.AfterFunc(leaveNotice, func() { e.Drain(0) }) // another worker takes its place
		}
		return func() {}
	}},
	{"job that crashes its workers", func(r *rig, rng *rand.Rand) func() {
		r.submitDeadly(rng)
		return func() {}
	}},
	{"capacity shrinks", func(r *rig, rng *rand.Rand) func() {
		for range 1 + rng.IntN(len(r.workers)) {
			e := pick(rng, r.workers)
			e.Resize(engine.Room{Cores: fullRoom.Cores / 2, Mem: fullRoom.Mem / 2, Accels: int64(1 + rng.IntN(4))})
			time.AfterFunc(shrunkFor, func() { e.Resize(fullRoom) })
		}
		return func() {}
	}},
	{"caps change", func(r *rig, rng *rand.Rand) func() {
		r.changeCap(pick(rng, smallCaps), capTime)
		return func() {}
	}},
	{"failure domain returns as the history goes", func(r *rig, rng *rand.Rand) func() {
		domain := pick(rng, domains)
		r.turn(domain, true)
		return func() {
			r.turn(domain, false)
			r.store.Compact(topicOperator)
		}
	}},
}

// killAll kills all daemons at once. The function that it returns starts them again.
func (r *rig) killAll() func() {
	for _, d := range r.daemons {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range r.daemons {
		<-d.done
	}
	return func() {
		for _, d := range r.daemons {
			d.resume(r.t)
		}
	}
}

// disturbRelay puts a relay into a random failure mode.
func disturbRelay(rng *rand.Rand, l *relay.Relay) func() {
	l.SetMode(pick(rng, []relay.Mode{relay.Silent, relay.NoReply, relay.Slow, relay.Reset}))
	return func() { l.SetMode(relay.Pass) }
}

// TestSoak runs a site under load and overlapping faults, and then checks what
// callers and workers saw against the scheduler's guarantees.
func TestSoak(t *testing.T) {
	list := slices.Clone(regressions)
	if *onlySeed != 0 {
		list = slices.DeleteFunc(list, func(s seed) bool { return s.value != *onlySeed })
		if len(list) == 0 {
			list = []seed{{*onlySeed, len(faults)}}
		}
	}
	for range *freshSeeds {
		list = append(list, seed{rand.Uint64(), len(faults)})
	}
	for _, s := range list {
		t.Run(fmt.Sprint(s.value), func(t *testing.T) {
			t.Parallel()
			soak(t, s)
		})
	}
}

func soak(t *testing.T, s seed) {
	rng := rand.New(rand.NewPCG(s.value, 0))
	r := newRig(t)
	time.Sleep(warmupTime)
	until := time.Now().Add(*faultTime)
	l := &load{rig: r}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(rand.New(rand.NewPCG(s.value, 1)), until)
	}()
	injectFaults(r, rng, faults[:s.faults], until)
	<-done
	waitForJobs(t, l)
	checkDeadly(t, r, l)
	checkGuarantees(t, r, l)
	for _, domain := range domains {
		r.awaitOut(domain, false)
	}
}

// injectFaults injects random faults, up to three at a time, and finally ends them
// all.
func injectFaults(r *rig, rng *rand.Rand, all []fault, until time.Time) {
	var undo []func()
	for time.Now().Before(until) {
		f := pick(rng, all)
		r.t.Logf("%s %s", time.Now().Format("15:04:05.000"), f.name)
		undo = append(undo, f.inject(r, rng))
		time.Sleep(time.Duration(300+rng.IntN(2500)) * time.Millisecond)
		for len(undo) > rng.IntN(3) {
			undo[0]()
			undo = undo[1:]
		}
	}
	for _, u := range undo {
		u()
	}
	for _, d := range r.daemons {
		d.resume(r.t)
	}
	r.faultsEnded = time.Now()
}

// waitForJobs waits until every accepted job has ended.
func waitForJobs(t *testing.T, l *load) {
	end := time.Now().Add(settleTimeout)
	for {
		var open []string
		for _, j := range l.jobs {
			if !j.accepted || j.finished {
				continue
			}
			status, state := l.state(j)
			j.state = state
			if j.ended.IsZero() {
				j.ended = time.Now()
			}
			j.finished = hasEnded(state)
			if j.told && status != 0 && state != "completed" {
				t.Errorf("job %s was reported as completed, and then: %d %q", j.id, status, state)
			}
			if !j.finished {
				open = append(open, fmt.Sprintf("%s %s: %d %q", j.queue, j.id, status, state))
			}
			if state == "failed" || state == "cancelled" && !j.cancelTried && !j.unknown {
				t.Errorf("job %s is reported as %s without cause", j.id, state)
			}
		}
		if len(open) == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d accepted jobs have not ended: %v", len(open), open)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// runningTasks returns how many tasks of an ended job still run. The tasks of a
// cancelled or failed job have cancelTimeout to stop, counted from the end of the
// job or of the last fault, whichever is later.
func (r *rig) runningTasks(j *job) int {
	var until time.Time
	switch {
	case j.state == "completed":
	case j.ended.Before(r.faultsEnded):
		until = r.faultsEnded.Add(cancelTimeout)
	default:
		until = j.ended.Add(cancelTimeout)
	}
	for r.auditor.Running(j.id) > 0 && time.Now().Before(until) {
		time.Sleep(50 * time.Millisecond)
	}
	return r.auditor.Running(j.id)
}

// checkGuarantees checks what the workers saw: no broken rule, no run of a job that
// was always refused, and no task that still runs after its job has ended.
func checkGuarantees(t *testing.T, r *rig, l *load) {
	accepted := 0
	for _, v := range r.auditor.Violations() {
		t.Error(v)
	}
	for _, j := range l.jobs {
		if j.accepted {
			accepted++
		}
		if !j.accepted && !j.unknown {
			qt.Check(t, r.auditor.Starts(j.id), qt.Equals, 0, qt.Commentf("job %s ran although it was refused each time", j.id))
		}
		if j.finished {
			qt.Check(t, r.runningTasks(j), qt.Equals, 0, qt.Commentf("job %s is reported as %s but still runs", j.id, j.state))
		}
	}
	t.Logf("%d jobs, %d accepted", len(l.jobs), accepted)
	if accepted == 0 {
		t.Error("no job was accepted")
	}
}
