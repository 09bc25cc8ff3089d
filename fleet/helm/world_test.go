package helm_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/helm"
	"dragonflydeck.example/fleet/queue"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

const (
	tick    = 10 * time.Millisecond
	service = "desk"
)

var (
	start  = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	limits = helm.Limits{
		Lease: 6 * time.Second, Stop: 400 * time.Millisecond,
		Gang: 3 * time.Second, Drain: 2 * time.Second, Status: 120 * time.Second,
	}
	errCut = errors.New("cut off")
)

// world is a site in virtual time: one daemon, a store and workers.
type world struct {
	t         *testing.T
	now       time.Time
	helm      *helm.Helm
	inc       fleet.Incarnation
	store     *store
	workers   map[fleet.HostID]*worker
	config    *queue.Config
	out       map[fleet.DomainID]bool
	orders    fleet.Offset
	events    []helm.Event
	later     []delayed
	notes     []event.Event
	hands     map[helm.Waiter]*wire.HandReply
	drops     map[helm.Waiter]*wire.FlowReply
	waiters   helm.Waiter
	looks     int
	appends   int
	farewells int           // beats that say that the lead leaves
	bytes     int           // of records appended
	cost      time.Duration // of real time that the helm took
	lag       time.Duration // that appends take longer
	answers   int           // peers that answer
	alone     bool          // as the newest beat says
}

// delayed is an event that arrives at some time.
type delayed struct {
	at    time.Time
	event helm.Event
}

// store is a topic of keyed records.
type store struct {
	down    bool
	lost    bool // appends take effect, their answers are lost
	records []fleet.Record
}

func (s *store) newest() []fleet.Record {
	last := map[string]fleet.Record{}
	for _, r := range s.records {
		last[r.Key] = r
	}
	var out []fleet.Record
	for _, r := range last {
		if len(r.Value) > 0 {
			out = append(out, r)
		}
	}
	return out
}

func (s *store) append(at fleet.Offset, records []fleet.Record) (fleet.Offset, error) {
	if s.down {
		return 0, &fleet.Error{Op: "append", Kind: fleet.Doubt, Err: errCut}
	}
	if at != fleet.Offset(len(s.records)) {
		if s.lost {
			return 0, &fleet.Error{Op: "append", Kind: fleet.Doubt, Err: errCut}
		}
		return 0, &fleet.Error{Op: "append", Kind: fleet.Moved}
	}
	for _, r := range records {
		r.Offset = fleet.Offset(len(s.records))
		s.records = append(s.records, r)
	}
	if s.lost {
		return 0, &fleet.Error{Op: "append", Kind: fleet.Doubt, Err: errCut}
	}
	return fleet.Offset(len(s.records)), nil
}

func newWorld(t *testing.T, racks, perRack int) *world {
	w := &world{
		t: t, now: start, store: &store{}, workers: map[fleet.HostID]*worker{}, out: map[fleet.DomainID]bool{},
		hands: map[helm.Waiter]*wire.HandReply{}, drops: map[helm.Waiter]*wire.FlowReply{}, orders: 1,
	}
	w.config = queue.New(queue.Config{Version: 1, Queues: []queue.Queue{
		{Name: "urgent", Service: service, Attempts: 3, Slowdown: 1.5, Target: 250 * time.Millisecond, Priority: 0},
		{Name: "long", Service: service, Attempts: 4, Slowdown: 3, Target: time.Second, Priority: 1},
		{Name: "bulk", Service: service, Attempts: 4, Slowdown: 3, Target: 3 * time.Second, Priority: 2},
	}, Spaces: []queue.Space{{Name: "a", Accels: 16}, {Name: "b"}}})
	for r := range racks {
		for i := range perRack {
			id := fleet.HostID(fmt.Sprintf("w%d-%d", r, i))
			w.workers[id] = newWorker(id, fmt.Sprintf("r%d", r), start)
		}
	}
	w.boot()
	return w
}

// boot starts a new process of the daemon; the former one is gone.
func (w *world) boot() {
	w.inc++
	w.events, w.later = nil, nil
	w.helm = helm.New(helm.Self{Host: "e1", Addr: "e1:7000", Domain: "d1", Inc: w.inc}, limits, w.now)
	w.post(helm.Members{All: []elect.Member{{Host: "e1"}}})
	w.order()
	w.list()
}

// order gives the helm the operator's records.
func (w *world) order() {
	w.orders++
	w.post(helm.Ordered{Config: w.config, Out: w.out, End: w.orders})
}

// list gives the helm the workers' entries.
func (w *world) list() {
	entries := map[fleet.HostID]fleet.WorkerEntry{}
	for id, one := range w.workers {
		if !one.unlisted {
			entries[id] = one.entry()
		}
	}
	w.post(helm.Listed{Entries: entries})
}

func (w *world) post(e helm.Event) { w.events = append(w.events, e) }

// run lets time pass.
func (w *world) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.step()
	}
}

// until runs until a condition holds; the test fails if it does not in time.
func (w *world) until(span time.Duration, what string, ok func() bool) {
	w.t.Helper()
	for end := w.now.Add(span); !ok(); {
		if w.now.After(end) {
			w.dump()
			w.t.Fatalf("no %s within %s", what, span)
		}
		w.step()
	}
}

func (w *world) step() {
	w.now = w.now.Add(tick)
	for _, one := range w.workers {
		one.pass(w.now)
		one.answerPolls(w.now)
	}
	kept := w.later[:0]
	for _, d := range w.later {
		if w.now.Before(d.at) {
			kept = append(kept, d)
			continue
		}
		w.post(d.event)
	}
	w.later = kept
	events := w.events
	w.events = nil
	begun := time.Now()
	actions := w.helm.Step(w.now, events)
	w.cost += time.Since(begun)
	for _, a := range actions {
		w.carry(a)
	}
	w.notes = append(w.notes, w.helm.Notes()...)
}

func (w *world) dump() {
	for _, n := range w.notes {
		w.t.Logf("%s %s %s %s", n.At.Sub(start), n.Code, n.About, n.Text)
	}
}

// after delivers an event a little later.
func (w *world) after(span time.Duration, e helm.Event) {
	w.later = append(w.later, delayed{w.now.Add(span), e})
}

// callSpan is how long a call to the store takes when it is well.
const callSpan = 4 * time.Millisecond

func (w *world) carry(a helm.Action) {
	switch a := a.(type) {
	case helm.SendBeat:
		if a.Beat.Leaving {
			w.farewells++
		}
		w.alone = a.Beat.Alone
	case helm.AskPeers:
		for range w.answers {
			w.after(quick, helm.Sighted{Reply: &wire.SightReply{}})
		}
	case helm.Claim:
		w.claim()
	case helm.Probe:
		var err error
		if w.store.down {
			err = errCut
		}
		w.after(callSpan, helm.Probed{Err: err})
	case helm.Append:
		w.appends++
		for _, r := range a.Records {
			w.bytes += len(r.Key) + len(r.Value)
		}
		end, err := w.store.append(a.At, a.Records)
		span := callSpan + w.lag
		if err == nil && span > a.Span {
			err = &fleet.Error{Op: "append", Kind: fleet.Doubt, Err: errCut}
		}
		if fleet.KindOf(err) == fleet.Doubt && err != nil {
			span = a.Span
		}
		w.after(span, helm.Appended{Batch: a.Batch, End: end, Err: err})
	case helm.Check:
		if w.store.down {
			w.after(time.Second, helm.Checked{Batch: a.Batch, Err: &fleet.Error{Op: "check", Kind: fleet.Doubt}})
			return
		}
		w.after(callSpan, helm.Checked{Batch: a.Batch, Records: w.store.records[a.At:], End: fleet.Offset(len(w.store.records))})
	case helm.Start:
		clock, span, err := w.worker(a.Place).start(w.now, a.Order)
		w.after(span, helm.Started{Host: a.Place.Host, Key: a.Key, Clock: clock, Err: err})
	case helm.Stop:
		clock, span, err := w.worker(a.Place).stop(w.now, a.Order)
		w.after(span, helm.Stopped{Host: a.Place.Host, Key: a.Key, Clock: clock, Err: err})
	case helm.Look:
		w.looks++
		w.look(a)
	case helm.AnswerHand:
		w.hands[a.Waiter] = a.Reply
	case helm.AnswerDrop:
		w.drops[a.Waiter] = a.Reply
	}
}

func (w *world) look(a helm.Look) {
	one := w.worker(a.Place)
	done := helm.Looked{Host: a.Place.Host, Term: a.Order.Term, Taken: a.Order.Taken, At: w.now}
	sight, span, err := one.look(w.now, a.Order)
	if err == nil && a.Order.Wait > 0 {
		one.polls = append(one.polls, poll{
			until:  w.now.Add(a.Order.Wait),
			answer: func(s fleet.Sight) { done.Sight = s; w.after(quick, done) },
			fail:   func() { done.Err = errCut; w.after(quick, done) },
		})
		return
	}
	done.Sight, done.Err = sight, err
	w.after(span, done)
}

func (w *world) worker(p fleet.Place) *worker { return w.workers[p.Host] }

func (w *world) claim() {
	if w.store.down {
		w.after(time.Second, helm.Claimed{Err: &fleet.Error{Op: "claim", Kind: fleet.Doubt}})
		return
	}
	lead := &wire.Lead{Host: "e1", Addr: "e1:7000", Inc: int64(w.inc), Epoch: int64(w.inc)}
	end, records := fleet.Offset(len(w.store.records)), w.store.newest()
	after, err := w.store.append(end, []fleet.Record{{Key: helm.LeadKey, Value: []byte{byte(w.inc)}}})
	w.after(callSpan, helm.Claimed{Lead: lead, Term: fleet.Term(after), End: after, Records: records, Err: err})
}

// lead runs until the daemon leads.
func (w *world) lead() {
	w.t.Helper()
	w.until(elect.LoneSpan+5*time.Second, "lead", w.helm.Leads)
}

// flow returns a job of one step.
func flow(id, queueName string, step *wire.Step) *wire.Flow {
	needs[fleet.JobID(id)] = step.GetEach().GetAccels()
	f := &wire.Flow{Id: id, Queue: queueName, Space: "a", Service: service, Steps: []*wire.Step{step}, Spec: "spec"}
	switch queueName {
	case "urgent":
		f.Attempts, f.Slowdown, f.Target = 3, 1.5, 250
	case "long":
		f.Attempts, f.Slowdown, f.Target, f.Priority = 4, 3, 1000, 1
	default:
		f.Attempts, f.Slowdown, f.Target, f.Priority = 4, 3, 3000, 2
	}
	return f
}

func tasks(count int32, accels int64, span time.Duration) *wire.Step {
	return &wire.Step{
		Count: count, Span: span.Milliseconds(),
		Each: &wire.Res{Cores: 1000 * accels, Mem: 1024, Accels: accels},
	}
}

func gang(count int32, accels int64, span time.Duration) *wire.Step {
	s := tasks(count, accels, span)
	s.Gang = true
	return s
}

// hand submits a job and returns its waiter.
func (w *world) hand(f *wire.Flow) helm.Waiter {
	w.waiters++
	w.post(helm.HandedIn{Waiter: w.waiters, Flow: f, Until: w.now.Add(3 * time.Second)})
	return w.waiters
}

// accept submits a job and waits until it is accepted.
func (w *world) accept(f *wire.Flow) {
	w.t.Helper()
	id := w.hand(f)
	w.until(time.Second, "answer for "+f.Id, func() bool { return w.hands[id] != nil })
	qt.Assert(w.t, w.hands[id].Verdict, qt.Equals, wire.Verdict_OK)
}

func (w *world) stage(f *wire.Flow) wire.Stage {
	return w.helm.Status(&wire.FlowAsk{Id: f.Id, Queue: f.Queue, Space: f.Space}).Stage
}

// done waits for a job's end.
func (w *world) done(f *wire.Flow, span time.Duration) {
	w.t.Helper()
	w.until(span, "end of "+f.Id, func() bool { return w.stage(f) == wire.Stage_COMPLETED })
}

// count returns how many events of a code were noted.
func (w *world) count(c event.Code) int {
	n := 0
	for _, e := range w.notes {
		if e.Code == c {
			n++
		}
	}
	return n
}

// starts returns how often workers began runs of a job.
func (w *world) starts(job fleet.JobID) int {
	n := 0
	for _, one := range w.workers {
		n += one.begun[job]
	}
	return n
}
