package site

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/loop"
	"dragonflydeck.example/fleet/queue"
	"dragonflydeck.example/fleet/quota"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// newLeadingScheduler returns the scheduler of a daemon that has claimed the lead and has read a
// configuration with two workspaces.
func newLeadingScheduler(t *testing.T, self sched.Identity) *sched.Scheduler {
	t.Helper()
	config := queue.New(queue.Config{Version: 1, Spaces: []queue.Space{
		{Name: "orders", Limit: quota.Limit{Cap: fleet.Res{Accels: 16}, Weight: 2}}, {Name: "reports"},
	}})
	now := time.Now()
	sc := sched.New(self, sched.Limits{Lease: 6 * time.Second}, now)
	actions := sc.Step(now, []sched.Event{
		sched.Members{All: []elect.Member{{Host: self.Host, Inc: self.Inc}}},
		sched.ConfigChanged{Config: config, End: 1},
	})
	claims := slices.ContainsFunc(actions, func(a sched.Action) bool { _, ok := a.(sched.Claim); return ok })
	qt.Assert(t, claims, qt.IsTrue, qt.Commentf("a daemon without a lead claims it"))
	lead := &wire.Lead{Host: string(self.Host), Inc: int64(self.Inc), Addr: self.Addr, Epoch: 1}
	sc.Step(now, []sched.Event{sched.Claimed{Lead: lead, Term: 1, End: 1}})
	qt.Assert(t, sc.Leads(), qt.IsTrue)
	return sc
}

// newSiteWithLoop returns a daemon whose control loop owns a scheduler and is not running yet.
func newSiteWithLoop(sc *sched.Scheduler) *Site {
	s := &Site{operator: newOperatorRecords(nil)}
	s.view.Store(&leadView{leading: sc.Leads()})
	s.loop = loop.New(sc, nil, make(chan sched.Event), func([]sched.Event, bool) {})
	return s
}

var testSelf = sched.Identity{Host: "e-a-1", Addr: "127.0.0.1:7000", Inc: 1}

func TestMetricsOfTheLeadShowWorkspaces(t *testing.T) {
	s := newSiteWithLoop(newLeadingScheduler(t, testSelf))
	go s.loop.Run(t.Context())
	_, page := s.metrics()
	for _, line := range []string{
		`deckd_space_used{space="orders",resource="accels"} 0`, `deckd_space_cap{space="orders",resource="accels"} 16`,
		`deckd_space_used{space="reports",resource="memory"} 0`, `deckd_space_waiting_tasks{space="reports",why="room"} 0`,
	} {
		qt.Check(t, strings.Contains(page, line+"\n"), qt.IsTrue, qt.Commentf(line))
	}
	qt.Check(t, strings.Contains(page, `deckd_space_cap{space="reports"`), qt.IsFalse, qt.Commentf("a resource without a cap"))
}

// A loop that is busy, or that has ended, must not keep the page from being served: operators need
// it most then. The call to a busy loop is queued and would wait for as long as the loop is busy.
func TestMetricsAreServedWhileTheLoopIsBusy(t *testing.T) {
	s := newSiteWithLoop(newLeadingScheduler(t, testSelf))
	begun := time.Now()
	status, page := s.metrics()
	qt.Check(t, time.Since(begun) < 5*leadMetricsTimeout, qt.IsTrue, qt.Commentf("served after %s", time.Since(begun)))
	qt.Check(t, status, qt.Equals, http.StatusOK)
	qt.Check(t, strings.Contains(page, "deckd_lead 1\n"), qt.IsTrue)
	qt.Check(t, strings.Contains(page, "deckd_space_"), qt.IsFalse)
}

// Only the lead knows the use; zeros of another daemon would be added to it in sums.
func TestMetricsOfOtherDaemonsLeaveWorkspacesOut(t *testing.T) {
	s := newSiteWithLoop(sched.New(testSelf, sched.Limits{}, time.Now()))
	go s.loop.Run(t.Context())
	_, page := s.metrics()
	qt.Check(t, strings.Contains(page, "deckd_space_"), qt.IsFalse)
}

func TestSpaceMetricsOfAWorkspaceWithWork(t *testing.T) {
	var w strings.Builder
	writeSpaceUse(&w, &wire.SpaceUse{
		Name: "orders", Used: &wire.Res{Cores: 12_000, Mem: 16_384, Accels: 16}, Cap: &wire.Res{Accels: 16, Mem: 65_536},
		Share: 0.75, Capped: 3, Deferred: 2, Crowded: 1,
	})
	qt.Assert(t, w.String(), qt.Equals, `deckd_space_used{space="orders",resource="cores"} 12000
deckd_space_used{space="orders",resource="memory"} 16384
deckd_space_cap{space="orders",resource="memory"} 65536
deckd_space_used{space="orders",resource="accels"} 16
deckd_space_cap{space="orders",resource="accels"} 16
deckd_space_share{space="orders"} 0.75
deckd_space_waiting_tasks{space="orders",why="cap"} 3
deckd_space_waiting_tasks{space="orders",why="share"} 2
deckd_space_waiting_tasks{space="orders",why="room"} 1
`)
}
