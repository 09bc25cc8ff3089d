package soak

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dragonflydeck.example/standin/engine"
	qt "github.com/frankban/quicktest"
)

// waitFor polls a condition and fails the test if it isn't met in time.
func waitFor(t *testing.T, timeout time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within %s", what, timeout)
		}
	}
}

// newTwoStepJob returns a job whose second step depends on its first.
func newTwoStepJob(id string, span time.Duration) *job {
	need := engine.Need{Cores: 1000, Mem: 256, Accels: 1, Span: span}
	after := newStep(1, need)
	after["dependsOn"] = []int{0}
	return jobOf(id, "long", need, newStep(3, need), after)
}

// deck runs the deck command against the addresses of all daemons.
func (r *rig) deck(args ...string) (string, error) {
	var all []string
	for _, d := range r.daemons {
		all = append(all, d.peer)
	}
	out, err := exec.Command(deckPath, append([]string{"--addr", strings.Join(all, ",")}, args...)...).CombinedOutput()
	return string(out), err
}

// A job submitted to one daemon survives the loss of the lead and runs exactly
// once, and the command line reports it as completed.
func TestSiteServesJobsThroughTheLossOfItsLead(t *testing.T) {
	r := newRig(t)
	l := &load{rig: r}
	j := newTwoStepJob("00000000000000a1", 1500*time.Millisecond)
	r.accept(j)
	waitFor(t, 5*time.Second, "start of the first step", func() bool { return r.auditor.Starts(j.id) == 3 })
	out, err := r.deck("flow", "lead")
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	for _, d := range r.daemons {
		if strings.Contains(out, d.peer) {
			d.kill()
		}
	}
	waitFor(t, 20*time.Second, "end of the job", func() bool {
		_, state := l.state(j)
		return state == "completed"
	})
	qt.Check(t, r.auditor.Starts(j.id), qt.Equals, 4)
	qt.Check(t, r.auditor.Violations(), qt.HasLen, 0)
	out, err = r.deck("flow", "status", j.queue, j.id)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, out, qt.Contains, "completed")
}

func TestCommandLineSubmitsAndDropsJobs(t *testing.T) {
	r := newRig(t)
	path := filepath.Join(t.TempDir(), "job.json")
	need := engine.Need{Cores: 1000, Span: time.Minute}
	text, err := json.Marshal(map[string]any{"spec": need.Spec(), "steps": []any{map[string]any{"count": 2, "span": 1000, "each": map[string]any{"cores": 1000}}}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(path, text, 0o600), qt.IsNil)
	const id = "00000000000000b2"
	waitFor(t, 10*time.Second, "accepted job", func() bool {
		_, err := r.deck("flow", "submit", "bulk", id, path)
		return err == nil
	})
	waitFor(t, 5*time.Second, "start", func() bool { return r.auditor.Running(id) == 2 })
	out, err := r.deck("flow", "drop", "bulk", id)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	waitFor(t, 3*time.Second, "stop", func() bool { return r.auditor.Running(id) == 0 })
	out, err = r.deck("flow", "submit", "nowhere", id, path)
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, out, qt.Contains, `queue "nowhere" does not exist`)
}
