package soak

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"dragonflydeck.example/standin/engine"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// leads reports whether a daemon says that it is the lead.
func (d *daemon) leads() bool { return strings.Contains(d.metricsPage(), "deckd_lead 1\n") }

// otherLead returns a daemon that leads, other than the given one, or nil.
func (r *rig) otherLead(than *daemon) *daemon {
	for _, d := range r.daemons {
		if d != than && !d.exited() && d.leads() {
			return d
		}
	}
	return nil
}

// The lead is frozen and replaced, most workers leave, and the replacement is killed: the
// first lead leads again, with work waiting.
func TestLeadThatReturnsSendsNothingToWorkersThatLeft(t *testing.T) {
	r := newRig(t)
	var first *daemon
	waitFor(t, 10*time.Second, "lead", func() bool {
		first = r.otherLead(nil)
		return first != nil
	})
	need := engine.Need{Cores: 1000, Mem: 256, Accels: 1, Span: 500 * time.Millisecond}
	j := jobOf("00000000000000c3", "bulk", need, newStep(1000, need))
	waitFor(t, 10*time.Second, "accepted job", func() bool {
		status, _ := call(fasthttp.MethodPost, first.frontend, j, j.body)
		return status == fasthttp.StatusOK
	})
	waitFor(t, 5*time.Second, "start", func() bool { return r.auditor.Starts(j.id) > 0 })
	first.signal(syscall.SIGSTOP)
	waitFor(t, 10*time.Second, "second lead", func() bool { return r.otherLead(first) != nil })
	first.signal(syscall.SIGCONT)
	waitFor(t, 5*time.Second, "end of the first lead", func() bool { return !first.leads() })
	for _, e := range r.workers[2:] {
		e.Drain(time.Minute)
	}
	time.Sleep(entryInterval + drainTime + 500*time.Millisecond)
	waitFor(t, 20*time.Second, "return of the first lead", func() bool {
		if d := r.otherLead(first); d != nil {
			d.kill()
		}
		return first.leads()
	})
	before := r.auditor.Starts(j.id)
	waitFor(t, 5*time.Second, "further starts", func() bool { return r.auditor.Starts(j.id) > before+20 })
	qt.Check(t, r.auditor.Violations(), qt.HasLen, 0)
}
