package sched_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/pool"
	"dragonflydeck.example/fleet/queue"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// rush simulates a day of a large site in virtual time: a mix of urgent gangs, long
// gangs and wide bulk jobs that comes in bursts, beside workers that fail or leave.
type rush struct {
	w        *world
	random   *rand.Rand
	kinds    []kind
	jobs     map[fleet.JobID]*rushJob
	order    []*rushJob
	gangs    map[gangKey]*gangRun
	troubles []trouble
	length   time.Duration // during which jobs arrive
	after    time.Duration // until the day ends
	begun    time.Time
	next     []time.Time // arrival of the next job of each kind
	wasted   float64     // core-seconds of runs that did not end well
	how      map[fleet.End]int
	overCap  int
}

// kind is a class of jobs.
type kind struct {
	queue     string
	perSecond float64
	worth     float64
	lateWorth float64
	span      time.Duration // mean run time
	spread    float64       // of the logarithm of the run time
	width     float64       // mean number of tasks
	maxWidth  int
	each      fleet.Res // accelerators are drawn
	accels    []int64
	tight     float64 // share of jobs that are slow on several racks
	onRack    float64 // share of jobs with data on one rack
	saves     float64 // share of jobs with checkpoints
	estimates float64 // spread of the logarithm of the callers' estimates
	gang      bool
	slowdown  float64
	target    time.Duration
	fails     float64 // share of runs that fail by their own fault
	attempts  int32
	bursts    []burst
}

// burst multiplies the arrivals of a kind for a while.
type burst struct {
	at, span time.Duration
	factor   float64
}

// trouble is something that happens to the workers at some time of the day.
type trouble struct {
	at   time.Duration
	what func(*rush)
}

type rushJob struct {
	flow      *wire.Flow
	kind      *kind
	span      time.Duration
	submitted time.Time
	waiter    sched.Waiter
	doneAt    time.Time
	work      float64
}

type gangKey struct {
	job fleet.JobID
	run fleet.Run
}

// gangRun is one run of a gang. Its members work from when all are present, and end
// together.
type gangRun struct {
	width, present, finished int
	broken                   bool
	racks                    map[string]bool
}

func (g *gangRun) complete() bool { return g.present == g.width }

// offRackFactor is how many times longer a task takes away from its data, or in a
// tight gang on several racks.
const offRackFactor = 3

// begin notes a run that a worker starts.
func (d *rush) begin(w *worker, k pool.Key, r *running) {
	j := d.jobs[k.Task.Job]
	spec := j.flow.Steps[k.Task.Step]
	r.total = j.span
	if spec.Rack != "" && spec.Rack != w.rack {
		r.total *= offRackFactor
	}
	if r.order.Saved != "" && spec.Saves {
		r.left = -d.saved(r.order.Saved)
	}
	r.left += r.total
	used := fleet.ResOf(spec.Each)
	for o := range w.runs {
		used = used.Add(fleet.ResOf(d.jobs[o.Task.Job].flow.Steps[o.Task.Step].Each))
	}
	if !used.Fits(w.capacity) {
		d.overCap++
	}
	if !spec.Gang {
		return
	}
	g := d.gangs[gangKey{k.Task.Job, k.No}]
	if g == nil {
		g = &gangRun{width: int(spec.Count), racks: map[string]bool{}}
		d.gangs[gangKey{k.Task.Job, k.No}] = g
	}
	g.present++
	g.racks[w.rack] = true
	r.gang = g
}

// checkpointInterval is the work between two checkpoints of a run.
const checkpointInterval = 500 * time.Millisecond

// checkpoint returns the newest checkpoint of a run, which tells the work done.
func (d *rush) checkpoint(k pool.Key, r *running) string {
	if !d.jobs[k.Task.Job].flow.Steps[k.Task.Step].Saves {
		return ""
	}
	done := d.jobs[k.Task.Job].span - max(r.left, 0)
	return done.Truncate(checkpointInterval).String()
}

// saved returns the work that a checkpoint saves.
func (d *rush) saved(checkpoint string) time.Duration {
	span, err := time.ParseDuration(checkpoint)
	if err != nil {
		return 0
	}
	return span
}

// advanceMember moves a member of a gang on.
func (w *worker) advanceMember(k pool.Key, r *running, now time.Time, span time.Duration) {
	g := r.gang
	switch {
	case g.broken:
		w.end(k, fleet.EndBroken, "")
	case !g.complete():
		if now.Sub(r.begun) > limits.Gang {
			w.end(k, fleet.EndAlone, "")
		}
	case g.finished == g.width:
		w.end(k, fleet.EndDone, "")
	case r.left > 0 && !w.hangs:
		if r.left -= w.progress(span) / time.Duration(w.rush.offRack(k, g)); r.left <= 0 {
			g.finished++
		}
	}
}

func (d *rush) offRack(k pool.Key, g *gangRun) int {
	if len(g.racks) > 1 && d.jobs[k.Task.Job].flow.Steps[k.Task.Step].Tight {
		return offRackFactor
	}
	return 1
}

// noteEnd notes the end of a run.
func (d *rush) noteEnd(k pool.Key, r *running, how fleet.End) {
	d.how[how]++
	if r.gang != nil && how != fleet.EndDone {
		r.gang.broken = true
	}
	if how != fleet.EndDone {
		each := fleet.ResOf(d.jobs[k.Task.Job].flow.Steps[k.Task.Step].Each)
		if !d.jobs[k.Task.Job].flow.Steps[k.Task.Step].Saves {
			d.wasted += coreSeconds(each, d.w.now.Sub(r.begun))
		}
	}
}

func coreSeconds(each fleet.Res, span time.Duration) float64 {
	return (float64(each.Cores)/1000 + 8*float64(each.Accels)) * span.Seconds()
}

func newRush(t *testing.T, seed uint64, racks, perRack int, scale float64) *rush {
	w := newWorld(t, racks, perRack)
	d := &rush{
		w: w, random: rand.New(rand.NewPCG(seed, 1)), jobs: map[fleet.JobID]*rushJob{}, gangs: map[gangKey]*gangRun{},
		length: 41 * time.Second, after: 14 * time.Second, how: map[fleet.End]int{},
	}
	d.kinds = []kind{
		{
			queue: "urgent", perSecond: 12.8 * scale, worth: 4, lateWorth: 0.8, span: 2500 * time.Millisecond, spread: 0.5,
			width: 5.3, maxWidth: 32, each: fleet.Res{Cores: 7500, Mem: 15000}, accels: []int64{1, 2, 4, 8, 8},
			tight: 0.8, estimates: 0.5, gang: true, slowdown: 1.5, target: 300 * time.Millisecond, fails: 0.004, attempts: 2,
		},
		{
			queue: "long", perSecond: 4 * scale, worth: 3, lateWorth: 0.9, span: 6800 * time.Millisecond, spread: 0.3,
			width: 13, maxWidth: 76, each: fleet.Res{Cores: 26000, Mem: 53000}, accels: []int64{1, 2, 4, 8, 8},
			tight: 0.6, onRack: 0.3, saves: 0.45, estimates: 0.9, gang: true, slowdown: 3, target: time.Second, fails: 0.0005, attempts: 2,
		},
		{
			queue: "bulk", perSecond: 2.5 * scale, worth: 1, lateWorth: 0.3, span: 9500 * time.Millisecond, spread: 0.3,
			width: 38, maxWidth: 230, each: fleet.Res{Cores: 5600, Mem: 11000}, accels: []int64{1},
			onRack: 0.12, saves: 0.45, estimates: 0.9, slowdown: 3, target: 3 * time.Second, fails: 0.0015, attempts: 3,
		},
	}
	for i := range w.config.Queues {
		q := &w.config.Queues[i]
		for _, k := range d.kinds {
			if k.queue == q.Name {
				q.Attempts = int(k.attempts)
			}
		}
	}
	var spaces []queue.Space
	for i := range 24 {
		spaces = append(spaces, queue.Space{Name: fleet.SpaceID(fmt.Sprint("s", i)), Accels: fleet.Accels(float64(racks*perRack*8) * 0.62 / 24)})
	}
	c := *w.config
	c.Spaces = spaces
	w.config = queue.New(c)
	i := 0
	for r := range racks {
		for n := range perRack {
			one := w.workers[fleet.HostID(fmt.Sprintf("w%d-%d", r, n))]
			one.domain = fleet.DomainID(fmt.Sprintf("d%d", r%5))
			one.rush = d
			if i%3 == 2 {
				one.slow = 1.3
			}
			i++
		}
	}
	w.restartDaemon()
	return d
}

func (d *rush) normal(spread float64) float64 {
	return math.Exp(spread*d.random.NormFloat64() - spread*spread/2)
}

func (d *rush) rate(k *kind, at time.Duration) float64 {
	rate := k.perSecond
	for _, b := range k.bursts {
		if at >= b.at && at < b.at+b.span {
			rate *= b.factor
		}
	}
	return rate
}

func (d *rush) submit(k *kind) {
	id := fmt.Sprintf("%016x", len(d.order)+1)
	span := time.Duration(float64(k.span) * d.normal(k.spread))
	width := min(max(int(math.Round(k.width*d.normal(0.8))), 1), k.maxWidth)
	each := k.each
	each.Accels = fleet.Accels(k.accels[d.random.IntN(len(k.accels))])
	s := &wire.Step{Count: int32(width), Span: int64(float64(span.Milliseconds()) * d.normal(k.estimates)), Each: each.Wire(), Gang: k.gang}
	s.Tight = k.gang && d.random.Float64() < k.tight
	s.Saves = d.random.Float64() < k.saves
	if d.random.Float64() < k.onRack {
		s.Rack = fmt.Sprint("r", d.random.IntN(27))
	}
	f := &wire.Flow{
		Id: id, Queue: k.queue, Space: fmt.Sprint("s", d.random.IntN(24)), Service: service, Steps: []*wire.Step{s}, Spec: "spec",
		Attempts: k.attempts, Slowdown: k.slowdown, Target: k.target.Milliseconds(),
	}
	f.Priority = map[string]int32{"urgent": 0, "long": 1, "bulk": 2}[k.queue]
	j := &rushJob{flow: f, kind: k, span: span, submitted: d.w.now, work: coreSeconds(each, span) * float64(width)}
	d.jobs[fleet.JobID(id)] = j
	d.order = append(d.order, j)
	j.waiter = d.w.submit(f)
}

// play runs the day.
func (d *rush) play() {
	w := d.w
	w.becomeLead()
	w.run(time.Second)
	w.stepTime = 0
	d.begun = w.now
	due := make([]time.Time, len(d.kinds))
	for i := range due {
		due[i] = w.now
	}
	for {
		at := w.now.Sub(d.begun)
		if at >= d.length+d.after {
			break
		}
		for i := range d.kinds {
			for at < d.length && !due[i].After(w.now) {
				d.submit(&d.kinds[i])
				due[i] = due[i].Add(time.Duration(d.random.ExpFloat64() / d.rate(&d.kinds[i], at) * float64(time.Second)))
			}
		}
		rest := d.troubles[:0]
		for _, t := range d.troubles {
			if at >= t.at {
				t.what(d)
				continue
			}
			rest = append(rest, t)
		}
		d.troubles = rest
		w.step()
		for _, j := range d.order {
			if j.doneAt.IsZero() && w.submitReplies[j.waiter] != nil && w.stage(j.flow) == wire.Stage_COMPLETED {
				j.doneAt = w.now
			}
		}
	}
}

// outcome sums up how the jobs of one kind were served.
type outcome struct {
	asked, inAim, late, refused, failed int
	worth, owed                         float64
}

func (d *rush) outcomes() map[string]*outcome {
	out := map[string]*outcome{}
	for i := range d.kinds {
		k := &d.kinds[i]
		o := &outcome{}
		out[k.queue] = o
		mean := 0.0
		n := 0
		for _, j := range d.order {
			if j.kind == k {
				mean += j.work
				n++
			}
		}
		mean /= float64(max(n, 1))
		for _, j := range d.order {
			if j.kind != k {
				continue
			}
			o.asked++
			share := min(0.3+0.7*j.work/mean, 4)
			o.owed += share
			aim := time.Duration(k.slowdown*float64(j.span)) + k.target
			r := d.w.submitReplies[j.waiter]
			took := j.doneAt.Sub(j.submitted)
			switch {
			case r != nil && r.Verdict != wire.Verdict_OK:
				o.refused++
			case j.doneAt.IsZero() || took > 3*aim:
				o.failed++
			case took <= aim:
				o.inAim++
				o.worth += share
			default:
				o.late++
				o.worth += share * k.lateWorth / k.worth
			}
		}
	}
	return out
}

// report logs how the day was served, and returns the share of the worth that was
// earned.
func (d *rush) report() float64 {
	total, owed := 0.0, 0.0
	all := d.outcomes()
	for _, k := range d.kinds {
		o := all[k.queue]
		total += o.worth * k.worth
		owed += o.owed * k.worth
		d.w.t.Logf("%-7s asked=%d in-aim=%d late=%d refused=%d failed=%d worth=%.3f", k.queue, o.asked, o.inAim, o.late, o.refused, o.failed, o.worth/o.owed)
	}
	d.w.t.Logf("worth=%.3f wasted=%.0f core=%.3f polls=%d ends=%v over-capacity=%d", total/owed, d.wasted, d.core(), d.w.polls, d.how, d.overCap)
	return total / owed
}

// workersBy returns a random share of the workers.
func (d *rush) workersBy(share float64) []*worker {
	var out []*worker
	for _, one := range d.w.sorted() {
		if d.random.Float64() < share {
			out = append(out, one)
		}
	}
	return out
}

// newBurstDay returns a day on which urgent gangs and long ones come in bursts to a
// site of 540 workers that is nearly full without them.
func newBurstDay(t *testing.T, seed uint64) *rush {
	d := newRush(t, seed, 27, 20, 1)
	d.kinds[0].bursts = []burst{{500 * time.Millisecond, 6 * time.Second, 2.1}}
	d.kinds[1].bursts = []burst{{2 * time.Second, 3700 * time.Millisecond, 2.5}}
	return d
}

// core returns the share of a core that the scheduler has taken since the day began.
func (d *rush) core() float64 { return d.w.stepTime.Seconds() / d.w.now.Sub(d.begun).Seconds() }

// Load pattern: bursts on a full site of 540 workers, on which something that placement
// depends on changes a thousand times a second, one event at a time. When each event
// cost a plan, the lead had no processor time left to send its starts.
func TestEventsOneByOneArePlannedInTime(t *testing.T) {
	d := newBurstDay(t, 1)
	d.length, d.after = 20*time.Second, 0
	d.troubles = []trouble{{8200 * time.Millisecond, func(d *rush) { d.takeAway(0.16, 5*time.Second) }}}
	d.play()
	w := d.w
	w.stepTime, w.tick = 0, time.Millisecond
	for range 1000 {
		w.postConfig()
		w.step()
	}
	core := w.stepTime.Seconds()
	qt.Assert(t, core < maxOverloadCore, qt.IsTrue, qt.Commentf("the scheduler took %.3f of a core", core))
}

// newTroubledDay returns a burst day on which workers are also taken away at short
// notice, and others fail all that they start.
func newTroubledDay(t *testing.T, seed uint64) *rush {
	d := newBurstDay(t, seed)
	var bad []*worker
	d.troubles = []trouble{
		{8200 * time.Millisecond, func(d *rush) { d.takeAway(0.16, 5*time.Second) }},
		{11400 * time.Millisecond, func(d *rush) {
			bad = d.workersBy(0.105)
			for _, one := range bad {
				one.fails = true
			}
		}},
		{18200 * time.Millisecond, func(*rush) {
			for _, one := range bad {
				one.fails = false
			}
		}},
		{28600 * time.Millisecond, func(d *rush) { d.takeAway(0.16, 5*time.Second) }},
	}
	return d
}

// takeAway drains a share of the workers and takes them away at the end of the notice.
// New ones come in their place after a while.
func (d *rush) takeAway(share float64, notice time.Duration) {
	gone := d.workersBy(share)
	for _, one := range gone {
		one.draining, one.drainLeft = true, 2*time.Second
	}
	d.w.postWorkers()
	at := d.w.now.Sub(d.begun) + notice
	d.troubles = append(d.troubles, trouble{at, func(d *rush) {
		for _, one := range gone {
			for _, k := range one.sortedRuns() {
				one.end(k, fleet.EndLapsed, "")
			}
			one.crash(d.w.now)
			one.draining = false
		}
		d.w.postWorkers()
	}})
}

// leastWorth is the share of the worth of a day that must be earned beside bad workers.
const leastWorth = 0.6

// Load pattern: bursts on a site that is nearly full without them, while a sixth of the
// workers is taken away at short notice, twice, and a tenth fails all that it starts.
func TestBurstsBesideBadWorkers(t *testing.T) {
	d := newTroubledDay(t, 1)
	d.play()
	worth := d.report()
	qt.Assert(t, worth >= leastWorth, qt.IsTrue, qt.Commentf("%.3f of the worth was earned", worth))
	qt.Assert(t, d.overCap, qt.Equals, 0)
}
