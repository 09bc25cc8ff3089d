// Package seat divides the slots and connections of a failure domain's runners
// among its daemons. They are split into a fixed number of seats, and the log
// records the holder of each, so that the daemons together never exceed the
// limits, even when their views of the fleet differ. A seat gets a new holder
// only if the old one released it, is missing from the host list, or was an
// earlier process of the same host. A daemon that is partitioned from the log
// keeps using its seats.
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

// ChangeInterval is the shortest time between two changes by one daemon.
const ChangeInterval = time.Second

// Controller is the controller of this daemon's seats.
type Controller struct {
	total      int32
	nextChange time.Time
	releasing  map[int32]bool // seats no longer used, to be given back
}

// New returns the controller for a failure domain with the given number of seats.
func New(total int32) *Controller {
	return &Controller{total: total, releasing: map[int32]bool{}}
}

// Step determines which seats may be used, and claims a seat or gives seats back.
func (c *Controller) Step(b *board.Board) {
	c.publishShare(b)
	if !b.Log.Loaded || b.Log.Down || b.Now.Before(c.nextChange) {
		return
	}
	c.nextChange = b.Now.Add(ChangeInterval)
	want := c.targetCount(b)
	held := c.heldSeats(b)
	switch {
	case len(held)-len(c.releasing) > want:
		c.beginRelease(held)
	case len(held) < want:
		c.claimFreeSeat(b)
	}
	c.finishReleases(b)
}

// publishShare sets the seats that request routing may use.
func (c *Controller) publishShare(b *board.Board) {
	seats := c.usableSeats(b)
	b.Share.Total = c.total
	if slices.Equal(seats, b.Share.Seats) {
		return
	}
	b.Share.Seats = seats
	b.Share.Version++
	b.Emit(event.SeatTaken, string(b.Self.Host), fmt.Sprintf("uses seats %v of %d", seats, c.total))
}

func (c *Controller) key(b *board.Board, seat int32) state.SeatKey {
	return state.SeatKey{Domain: b.Self.Domain, Seat: seat}
}

// heldSeats returns the seats that this process holds according to the log.
func (c *Controller) heldSeats(b *board.Board) []int32 {
	var out []int32
	for i := range c.total {
		s := b.State.Seats[c.key(b, i)]
		if s.GetHost() == string(b.Self.Host) && s.Inc == int64(b.Self.Inc) {
			out = append(out, i)
		}
	}
	return out
}

// usableSeats returns the held seats whose cooldown after the previous holder has
// passed and that are not being released.
func (c *Controller) usableSeats(b *board.Board) []int32 {
	var out []int32
	for _, i := range c.heldSeats(b) {
		cooledDown := b.Now.UnixMilli() >= b.State.Seats[c.key(b, i)].Rest
		if !c.releasing[i] && cooledDown {
			out = append(out, i)
		}
	}
	return out
}

// targetCount returns how many seats this daemon should hold: an even share, or
// none while it shuts down.
func (c *Controller) targetCount(b *board.Board) int {
	if b.Leaving || b.HostsAt.IsZero() {
		return 0
	}
	hosts := c.shareHosts(b)
	rank := sort.Search(len(hosts), func(i int) bool { return hosts[i] >= b.Self.Host })
	even := int(c.total) / len(hosts)
	if rank < int(c.total)%len(hosts) {
		even++
	}
	return even
}

// shareHosts returns the hosts of the domain among which the seats are divided:
// members that are not dead, and listed hosts that have not been heard of yet.
func (c *Controller) shareHosts(b *board.Board) []fleet.HostID {
	list := []fleet.HostID{b.Self.Host}
	for _, p := range b.Members.Peers() {
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

func (c *Controller) claimFreeSeat(b *board.Board) {
	for i := range c.total {
		s := b.State.Seats[c.key(b, i)]
		if !c.isFree(b, s) {
			continue
		}
		id := fmt.Sprintf("seat/%s/%d/%d/%s/%d", b.Self.Domain, i, s.GetRev(), b.Self.Host, b.Self.Inc)
		b.Append(&wire.Entry{Id: id, Kind: &wire.Entry_Seat{Seat: &wire.Seat{
			Domain: string(b.Self.Domain), Seat: i, Host: string(b.Self.Host), Inc: int64(b.Self.Inc), Prev: s.GetRev(),
		}}})
		return
	}
}

// isFree reports whether a seat has no holder, or one that is known to be gone.
func (c *Controller) isFree(b *board.Board, s *wire.Seated) bool {
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

// beginRelease marks the highest seat as no longer used. finishReleases gives it
// back once the requests sent under it have ended.
func (c *Controller) beginRelease(held []int32) {
	for _, i := range descending(held) {
		if !c.releasing[i] {
			c.releasing[i] = true
			return
		}
	}
}

func descending(list []int32) []int32 {
	out := append([]int32{}, list...)
	sort.Slice(out, func(a, b int) bool { return out[a] > out[b] })
	return out
}

// finishReleases gives back the seats being released once no runner has more
// requests of this daemon than its remaining seats allow.
func (c *Controller) finishReleases(b *board.Board) {
	for i := range c.releasing {
		s := b.State.Seats[c.key(b, i)]
		if s.GetHost() != string(b.Self.Host) || s.Inc != int64(b.Self.Inc) {
			delete(c.releasing, i)
			continue
		}
		if b.AppliedShare != b.Share.Version || slices.Contains(b.Share.Seats, i) {
			continue
		}
		id := fmt.Sprintf("seat/%s/%d/%d/free", b.Self.Domain, i, s.GetRev())
		b.Append(&wire.Entry{Id: id, Kind: &wire.Entry_Seat{Seat: &wire.Seat{
			Domain: string(b.Self.Domain), Seat: i, Prev: s.GetRev(),
		}}})
	}
}

// Slots returns how many of a runner's total slots, or connections, belong to a share.
func Slots(s board.Share, total int32) int32 {
	if s.Total == 0 {
		return 0
	}
	n := int32(0)
	for _, seat := range s.Seats {
		n += total / s.Total
		if seat < total%s.Total {
			n++
		}
	}
	return n
}
