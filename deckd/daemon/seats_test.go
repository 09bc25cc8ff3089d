package daemon

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/seat"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// Hosts die, restart, join and are cut off, so the daemons' views of the fleet
// differ. The requests of all daemons together must still stay within a runner's
// slots.
func TestSlotsHoldInEveryMixOfViews(t *testing.T) {
	withSite(t, busy, func(s *site) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.sendLoad(6000, 20*time.Millisecond, false)
		}()
		time.Sleep(5 * time.Second)
		s.partition("e11", "e12", true)
		time.Sleep(15 * time.Second)
		s.kill("e11")
		time.Sleep(5 * time.Second)
		s.start("e11", "d1", 2)
		s.partition("e11", "e12", false)
		time.Sleep(10 * time.Second)
		s.partition("e12", "log", true)
		s.kill("e22")
		s.list.Remove("e22")
		time.Sleep(30 * time.Second)
		s.start("e23", "d2", 2)
		s.list.Put(&wire.Host{Id: "e23", Addr: "e23", Domain: "d2", Role: wire.Role_ENTRY})
		time.Sleep(30 * time.Second)
		s.partition("e12", "log", false)
		<-done
		s.checkSlots()
	})
}

// The slots of a host that the platform removed from the host list go to the other
// daemons.
func TestSeatsOfAGoneHostAreTaken(t *testing.T) {
	withSite(t, busy, func(s *site) {
		s.kill("e12")
		time.Sleep(60 * time.Second)
		qt.Assert(s.t, s.slots("e11"), qt.Equals, int32(4)) // still listed, so it may be alive
		s.list.Remove("e12")
		s.until(60*time.Second, "all slots", func() bool { return s.slots("e11") == 8 })
	})
}

// A daemon that gives slots back must close the connections that belong to them,
// as the next holder opens its own.
func TestConnectionsGoWithTheSlots(t *testing.T) {
	withSite(t, busy, func(s *site) {
		s.kill("e12")
		s.list.Remove("e12")
		s.until(2*time.Minute, "all slots", func() bool { return s.slots("e11") == 8 })
		s.sendLoad(400, 2*time.Millisecond, false)
		s.start("e12", "d1", 2)
		s.list.Put(&wire.Host{Id: "e12", Addr: "e12", Domain: "d1", Role: wire.Role_ENTRY})
		s.until(2*time.Minute, "half of the slots", func() bool { return s.slots("e12") == 4 })
		s.sendLoad(400, 2*time.Millisecond, false)
		s.checkSlots()
	})
}

func (s *site) slots(at string) int32 {
	n := int32(0)
	s.inspect(at, func(c *core.Core) { n = seat.Slots(c.Board.Share, 8) })
	return n
}
