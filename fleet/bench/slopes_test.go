package bench

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/state"
	"dragonflydeck.example/fleet/usage"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

var slopes = flag.Bool("slopes", false, "measure how costs grow with size, for docs/CAPACITY.md")

// Budgets for the control work of one daemon, from the stated target.
const (
	cpuBudget  = 0.038     // of a core
	byteBudget = 3000      // bytes a second
	memBudget  = 256 << 20 // bytes
	// httpOverheadBytes is the size of the HTTP headers of a request and its response.
	httpOverheadBytes = 230
)

// leadSim is a core that leads a domain, in a simulated environment that answers
// each action at once or after the requested wait.
type leadSim struct {
	core    *core.Core
	now     time.Time
	log     []*wire.Entry
	hosts   []*wire.Host
	delayed []delayedEvent
	gangs   map[string][]*wire.Report // by worker
	seen    map[fleet.HostID]bool
	bytes   int
	appends int
}

type delayedEvent struct {
	at    time.Time
	event board.Event
}

// newLeadSim returns the lead of one domain in a fleet of the given number of
// domains with the given number of workers each, in which all jobs are running.
func newLeadSim(domains, workers, jobs, tasks int) *leadSim {
	l := &leadSim{now: start, gangs: map[string][]*wire.Report{}, seen: map[fleet.HostID]bool{}}
	self := board.Identity{Host: "e0000", Domain: "d00", Inc: fleet.Incarnation(start.UnixMilli())}
	l.core = core.New(self, 3)
	l.append(&wire.Entry{Id: "space", Kind: &wire.Entry_Space{Space: &wire.Space{Name: "s"}}})
	for d := range domains {
		l.addDomain(d, workers)
	}
	for j := range jobs {
		l.addJob(j%domains, j, workers, tasks)
	}
	return l
}

func (l *leadSim) append(e *wire.Entry) {
	e.At = l.now.UnixMilli()
	l.log = append(l.log, e)
}

func (l *leadSim) addDomain(d, workers int) {
	name := fmt.Sprintf("d%02d", d)
	for e := range 3 {
		id := fmt.Sprintf("e%02d%02d", d, e)
		l.hosts = append(l.hosts, &wire.Host{Id: id, Addr: "10.0.0.1:7070", Domain: name, Role: wire.Role_ENTRY})
	}
	for w := range workers {
		id := fmt.Sprintf("w%02d%03d", d, w)
		l.hosts = append(l.hosts, &wire.Host{
			Id: id, Addr: "10.0.0.1:7070", Domain: name, Role: wire.Role_WORKER, Rack: int32(w / 8),
			Total: &wire.Res{Cores: 64000, Mem: 131072, Accels: 2},
		})
	}
	claim := &wire.Claim{Domain: name, Host: fmt.Sprintf("e%02d00", d), Inc: start.UnixMilli(), Lease: board.LeaseFor(workers).Milliseconds()}
	l.append(&wire.Entry{Id: "claim" + name, Kind: &wire.Entry_Claim{Claim: claim}})
}

// addJob adds a running gang to the log and to the workers' reports.
func (l *leadSim) addJob(d, j, workers, tasks int) {
	id, name := fmt.Sprintf("j%05d", j), fmt.Sprintf("d%02d", d)
	spec := &wire.Spec{Id: id, Space: "s", Tasks: int32(tasks), Each: &wire.Res{Cores: 1500, Mem: 3000}, Span: (6 * time.Hour).Milliseconds()}
	l.append(&wire.Entry{Id: "s" + id, Kind: &wire.Entry_Submit{Submit: &wire.Submit{Spec: spec, Home: name}}})
	var parts []*wire.Part
	for i := range 2 {
		w := fmt.Sprintf("w%02d%03d", d, (j/7*2+i)%workers)
		n := int32(tasks/2 + i*(tasks%2))
		parts = append(parts, &wire.Part{Worker: w, Tasks: n})
		l.gangs[w] = append(l.gangs[w], &wire.Report{Job: id, Attempt: 1, Tasks: n, Run: wire.Run_RUNNING, Usage: spec.Each})
	}
	place := &wire.Place{Job: id, Attempt: 1, Term: int64(d + 2), Domain: name, Parts: parts}
	l.append(&wire.Entry{Id: "p" + id, Kind: &wire.Entry_Place{Place: place}})
}

// advance moves the virtual clock in ticks and returns the processor time taken by the core's steps.
func (l *leadSim) advance(span time.Duration) time.Duration {
	var took time.Duration
	var events []board.Event
	for end := l.now.Add(span); l.now.Before(end); l.now = l.now.Add(100 * time.Millisecond) {
		events = l.due()
		for first := true; first || len(events) > 0; first = false {
			var actions []board.Action
			took += usage.Of(func() { actions = l.core.Step(l.now, events) })
			events = nil
			for _, a := range actions {
				if e := l.answer(a); e != nil {
					events = append(events, e)
				}
			}
		}
	}
	return took
}

func (l *leadSim) due() []board.Event {
	var out []board.Event
	rest := l.delayed[:0]
	for _, e := range l.delayed {
		if e.at.After(l.now) {
			rest = append(rest, e)
		} else {
			out = append(out, e.event)
		}
	}
	l.delayed = rest
	return out
}

func (l *leadSim) after(ms int64, e board.Event) board.Event {
	if ms <= 0 {
		return e
	}
	l.delayed = append(l.delayed, delayedEvent{l.now.Add(time.Duration(ms) * time.Millisecond), e})
	return nil
}

func (l *leadSim) countBytes(messages ...proto.Message) {
	l.bytes += httpOverheadBytes
	for _, m := range messages {
		l.bytes += proto.Size(m)
	}
}

// answer returns the event that answers an action, or nil if it comes later or never.
func (l *leadSim) answer(a board.Action) board.Event {
	switch a := a.(type) {
	case board.ReadLog:
		r := &wire.ReadReply{First: 1, End: int64(len(l.log) + 1)}
		for i := int(a.From); i <= len(l.log) && len(r.Entries) < 512; i++ {
			r.Entries = append(r.Entries, &wire.Stamped{Offset: int64(i), Entry: l.log[i-1]})
		}
		l.countBytes(&wire.ReadAsk{From: int64(a.From), Wait: 1000, Max: 512}, r)
		wait := int64(0)
		if len(r.Entries) == 0 {
			wait = a.Wait.Milliseconds()
		}
		return l.after(wait, board.LogRead{AskedAt: l.now, From: a.From, Reply: r})
	case board.AppendLog:
		l.appends++
		l.countBytes(&wire.AppendAsk{Entries: a.Entries}, &wire.AppendReply{First: 1})
		l.log = append(l.log, a.Entries...)
		return board.Appended{}
	case board.ListHosts:
		r := &wire.ListReply{Version: 1}
		if a.Seen == 0 {
			r.Hosts = l.hosts
		}
		l.countBytes(&wire.ListAsk{Seen: a.Seen}, r)
		return board.Listed{Reply: r}
	case board.RenewWorker:
		return l.renew(a)
	case board.SendBeat:
		l.countBytes(a.Ask, a.Ask)
		return board.BeatReplied{Peer: a.Peer, AskedAt: l.now, Reply: &wire.BeatReply{Pulses: []*wire.Pulse{{
			Host: string(a.Peer), Domain: "d" + string(a.Peer)[1:3], Inc: start.UnixMilli(), Beat: l.now.UnixMilli(), End: int64(len(l.log)),
		}}}}
	case board.OrderWorker:
		l.countBytes(&wire.ReserveAsk{Job: string(a.Job)}, &wire.OrderReply{})
		return board.OrderEnded{Order: a, Reply: &wire.OrderReply{}}
	}
	return nil
}

func (l *leadSim) renew(a board.RenewWorker) board.Event {
	r := &wire.RenewReply{Version: 1}
	if a.Ask.Seen == 0 {
		r.Gangs = l.gangs[string(a.Worker)]
	}
	l.countBytes(a.Ask, r)
	wait := a.Ask.Wait
	if !l.seen[a.Worker] {
		l.seen[a.Worker], wait = true, 0
	}
	return l.after(wait, board.Renewed{Worker: a.Worker, Term: fleet.Term(a.Ask.Term), AskedAt: l.now, LeaseGranted: true, Reply: r})
}

func heapNow() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// fleetSize is the size of a fleet at which its lead is measured.
type fleetSize struct{ domains, workers, jobs, tasks int }

// TestLeadStaysWithinItsBudgets measures a lead in steady state. At the size
// expected in two years it must stay within its budgets. Time depends on the load
// of the machine and is checked with -slopes only.
func TestLeadStaysWithinItsBudgets(t *testing.T) {
	scales := []fleetSize{{11, 64, 600, 25}}
	if *slopes {
		scales = []fleetSize{{3, 17, 60, 8}, {11, 16, 150, 25}, {11, 32, 300, 25}, {11, 64, 600, 25}, {11, 128, 1200, 25}}
	}
	for _, s := range scales {
		before := heapNow()
		l := newLeadSim(s.domains, s.workers, s.jobs, s.tasks)
		l.advance(10 * time.Second)
		qt.Assert(t, l.core.Board.Lead.Ready, qt.IsTrue)
		l.bytes = 0
		took := l.advance(60 * time.Second)
		cpu := took.Seconds() / 60
		bytes := l.bytes / 60
		mem := heapNow() - before
		_, gangs := l.core.Gangs.Counts()
		fmt.Printf("slope: lead domains=%d workers=%d jobs=%d running-here=%d core=%.4f bytes/s=%d heap=%d KiB\n",
			s.domains, s.workers, s.jobs, gangs, cpu, bytes, mem>>10)
		if s.workers == 64 {
			qt.Check(t, !*slopes || cpu < cpuBudget, qt.IsTrue, qt.Commentf("%.4f of a core", cpu))
			qt.Check(t, bytes < byteBudget, qt.IsTrue, qt.Commentf("%d bytes a second", bytes))
			qt.Check(t, mem < memBudget, qt.IsTrue, qt.Commentf("%d bytes", mem))
		}
		runtime.KeepAlive(l)
	}
}

// TestStateSlopes measures applying the log to the state, and writing and loading images.
func TestStateSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("only with -slopes")
	}
	for _, jobs := range []int{250, 500, 1000, 2000} {
		l := newLeadSim(11, 64, jobs, 25)
		s := state.New()
		fold := usage.Of(func() {
			for i, e := range l.log {
				_ = s.Apply(fleet.Offset(i+1), e)
			}
		})
		var pieces []*wire.Image
		image := usage.Of(func() { pieces = s.Images() })
		size := 0
		for _, p := range pieces {
			size += proto.Size(p)
		}
		var err error
		load := usage.Of(func() { _, err = state.Load(pieces) })
		qt.Assert(t, err, qt.IsNil)
		fmt.Printf("slope: state jobs=%d tasks=%d records=%d fold=%s image=%s pieces=%d bytes=%d load=%s\n",
			jobs, jobs*25, len(l.log), fold, image, len(pieces), size, load)
	}
}

// TestTakeoverSlopes measures the processing time from a claim until the new lead
// is ready and has adopted the running gangs.
func TestTakeoverSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("only with -slopes")
	}
	for _, jobs := range []int{150, 300, 600, 1200} {
		l := newLeadSim(11, 64, jobs, 25)
		took := l.advance(2 * time.Second)
		_, gangs := l.core.Gangs.Counts()
		fmt.Printf("slope: takeover jobs=%d gangs-here=%d ready=%t processor=%s\n", jobs, gangs, l.core.Board.Lead.Ready, took)
	}
}
