package e2e

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// takeoverTimeout bounds the replacement of a lead: the time until a daemon
// without heartbeats counts as dead, the claim of the next lead, and the expiry of the old leases.
const takeoverTimeout = 40 * time.Second

func TestKilledLeadIsReplacedAndItsGangRunsOn(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	lead := s.lead("e1")
	at := otherDaemon(lead)
	s.startGang(at, "j", 25*time.Second)
	s.procs[lead].signal(syscall.SIGKILL)
	s.waitFor(takeoverTimeout, "another lead", func() bool { return s.lead(at) == at })
	s.waitFor(2*time.Minute, "the gang's end", func() bool { return s.job(at, "j").GetPhase() == wire.Phase_DONE })
	qt.Assert(t, s.job(at, "j").Attempt, qt.Equals, int32(1))
}

// A frozen lead is replaced. When it runs again it accepts the new lead and gives
// no orders, so the gang isn't started a second time.
func TestFrozenLeadIsReplacedAndStepsDown(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	lead := s.lead("e1")
	at := otherDaemon(lead)
	s.startGang(at, "j", 40*time.Second)
	s.procs[lead].signal(syscall.SIGSTOP)
	s.waitFor(takeoverTimeout, "another lead", func() bool { return s.lead(at) == at })
	s.procs[lead].signal(syscall.SIGCONT)
	s.waitFor(30*time.Second, "the old lead to accept the new one", func() bool { return s.lead(lead) == at })
	s.waitFor(2*time.Minute, "the gang's end", func() bool { return s.job(at, "j").GetPhase() == wire.Phase_DONE })
	qt.Assert(t, s.job(at, "j").Attempt, qt.Equals, int32(1))
}

// No request fails while the daemons are stopped and restarted one after the
// other.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.startGang("e1", "j", time.Minute)
	var asked, lost atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() { s.load(i, stop, &asked, &lost) })
	}
	for _, id := range []string{"e1", "e2"} {
		time.Sleep(time.Second)
		s.procs[id].signal(syscall.SIGTERM)
		qt.Check(t, s.procs[id].exitStatus(time.Minute), qt.Equals, 0, qt.Commentf("%s", s.procs[id].output()))
		qt.Check(t, strings.Contains(s.procs[id].output(), "process-stopped"), qt.IsTrue)
		s.startDaemon(id)
		s.waitFor(30*time.Second, id+" to be ready again", func() bool { return s.ready(id) })
		time.Sleep(2 * time.Second)
	}
	close(stop)
	group.Wait()
	qt.Check(t, lost.Load(), qt.Equals, int64(0), qt.Commentf("of %d requests", asked.Load()))
	qt.Check(t, asked.Load() > 100, qt.IsTrue)
	s.waitFor(2*time.Minute, "the gang's end", func() bool { return s.job("e1", "j").GetPhase() == wire.Phase_DONE })
	qt.Assert(t, s.job("e1", "j").Attempt, qt.Equals, int32(1))
}

// load sends requests to hosts that are ready, like a load balancer that checks
// /ready.
func (s *site) load(i int, stop <-chan struct{}, asked, lost *atomic.Int64) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		at := []string{"e1", "e2"}[(i+n)%2]
		if !s.ready(at) {
			continue
		}
		ctx, cancel := callContext()
		body := fmt.Sprintf("body %d of %d", n, i)
		r, err := s.desk(at).Call(ctx, &wire.CallAsk{Caller: "load", Repeat: true, Limit: 8000, Body: []byte(body)})
		cancel()
		asked.Add(1)
		if err != nil || string(r.Body) != "answer to "+body {
			lost.Add(1)
			s.t.Logf("at %s: %v", at, err)
		}
	}
}

func TestSecondSignalEndsAtOnceAndSaysWhatWasCut(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	lead := s.lead("e1")
	p := s.procs[lead]
	s.procs["platform"].signal(syscall.SIGKILL) // so that seats cannot be released
	time.Sleep(3 * time.Second)
	p.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	qt.Assert(t, p.exitStatus(30*time.Second), qt.Equals, 3, qt.Commentf("%s", p.output()))
	qt.Assert(t, p.output(), qt.Contains, "process-cut")
}
