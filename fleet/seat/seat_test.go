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

// host is one daemon with a view of its own, and the requests it still has on
// a runner.
type host struct {
	b    *board.Board
	c    *seat.Control
	cut  bool // it reads no records
	sent []time.Time
}

// group is daemons of one failure domain over one log.
type group struct {
	t      *rapid.T
	now    time.Time
	log    []*wire.Entry
	hosts  []*host
	listed map[fleet.HostID]*wire.Host
	dead   []time.Time // requests of dead daemons that still run
	inc    int64
}

const (
	seats = 3
	slots = 8
)

func (g *group) join(id string) {
	g.inc++
	self := board.Self{Host: fleet.HostID(id), Domain: "d1", Inc: fleet.Incarnation(g.inc)}
	g.hosts = append(g.hosts, &host{b: board.New(self), c: seat.New(seats)})
	g.listed[self.Host] = &wire.Host{Id: id, Domain: "d1", Role: wire.Role_ENTRY}
}

// use has a daemon fill every slot that it thinks it may use.
func (g *group) use(h *host) {
	h.sent = running(h.sent, g.now)
	if rapid.Bool().Draw(g.t, "answered") && len(h.sent) > 0 {
		h.sent = h.sent[1:]
	}
	if int32(len(h.sent)) <= seat.Slots(h.b.Share, slots) {
		h.b.Settled = h.b.Share.Version
	}
	for int32(len(h.sent)) < seat.Slots(h.b.Share, slots) {
		h.sent = append(h.sent, g.now)
	}
}

// running keeps the requests that have not reached their longest time.
func running(list []time.Time, now time.Time) []time.Time {
	var out []time.Time
	for _, at := range list {
		if now.Sub(at) < board.RequestSpan {
			out = append(out, at)
		}
	}
	return out
}

func (g *group) step(h *host) {
	b := h.b
	b.Now, b.HostsAt, b.Log.Loaded, b.Log.Blind = g.now, g.now, true, h.cut
	if !h.cut {
		b.Hosts = map[fleet.HostID]*wire.Host{}
		for id, l := range g.listed {
			b.Hosts[id] = l
		}
		for int(b.State.Next) <= len(g.log) {
			_ = b.State.Apply(b.State.Next, g.log[b.State.Next-1])
		}
	}
	h.c.Step(b)
	b.Outbox.Met(func(id fleet.EntryID) bool { met, _ := b.State.Outcome(id); return met })
	if !h.cut {
		g.log = append(g.log, b.Outbox.Batch(g.now, g.now)...)
		b.Outbox.Done(g.now, nil)
	}
	b.Take()
	g.use(h)
}

// The requests on a runner never pass its slots, whatever mix of views the
// daemons have, and each of them fills its share to the brim.
func TestSlotsHoldInEveryMixOfViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &group{t: t, now: time.Unix(100000, 0), listed: map[fleet.HostID]*wire.Host{}}
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

func (g *group) event() {
	i := rapid.IntRange(0, len(g.hosts)-1).Draw(g.t, "host")
	h := g.hosts[i]
	switch rapid.IntRange(0, 7).Draw(g.t, "event") {
	case 0:
		h.cut = !h.cut
	case 1:
		h.b.Leaving = true
	case 2: // killed and started again on the same host
		g.kill(i)
		g.join(string(h.b.Self.Host))
	case 3: // gone for good, as the platform knows
		if len(g.hosts) > 1 {
			g.kill(i)
			delete(g.listed, h.b.Self.Host)
		}
	case 4:
		if len(g.hosts) < 4 {
			g.join(fmt.Sprint("n", g.inc))
		}
	}
}

func (g *group) kill(i int) {
	g.dead = append(g.dead, g.hosts[i].sent...)
	g.hosts = append(g.hosts[:i:i], g.hosts[i+1:]...)
}

func (g *group) check() {
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
		sum += seat.Slots(board.Share{Seats: []int32{i}, Of: 3}, 8)
	}
	qt.Assert(t, sum, qt.Equals, int32(8))
	qt.Assert(t, state.SeatRest > board.RequestSpan, qt.IsTrue)
}

func ExampleSlots() {
	fmt.Println(seat.Slots(board.Share{Seats: []int32{0}, Of: 3}, 8))
	fmt.Println(seat.Slots(board.Share{Seats: []int32{0, 2}, Of: 3}, 8))
	// Output:
	// 3
	// 5
}
