package elect_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// site is one daemon's part among others, in virtual time.
type site struct {
	*elect.Elect
	now time.Time
}

func newSite(self fleet.HostID, power fleet.Millicores) *site {
	s := &site{elect.New(elect.Member{Host: self, Power: power}, start), start}
	s.Members([]elect.Member{{"a", 800}, {"b", 800}, {"c", 190}, {"d", 190}, {"e", 190}})
	return s
}

// until lets time pass until the next step is not to wait.
func (s *site) until(span time.Duration, each func()) (elect.Step, time.Duration) {
	begin := s.now
	for s.now.Sub(begin) < span {
		s.now = s.now.Add(10 * time.Millisecond)
		if each != nil {
			each()
		}
		if step := s.Next(s.now); step != elect.Wait {
			return step, s.now.Sub(begin)
		}
	}
	return elect.Wait, span
}

func (s *site) beat(b *wire.Beat) { s.Beat(b, s.now) }

func lead(host string, power int64) *wire.Beat {
	return &wire.Beat{Host: host, Addr: host, Term: 7, Power: power}
}

func (s *site) answers(hear, miss int) {
	for range hear {
		s.Answer(&wire.SightReply{Term: 7, Age: 100})
	}
	for range miss {
		s.Answer(&wire.SightReply{Term: 7, Age: 5000})
	}
}

func TestTheStrongestClaimsFirst(t *testing.T) {
	_, first := newSite("a", 800).until(10*time.Second, nil)
	_, last := newSite("e", 190).until(10*time.Second, nil)
	qt.Assert(t, first < elect.RankSpan, qt.IsTrue)
	qt.Assert(t, last >= 4*elect.RankSpan, qt.IsTrue)
}

func TestSilentLeadIsReplacedIfMostMissIt(t *testing.T) {
	s := newSite("b", 800)
	s.beat(lead("a", 800))
	step, after := s.until(5*time.Second, nil)
	qt.Assert(t, step, qt.Equals, elect.Ask)
	qt.Assert(t, after > elect.SilentSpan, qt.IsTrue)
	s.answers(0, 2)
	step, _ = s.until(time.Second, nil)
	qt.Assert(t, step, qt.Equals, elect.Claim)
}

func TestLeadThatMostHearStays(t *testing.T) {
	s := newSite("b", 800)
	s.beat(lead("a", 800))
	s.until(5*time.Second, nil)
	s.answers(3, 1)
	step, _ := s.until(2*time.Second, nil)
	qt.Assert(t, step, qt.Equals, elect.Ask)
}

// A daemon that is cut off from most others must not take the lead from them,
// but it must take it when they are gone.
func TestLoneDaemonWaits(t *testing.T) {
	s := newSite("b", 800)
	s.beat(lead("a", 800))
	begin := s.now
	for {
		step, _ := s.until(10*time.Second, nil)
		if step == elect.Claim {
			break
		}
		qt.Assert(t, step, qt.Equals, elect.Ask)
	}
	qt.Assert(t, s.now.Sub(begin) > elect.LoneSpan, qt.IsTrue)
}

// After an outage of the store for all, its lead goes on. If the store answers
// others but not the lead, it is replaced.
func TestBlindLead(t *testing.T) {
	for _, c := range []struct {
		name  string
		still bool
		want  elect.Step
	}{{"all", false, elect.Wait}, {"alone", true, elect.Claim}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite("b", 800)
			b := lead("a", 800)
			b.Blind = true
			step, _ := s.until(5*time.Second, func() { s.beat(b) })
			qt.Assert(t, step, qt.Equals, elect.Probe)
			s.Probed(false, s.now)
			step, _ = s.until(5*time.Second, func() { s.beat(b) })
			qt.Assert(t, step, qt.Equals, elect.Probe)
			s.Probed(true, s.now)
			b.Blind = c.still
			step, _ = s.until(2*time.Second, func() { s.beat(b) })
			for step == elect.Probe {
				s.Probed(true, s.now)
				step, _ = s.until(2*time.Second, func() { s.beat(b) })
			}
			qt.Assert(t, step, qt.Equals, c.want)
		})
	}
}

func TestWeakLeadGivesWayToAStrongDaemonOnly(t *testing.T) {
	strong, weak := newSite("b", 800), newSite("d", 190)
	step, after := strong.until(10*time.Second, func() { strong.beat(lead("c", 190)) })
	qt.Assert(t, step, qt.Equals, elect.Claim)
	qt.Assert(t, after >= elect.WeakSpan, qt.IsTrue)
	step, _ = weak.until(10*time.Second, func() { weak.beat(lead("c", 190)) })
	qt.Assert(t, step, qt.Equals, elect.Wait)
}

func TestLeavingLeadIsReplacedAtOnce(t *testing.T) {
	s := newSite("b", 800)
	b := lead("a", 800)
	b.Leaving = true
	s.beat(b)
	step, after := s.until(time.Second, nil)
	qt.Assert(t, step, qt.Equals, elect.Claim)
	qt.Assert(t, after <= elect.RankSpan, qt.IsTrue)
}

func TestOlderBeatsAreIgnored(t *testing.T) {
	s := newSite("b", 800)
	s.beat(lead("a", 800))
	old := lead("c", 190)
	old.Term = 6
	qt.Assert(t, s.Beat(old, s.now), qt.IsFalse)
	qt.Assert(t, s.Lead().Host, qt.Equals, fleet.HostID("a"))
}
