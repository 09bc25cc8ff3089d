package gate_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/gate"
	"dragonflydeck.example/fleet/member"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

var now = time.Unix(100000, 0)

// pulse returns a peer's report on the log, made the given time ago.
func pulse(id, domain string, logDown bool, ago time.Duration) *wire.Pulse {
	return &wire.Pulse{Host: id, Domain: domain, Inc: 1, Beat: 1, Blind: logDown, Old: ago.Milliseconds(), Age: 60000}
}

func newBoard(logAge time.Duration, logDown bool, peers ...*wire.Pulse) *board.Board {
	b := board.New(board.Identity{Host: "e1", Domain: "d1"})
	b.Now = now
	b.Log = board.Log{Loaded: true, Down: logDown, SyncedAt: now.Add(-logAge)}
	b.Hosts = map[fleet.HostID]*wire.Host{
		"e1": {Id: "e1", Domain: "d1", Role: wire.Role_ENTRY},
		"e2": {Id: "e2", Domain: "d2", Role: wire.Role_ENTRY},
		"e3": {Id: "e3", Domain: "d3", Role: wire.Role_ENTRY},
	}
	b.Members.Merge(now, peers, now)
	return b
}

// While the log does not answer, the gate stays closed if any other daemon may
// have read the log. It opens only if all of them have just reported that they
// cannot.
func TestGate(t *testing.T) {
	both := []*wire.Pulse{pulse("e2", "d2", true, time.Second), pulse("e3", "d3", true, time.Second)}
	stale := gate.MaxLogDownAge + time.Second
	for _, c := range []struct {
		name       string
		b          *board.Board
		open       bool
		withoutLog bool
		why        string
	}{
		{"the log was just read", newBoard(time.Second, false), true, false, ""},
		{"the log was read too long ago", newBoard(gate.MaxLogAge+time.Second, false), false, false, ".*e1 may know.*"},
		{"the log answers no daemon", newBoard(time.Minute, true, both...), true, true, ""},
		{"one daemon has never reported", newBoard(time.Minute, true, both[0]), false, false, ".*e3 may know.*"},
		{"the log answers one daemon", newBoard(time.Minute, true, both[0], pulse("e3", "d3", false, 0)), false, false, ".*e3 may know.*"},
		{"one daemon reported too long ago", newBoard(time.Minute, true, both[0], pulse("e3", "d3", true, stale)), false, false, ".*e3 may know.*"},
	} {
		gate.New().Step(c.b)
		qt.Check(t, c.b.Gate.Open, qt.Equals, c.open, qt.Commentf(c.name))
		qt.Check(t, c.b.Gate.WithoutLog, qt.Equals, c.withoutLog, qt.Commentf(c.name))
		qt.Check(t, c.b.Gate.Why, qt.Matches, c.why, qt.Commentf(c.name))
	}
}

func TestGateObeysConfigurationAndHeldOrders(t *testing.T) {
	b := newBoard(0, false)
	_ = b.State.Apply(1, &wire.Entry{Id: "o", Kind: &wire.Entry_Turn{Turn: &wire.Turn{Name: "d1", Out: true, Why: "fire"}}})
	gate.New().Step(b)
	qt.Assert(t, b.Gate.Why, qt.Equals, "d1 is out of service: fire")
	b = newBoard(0, false)
	b.Holds["h"] = &wire.Entry{Id: "h", Kind: &wire.Entry_Turn{Turn: &wire.Turn{Name: "d1", Out: true}}}
	gate.New().Step(b)
	qt.Assert(t, b.Gate.Open, qt.IsFalse)
}

// A beat that is not an answer may have been delayed for any time, so what it says
// about the log does not count.
func TestBeatThatIsNoReplyIsIgnored(t *testing.T) {
	b := newBoard(time.Minute, true)
	both := []*wire.Pulse{pulse("e2", "d2", true, 0), pulse("e3", "d3", true, 0)}
	b.Members.Merge(now, both, time.Time{})
	gate.New().Step(b)
	qt.Assert(t, b.Gate.Open, qt.IsFalse)
	p, _ := b.Members.Get("e2")
	qt.Assert(t, p.Status, qt.Equals, member.Dead, qt.Commentf("the status has not been updated yet"))
}
