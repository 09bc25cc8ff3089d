package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

// doneEnd is an end of a run that succeeded.
type doneEnd struct {
	worker *worker
	inc    fleet.Incarnation
	no     fleet.EndNo
	at     time.Time
	lapsed bool // the worker's lease ended before the end was forgotten
	noted  bool // the worker was told to forget it
}

// witness watches a site for what must never happen to its tasks.
type witness struct {
	w      *world
	former *world    // of a lead that was replaced and acts on; nil if there is none
	wakes  time.Time // when it ends its freeze
	ends   map[fleet.Task][]*doneEnd
	begun  map[*running]bool
	told   map[string]wire.Stage
	stored int // records that were in the store when the current step began
	faults []string
}

func newWitness(w *world) *witness {
	return &witness{w: w, ends: map[fleet.Task][]*doneEnd{}, begun: map[*running]bool{}, told: map[string]wire.Stage{}}
}

func (v *witness) report(format string, args ...any) {
	v.faults = append(v.faults, fmt.Sprintf("%s ", v.w.now.Sub(startTime))+fmt.Sprintf(format, args...))
}

// track returns the progress of a job that was stored when the current step began, or nil.
func (v *witness) track(id fleet.JobID) *wire.Track {
	for _, r := range slices.Backward(v.w.store.records[:v.stored]) {
		if r.Key == "track/"+string(id) {
			t := &wire.Track{}
			qt.Assert(v.w.t, proto.Unmarshal(r.Value, t), qt.IsNil)
			return t
		}
	}
	return nil
}

// isStoredAsDone reports whether the next lead will not start a task again.
func (v *witness) isStoredAsDone(t fleet.Task) bool {
	track := v.track(t.Job)
	return track.GetEnded() > 0 || slices.ContainsFunc(track.GetPieces(), func(p *wire.Piece) bool {
		return int(p.Round) == t.Round && int(p.Step) == t.Step && int(p.Index) == t.Index && p.Done
	})
}

// watch advances the time by one step and notes what breaks the promises of the site.
func (v *witness) watch(jobs []*wire.Flow) {
	w := v.w
	before := map[*worker][]fleet.EndReport{}
	incs, known := map[*worker]fleet.Incarnation{}, map[*worker]fleet.EndNo{}
	for _, one := range w.workers {
		before[one], incs[one], known[one] = slices.Clone(one.ends), one.inc, one.ended
	}
	v.stored = len(w.store.records)
	v.stepFormer()
	w.step()
	for _, one := range w.sorted() {
		same := one.inc == incs[one] && !one.isDown()
		for _, e := range one.ends {
			if e.How == fleet.EndDone && (!same || e.No > known[one]) {
				v.ends[e.Task] = append(v.ends[e.Task], &doneEnd{worker: one, inc: one.inc, no: e.No, at: w.now})
			}
		}
		if !same {
			continue
		}
		for _, e := range before[one] {
			if e.How == fleet.EndDone && !slices.Contains(one.ends, e) {
				v.noteForgotten(one, e)
			}
		}
	}
	v.checkRuns()
	v.checkAnswers(w.scheduler, jobs)
	if v.former != nil {
		v.checkAnswers(v.former.scheduler, jobs)
	}
}

// stepFormer steps the former lead, unless it is frozen.
func (v *witness) stepFormer() {
	if f := v.former; f != nil && !v.w.now.Before(v.wakes) {
		f.now = v.w.now // it ticks on from here
		if f.cut == nil && f.peerTerm == 0 {
			f.peerTerm, f.peerAnswers = v.w.scheduler.Elect.Lead().Term, 3
		}
		f.step()
	}
}

func (v *witness) noteForgotten(one *worker, e fleet.EndReport) {
	for _, d := range v.ends[e.Task] {
		if d.worker == one && d.inc == one.inc && d.no == e.No {
			d.noted = true
		}
	}
	if !v.isStoredAsDone(e.Task) {
		v.report("%s forgets end %d of %v, which is not stored", one.id, e.No, e.Task)
	}
}

// checkRuns looks for tasks that run twice.
func (v *witness) checkRuns() {
	w := v.w
	at := map[fleet.Task][]string{}
	for _, one := range w.sorted() {
		for _, ends := range v.ends {
			for _, d := range ends {
				if d.worker == one && !d.noted && w.now.After(one.leaseUntil) {
					d.lapsed = true
				}
			}
		}
		for k, r := range one.runs {
			at[k.Task] = append(at[k.Task], fmt.Sprintf("%s/%d", one.id, k.No))
			v.begun[r] = true
		}
	}
	for t, where := range at {
		if len(where) > 1 {
			v.report("%v runs at %v", t, where)
		}
	}
}

// checkAnswers asks for all jobs, and looks for answers that the store does not bear out.
func (v *witness) checkAnswers(lead *sched.Scheduler, jobs []*wire.Flow) {
	if !lead.Leads() {
		return
	}
	for _, f := range jobs {
		r := lead.Status(&wire.FlowAsk{Id: f.Id, Queue: f.Queue, Space: f.Space})
		if r.Verdict != wire.Verdict_OK || r.Stage == wire.Stage_WAITS || r.Stage == wire.Stage_RUNS {
			if r.Verdict == wire.Verdict_OK && v.told[f.Id] != 0 && lead == v.w.scheduler {
				v.report("%s is shown as %s, and was shown as %s", f.Id, r.Stage, v.told[f.Id])
			}
			continue
		}
		if was := v.told[f.Id]; was != 0 && was != r.Stage {
			v.report("%s is shown as %s, and was shown as %s", f.Id, r.Stage, was)
		}
		if v.told[f.Id] == 0 && v.track(fleet.JobID(f.Id)).GetEnded() == 0 {
			v.report("%s is shown as %s, which is not stored", f.Id, r.Stage)
		}
		v.told[f.Id] = r.Stage
	}
}

// checkStarts looks for starts after ends that are noted, then or later.
func (v *witness) checkStarts() {
	for r := range v.begun {
		for _, d := range v.ends[r.order.Task] {
			if d.noted && !d.lapsed && r.begun.After(d.at) {
				v.report("%v starts at %s as run %d, after its end at %s on %s", r.order.Task, r.begun.Sub(startTime), r.order.Run, d.at.Sub(startTime), d.worker.id)
			}
		}
	}
}

// siteFault is a fault that lasts for a while.
type siteFault struct {
	begin func(w *world, one *worker)
	end   func(w *world, one *worker)
}

// outerFaults are those of the store, the workers and their list.
var outerFaults = []siteFault{
	{func(w *world, _ *worker) { w.store.down = true }, func(w *world, _ *worker) { w.store.down = false }},
	{func(w *world, _ *worker) { w.store.rejects = true }, func(w *world, _ *worker) { w.store.rejects = false }},
	{func(w *world, _ *worker) { w.store.lost = true }, func(w *world, _ *worker) { w.store.lost = false }},
	{func(w *world, _ *worker) { w.store.late = true }, func(w *world, _ *worker) { w.store.late = false }},
	{func(w *world, _ *worker) { w.appendDelay = 300 * time.Millisecond }, func(w *world, _ *worker) { w.appendDelay = 0 }},
	{func(w *world, _ *worker) { w.appendDelay = 900 * time.Millisecond }, func(w *world, _ *worker) { w.appendDelay = 0 }},
	{func(_ *world, one *worker) { one.cutOff = true }, func(_ *world, one *worker) { one.cutOff = false }},
	{func(_ *world, one *worker) { one.losesAnswers = true }, func(_ *world, one *worker) { one.losesAnswers = false }},
	{func(_ *world, one *worker) { one.startDelay, one.maxDelayed = 700*time.Millisecond, 1 }, func(_ *world, one *worker) { one.startDelay = 0 }},
	{func(_ *world, one *worker) { one.startDelay = 3 * time.Second }, func(_ *world, one *worker) { one.startDelay = 0 }},
	{
		func(_ *world, one *worker) {
			one.losesAnswers, one.repeatedStartErr = true, &fleet.Error{Op: "start", Kind: fleet.Full}
		},
		func(_ *world, one *worker) { one.losesAnswers, one.repeatedStartErr = false, nil },
	},
	{func(w *world, one *worker) { one.unlisted = true; w.postWorkers() }, func(w *world, one *worker) { one.unlisted = false; w.postWorkers() }},
	{func(w *world, one *worker) { one.draining, one.drainLeft = true, 2*time.Second; w.postWorkers() }, func(w *world, one *worker) { one.draining = false; w.postWorkers() }},
	{func(w *world, one *worker) { one.crash(w.now); one.leaseUntil = time.Time{} }, func(*world, *worker) {}},
	{func(w *world, one *worker) {
		if !one.isDown() {
			one.goDown(w.now, 300*time.Millisecond)
			one.leaseUntil = time.Time{}
		}
	}, func(*world, *worker) {}},
	{func(w *world, _ *worker) { w.listHangs = true }, func(w *world, _ *worker) { w.listHangs = false }},
}

// daemonFaults are those of the lead.
var daemonFaults = []siteFault{
	{func(w *world, _ *worker) { w.restartDaemon(); w.post(fourMembers()) }, func(*world, *worker) {}},
	{func(w *world, _ *worker) { w.peerAnswers = 0 }, func(w *world, _ *worker) { w.peerAnswers = 3 }},
	{func(w *world, _ *worker) { w.passLead() }, func(*world, *worker) {}},
}

// passLead lets another daemon take the lead and give it up at once.
func (w *world) passLead() {
	if w.store.down || w.store.rejects || !w.scheduler.Leads() {
		return
	}
	w.store.records = append(w.store.records, fleet.Record{Key: sched.LeadKey, Value: otherClaim, Offset: fleet.Offset(len(w.store.records))})
	w.post(sched.BeatReceived{Beat: &wire.Beat{Host: "e2", Addr: "e2:7000", Term: int64(len(w.store.records)), Inc: 1, Leaving: true}})
	w.inc++
	w.post(sched.Members{All: fourMembers().All, Inc: w.inc})
}

// randomFlow returns a job of one or two steps.
func randomFlow(r *rand.Rand, id string) *wire.Flow {
	step := taskStep(1+r.Int32N(3), 1+r.Int64N(3), time.Second)
	if r.IntN(4) == 0 {
		step = gangStep(2, 2, time.Second)
	}
	f := newFlow(id, []string{"urgent", "long", "bulk"}[r.IntN(3)], step)
	f.Space = ""
	if r.IntN(3) == 0 {
		second := taskStep(1, 1, time.Second)
		second.After = []int32{0}
		f.Steps = append(f.Steps, second)
	}
	return f
}

// slowestClock is the rate of a worker's clock, at worst.
const slowestClock = 0.98

// Size of a test with faults at random.
const (
	randomDays = 20
	dayLength  = 40 * time.Second
	calmEnd    = 12 * time.Second // of each day, for what was lost to be started again
)

// lastingFault is a fault under way.
type lastingFault struct {
	siteFault
	until time.Time
	one   *worker
}

// dayPlan is what happens at random on a day.
type dayPlan struct {
	id         string
	faults     []siteFault
	jobEvery   int // steps, on average
	faultEvery int
	runTimes   []time.Duration
}

// playDay plays faults at random on a small site and returns what was seen.
// More is called before each step.
func playDay(t *testing.T, r *rand.Rand, day dayPlan, more func(v *witness, calm bool)) *witness {
	w := newLeadOfFour(t, 2, 2)
	w.addCrasher(0)
	w.endGangsTogether()
	v := newWitness(w)
	w.workers["w0-0"].clockRate, w.workers["w1-1"].clockRate = slowestClock, slowestClock
	var active []lastingFault
	var jobs []*wire.Flow
	workers := slices.Clone(w.sorted())
	for end := w.now.Add(dayLength); w.now.Before(end); {
		calm := end.Sub(w.now) < calmEnd
		if r.IntN(day.jobEvery) == 0 && !calm {
			f := randomFlow(r, fmt.Sprintf("%s-%d", day.id, len(jobs)))
			runTimes[fleet.JobID(f.Id)] = day.runTimes[r.IntN(len(day.runTimes))]
			w.submit(f)
			jobs = append(jobs, f)
		}
		if len(jobs) > 0 && r.IntN(100) == 0 {
			f := jobs[r.IntN(len(jobs))]
			if r.IntN(2) == 0 {
				w.submit(proto.Clone(f).(*wire.Flow))
			} else {
				w.cancel(f)
			}
		}
		if r.IntN(day.faultEvery) == 0 && !calm {
			span := time.Duration(50+r.IntN(3000)) * time.Millisecond
			if r.IntN(4) == 0 {
				span = 9 * time.Second // longer than any lease
			}
			x := lastingFault{day.faults[r.IntN(len(day.faults))], w.now.Add(span), workers[r.IntN(len(workers))]}
			x.begin(w, x.one)
			active = append(active, x)
		}
		active = slices.DeleteFunc(active, func(x lastingFault) bool {
			if w.now.Before(x.until) && !calm {
				return false
			}
			x.end(w, x.one)
			return true
		})
		if r.IntN(40) == 0 {
			for _, late := range w.store.pending {
				late()
			}
			w.store.pending = nil
		}
		more(v, calm)
		v.watch(jobs)
	}
	v.checkStarts()
	return v
}

// Guards against tasks that run twice (issues 46 and 49), while store, workers, daemons and lists
// fail at random, several at a time. Whatever callers are told of the end of a job and whatever ends
// workers are told to forget was in the store before, no task runs twice at a time, and none starts
// again after an end that was forgotten.
func TestNoTaskRunsTwiceWhateverFails(t *testing.T) {
	for seed := range uint64(randomDays) {
		r := rand.New(rand.NewPCG(seed, 1))
		v := playDay(t, r, dayPlan{
			fmt.Sprint("day", seed), slices.Concat(outerFaults, daemonFaults), 25, 60,
			[]time.Duration{30 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond, 2500 * time.Millisecond, 15 * time.Second},
		}, func(*witness, bool) {})
		qt.Check(t, v.faults, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}
