package site

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

var (
	came    = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	refused = &wire.HandReply{Verdict: wire.Verdict_REFUSED}
	taken   = &wire.HandReply{Verdict: wire.Verdict_OK}
	unsaid  = &wire.HandReply{Verdict: wire.Verdict_UNKNOWN}
	astray  = &wire.HandReply{Verdict: wire.Verdict_ASTRAY}
)

func newPassing() *passing { return &passing{begun: came, until: came.Add(3 * time.Second)} }

func at(span time.Duration) time.Time { return came.Add(span) }

// Load pattern: callers of a failure domain that is cut off. Once the daemon knows,
// it turns them down at once; before, it sends nothing that may get lost.
func TestCallersOfACutOffDomainAreTurnedDownAtOnce(t *testing.T) {
	p := newPassing()
	qt.Assert(t, p.next(view{term: 7, fresh: true}, came), qt.Equals, passOn)
	qt.Assert(t, p.next(view{term: 7}, came), qt.Equals, holdOn)
	qt.Assert(t, p.next(view{term: 7}, at(noLeadWait)), qt.Equals, turnDown)
	qt.Assert(t, p.next(view{term: 7, lone: true}, came), qt.Equals, turnDown)
	qt.Assert(t, p.next(view{term: 7, lone: true, fresh: true}, came), qt.Equals, turnDown)
	qt.Assert(t, p.next(view{term: 7, lone: true, here: true}, came), qt.Equals, turnDown)
}

// Load pattern: a lead is lost with jobs on their way to it. The next lead tells
// what became of them.
func TestJobInDoubtIsSettledByTheNextLead(t *testing.T) {
	p := newPassing()
	old, next := view{term: 7, fresh: true}, view{term: 9, fresh: true}
	qt.Assert(t, p.took(old, nil, true), qt.IsFalse)
	qt.Assert(t, p.next(view{term: 7}, at(time.Second)), qt.Equals, holdOn)
	qt.Assert(t, p.took(old, refused, false), qt.IsFalse, qt.Commentf("the first try may still arrive there"))
	qt.Assert(t, p.next(next, at(time.Second)), qt.Equals, passOn)
	qt.Assert(t, p.took(next, refused, false), qt.IsTrue)
	qt.Assert(t, p.took(next, taken, false), qt.IsTrue)
}

func TestJobInDoubtIsNeverToldAsRefused(t *testing.T) {
	p := newPassing()
	p.took(view{term: 7}, unsaid, false)
	qt.Assert(t, p.next(view{term: 7, lone: true}, at(time.Second)), qt.Equals, giveUp)
	qt.Assert(t, p.next(view{term: 7}, at(doubtWait)), qt.Equals, giveUp)
	qt.Assert(t, p.next(view{term: 9, fresh: true}, at(doubtWait)), qt.Equals, giveUp)
}

func TestAnswersOfALeadWithoutDoubt(t *testing.T) {
	v := view{term: 7, fresh: true}
	qt.Assert(t, newPassing().took(v, refused, false), qt.IsTrue)
	qt.Assert(t, newPassing().took(v, taken, false), qt.IsTrue)
	qt.Assert(t, newPassing().took(v, astray, false), qt.IsFalse)
	qt.Assert(t, newPassing().took(v, nil, false), qt.IsFalse)
}

// A caller with little time left gets one try.
func TestFirstTryIsAlwaysMade(t *testing.T) {
	p := &passing{begun: came, until: came}
	qt.Assert(t, p.next(view{term: 7, fresh: true}, came), qt.Equals, passOn)
	qt.Assert(t, p.next(view{term: 7, fresh: true}, at(time.Millisecond)), qt.Equals, turnDown)
}
