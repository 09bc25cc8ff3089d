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

// Guards against two attempts with the same number. An attempt that is stopped
// before its placement record is in the log must be kept until its settle
// record is there. Otherwise the next attempt gets the same number and mistakes
// the records of the first for its own.
func TestStoppedAttemptStaysUntilItsSettleRecordIsLogged(t *testing.T) {
	b := board.New(board.Identity{Host: "e1", Domain: "d1", Inc: 1})
	b.Now = time.Unix(1000, 0)
	b.Lead = board.Lead{Mine: true, Term: 5, Ready: true}
	spec := &wire.Spec{Id: "j", Space: "s", Tasks: 1, Each: &wire.Res{Cores: 1}}
	b.State.Jobs["j"] = &wire.Job{Spec: spec, Phase: wire.Phase_QUEUED, Home: "d1"}
	c := New()
	c.plan = place.New(place.Defaults())
	c.notBefore = map[fleet.JobID]time.Time{}
	r := &run{id: "j", spec: spec, attempt: 1, parts: []place.Part{{Worker: "w1", Tasks: 1}}, phase: placing}
	c.runs = map[fleet.JobID]*run{"j": r}
	b.Append(r.placeEntry(b, ""))
	r.beginStop(b, false, verdict{phase: wire.Phase_QUEUED, why: "evicted"})
	c.advance(b, r)
	qt.Assert(t, r.phase, qt.Equals, settling)
	c.advance(b, r)
	waiting, _ := c.plan.Counts()
	qt.Assert(t, c.runs["j"], qt.Equals, r, qt.Commentf("removed while its records are in the outbox"))
	qt.Assert(t, waiting, qt.Equals, 0)
	b.Outbox.Prune(func(fleet.EntryID) bool { return true })
	c.advance(b, r)
	waiting, _ = c.plan.Counts()
	qt.Assert(t, c.runs, qt.HasLen, 0)
	qt.Assert(t, waiting, qt.Equals, 1)
}
