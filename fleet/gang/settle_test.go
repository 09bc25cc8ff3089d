package gang

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// An attempt that was stopped before the log had its placement stays in hand
// until the log has its end; the next attempt would else bear the same number
// and take the first one's records for its own.
func TestStoppedAttemptStaysUntilTheLogHasItsEnd(t *testing.T) {
	b := board.New(board.Self{Host: "e1", Domain: "d1", Inc: 1})
	b.Now = time.Unix(1000, 0)
	b.Lead = board.Lead{Mine: true, Term: 5, Ready: true}
	spec := &wire.Spec{Id: "j", Space: "s", Tasks: 1, Each: &wire.Res{Cores: 1}}
	b.State.Jobs["j"] = &wire.Job{Spec: spec, Phase: wire.Phase_QUEUED, Home: "d1"}
	c := New()
	c.plan = place.New(place.Defaults())
	c.after = map[fleet.JobID]time.Time{}
	r := &run{id: "j", spec: spec, attempt: 1, parts: []place.Part{{Worker: "w1", Tasks: 1}}, phase: placing}
	c.runs = map[fleet.JobID]*run{"j": r}
	b.Append(r.placeEntry(b, ""))
	r.halt(b, false, verdict{phase: wire.Phase_QUEUED, why: "evicted"})
	c.drive(b, r)
	qt.Assert(t, r.phase, qt.Equals, settled)
	c.drive(b, r)
	waiting, _ := c.plan.Counts()
	qt.Assert(t, c.runs["j"], qt.Equals, r, qt.Commentf("forgotten while its records are on the way"))
	qt.Assert(t, waiting, qt.Equals, 0)
	b.Outbox.Met(func(fleet.EntryID) bool { return true })
	c.drive(b, r)
	waiting, _ = c.plan.Counts()
	qt.Assert(t, c.runs, qt.HasLen, 0)
	qt.Assert(t, waiting, qt.Equals, 1)
}
