// Package seat shares the slots and connections of a failure domain's runners
// among its daemons. They are split into a fixed number of seats, and the log
// says who holds which, so the sum stays within the limit whatever the daemons
// think of each other. A seat changes hands only when its holder gave it back,
// or the host list no longer names it, or it is an earlier process of the same
// host; a daemon that is cut off keeps its seats and goes on.
package seat

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/member"
	"dragonflydeck.example/fleet/state"
	"dragonflydeck.example/fleet/wire"
)

// StepSpan is the pause between two changes that a daemon makes.
const StepSpan = time.Second

// Control is the controller of seats.
type Control struct {
	of   int32
	next time.Time
	fold map[int32]bool // seats not used any more
}

// New returns the controller for a failure domain with so many seats.
func New(of int32) *Control {
	return &Control{of: of, fold: map[int32]bool{}}
}

// Step works out which seats may be used and takes or gives back one.
func (c *Control) Step(b *board.Board) {
	c.shareOut(b)
	if !b.Log.Loaded || b.Log.Blind || b.Now.Before(c.next) {
		return
	}
	c.next = b.Now.Add(StepSpan)
	want := c.target(b)
	mine := c.mine(b)
	switch {
	case len(mine)-len(c.fold) > want:
		c.stopUsing(mine)
	case len(mine) < want:
		c.claim(b)
	}
	c.giveBack(b)
}

// shareOut tells the traffic side which seats to use.
func (c *Control) shareOut(b *board.Board) {
	seats := c.usable(b)
	b.Share.Of = c.of
	if slices.Equal(seats, b.Share.Seats) {
		return
	}
	b.Share.Seats = seats
	b.Share.Version++
	b.Note(event.SeatTaken, string(b.Self.Host), fmt.Sprintf("uses seats %v of %d", seats, c.of))
}

func (c *Control) key(b *board.Board, seat int32) state.SeatKey {
	return state.SeatKey{Domain: b.Self.Domain, Seat: seat}
}

// mine returns the seats that the log gives this process.
func (c *Control) mine(b *board.Board) []int32 {
	var out []int32
	for i := range c.of {
		s := b.State.Seats[c.key(b, i)]
		if s.GetHost() == string(b.Self.Host) && s.Inc == int64(b.Self.Inc) {
			out = append(out, i)
		}
	}
	return out
}

// usable returns the seats that have rested and are not being given back.
func (c *Control) usable(b *board.Board) []int32 {
	var out []int32
	for _, i := range c.mine(b) {
		rested := b.Now.UnixMilli() >= b.State.Seats[c.key(b, i)].Rest
		if !c.fold[i] && rested {
			out = append(out, i)
		}
	}
	return out
}

// target is how many seats this daemon is to hold: an even part, none when it
// leaves.
func (c *Control) target(b *board.Board) int {
	if b.Leaving || b.HostsAt.IsZero() {
		return 0
	}
	hosts := c.sharers(b)
	rank := sort.Search(len(hosts), func(i int) bool { return hosts[i] >= b.Self.Host })
	even := int(c.of) / len(hosts)
	if rank < int(c.of)%len(hosts) {
		even++
	}
	return even
}

// sharers returns the hosts of the domain that are to have seats: those that
// live, and those listed that may yet turn up.
func (c *Control) sharers(b *board.Board) []fleet.HostID {
	list := []fleet.HostID{b.Self.Host}
	for _, p := range b.Members.All() {
		if p.Domain == b.Self.Domain && p.Status != member.Dead && !p.Leaving {
			list = append(list, p.ID)
		}
	}
	for id, h := range b.Hosts {
		_, known := b.Members.Get(id)
		listed := h.Role == wire.Role_ENTRY && fleet.DomainID(h.Domain) == b.Self.Domain && !h.Leaving
		if listed && !known && id != b.Self.Host {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

func (c *Control) claim(b *board.Board) {
	for i := range c.of {
		s := b.State.Seats[c.key(b, i)]
		if !c.free(b, s) {
			continue
		}
		id := fmt.Sprintf("seat/%s/%d/%d/%s/%d", b.Self.Domain, i, s.GetRev(), b.Self.Host, b.Self.Inc)
		b.Append(&wire.Entry{Id: id, Kind: &wire.Entry_Seat{Seat: &wire.Seat{
			Domain: string(b.Self.Domain), Seat: i, Host: string(b.Self.Host), Inc: int64(b.Self.Inc), Prev: s.GetRev(),
		}}})
		return
	}
}

// free reports whether the holder of a seat surely is no more.
func (c *Control) free(b *board.Board, s *wire.Seated) bool {
	id := fleet.HostID(s.GetHost())
	if id == "" {
		return true
	}
	if id == b.Self.Host {
		return s.Inc != int64(b.Self.Inc)
	}
	if _, listed := b.Hosts[id]; listed || b.HostsAt.IsZero() {
		return false
	}
	p, known := b.Members.Get(id)
	return !known || p.Status == member.Dead
}

// stopUsing takes the highest seat out of use. It is given back when requests
// sent under it have surely ended.
func (c *Control) stopUsing(mine []int32) {
	for _, i := range backwards(mine) {
		if !c.fold[i] {
			c.fold[i] = true
			return
		}
	}
}

func backwards(list []int32) []int32 {
	out := append([]int32{}, list...)
	sort.Slice(out, func(a, b int) bool { return out[a] > out[b] })
	return out
}

// giveBack returns the seats out of use once no runner has more requests of
// this daemon than the seats left allow.
func (c *Control) giveBack(b *board.Board) {
	for i := range c.fold {
		s := b.State.Seats[c.key(b, i)]
		if s.GetHost() != string(b.Self.Host) || s.Inc != int64(b.Self.Inc) {
			delete(c.fold, i)
			continue
		}
		if b.Settled != b.Share.Version || slices.Contains(b.Share.Seats, i) {
			continue
		}
		id := fmt.Sprintf("seat/%s/%d/%d/free", b.Self.Domain, i, s.GetRev())
		b.Append(&wire.Entry{Id: id, Kind: &wire.Entry_Seat{Seat: &wire.Seat{
			Domain: string(b.Self.Domain), Seat: i, Prev: s.GetRev(),
		}}})
	}
}

// Slots returns how many of a runner's slots, or connections, the share is.
func Slots(s board.Share, total int32) int32 {
	if s.Of == 0 {
		return 0
	}
	n := int32(0)
	for _, seat := range s.Seats {
		n += total / s.Of
		if seat < total%s.Of {
			n++
		}
	}
	return n
}
