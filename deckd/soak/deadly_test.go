package soak

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflydeck.example/standin/engine"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// newDeadlyJob returns a job of which one task crashes each worker that starts it.
func newDeadlyJob(id, queue string, count int, gang bool) *job {
	need := engine.Need{Cores: 1000, Mem: 256, Accels: 1, Span: 2 * time.Second, Deadly: true}
	step := newStep(count, need)
	if gang {
		need.Gang = count
		step["gang"] = true
	}
	return jobOf(id, queue, need, step)
}

// submitDeadly submits a random deadly job to the first daemon that takes it.
func (r *rig) submitDeadly(rng *rand.Rand) {
	j := newDeadlyJob(fmt.Sprintf("%016x", rng.Uint64()), pick(rng, []string{"urgent", "long", "bulk"}), 1+rng.IntN(4), rng.IntN(2) == 0)
	r.deadly = append(r.deadly, j)
	r.group.Go(func() {
		for _, d := range r.daemons {
			status, _ := call(fasthttp.MethodPost, d.frontend, j, j.body)
			if status == fasthttp.StatusOK {
				return
			}
		}
	})
}

// checkDeadly waits until the deadly jobs that were accepted are given up. The auditor has
// checked how often their tasks were started.
func checkDeadly(t *testing.T, r *rig, l *load) {
	end := time.Now().Add(settleTimeout)
	for _, j := range r.deadly {
		for {
			status, state := l.state(j)
			if status == fasthttp.StatusGone || state == "failed" {
				break
			}
			if time.Now().After(end) {
				t.Errorf("job %s, which crashes its workers, has not been given up: %d %q after %d crashes", j.id, status, state, r.auditor.Crashes(j.id))
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		t.Logf("deadly job %s: %d starts, %d crashes", j.id, r.auditor.Starts(j.id), r.auditor.Crashes(j.id))
	}
}

// A job crashes each worker that starts it, while a lead that has just started it is killed.
// It is given up; a job that stands beside it is done.
func TestJobThatCrashesItsWorkersIsGivenUpThroughTheLossOfItsLead(t *testing.T) {
	r := newRig(t)
	l := &load{rig: r}
	need := engine.Need{Cores: 1000, Mem: 256, Accels: 1, Span: 500 * time.Millisecond}
	sound := jobOf("00000000000000d4", "bulk", need, newStep(40, need))
	deadly := newDeadlyJob("00000000000000d5", "long", 3, false)
	r.accept(sound, deadly)
	waitFor(t, 10*time.Second, "first crash", func() bool { return r.auditor.Crashes(deadly.id) > 0 })
	if lead := r.otherLead(nil); lead != nil {
		lead.kill()
		lead.resume(t)
	}
	r.deadly = append(r.deadly, deadly)
	checkDeadly(t, r, l)
	waitFor(t, 30*time.Second, "end of the job beside it", func() bool {
		_, state := l.state(sound)
		return state == "completed"
	})
	qt.Check(t, r.auditor.Violations(), qt.HasLen, 0)
	qt.Check(t, r.auditor.Crashes(deadly.id) <= 5, qt.IsTrue)
}
