package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/wire"
	"dragonflydeck.example/standin/ledger"
	"dragonflydeck.example/standin/roster"
	"dragonflydeck.example/standin/runner"
	"dragonflydeck.example/standin/worker"
	qt "github.com/frankban/quicktest"
)

// site is a small fleet on stand-ins that runs in virtual time. Addresses are
// host names; links between them can be cut in one direction.
type site struct {
	t       *testing.T
	log     *ledger.Log
	list    *roster.Roster
	workers map[string]*worker.Worker
	runners map[string]*runner.Runner
	domain  map[string]string

	mu      sync.Mutex
	daemons map[string]*Daemon
	cuts    map[[2]string]bool
	frozen  map[string]time.Time // end of the freeze
	conns   connCounter
	onOrder func(from, to, step string) // called for every order to a worker
}

// plan is the size of a site: the number of failure domains and what each of them
// has.
type plan struct {
	domains, entries, workers, runners int
	log                                ledger.Options
	seats                              int
}

var total = fleet.Res{Cores: 16000, Mem: 65536, Accels: 4}

// withSite runs a test on a site in virtual time and then checks the runs of all
// tasks.
func withSite(t *testing.T, p plan, test func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, p)
		defer s.closeAll()
		s.settle()
		test(s)
		s.closeAll()
		s.checkStints()
	})
}

func newSite(t *testing.T, p plan) *site {
	s := &site{
		t: t, log: ledger.New(p.log), list: roster.New(time.Second),
		workers: map[string]*worker.Worker{}, runners: map[string]*runner.Runner{},
		domain: map[string]string{}, daemons: map[string]*Daemon{}, cuts: map[[2]string]bool{},
		frozen: map[string]time.Time{}, conns: connCounter{all: map[[2]string]*conns{}},
	}
	for d := 1; d <= p.domains; d++ {
		s.addDomain(fmt.Sprint("d", d), d, p)
	}
	for id, d := range s.domain {
		if id[0] == 'e' {
			s.start(id, d, p.seats)
		}
	}
	return s
}

func (s *site) addDomain(name string, d int, p plan) {
	for i := 1; i <= p.workers; i++ {
		id := fmt.Sprintf("w%d%d", d, i)
		s.workers[id] = worker.New(id, total)
		s.put(&wire.Host{Id: id, Addr: id, Domain: name, Role: wire.Role_WORKER, Rack: int32((i + 1) / 2), Total: total.Wire()})
	}
	for i := 1; i <= p.runners; i++ {
		id := fmt.Sprintf("r%d%d", d, i)
		s.runners[id] = runner.New(8, 50*time.Millisecond)
		s.put(&wire.Host{Id: id, Addr: id, Domain: name, Role: wire.Role_RUNNER, Slots: 8, Conns: 60})
	}
	for i := 1; i <= p.entries; i++ {
		s.put(&wire.Host{Id: fmt.Sprintf("e%d%d", d, i), Addr: fmt.Sprintf("e%d%d", d, i), Domain: name, Role: wire.Role_ENTRY})
	}
}

func (s *site) put(h *wire.Host) {
	s.domain[h.Id] = h.Domain
	s.list.Put(h)
}

// start starts or restarts the daemon of an entry host.
func (s *site) start(id, domain string, seats int) *Daemon {
	d := New(&Settings{
		Host: id, Domain: domain, Listen: id, Log: "log", Roster: "list", Seats: max(seats, 1),
		Queue: 1000, Isolated: "serve", LameDuck: time.Second, Drain: time.Minute, Level: "info", Lines: 100000,
	}, &fakeClients{s, id}, logOutput())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons[id] = d
	return d
}

// logOutput returns where daemons write their log: stderr if DECK_TEST_LINES is
// set, else nowhere.
func logOutput() io.Writer {
	if os.Getenv("DECK_TEST_LINES") != "" {
		return os.Stderr
	}
	return io.Discard
}

// kill ends a daemon without a graceful stop.
func (s *site) kill(id string) {
	s.mu.Lock()
	d := s.daemons[id]
	delete(s.daemons, id)
	s.conns.closeAll(id)
	s.mu.Unlock()
	d.Close(nil)
}

// restart kills daemons, and starts them once all of them are gone.
func (s *site) restart(ids ...string) {
	for _, id := range ids {
		s.kill(id)
	}
	for _, id := range ids {
		s.start(id, s.domain[id], 2)
	}
}

func (s *site) closeAll() {
	s.mu.Lock()
	ids := []string{}
	for id := range s.daemons {
		ids = append(ids, id)
	}
	s.mu.Unlock()
	for _, id := range ids {
		s.kill(id)
	}
	time.Sleep(time.Minute) // for leases and timers to expire
}

// settle waits long enough for every domain to have a ready lead and for the
// seats to become usable.
func (s *site) settle() { time.Sleep(5 * time.Second) }

func (s *site) get(id string) *Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons[id]
}

// cutLink cuts or restores the links from a to b, both prefixes of host names.
func (s *site) cutLink(a, b string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[[2]string{a, b}] = on
}

// partition cuts or restores the links between a and b in both directions.
func (s *site) partition(a, b string, on bool) {
	s.cutLink(a, b, on)
	s.cutLink(b, a, on)
}

// healLinks restores every link.
func (s *site) healLinks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.cuts)
}

func (s *site) blocked(a, b string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, on := range s.cuts {
		if on && strings.HasPrefix(a, c[0]) && strings.HasPrefix(b, c[1]) {
			return true
		}
	}
	return s.dead(a) || s.dead(b)
}

func (s *site) dead(id string) bool {
	return id[0] == 'e' && s.daemons[id] == nil
}

func (deadPeer) Beat(context.Context, *wire.BeatAsk) (*wire.BeatReply, error) {
	return nil, errPeerDied
}

func (deadPeer) Relay(context.Context, *wire.RelayAsk) (*wire.CallReply, error) {
	return nil, errPeerDied
}

func (deadPeer) Fetch(context.Context, *wire.FetchAsk) (*wire.FetchReply, error) {
	return nil, errPeerDied
}

func (deadPeer) Deliver(context.Context, *wire.DeliverAsk) (*wire.DeliverReply, error) {
	return nil, errPeerDied
}

// The following methods act as callers and operators.

func (s *site) setSpace(at, name string, shapes ...*wire.Shape) {
	s.t.Helper()
	_, err := s.get(at).Desk().SetSpace(s.t.Context(), &wire.SpaceAsk{Space: &wire.Space{Name: name, Shapes: shapes}})
	qt.Assert(s.t, err, qt.IsNil)
}

func gpus(count, tasks int32) *wire.Shape {
	return &wire.Shape{Count: count, Tasks: tasks, Each: task.Wire()}
}

var task = fleet.Res{Cores: 1000, Mem: 1024, Accels: 1}

func (s *site) submit(at, space, id string, tasks int32, span time.Duration) error {
	_, err := s.get(at).Desk().Submit(s.t.Context(), &wire.SubmitAsk{Spec: &wire.Spec{
		Id: id, Space: space, Tasks: tasks, Each: task.Wire(), Span: span.Milliseconds(),
	}})
	return err
}

func (s *site) mustSubmit(at, space, id string, tasks int32, span time.Duration) {
	s.t.Helper()
	qt.Assert(s.t, s.submit(at, space, id, tasks, span), qt.IsNil)
}

// submitAll submits jobs j0, j1 and so on.
func (s *site) submitAll(at string, n int, tasks int32, span time.Duration) {
	s.t.Helper()
	for i := range n {
		s.mustSubmit(at, "orders", fmt.Sprint("j", i), tasks, span)
	}
}

// untilAll waits until each of the jobs j0, j1 and so on is in a phase, for at most
// span per job.
func (s *site) untilAll(at string, n int, p wire.Phase, span time.Duration) {
	s.t.Helper()
	for i := range n {
		s.untilPhase(at, fmt.Sprint("j", i), p, span)
	}
}

// job returns a job as seen by a daemon, or nil.
func (s *site) job(at, id string) *wire.Job {
	r, err := s.get(at).Desk().Jobs(s.t.Context(), &wire.JobsAsk{Job: id})
	if err != nil {
		return nil
	}
	return r.Jobs[0]
}

// until waits for a condition for at most span and returns the time it took.
func (s *site) until(span time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	begun := time.Now()
	for !ok() {
		if time.Since(begun) > span {
			s.t.Fatalf("%s: not seen within %s", what, span)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(begun)
}

func (s *site) untilPhase(at, id string, p wire.Phase, span time.Duration) time.Duration {
	s.t.Helper()
	return s.until(span, fmt.Sprintf("%s of %s", p, id), func() bool { return s.job(at, id).GetPhase() == p })
}

// running counts the parts of a job that workers are running.
func (s *site) running(id string) int {
	n := 0
	for _, w := range s.workers {
		for _, st := range w.Stints() {
			if st.Job == id && st.To.IsZero() {
				n++
			}
		}
	}
	return n
}

func (s *site) turnDomain(at, domain string, out bool, base int64) (*wire.TurnReply, error) {
	return s.get(at).Desk().TurnDomain(s.t.Context(), &wire.TurnAsk{Name: domain, Out: out, Base: base, Why: "test"})
}

// inspect runs a function on a daemon's control goroutine.
func (s *site) inspect(at string, f func(c *core.Core)) {
	s.t.Helper()
	qt.Assert(s.t, s.get(at).loop.do(context.Background(), "test", f), qt.IsNil)
}

// leadOf returns the lead of a domain as seen by a daemon.
func (s *site) leadOf(at, domain string) string {
	r, err := s.get(at).Desk().Domains(s.t.Context(), &wire.DomainsAsk{})
	if err != nil {
		return ""
	}
	for _, d := range r.Domains {
		if d.Name == domain {
			return d.Lead
		}
	}
	return ""
}

// maxPartialRun is how long a part may run without the rest of its gang: until
// the lead's failure is detected, its leases expire and the next lead stops the
// part.
const maxPartialRun = 35 * time.Second

// checkStints checks all runs of tasks: attempts of a job do not overlap, no gang
// runs in part for long, and no job runs to its end twice.
func (s *site) checkStints() {
	s.t.Helper()
	type attempt struct {
		job string
		n   int32
	}
	parts := map[attempt][]worker.Stint{}
	for _, w := range s.workers {
		for _, st := range w.Stints() {
			k := attempt{st.Job, st.Attempt}
			parts[k] = append(parts[k], st)
		}
	}
	completed := map[string]int{}
	for k, list := range parts {
		first, last := span(list)
		if all := allCompleted(list); all {
			completed[k.job]++
		}
		for o, other := range parts {
			if o.job != k.job || o.n <= k.n {
				continue
			}
			begin, _ := span(other)
			qt.Check(s.t, begin.Before(last), qt.IsFalse, qt.Commentf("attempts %d and %d of %s overlap by %s", k.n, o.n, k.job, last.Sub(begin)))
		}
		late := time.Duration(0)
		for _, st := range list {
			late = max(late, st.From.Sub(first))
		}
		qt.Check(s.t, late <= maxPartialRun, qt.IsTrue, qt.Commentf("attempt %d of %s ran in part for %s", k.n, k.job, late))
	}
	for job, n := range completed {
		qt.Check(s.t, n <= 1, qt.IsTrue, qt.Commentf("%s ran to its end %d times", job, n))
	}
}

func span(list []worker.Stint) (first, last time.Time) {
	first, last = list[0].From, list[0].To
	for _, st := range list {
		if st.From.Before(first) {
			first = st.From
		}
		if st.To.After(last) {
			last = st.To
		}
	}
	return first, last
}

func allCompleted(list []worker.Stint) bool {
	for _, st := range list {
		if !st.Completed {
			return false
		}
	}
	return true
}

// hostElsewhere returns an entry host of another failure domain.
func hostElsewhere(home string) string {
	if home == "d1" {
		return "e21"
	}
	return "e11"
}
