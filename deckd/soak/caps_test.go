package soak

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/standin/engine"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// accept submits jobs until they are accepted.
func (r *rig) accept(jobs ...*job) {
	r.t.Helper()
	for _, j := range jobs {
		waitFor(r.t, 10*time.Second, "accepted job", func() bool {
			status, _ := call(fasthttp.MethodPost, r.daemons[0].frontend, j, j.body)
			return status == fasthttp.StatusOK
		})
	}
}

// complete waits until jobs are completed.
func (r *rig) complete(jobs ...*job) {
	r.t.Helper()
	l := &load{rig: r}
	for _, j := range jobs {
		waitFor(r.t, 30*time.Second, "end of job "+j.id, func() bool {
			_, state := l.state(j)
			return state == "completed"
		})
	}
}

// smallNeed is what the tasks of the small workspace need.
func smallNeed(span time.Duration) engine.Need {
	return engine.Need{Cores: 1000, Mem: 256, Accels: 1, Span: span, Space: smallSpace}
}

// A workspace submits more than its cap allows, single tasks and gangs, and the lead is
// killed when it has started a part. A next lead that does not count what runs already starts
// too much.
func TestCapHoldsThroughTheLossOfTheLead(t *testing.T) {
	r := newRig(t)
	need := smallNeed(2500 * time.Millisecond)
	gang := need
	gang.Gang = 12
	wide := newStep(gang.Gang, gang)
	wide["gang"] = true
	single := jobOf("00000000000000e1", "bulk", need, newStep(40, need))
	jobs := []*job{single, jobOf("00000000000000e2", "long", gang, wide), jobOf("00000000000000e3", "bulk", gang, wide)}
	r.accept(jobs...)
	waitFor(t, 10*time.Second, "first starts", func() bool { return r.auditor.Starts(single.id) > smallestAccels/2 })
	lead := r.otherLead(nil)
	qt.Assert(t, lead, qt.IsNotNil)
	lead.kill()
	lead.resume(t)
	r.complete(jobs...)
	qt.Check(t, r.auditor.Violations(), qt.HasLen, 0)
}

// The cap is lowered below what runs. The lead must neither stop runs nor start tasks that
// wait until there is room under the new cap: when the first half of what runs has ended,
// there is none yet.
func TestLoweredCapStopsNothingAndStartsNothingWithoutRoom(t *testing.T) {
	r := newRig(t)
	const half = smallestAccels / 2
	var jobs []*job
	for i, span := range []time.Duration{5 * time.Second, 12 * time.Second, 2 * time.Second} {
		need := smallNeed(span)
		jobs = append(jobs, jobOf(fmt.Sprintf("%016x", 0xf1+i), "bulk", need, newStep(half, need)))
	}
	r.accept(jobs[:2]...)
	waitFor(t, 10*time.Second, "full cap", func() bool {
		return r.auditor.Running(jobs[0].id)+r.auditor.Running(jobs[1].id) == smallestAccels
	})
	r.accept(jobs[2])
	r.changeCap(engine.Room{Accels: half}, 2*time.Second) // no fault delays it
	r.complete(jobs...)
	qt.Check(t, r.auditor.Violations(), qt.HasLen, 0)
	for _, j := range jobs {
		qt.Check(t, r.auditor.Starts(j.id), qt.Equals, half)
	}
}
