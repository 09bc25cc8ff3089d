package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"dragonflydeck.example/standin/engine"
	"dragonflydeck.example/standin/relay"
	"dragonflydeck.example/standin/store"
)

// disruption is a failure of the store, or of all connections to it.
type disruption struct {
	name  string
	store store.Mode
	relay relay.Mode
}

var disruptions = []disruption{
	{"silent", store.Silent, relay.Pass},
	{"busy", store.Busy, relay.Pass},
	{"answers to appends lost", store.ReplyLost, relay.Pass},
	{"appends late", store.Late, relay.Pass},
	{"answers lost", store.Normal, relay.NoReply},
	{"slow", store.Normal, relay.Slow},
	{"resetting", store.Normal, relay.Reset},
}

// loss is a fault by which daemons are lost around an outage of the store.
type loss struct {
	fault
	lasts bool // until workers are back, too
}

var losses = []loss{
	{fault: fault{"all daemons are killed", func(r *rig, _ *rand.Rand) func() { return r.killAll() }}},
	{fault: fault{"daemons are killed one after the other", func(r *rig, rng *rand.Rand) func() {
		for _, i := range rng.Perm(len(r.daemons)) {
			r.daemons[i].kill()
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			r.daemons[i].resume(r.t)
		}
		return func() {}
	}}},
	{fault: fault{"lead is killed", func(r *rig, _ *rand.Rand) func() {
		d := r.leadOrFirst()
		d.kill()
		return func() { d.resume(r.t) }
	}}},
	{lasts: true, fault: fault{"lead is frozen", func(r *rig, _ *rand.Rand) func() {
		d := r.leadOrFirst()
		d.signal(syscall.SIGSTOP)
		return func() { d.resume(r.t) }
	}}},
	{lasts: true, fault: fault{"failure domain of the lead is cut off", func(r *rig, rng *rand.Rand) func() {
		undo := []func(){r.cutFromStore(rng, r.leadOrFirst())}
		for i := 0; i < len(r.workers); i += len(domains) {
			undo = append(undo, r.workers[i].cut(rng))
		}
		return func() { callAll(undo) }
	}}},
}

// fates are what becomes of a worker that has reported ends.
var fates = []func(e *worker, rng *rand.Rand) (undo func()){
	func(e *worker, _ *rand.Rand) func() { e.CrashForGood(); return func() {} },
	func(e *worker, _ *rand.Rand) func() { e.Crash(); return func() {} },
	func(e *worker, rng *rand.Rand) func() { return e.cut(rng) },
	func(*worker, *rand.Rand) func() { return func() {} },
}

// maxGone is how many workers may crash for good: the others have room for every job.
const maxGone = 3

func callAll(all []func()) {
	for _, f := range all {
		f()
	}
}

// leadOrFirst returns the lead, or the first daemon while none is known.
func (r *rig) leadOrFirst() *daemon { return cmp.Or(r.otherLead(nil), r.daemons[0]) }

// cutFromStore cuts a daemon off from the store.
func (r *rig) cutFromStore(rng *rand.Rand, d *daemon) func() { return disturbRelay(rng, d.storeRelay) }

// cut cuts a worker off from all daemons.
func (e *worker) cut(rng *rand.Rand) func() {
	e.CutLink(true)
	undo := disturbRelay(rng, e.relay)
	return func() {
		undo()
		e.CutLink(false)
	}
}

// disrupt disrupts the store for all daemons, or the connections of some to it. The function
// that it returns ends this.
func (r *rig) disrupt(rng *rand.Rand, to disruption) func() {
	r.store.SetMode(to.store)
	var relays []*relay.Relay
	if to.relay != relay.Pass {
		for _, i := range rng.Perm(len(r.daemons))[rng.IntN(len(r.daemons)):] {
			relays = append(relays, r.daemons[i].storeRelay)
		}
	}
	for _, l := range relays {
		l.SetMode(to.relay)
	}
	return func() {
		r.store.SetMode(store.Normal)
		for _, l := range relays {
			l.SetMode(relay.Pass)
		}
	}
}

// decideFates crashes or cuts off workers with successful ends since a time, or lets them live.
func (r *rig) decideFates(value uint64, since time.Time) func() {
	var undo []func()
	gone := 0
	for i, e := range r.workers {
		rng := rand.New(rand.NewPCG(value, uint64(2+i)))
		if e.LastDone().Before(since) {
			continue
		}
		fate := rng.IntN(len(fates))
		if fate == 0 && gone == maxGone {
			fate++
		}
		if fate == 0 {
			gone++
		}
		undo = append(undo, fates[fate](e, rng))
	}
	return func() { callAll(undo) }
}

// followInterval is how often a caller asks a daemon for the state of a job.
const followInterval = 150 * time.Millisecond

// act is something that happens at a time of a history.
type act struct {
	at time.Duration
	do func()
}

// play carries acts out in the order of their times.
func play(acts []act) {
	slices.SortStableFunc(acts, func(a, b act) int { return cmp.Compare(a.at, b.at) })
	begun := time.Now()
	for _, a := range acts {
		time.Sleep(time.Until(begun.Add(a.at)))
		a.do()
	}
}

// newOutageJob returns a random job: one task, a gang, or two steps, with or without checkpoints.
func newOutageJob(rng *rand.Rand) *job {
	need := engine.Need{Cores: 1000, Mem: 256, Accels: 1 << rng.IntN(3), Span: time.Duration(300+rng.IntN(4000)) * time.Millisecond, Saves: rng.IntN(3) == 0}
	var steps []map[string]any
	switch rng.IntN(4) {
	case 0:
		need.Gang = 2 + rng.IntN(3)
		steps = append(steps, newStep(need.Gang, need))
		steps[0]["gang"] = true
	case 1:
		steps = append(steps, newStep(1+rng.IntN(3), need), newStep(1, need))
		steps[1]["dependsOn"] = []int{0}
	default:
		steps = append(steps, newStep(1, need))
	}
	for _, s := range steps {
		s["checkpointing"] = need.Saves
	}
	return jobOf(fmt.Sprintf("%016x", rng.Uint64()), pick(rng, []string{"urgent", "long"}), need, steps...)
}

// outageSeeds are those of the histories to play always. The first three failed while the ends of
// jobs were told before they were stored.
var outageSeeds = []uint64{2, 8, 29, 3}

// Guards against tasks that run again after their end was told or acknowledged (TWICE, issue 49):
// jobs end around an outage of the store, and daemons and workers are lost near its end.
func TestTaskWhoseEndIsKnownIsNotStartedAgainAfterAnOutage(t *testing.T) {
	list := slices.Clone(outageSeeds)
	if *onlySeed != 0 {
		list = []uint64{*onlySeed}
	}
	for range *freshSeeds {
		list = append(list, rand.Uint64())
	}
	for _, value := range list {
		t.Run(fmt.Sprint(value), func(t *testing.T) {
			t.Parallel()
			loseAroundOutage(t, value)
		})
	}
}

const (
	jobsBefore = 10 // submitted before the outage
	jobsWithin = 2  // submitted in it
	mostlyAll  = 2  // how much more likely than another loss is that of all daemons at once
)

// loseAroundOutage plays a history that is determined by a seed, but for the times at which
// tasks start.
func loseAroundOutage(t *testing.T, value uint64) {
	rng := rand.New(rand.NewPCG(value, 0))
	ms := func(least, more int) time.Duration { return time.Duration(least+rng.IntN(more)) * time.Millisecond }
	r := newRig(t)
	l := &load{rig: r}
	var acts []act
	add := func(at time.Duration, name string, do func()) {
		acts = append(acts, act{at, func() {
			t.Logf("%s %s", time.Now().Format("15:04:05.000"), name)
			do()
		}})
	}

	begin, length := ms(800, 2000), ms(500, 4000)
	end, lost := begin+length, begin+ms(0, int(length.Milliseconds())+400)
	healed := max(end, lost) + ms(200, 5000)
	back := lost + ms(100, 1500)
	disruption, loss := pick(rng, disruptions), losses[max(rng.IntN(len(losses)+mostlyAll)-mostlyAll, 0)]
	if loss.lasts {
		back = healed
	}
	var endOutage, endLoss, endFates func()
	add(begin, "store "+disruption.name, func() { endOutage = r.disrupt(rng, disruption) })
	add(end, "store normal", func() { endOutage() })
	add(lost, loss.name, func() {
		endFates = r.decideFates(value, time.Now().Add(begin-lost))
		endLoss = loss.inject(r, rng)
	})
	add(back, "daemons back", func() { endLoss() })
	add(healed, "workers back", func() { endFates() })
	if rng.IntN(3) == 0 {
		again := max(back, healed) + ms(0, 4000)
		add(again, "all daemons are killed again", func() { endLoss = r.killAll() })
		add(again+ms(100, 1500), "daemons back", func() { endLoss() })
	}

	var callers sync.WaitGroup
	stop := make(chan struct{})
	for i := range jobsBefore + jobsWithin {
		j, order := newOutageJob(rng), rng.Perm(len(r.daemons))
		l.jobs = append(l.jobs, j)
		at := ms(0, int(begin.Milliseconds()))
		if i >= jobsBefore {
			at = begin + ms(0, int(length.Milliseconds()))
		}
		add(at, "job "+j.id, func() { callers.Go(func() { l.submitAndFollow(j, order, stop) }) })
	}

	waitFor(t, 10*time.Second, "lead", func() bool { return r.otherLead(nil) != nil })
	play(acts)
	r.faultsEnded = time.Now()
	close(stop)
	callers.Wait()
	waitForJobs(t, l)
	checkGuarantees(t, r, l)
}

// submitAndFollow submits a job and asks all daemons for its state until stop is closed.
func (l *load) submitAndFollow(j *job, order []int, stop <-chan struct{}) {
	if l.submit(j, order, false); !j.accepted {
		return
	}
	var group sync.WaitGroup
	for _, i := range order {
		group.Go(func() {
			for {
				l.stateAt(l.rig.daemons[i], j)
				select {
				case <-stop:
					return
				case <-time.After(followInterval):
				}
			}
		})
	}
	group.Wait()
}
