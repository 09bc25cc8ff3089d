package daemon

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// other returns a running entry host that differs from the given one and, if a
// domain is given, belongs to it.
func (s *site) other(than, domain string) string {
	for _, id := range []string{"e11", "e12", "e21", "e22", "e31", "e32"} {
		if id != than && s.domain[id] != "" && s.get(id) != nil && (domain == "" || s.domain[id] == domain) {
			return id
		}
	}
	return ""
}

func TestLeadKilledItsGangsRunOn(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders")
		s.mustSubmit("e11", "orders", "j", 8, time.Minute)
		s.until(10*time.Second, "the gang", func() bool { return s.running("j") == 2 })
		home := s.job("e11", "j").Home
		lead := s.leadOf("e11", home)
		s.kill(lead)
		at := s.other(lead, home)
		s.until(30*time.Second, "another lead", func() bool { return s.leadOf(at, home) == at })
		s.untilPhase(at, "j", wire.Phase_DONE, time.Minute)
		qt.Assert(s.t, s.job(at, "j").Attempt, qt.Equals, int32(1))
	})
}

// Guards against jobs that are lost or run twice when the lead is killed: each
// subtest kills it at a different order while it starts a gang.
func TestLeadKilledWhileItStartsAGang(t *testing.T) {
	atEachStep(t, (*site).kill, func(s *site, _, at string) {
		s.untilPhase(at, "j", wire.Phase_DONE, 3*time.Minute)
	})
}

// A lead that reaches only its workers is replaced. Its workers must then refuse
// its orders.
func TestLeadCutOffIsFenced(t *testing.T) {
	withSite(t, plan{domains: 2, entries: 2, workers: 4}, func(s *site) {
		s.setSpace("e11", "orders")
		lead := s.leadOf("e11", "d1")
		at := s.other(lead, "d1")
		s.submitAll(at, 4, 4, 2*time.Minute)
		time.Sleep(3 * time.Second)
		s.partition(lead, "e", true)
		s.partition(lead, "log", true)
		s.until(40*time.Second, "another lead", func() bool { return s.leadOf(at, "d1") == at })
		for i := 4; i < 8; i++ {
			s.mustSubmit(at, "orders", fmt.Sprint("j", i), 4, 30*time.Second)
		}
		time.Sleep(time.Minute)
		s.partition(lead, "e", false)
		s.partition(lead, "log", false)
		s.untilAll(at, 8, wire.Phase_DONE, 5*time.Minute)
		s.until(20*time.Second, "the new lead in the view of the old one", func() bool { return s.leadOf(lead, "d1") == at })
		qt.Assert(s.t, s.countEvents(lead, event.WorkerFenced, "") > 0, qt.IsTrue, qt.Commentf("no worker refused the old lead"))
	})
}

// Daemons that start together must elect one lead for each domain and not replace
// it.
func TestStartingDaemonsDoNotFightForTheLead(t *testing.T) {
	withSite(t, small, func(s *site) {
		h, err := s.get("e11").Desk().History(s.t.Context(), &wire.HistoryAsk{})
		qt.Assert(s.t, err, qt.IsNil)
		taken := map[string]int{}
		for _, n := range h.Notes {
			if n.Code == int32(event.LeadTaken) {
				taken[n.About]++
			}
		}
		qt.Assert(s.t, taken, qt.DeepEquals, map[string]int{"d1": 1, "d2": 1, "d3": 1})
	})
}

func TestLeadLeavesAndHandsOver(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders")
		s.mustSubmit("e11", "orders", "j", 8, time.Minute)
		s.until(10*time.Second, "the gang", func() bool { return s.running("j") == 2 })
		home := s.job("e11", "j").Home
		lead := s.leadOf("e11", home)
		begun := time.Now()
		qt.Assert(s.t, s.get(lead).Shutdown(s.t.Context()), qt.IsNil)
		qt.Check(s.t, time.Since(begun) < 10*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(begun)))
		s.kill(lead)
		at := s.other(lead, home)
		s.untilPhase(at, "j", wire.Phase_DONE, 2*time.Minute)
		qt.Assert(s.t, s.job(at, "j").Attempt, qt.Equals, int32(1))
	})
}

func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	withSite(t, small, func(s *site) {
		won := make(chan error, 6)
		for i, at := range []string{"e11", "e12", "e21", "e22", "e31", "e32"} {
			go func() {
				_, err := s.get(at).Desk().SetSpace(s.t.Context(), &wire.SpaceAsk{Space: &wire.Space{
					Name: "orders", Quota: &wire.Res{Cores: int64(1000 * (i + 1))},
				}})
				won <- err
			}()
		}
		s.oneWins(6, won, ".*is at revision.*")
		time.Sleep(2 * time.Second)
		revs := map[int64]bool{}
		for id := range s.daemons {
			s.inspect(id, func(c *core.Core) { revs[c.Board.State.Spaces["orders"].Quota.Cores] = true })
		}
		qt.Assert(s.t, revs, qt.HasLen, 1)
	})
}

// A change that is retried with the same id is applied once and gets the same
// answer.
func TestChangeAskedForAgainIsApplied(t *testing.T) {
	withSite(t, small, func(s *site) {
		ask := &wire.SpaceAsk{Id: "c1", Space: &wire.Space{Name: "orders", Shapes: []*wire.Shape{gpus(1, 8)}}}
		first, err := s.get("e11").Desk().SetSpace(s.t.Context(), ask)
		qt.Assert(s.t, err, qt.IsNil)
		time.Sleep(time.Second)
		again, err := s.get("e21").Desk().SetSpace(s.t.Context(), ask)
		qt.Assert(s.t, err, qt.IsNil)
		qt.Assert(s.t, again.Space.Rev, qt.Equals, first.Space.Rev)
		turn := &wire.TurnAsk{Id: "c2", Name: "d1", Out: true}
		_, err = s.get("e11").Desk().TurnDomain(s.t.Context(), turn)
		qt.Assert(s.t, err, qt.IsNil)
		time.Sleep(time.Second)
		_, err = s.get("e31").Desk().TurnDomain(s.t.Context(), turn)
		qt.Assert(s.t, err, qt.IsNil)
	})
}

// The configuration must remain when the log has dropped its original records,
// reach a daemon that starts later, and never go back to a lower revision.
func TestConfigurationSurvivesRetention(t *testing.T) {
	p := small
	p.log.Keep = 25
	withSite(t, p, func(s *site) {
		s.setSpace("e11", "orders", gpus(1, 8))
		rev := int64(0)
		for i := range 40 {
			reply, err := s.turnDomain("e21", "d3", i%2 == 0, rev)
			qt.Assert(s.t, err, qt.IsNil)
			rev = reply.Domain.Rev
			time.Sleep(2 * time.Second)
			s.noRevisionFell()
		}
		ids := []string{"e11", "e12", "e21", "e22", "e31", "e32"}
		s.restart(ids...) // from here on only the log holds the state
		s.until(10*time.Second, "the new daemon's state", func() bool {
			ok := false
			s.inspect("e12", func(c *core.Core) {
				ok = c.Board.Log.Loaded && c.Board.State.Spaces["orders"] != nil && c.Board.State.Domains["d3"].GetRev() == rev
			})
			return ok
		})
	})
}

var seenRevs sync.Map

func (s *site) noRevisionFell() {
	for id := range s.daemons {
		s.inspect(id, func(c *core.Core) {
			key := fmt.Sprintf("%p/%s", c, id)
			now := c.Board.State.Domains["d3"].GetRev()
			if was, ok := seenRevs.Load(key); ok {
				qt.Check(s.t, now >= was.(int64), qt.IsTrue)
			}
			seenRevs.Store(key, now)
		})
	}
}

func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.partition("e12", "log", true) // learns from peers
		time.Sleep(5 * time.Second)
		reply, err := s.turnDomain("e31", "d2", true, 0)
		qt.Assert(s.t, err, qt.IsNil)
		s.until(10*time.Second, "the change at every daemon", func() bool {
			n := 0
			for id := range s.daemons {
				s.inspect(id, func(c *core.Core) {
					if c.Board.State.Domains["d2"].GetRev() == reply.Domain.Rev {
						n++
					}
				})
			}
			return n == 6
		})
	})
}

func TestWholeFleetRestarts(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders", gpus(1, 8))
		s.mustSubmit("e11", "orders", "j", 8, time.Minute)
		s.until(10*time.Second, "the gang", func() bool { return s.running("j") == 2 })
		ids := []string{"e11", "e12", "e21", "e22", "e31", "e32"}
		for _, id := range ids {
			s.kill(id)
		}
		time.Sleep(2 * time.Second)
		for _, id := range ids {
			s.start(id, s.domain[id], 2)
		}
		s.untilPhase("e11", "j", wire.Phase_DONE, 2*time.Minute)
		qt.Assert(s.t, s.job("e11", "j").Attempt, qt.Equals, int32(1))
	})
}

// Operators set guarantees of different workspaces at the same time, at hosts
// that do not know of each other's change yet. Only guarantees that fit together
// may be accepted.
func TestRacingGuaranteesFitTogether(t *testing.T) {
	withSite(t, small, func(s *site) {
		won := make(chan error, 3)
		for _, at := range []string{"e11", "e21", "e31"} {
			go func() {
				_, err := s.get(at).Desk().SetSpace(s.t.Context(), &wire.SpaceAsk{Space: &wire.Space{
					Name: "of-" + at, Shapes: []*wire.Shape{gpus(2, 16)},
				}})
				won <- err
			}()
		}
		s.oneWins(3, won, ".*1 of 2 gangs of 16 tasks.*")
	})
}

// oneWins checks the answers to n concurrent changes: one succeeds and the others
// fail with the expected error.
func (s *site) oneWins(n int, won <-chan error, lost string) {
	s.t.Helper()
	wins := 0
	for range n {
		if err := <-won; err == nil {
			wins++
		} else {
			qt.Check(s.t, err, qt.ErrorMatches, lost)
		}
	}
	qt.Assert(s.t, wins, qt.Equals, 1)
}
