package soak

import (
	"testing"
	"time"

	"dragonflydeck.example/standin/engine"
	"dragonflydeck.example/standin/store"
	qt "github.com/frankban/quicktest"
)

// askTime is how long callers ask for the end of a job while the store does not answer. It is
// longer than a daemon takes to notice that the store is away.
const askTime = 3 * time.Second

// Guards against tasks that run again after a caller was told that they are done (TWICE on
// acampa-prod, issue 46), with real processes: a job ends while the store does not answer,
// its callers ask, and then all daemons and the worker are lost.
func TestEndThatWasToldSurvivesTheLossOfAllDaemonsAndTheWorker(t *testing.T) {
	r := newRig(t)
	l := &load{rig: r}
	need := engine.Need{Cores: 1000, Mem: 256, Accels: 1, Span: 1500 * time.Millisecond}
	j := jobOf("00000000000000e1", "urgent", need, newStep(1, need))
	r.accept(j)
	waitFor(t, 5*time.Second, "start", func() bool { return r.auditor.Running(j.id) == 1 })
	r.store.SetMode(store.Silent)
	waitFor(t, 5*time.Second, "end at the worker", func() bool { return r.auditor.Running(j.id) == 0 })
	l.ask(j, []int{0, 1, 2, 3}, time.Now().Add(askTime))
	told := j.told
	for _, d := range r.daemons {
		d.kill()
	}
	for _, e := range r.workers {
		e.Crash()
	}
	r.store.SetMode(store.Normal)
	for _, d := range r.daemons {
		d.resume(t)
	}
	r.complete(j)
	if told {
		qt.Check(t, r.auditor.Starts(j.id), qt.Equals, 1)
	}
	qt.Check(t, r.auditor.Violations(), qt.HasLen, 0)
}
