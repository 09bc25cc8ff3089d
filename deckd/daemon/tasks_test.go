package daemon

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
	"dragonflydeck.example/standin/worker"
	qt "github.com/frankban/quicktest"
)

var small = plan{domains: 3, entries: 2, workers: 4, runners: 2, seats: 2}

func TestGangRunsWholeAndOnce(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders")
		s.mustSubmit("e21", "orders", "j", 8, 10*time.Second)
		s.untilPhase("e31", "j", wire.Phase_DONE, 20*time.Second)
		qt.Assert(s.t, s.job("e11", "j").Attempt, qt.Equals, int32(1))
	})
}

func TestJobThatCanNeverRunIsRefusedWithTheReason(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders")
		err := s.submit("e11", "orders", "j", 17, time.Minute)
		qt.Assert(s.t, err, qt.ErrorMatches, ".*can never run.*16 tasks fit at most, not 17.*")
	})
}

func TestGuaranteeThatDoesNotFitIsRefused(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders", gpus(2, 16))
		_, err := s.get("e21").Desk().SetSpace(s.t.Context(), &wire.SpaceAsk{Space: &wire.Space{Name: "camp", Shapes: []*wire.Shape{gpus(2, 16)}}})
		qt.Assert(s.t, err, qt.ErrorMatches, ".*1 of 2 gangs of 16 tasks.*")
	})
}

// All workers run gangs of other workspaces when the owner of a guarantee submits
// a job. Its gang must start in time.
func TestGuaranteeIsReclaimedInTime(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders", gpus(1, 8))
		s.setSpace("e11", "camp")
		for i := range 12 {
			s.mustSubmit("e11", "camp", fmt.Sprint("lent", i), 4, time.Hour)
		}
		s.until(20*time.Second, "a full site", func() bool { return s.allRunning("lent", 12) })
		s.reclaim("e31")
		s.untilPhase("e11", "owner", wire.Phase_DONE, 20*time.Second)
		s.until(30*time.Second, "the borrowing gangs again", func() bool { return s.allRunning("lent", 12) })
	})
}

// A checkpoint that never ends must not delay the owner of a guarantee.
func TestGuaranteeIsReclaimedFromWorkersThatSaveSlowly(t *testing.T) {
	withSite(t, plan{domains: 1, entries: 2, workers: 2}, func(s *site) {
		s.setSpace("e11", "orders", gpus(1, 8))
		s.setSpace("e11", "camp")
		s.mustSubmit("e11", "camp", "lent", 8, time.Hour)
		s.until(10*time.Second, "the borrowing gang", func() bool { return s.running("lent") == 2 })
		for _, w := range s.workers {
			w.On(worker.SlowSave, 0)
		}
		s.reclaim("e11")
	})
}

// reclaim submits the owner's gang and checks that it runs on two workers in time.
func (s *site) reclaim(at string) {
	s.t.Helper()
	s.mustSubmit(at, "orders", "owner", 8, 10*time.Second)
	took := s.until(10*time.Second, "the owner's gang", func() bool { return s.running("owner") == 2 })
	qt.Assert(s.t, took <= 6700*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", took))
}

func (s *site) allRunning(prefix string, n int) bool {
	for i := range n {
		if s.running(fmt.Sprint(prefix, i)) == 0 {
			return false
		}
	}
	return true
}

func TestDomainOutMovesItsGangsAndStartsNothing(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders")
		s.submitAll("e11", 8, 4, time.Minute)
		s.until(10*time.Second, "all gangs", func() bool { return s.allRunning("j", 8) })
		reply, err := s.turnDomain("e31", "d1", true, 0)
		qt.Assert(s.t, err, qt.IsNil)
		qt.Assert(s.t, reply.Kept, qt.IsTrue)
		at := time.Now()
		s.until(time.Minute, "all gangs elsewhere", func() bool { return s.allRunning("j", 8) && s.startsAfter("d1", at) == 0 && s.tasksIn("d1") == 0 })
		s.mustSubmit("e11", "orders", "later", 4, time.Second)
		time.Sleep(30 * time.Second)
		qt.Assert(s.t, s.startsAfter("d1", at.Add(3*time.Second)), qt.Equals, 0)
		_, err = s.turnDomain("e21", "d1", false, reply.Domain.Rev)
		qt.Assert(s.t, err, qt.IsNil)
		s.mustSubmit("e11", "orders", "again", 16, time.Second)
		s.untilPhase("e11", "again", wire.Phase_DONE, 30*time.Second)
	})
}

// startsAfter counts the parts that started in a domain after the given time.
func (s *site) startsAfter(domain string, at time.Time) int {
	n := 0
	for id, w := range s.workers {
		for _, st := range w.Stints() {
			if s.domain[id] == domain && st.From.After(at) {
				n++
			}
		}
	}
	return n
}

func (s *site) tasksIn(domain string) int {
	n := 0
	for id, w := range s.workers {
		for _, st := range w.Stints() {
			if s.domain[id] == domain && st.To.IsZero() {
				n++
			}
		}
	}
	return n
}

func TestFinishLetsGangsEnd(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders")
		s.mustSubmit("e11", "orders", "j", 4, 30*time.Second)
		s.until(10*time.Second, "the gang", func() bool { return s.running("j") > 0 })
		home := s.job("e11", "j").Home
		_, err := s.get("e11").Desk().TurnDomain(s.t.Context(), &wire.TurnAsk{Name: home, Out: true, Drain: wire.Drain_FINISH})
		qt.Assert(s.t, err, qt.IsNil)
		s.untilPhase("e11", "j", wire.Phase_DONE, time.Minute)
		qt.Assert(s.t, s.job("e11", "j").Home, qt.Equals, home)
	})
}

func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	withSite(t, plan{domains: 1, entries: 2, workers: 4}, func(s *site) {
		s.setSpace("e11", "orders")
		s.workers["w11"].On(worker.FailAll, 0)
		s.submitAll("e11", 12, 1, 20*time.Second)
		s.untilAll("e11", 12, wire.Phase_DONE, 2*time.Minute)
		qt.Assert(s.t, s.countEvents(s.leadOf("e11", "d1"), event.WorkerAside, "w11") > 0, qt.IsTrue)
		for _, id := range []string{"w12", "w13", "w14"} {
			qt.Check(s.t, s.countEvents(s.leadOf("e11", "d1"), event.WorkerAside, id), qt.Equals, 0, qt.Commentf(id))
		}
	})
}

// countEvents counts the events of a kind about a name that a daemon recorded.
func (s *site) countEvents(at string, code event.Code, about string) int {
	n := 0
	s.inspect(at, func(c *core.Core) {
		for _, e := range c.Board.Recent.Events(about) {
			if e.Code == code {
				n++
			}
		}
	})
	return n
}

func TestJobThatFailsEverywhereIsParked(t *testing.T) {
	withSite(t, plan{domains: 1, entries: 2, workers: 4}, func(s *site) {
		s.setSpace("e11", "orders")
		for _, w := range s.workers {
			w.On(worker.FailAll, 25*time.Second)
		}
		s.mustSubmit("e11", "orders", "bad", 1, 20*time.Second)
		s.untilPhase("e11", "bad", wire.Phase_PARKED, time.Minute)
		time.Sleep(30 * time.Second)
		s.mustSubmit("e11", "orders", "good", 4, 20*time.Second)
		s.untilPhase("e11", "good", wire.Phase_DONE, time.Minute)
	})
}

// A job crashes each worker that starts it. It is parked, and a job that runs beside it is
// done.
func TestJobThatCrashesItsWorkersIsParked(t *testing.T) {
	withSite(t, plan{domains: 1, entries: 2, workers: 6}, func(s *site) {
		s.setSpace("e11", "orders")
		for _, w := range s.workers {
			w.Crashes = func(job string) bool { return job == "deadly" }
		}
		s.mustSubmit("e11", "orders", "sound", 2, 20*time.Second)
		s.mustSubmit("e11", "orders", "deadly", 4, 20*time.Second)
		s.untilPhase("e11", "deadly", wire.Phase_PARKED, time.Minute)
		qt.Check(s.t, s.job("e11", "deadly").Attempt <= 5, qt.IsTrue, qt.Commentf("%d attempts", s.job("e11", "deadly").Attempt))
		s.untilPhase("e11", "sound", wire.Phase_DONE, 2*time.Minute)
	})
}

func TestGangThatCannotStartWholeIsUndone(t *testing.T) {
	withSite(t, plan{domains: 1, entries: 2, workers: 4}, func(s *site) {
		s.setSpace("e11", "orders")
		s.workers["w12"].On(worker.NoStart, 10*time.Second)
		s.mustSubmit("e11", "orders", "j", 16, 20*time.Second)
		s.untilPhase("e11", "j", wire.Phase_DONE, 2*time.Minute)
		qt.Assert(s.t, s.job("e11", "j").Attempt > 1, qt.IsTrue)
	})
}

func TestLostWorkerRequeuesItsGangs(t *testing.T) {
	withSite(t, plan{domains: 1, entries: 2, workers: 4}, func(s *site) {
		s.setSpace("e11", "orders")
		s.mustSubmit("e11", "orders", "j", 8, time.Minute)
		s.until(10*time.Second, "the gang", func() bool { return s.running("j") == 2 })
		dead := s.job("e11", "j").Parts[0].Worker
		s.partition("e1", dead, true)
		s.until(45*time.Second, "the second attempt", func() bool { return s.job("e11", "j").GetAttempt() == 2 })
		s.untilPhase("e11", "j", wire.Phase_DONE, 3*time.Minute)
	})
}

func TestLeavingWorkerIsDrained(t *testing.T) {
	withSite(t, plan{domains: 1, entries: 2, workers: 4}, func(s *site) {
		s.setSpace("e11", "orders")
		s.mustSubmit("e11", "orders", "j", 4, time.Minute)
		s.until(10*time.Second, "the gang", func() bool { return s.running("j") == 1 })
		leaves := s.job("e11", "j").Parts[0].Worker
		s.list.Leave(leaves, true)
		s.until(15*time.Second, "the gang elsewhere", func() bool {
			j := s.job("e11", "j")
			return j.Attempt == 2 && s.running("j") == 1 && j.Parts[0].Worker != leaves
		})
		qt.Assert(s.t, s.job("e11", "j").Spent > 0, qt.IsTrue)
	})
}

func TestCancelWaveCostsNothingElse(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders")
		s.submitAll("e11", 60, 4, time.Hour)
		time.Sleep(5 * time.Second)
		for i := range 60 {
			_, err := s.get("e21").Desk().Cancel(s.t.Context(), &wire.CancelAsk{Job: fmt.Sprint("j", i)})
			qt.Assert(s.t, err, qt.IsNil)
		}
		s.untilAll("e31", 60, wire.Phase_CANCELLED, 20*time.Second)
		s.mustSubmit("e11", "orders", "after", 16, time.Second)
		s.untilPhase("e11", "after", wire.Phase_DONE, 20*time.Second)
	})
}

func TestLostDomainGivesItsJobsToOthers(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders")
		s.mustSubmit("e11", "orders", "j", 4, time.Minute)
		s.until(10*time.Second, "the gang", func() bool { return s.running("j") == 1 })
		home := s.job("e11", "j").Home
		n := home[1:]
		s.kill("e" + n + "1")
		s.kill("e" + n + "2")
		for id, d := range s.domain {
			if d == home && id[0] == 'w' {
				s.workers[id].Restart() // as after a power failure
			}
		}
		other := hostElsewhere(home)
		_, err := s.get(other).Desk().TurnDomain(s.t.Context(), &wire.TurnAsk{Name: home, Out: true, Drain: wire.Drain_LOST})
		qt.Assert(s.t, err, qt.IsNil)
		s.untilPhase(other, "j", wire.Phase_DONE, 2*time.Minute)
	})
}

// A guarantee whose failure domain is taken out must move to another one, even if
// all workers there run gangs of other workspaces.
func TestGuaranteeSurvivesItsDomain(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders", gpus(1, 8))
		s.setSpace("e11", "camp")
		home := ""
		s.inspect("e11", func(c *core.Core) { home = c.Board.State.Spaces["orders"].Homes[0].Domain })
		_, err := s.turnDomain("e31", home, true, 0)
		qt.Assert(s.t, err, qt.IsNil)
		for i := range 8 {
			s.mustSubmit("e11", "camp", fmt.Sprint("lent", i), 4, time.Hour)
		}
		s.until(30*time.Second, "a full site", func() bool { return s.allRunning("lent", 8) })
		s.reclaim("e31")
		qt.Assert(s.t, s.job("e31", "owner").Home != home, qt.IsTrue)
	})
}

// Two domains are out, so only one of two guaranteed gangs fits. The other
// guarantee must hold again when its domain is back.
func TestGuaranteeThatFitsNowhereIsReportedAndComesBack(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders", gpus(2, 16))
		rev := map[string]int64{}
		for _, d := range []string{"d1", "d2"} {
			r, err := s.turnDomain("e31", d, true, 0)
			qt.Assert(s.t, err, qt.IsNil)
			rev[d] = r.Domain.Rev
		}
		time.Sleep(10 * time.Second)
		s.mustSubmit("e31", "orders", "a", 16, 20*time.Second)
		s.untilPhase("e31", "a", wire.Phase_DONE, time.Minute)
		for _, d := range []string{"d1", "d2"} {
			_, err := s.turnDomain("e31", d, false, rev[d])
			qt.Assert(s.t, err, qt.IsNil)
		}
		time.Sleep(5 * time.Second)
		s.mustSubmit("e31", "orders", "b", 16, 20*time.Second)
		s.mustSubmit("e31", "orders", "c", 16, 20*time.Second)
		took := s.until(10*time.Second, "both guaranteed gangs", func() bool { return s.running("b") == 4 && s.running("c") == 4 })
		qt.Assert(s.t, took <= 6700*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", took))
	})
}
