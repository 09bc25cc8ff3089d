package daemon

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/wire"
	"dragonflydeck.example/standin/ledger"
	qt "github.com/frankban/quicktest"
)

// A domain that is cut off from the log and all other domains must stop starting
// tasks within a few seconds, as it cannot know whether it was taken out. Tasks
// that run there keep running.
func TestCutOffDomainStartsNothing(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e21", "orders")
		s.mustSubmit("e21", "orders", "long", 4, time.Minute)
		s.until(10*time.Second, "the gang", func() bool { return s.running("long") == 1 })
		home := s.job("e21", "long").Home
		n := home[1:]
		s.submitAll("e21", 12, 8, 20*time.Second) // more than fits, so that some wait everywhere
		for _, o := range []string{"1", "2", "3"} {
			if o != n {
				s.partition("e"+n, "e"+o, true)
			}
		}
		s.partition("e"+n, "log", true)
		s.partition("e"+n, "list", true)
		cut := time.Now()
		at := hostElsewhere(home)
		_, err := s.turnDomain(at, home, true, 0)
		qt.Assert(s.t, err, qt.IsNil)
		time.Sleep(50 * time.Second)
		qt.Assert(s.t, s.startsAfter(home, cut.Add(6*time.Second)), qt.Equals, 0)
		uninterrupted := 0
		for id, w := range s.workers {
			for _, st := range w.Stints() {
				if s.domain[id] == home && st.Job == "long" && (st.Completed || st.To.IsZero()) {
					uninterrupted++
				}
			}
		}
		qt.Assert(s.t, uninterrupted, qt.Equals, 1)
		s.healLinks()
		s.untilAll(at, 12, wire.Phase_DONE, 5*time.Minute)
	})
}

// While the log is down for everyone, no domain can be taken out, so jobs that
// were accepted before must still start.
func TestLogDownWorkGoesOn(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders")
		s.submitAll("e11", 12, 8, 20*time.Second)
		time.Sleep(2 * time.Second)
		s.log.On(ledger.Down, 0)
		down := time.Now()
		err := s.submit("e21", "orders", "late", 1, time.Second)
		qt.Assert(s.t, err, qt.Not(qt.IsNil))
		time.Sleep(90 * time.Second)
		started := s.startsAfter("d1", down.Add(10*time.Second)) + s.startsAfter("d2", down.Add(10*time.Second)) + s.startsAfter("d3", down.Add(10*time.Second))
		qt.Check(s.t, started > 0, qt.IsTrue, qt.Commentf("nothing started while the log was down"))
		s.log.Off(ledger.Down)
		s.untilAll("e31", 12, wire.Phase_DONE, 3*time.Minute)
	})
}

func TestLeadDiesWhileTheLogIsDown(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders")
		s.submitAll("e11", 12, 8, 20*time.Second)
		time.Sleep(2 * time.Second)
		s.log.On(ledger.Down, 0)
		time.Sleep(25 * time.Second)
		lead := s.leadOf("e11", "d1")
		s.kill(lead)
		time.Sleep(25 * time.Second)
		s.log.Off(ledger.Down)
		at := s.other(lead, "d1")
		s.untilAll(at, 12, wire.Phase_DONE, 5*time.Minute)
	})
}

// An order to take a domain out must take effect at once even while the log is
// down, if it reaches the domain, and be recorded later.
func TestOutIsHeldWhileTheLogIsDown(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders")
		s.submitAll("e11", 12, 8, 15*time.Second)
		time.Sleep(2 * time.Second)
		s.log.On(ledger.Down, 0)
		time.Sleep(5 * time.Second)
		reply, err := s.turnDomain("e31", "d1", true, 0)
		qt.Assert(s.t, err, qt.IsNil)
		qt.Assert(s.t, reply.Held && !reply.Kept, qt.IsTrue)
		held := time.Now()
		time.Sleep(40 * time.Second)
		qt.Assert(s.t, s.startsAfter("d1", held.Add(5*time.Second)), qt.Equals, 0)
		s.log.Off(ledger.Down)
		s.until(15*time.Second, "the record", func() bool {
			out := false
			s.inspect("e21", func(c *core.Core) { out = c.Board.State.OutOfService("d1") })
			return out
		})
		s.untilAll("e31", 12, wire.Phase_DONE, 5*time.Minute)
	})
}

// Guards against the cause of review/2 in orders that are held while the log is away: a
// failure domain is cut off with such an order, which is stored and revoked meanwhile, and
// the log drops both records. Its daemons then load an image, and must not hold the order.
func TestHeldOrderEndsWithAnImageOfTheStateAfterIt(t *testing.T) {
	p := small
	p.log.Keep = 25
	withSite(t, p, func(s *site) {
		s.setSpace("e21", "orders")
		time.Sleep(2 * time.Second)
		s.log.On(ledger.Down, 0)
		time.Sleep(5 * time.Second)
		reply, err := s.turnDomain("e31", "d1", true, 0)
		qt.Assert(s.t, err, qt.IsNil)
		qt.Assert(s.t, reply.Held, qt.IsTrue)
		heldBy := func(id string) (held bool) {
			s.inspect(id, func(c *core.Core) { held = c.Board.HeldOut("d1") != nil })
			return held
		}
		s.until(10*time.Second, "the order to reach its failure domain", func() bool { return heldBy("e11") && heldBy("e12") })
		for _, other := range []string{"e2", "e3", "log", "list"} {
			s.partition("e1", other, true)
		}
		s.log.Off(ledger.Down)
		s.until(15*time.Second, "the record", func() (read bool) {
			s.inspect("e21", func(c *core.Core) { read = !c.Board.Log.Down && c.Board.HeldOut("d1") == nil })
			return read
		})
		var rev int64
		s.inspect("e21", func(c *core.Core) { rev = c.Board.State.Domains["d1"].GetRev() })
		_, err = s.turnDomain("e21", "d1", false, rev)
		qt.Assert(s.t, err, qt.IsNil)
		rev = 0
		for i := range 40 {
			turned, err := s.turnDomain("e21", "d3", i%2 == 0, rev)
			qt.Assert(s.t, err, qt.IsNil)
			rev = turned.Domain.Rev
			time.Sleep(2 * time.Second) // for images to be appended
		}
		s.restart("e21", "e22", "e31", "e32") // from here on nobody remembers the records
		s.until(30*time.Second, "the state", func() (loaded bool) {
			s.inspect("e21", func(c *core.Core) { loaded = c.Board.Log.Loaded })
			return loaded
		})
		s.healLinks()
		s.until(30*time.Second, "the gate of the failure domain to open", func() bool {
			open := true
			for _, id := range []string{"e11", "e12"} {
				s.inspect(id, func(c *core.Core) { open = open && c.Board.Gate.Open })
			}
			return open
		})
	})
}

func TestAnswersLostChangesApplyOnce(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.log.On(ledger.Lost, 0)
		s.setSpace("e11", "orders")
		s.mustSubmit("e21", "orders", "j", 8, 10*time.Second)
		s.untilPhase("e31", "j", wire.Phase_DONE, time.Minute)
		qt.Assert(s.t, s.job("e11", "j").Attempt, qt.Equals, int32(1))
	})
}

func TestSlowLog(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders")
		s.log.On(ledger.Slow, 0)
		err := s.submit("e21", "orders", "j", 8, 10*time.Second)
		for try := 0; err != nil && try < 3; try++ { // each refusal says when to retry; a few retries must suffice
			qt.Assert(s.t, refuse.From("submit", err).RetryAfter > 0, qt.IsTrue, qt.Commentf("%v", err))
			time.Sleep(refuse.From("submit", err).RetryAfter)
			err = s.submit("e21", "orders", "j", 8, 10*time.Second)
		}
		qt.Assert(s.t, err, qt.IsNil)
		s.untilPhase("e31", "j", wire.Phase_DONE, 2*time.Minute)
	})
}

func TestDaemonThatStartsInAnOutage(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders")
		s.log.On(ledger.Down, 0)
		s.kill("e12")
		s.kill("e21")
		s.kill("e22")
		s.start("e12", "d1", 2)
		s.until(20*time.Second, "the state from a peer", func() bool {
			h, err := s.get("e12").Desk().Health(s.t.Context(), &wire.HealthAsk{})
			return err == nil && h.Ready
		})
		s.partition("e21", "e", true)
		s.start("e21", "d2", 2)
		time.Sleep(20 * time.Second)
		h, err := s.get("e21").Desk().Health(s.t.Context(), &wire.HealthAsk{})
		qt.Assert(s.t, err, qt.IsNil)
		qt.Assert(s.t, h.Ready, qt.IsFalse)
		qt.Assert(s.t, h.Why, qt.Matches, "the state is not loaded.*")
		_, err = s.get("e21").Desk().Spaces(s.t.Context(), &wire.SpacesAsk{})
		qt.Assert(s.t, err, qt.ErrorMatches, ".*not loaded.*")
	})
}
