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

// The bound on a change of lead: silence until a daemon counts as dead, its
// claim, and old leases that must lapse.
const takeover = 40 * time.Second

func TestKilledLeadIsReplacedAndItsGangRunsOn(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	lead := s.lead("e1")
	at := other(lead)
	s.gang(at, "j", 25*time.Second)
	s.procs[lead].signal(syscall.SIGKILL)
	s.until(takeover, "another lead", func() bool { return s.lead(at) == at })
	s.until(2*time.Minute, "the gang's end", func() bool { return s.job(at, "j").GetPhase() == wire.Phase_DONE })
	qt.Assert(t, s.job(at, "j").Attempt, qt.Equals, int32(1))
}

// A lead that is frozen is replaced; when it wakes up it orders nothing.
func TestFrozenLeadIsReplacedAndStepsDown(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	lead := s.lead("e1")
	at := other(lead)
	s.gang(at, "j", 40*time.Second)
	s.procs[lead].signal(syscall.SIGSTOP)
	s.until(takeover, "another lead", func() bool { return s.lead(at) == at })
	s.procs[lead].signal(syscall.SIGCONT)
	s.until(30*time.Second, "the old lead's insight", func() bool { return s.lead(lead) == at })
	s.until(2*time.Minute, "the gang's end", func() bool { return s.job(at, "j").GetPhase() == wire.Phase_DONE })
	qt.Assert(t, s.job(at, "j").Attempt, qt.Equals, int32(1))
}

// Requests go on while each daemon is stopped and started again in turn.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.gang("e1", "j", time.Minute)
	var asked, lost atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() { s.load(i, stop, &asked, &lost) })
	}
	for _, id := range []string{"e1", "e2"} {
		time.Sleep(time.Second)
		s.procs[id].signal(syscall.SIGTERM)
		qt.Check(t, s.procs[id].status(time.Minute), qt.Equals, 0, qt.Commentf("%s", s.procs[id].text()))
		qt.Check(t, strings.Contains(s.procs[id].text(), "process-stopped"), qt.IsTrue)
		s.startDaemon(id)
		s.until(30*time.Second, id+" again", func() bool { return s.ready(id) })
		time.Sleep(2 * time.Second)
	}
	close(stop)
	group.Wait()
	qt.Check(t, lost.Load(), qt.Equals, int64(0), qt.Commentf("of %d requests", asked.Load()))
	qt.Check(t, asked.Load() > 100, qt.IsTrue)
	s.until(2*time.Minute, "the gang's end", func() bool { return s.job("e1", "j").GetPhase() == wire.Phase_DONE })
	qt.Assert(t, s.job("e1", "j").Attempt, qt.Equals, int32(1))
}

// load asks ready hosts, as behind a balancer that reads /ready.
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
		ctx, cancel := soon()
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
	s.procs["platform"].signal(syscall.SIGKILL) // so that seats cannot be given back
	time.Sleep(3 * time.Second)
	p.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	qt.Assert(t, p.status(30*time.Second), qt.Equals, 3, qt.Commentf("%s", p.text()))
	qt.Assert(t, p.text(), qt.Contains, "process-cut")
}
