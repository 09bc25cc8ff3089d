package seat_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/seat"
	"dragonflydeck.example/fleet/state"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// daemon is a daemon with its own view of the log, and the start times of its
// requests on the runner.
type daemon struct {
	board    *board.Board
	seats    *seat.Controller
	isolated bool // cannot reach the log
	sent     []time.Time
}

// cluster is the daemons of one failure domain, sharing one log and one runner.
type cluster struct {
	t      *rapid.T
	now    time.Time
	log    []*wire.Entry
	hosts  []*daemon
	listed map[fleet.HostID]*wire.Host
	dead   []time.Time // requests of killed daemons that still run
	inc    int64
}

const (
	seats = 3
	slots = 8
)

func (g *cluster) join(id string) {
	g.inc++
	self := board.Identity{Host: fleet.HostID(id), Domain: "d1", Inc: fleet.Incarnation(g.inc)}
	g.hosts = append(g.hosts, &daemon{board: board.New(self), seats: seat.New(seats)})
	g.listed[self.Host] = &wire.Host{Id: id, Domain: "d1", Role: wire.Role_ENTRY}
}

// fillShare has a daemon send requests until every slot of its share is busy.
func (g *cluster) fillShare(h *daemon) {
	h.sent = running(h.sent, g.now)
	if rapid.Bool().Draw(g.t, "answered") && len(h.sent) > 0 {
		h.sent = h.sent[1:]
	}
	if int32(len(h.sent)) <= seat.Slots(h.board.Share, slots) {
		h.board.AppliedShare = h.board.Share.Version
	}
	for int32(len(h.sent)) < seat.Slots(h.board.Share, slots) {
		h.sent = append(h.sent, g.now)
	}
}

// running returns the requests that have not reached the longest request time.
func running(list []time.Time, now time.Time) []time.Time {
	var out []time.Time
	for _, at := range list {
		if now.Sub(at) < board.RequestTimeout {
			out = append(out, at)
		}
	}
	return out
}

func (g *cluster) step(h *daemon) {
	b := h.board
	b.Now, b.HostsAt, b.Log.Loaded, b.Log.Down = g.now, g.now, true, h.isolated
	if !h.isolated {
		b.Hosts = map[fleet.HostID]*wire.Host{}
		for id, l := range g.listed {
			b.Hosts[id] = l
		}
		for int(b.State.Next) <= len(g.log) {
			_ = b.State.Apply(b.State.Next, g.log[b.State.Next-1])
		}
	}
	h.seats.Step(b)
	b.Outbox.Prune(func(id fleet.EntryID) bool { found, _ := b.State.Outcome(id); return found })
	if !h.isolated {
		g.log = append(g.log, b.Outbox.Batch(g.now, g.now)...)
		b.Outbox.BatchDone(g.now, nil)
	}
	b.TakeActions()
	g.fillShare(h)
}

// The requests on a runner never exceed its slots, although each daemon fills its
// share and the daemons' views of the log differ.
func TestSlotsHoldInEveryMixOfViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &cluster{t: t, now: time.Unix(100000, 0), listed: map[fleet.HostID]*wire.Host{}}
		g.join("e1")
		g.join("e2")
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			g.now = g.now.Add(time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms")) * time.Millisecond)
			g.event()
			for _, h := range g.hosts {
				g.step(h)
			}
			g.check()
		}
	})
}

func (g *cluster) event() {
	i := rapid.IntRange(0, len(g.hosts)-1).Draw(g.t, "host")
	h := g.hosts[i]
	switch rapid.IntRange(0, 7).Draw(g.t, "event") {
	case 0:
		h.isolated = !h.isolated
	case 1:
		h.board.Leaving = true
	case 2: // killed and restarted on the same host
		g.kill(i)
		g.join(string(h.board.Self.Host))
	case 3: // killed and removed from the host list
		if len(g.hosts) > 1 {
			g.kill(i)
			delete(g.listed, h.board.Self.Host)
		}
	case 4:
		if len(g.hosts) < 4 {
			g.join(fmt.Sprint("n", g.inc))
		}
	}
}

func (g *cluster) kill(i int) {
	g.dead = append(g.dead, g.hosts[i].sent...)
	g.hosts = append(g.hosts[:i:i], g.hosts[i+1:]...)
}

func (g *cluster) check() {
	g.dead = running(g.dead, g.now)
	sum := len(g.dead)
	for _, h := range g.hosts {
		sum += len(running(h.sent, g.now))
	}
	if sum > slots {
		g.t.Fatalf("%d requests on %d slots", sum, slots)
	}
}

func TestSlotsSplitWithoutRest(t *testing.T) {
	sum := int32(0)
	for i := range int32(3) {
		sum += seat.Slots(board.Share{Seats: []int32{i}, Total: 3}, 8)
	}
	qt.Assert(t, sum, qt.Equals, int32(8))
	qt.Assert(t, state.SeatCooldown > board.RequestTimeout, qt.IsTrue)
}

func ExampleSlots() {
	fmt.Println(seat.Slots(board.Share{Seats: []int32{0}, Total: 3}, 8))
	fmt.Println(seat.Slots(board.Share{Seats: []int32{0, 2}, Total: 3}, 8))
	// Output:
	// 3
	// 5
}
