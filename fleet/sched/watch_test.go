package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/voter"
	qt "github.com/frankban/quicktest"
)

// site is the daemons of a site whose hosts are replaced one after the other.
type site struct {
	alive []fleet.HostID
	left  []voter.Process
	born  int
}

func newSite(n int) *site {
	s := &site{}
	for range n {
		s.add()
	}
	return s
}

func (s *site) add() {
	s.born++
	s.alive = append(s.alive, fleet.HostID(fmt.Sprint("e", s.born)))
}

// replace replaces the daemon that has been there for longest. It leaves with or without a word.
func (s *site) replace(w *world, word bool) {
	s.add()
	s.tell(w)
	old := s.alive[0]
	s.alive = s.alive[1:]
	if old == w.host {
		w.becomeOther(s)
	}
	if word {
		s.left = append(s.left, voter.Process{Host: old, Inc: w.inc})
	} else {
		s.silence(w, old)
	}
	s.tell(w)
}

// tell delivers which daemons are present.
func (s *site) tell(w *world) {
	s.deliver(w, slices.DeleteFunc(slices.Clone(s.alive), func(h fleet.HostID) bool {
		return slices.ContainsFunc(w.lost, func(p voter.Process) bool { return p.Host == h })
	}))
}

// silence makes a daemon that is present not answer until the lead marks it as lost.
func (s *site) silence(w *world, host fleet.HostID) {
	s.deliver(w, append(slices.Clone(s.alive), host))
	w.runUntil(time.Minute, "mark", func() bool { return slices.Contains(w.lost, voter.Process{Host: host}) })
}

// deliver delivers the daemons that are taken for present. Those that are alive answer.
func (s *site) deliver(w *world, present []fleet.HostID) {
	var all []elect.Member
	for _, h := range present {
		all = append(all, elect.Member{Host: h})
	}
	w.peers = slices.DeleteFunc(slices.Clone(s.alive), func(h fleet.HostID) bool { return h == w.host })
	w.peerAnswers = len(w.peers)
	w.post(sched.Members{All: all, Left: s.left})
}

// becomeOther makes the newest daemon take the lead.
func (w *world) becomeOther(s *site) {
	w.host = s.alive[len(s.alive)-1]
	w.restartDaemon()
	s.tell(w)
	w.becomeLead()
}

// Guards against tasks that never start again once every host of a site was replaced (review/8): those that
// are gone were counted for a majority that no new lead could prevent any more. Hosts leave with a word or
// without one, which the lead notices.
func TestLostTasksStartAgainOnceEveryHostWasReplaced(t *testing.T) {
	for _, c := range []struct {
		name string
		word func(i int) bool
	}{
		{"all-say-that-they-leave", func(int) bool { return true }},
		{"none-says-a-word", func(int) bool { return false }},
		{"every-other-one", func(i int) bool { return i%2 == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 1, 3)
			s := newSite(3)
			s.tell(w)
			w.becomeLead()
			for i := range 12 {
				s.replace(w, c.word(i))
				w.run(time.Second)
			}
			id := fleet.JobID("replaced-" + c.name)
			runTimes[id] = time.Hour
			w.submitAccepted(newFlow(string(id), "bulk", taskStep(1, 8, time.Hour)))
			w.runUntil(time.Second, "start", func() bool { return w.startCount(id) == 1 })
			one, _ := w.onlyRun()
			one.crash(w.now)
			one.cutOff = true
			before := w.eventCount(event.LeadSettled)
			old := w.host
			s.alive = slices.DeleteFunc(s.alive, func(h fleet.HostID) bool { return h == old })
			w.becomeOther(s)
			w.runUntil(lossTime, "second start", func() bool { return w.startCount(id) == 2 })
			qt.Check(t, w.eventCount(event.LeadSettled), qt.Equals, before+1)
		})
	}
}

// Any number of daemons may leave with a word while the store is away; a former lead that left is over.
func TestFormerLeadIsOverOnceItOrItsVotersHaveLeft(t *testing.T) {
	for _, c := range []struct {
		name    string
		left    []fleet.HostID
		settled bool
	}{
		{"one-voter", []fleet.HostID{"e3"}, true}, // the new lead is the other half
		{"none", nil, false},
		{"the-lead", []fleet.HostID{"e1"}, true},
		{"a-host-that-is-no-voter", []fleet.HostID{"e9"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, f := succeed(t, "left-"+c.name, 0, false)
			var left []voter.Process
			for _, h := range c.left {
				left = append(left, voter.Process{Host: h, Inc: 1})
			}
			w.post(sched.Members{All: []elect.Member{{Host: "e2"}}, Left: left})
			w.run(lossTime)
			if !c.settled {
				w.runFormerLead(time.Minute)
			}
			qt.Check(t, w.eventCount(event.LeadSettled) == 1, qt.Equals, c.settled)
			qt.Check(t, w.startCount(fleet.JobID(f.Id)) == 4, qt.Equals, c.settled)
		})
	}
}

// A process that has left is not the one that its host runs later.
func TestVoterThatReturnedHasNotLeft(t *testing.T) {
	w, _ := succeed(t, "returned", 0, false)
	w.post(sched.Members{All: fourMembers().All, Left: []voter.Process{{Host: "e3", Inc: -1}}})
	w.run(lossTime)
	qt.Check(t, w.eventCount(event.LeadSettled), qt.Equals, 0)
}

// A lead marks a daemon as lost only after a long silence, and none while it does not reach the store itself.
func TestSilentDaemonIsMarkedAsLost(t *testing.T) {
	w := newLeadOfFour(t, 1, 1)
	w.peers, w.peerAnswers = []fleet.HostID{"e2", "e4"}, 2
	w.run(12 * time.Second)
	qt.Check(t, w.lost, qt.HasLen, 0)
	w.run(10 * time.Second)
	qt.Assert(t, len(w.lost) > 0, qt.IsTrue)
	qt.Check(t, slices.Compact(w.lost), qt.DeepEquals, []voter.Process{{Host: "e3"}})
	qt.Check(t, w.eventCount(event.HostLost) > 0, qt.IsTrue)

	w.post(sched.Members{All: []elect.Member{{Host: "e1"}, {Host: "e2"}, {Host: "e4"}}})
	w.lost, w.store.down, w.peerAnswers = nil, true, 1
	w.run(time.Minute)
	qt.Check(t, w.lost, qt.HasLen, 0)
}

// A lead that was frozen takes nobody for lost: it has missed one round of answers.
func TestFrozenLeadMarksNobody(t *testing.T) {
	w := newLeadOfFour(t, 1, 1)
	w.run(5 * time.Second)
	w.now = w.now.Add(time.Minute)
	w.run(5 * time.Second)
	qt.Check(t, w.lost, qt.HasLen, 0)
}
