package elect_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// site is the election as one daemon of a site sees it, in virtual time.
type site struct {
	*elect.Elector
	now time.Time
}

func newSite(self fleet.HostID, power fleet.Millicores) *site {
	s := &site{elect.New(elect.Member{Host: self, Power: power}, start), start}
	s.SetMembers([]elect.Member{{"a", 1, 800, "x"}, {"b", 1, 800, "x"}, {"c", 1, 190, "x"}, {"d", 1, 190, "x"}, {"e", 1, 190, "x"}})
	return s
}

// until advances the time until there is a step other than Wait, or the span has
// passed. It calls each, if set, before every step.
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

func (s *site) beat(b *wire.Beat) { s.NoteBeat(b, s.now) }

func lead(host string, power int64) *wire.Beat {
	return &wire.Beat{Host: host, Addr: host, Term: 7, Power: power}
}

func (s *site) answers(hear, miss int) {
	for range hear {
		s.NoteAnswer(&wire.SightReply{Term: 7, Age: 100})
	}
	for range miss {
		s.NoteAnswer(&wire.SightReply{Term: 7, Age: 5000})
	}
}

// Load pattern: all daemons of a site of 300 start again at the same time. A claim reads
// all jobs, so a daemon must know its rank before it claims. When all of them claimed
// at once, the store needed seconds to send each of them all jobs.
func TestDaemonKnowsItsRankBeforeItClaims(t *testing.T) {
	s := &site{elect.New(elect.Member{Host: "c", Power: 190}, start), start}
	step, _ := s.until(10*time.Second, nil)
	qt.Assert(t, step, qt.Equals, elect.Wait)
	s.SetMembers([]elect.Member{{"a", 1, 800, "x"}, {"b", 1, 800, "x"}, {"c", 1, 190, "x"}})
	step, after := s.until(10*time.Second, nil)
	qt.Assert(t, step, qt.Equals, elect.Claim)
	qt.Assert(t, after >= 2*elect.ClaimStagger, qt.IsTrue, qt.Commentf("claimed after %s", after))
}

func TestTheStrongestClaimsFirst(t *testing.T) {
	_, first := newSite("a", 800).until(10*time.Second, nil)
	_, last := newSite("e", 190).until(10*time.Second, nil)
	qt.Assert(t, first < elect.ClaimStagger, qt.IsTrue)
	qt.Assert(t, last >= 4*elect.ClaimStagger, qt.IsTrue)
}

func TestSilentLeadIsReplacedIfMostMissIt(t *testing.T) {
	s := newSite("b", 800)
	s.beat(lead("a", 800))
	step, after := s.until(5*time.Second, nil)
	qt.Assert(t, step, qt.Equals, elect.Ask)
	qt.Assert(t, after > elect.LeadTimeout, qt.IsTrue)
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

// A daemon that is cut off from most others must not take the lead from them at once,
// but it must take it if they do not come back.
func TestIsolatedDaemonWaits(t *testing.T) {
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
	qt.Assert(t, s.now.Sub(begin) > elect.IsolatedDelay, qt.IsTrue)
}

// After an outage of the store for everybody, the lead continues. If the store answers
// others but not the lead, the lead is replaced.
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
			s.NoteProbe(false, s.now)
			step, _ = s.until(5*time.Second, func() { s.beat(b) })
			qt.Assert(t, step, qt.Equals, elect.Probe)
			s.NoteProbe(true, s.now)
			b.Blind = c.still
			step, _ = s.until(2*time.Second, func() { s.beat(b) })
			for step == elect.Probe {
				s.NoteProbe(true, s.now)
				step, _ = s.until(2*time.Second, func() { s.beat(b) })
			}
			qt.Assert(t, step, qt.Equals, c.want)
		})
	}
}

// Load pattern: the store turns the lead away and serves the others. The first of them claims the
// lead within half a second of the lead's word, once the store has answered it for 0.3 s.
func TestBlindLeadIsReplacedSoon(t *testing.T) {
	s := newSite("b", 800)
	b := lead("a", 800)
	b.Blind = true
	begin, answered := s.now, time.Time{}
	for s.now.Sub(begin) < 500*time.Millisecond {
		switch step, _ := s.until(10*time.Millisecond, func() { s.beat(b) }); step {
		case elect.Probe:
			s.NoteProbe(true, s.now)
			if answered.IsZero() {
				answered = s.now
			}
		case elect.Claim:
			qt.Assert(t, s.now.Sub(answered) >= elect.StoreProbeTime, qt.IsTrue)
			return
		}
	}
	t.Fatal("no claim within 0.5 s")
}

func TestWeakLeadGivesWayToAStrongDaemonOnly(t *testing.T) {
	strong, weak := newSite("b", 800), newSite("d", 190)
	step, after := strong.until(10*time.Second, func() { strong.beat(lead("c", 190)) })
	qt.Assert(t, step, qt.Equals, elect.Claim)
	qt.Assert(t, after >= elect.WeakLeadDelay, qt.IsTrue)
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
	qt.Assert(t, after <= elect.ClaimStagger, qt.IsTrue)
}

func TestOlderBeatsAreIgnored(t *testing.T) {
	s := newSite("b", 800)
	s.beat(lead("a", 800))
	old := lead("c", 190)
	old.Term = 6
	qt.Assert(t, s.NoteBeat(old, s.now), qt.IsFalse)
	qt.Assert(t, s.Lead().Host, qt.Equals, fleet.HostID("a"))
}

// After every process was killed and restarted, all daemons know the former lead's
// claim from the store. Nobody may count that as hearing the lead.
func TestColdStartDoesNotWaitForTheFormerLead(t *testing.T) {
	s := newSite("b", 800)
	step, _ := s.until(time.Second, nil)
	qt.Assert(t, step, qt.Equals, elect.Claim)
	s.NoteClaim(7, elect.Member{Host: "a", Inc: 1}, "a", s.now)
	step, after := s.until(5*time.Second, nil)
	qt.Assert(t, step, qt.Equals, elect.Ask)
	qt.Assert(t, after <= elect.ColdStartTimeout+20*time.Millisecond, qt.IsTrue, qt.Commentf("asked after %s", after))
	other := newSite("c", 190)
	other.NoteClaim(7, elect.Member{Host: "a", Inc: 1}, "a", s.now)
	for range 2 {
		s.NoteAnswer(other.Sight(s.now))
	}
	step, after = s.until(5*time.Second, nil)
	qt.Assert(t, step, qt.Equals, elect.Claim)
	qt.Assert(t, after < elect.AskTimeout, qt.IsTrue, qt.Commentf("claimed after %s", after))
}

// Once the lead's host runs a newer process, the peers need not be asked.
func TestLeadWhoseHostRestartedIsReplacedAtOnce(t *testing.T) {
	s := newSite("b", 800)
	b := lead("a", 800)
	b.Inc = 1
	s.beat(b)
	step, _ := s.until(100*time.Millisecond, nil)
	qt.Assert(t, step, qt.Equals, elect.Wait)
	s.SetMembers([]elect.Member{{"a", 2, 800, "x"}, {"b", 1, 800, "x"}, {"c", 1, 190, "x"}})
	step, after := s.until(time.Second, nil)
	qt.Assert(t, step, qt.Equals, elect.Claim)
	qt.Assert(t, after <= elect.ClaimStagger, qt.IsTrue)
}

// A daemon that has only read the lead's claim answers its peers that it does not
// hear the lead.
func TestClaimThatWasReadIsNoBeat(t *testing.T) {
	s := newSite("c", 190)
	s.NoteClaim(7, elect.Member{Host: "a", Inc: 1}, "a", s.now)
	qt.Assert(t, s.Sight(s.now).Age >= elect.LeadTimeout.Milliseconds(), qt.IsTrue)
	s.beat(lead("a", 800))
	qt.Assert(t, s.Sight(s.now).Age, qt.Equals, int64(0))
}

// 300 daemons start at the same time, and a third of them do not run. While there is
// no lead, the claims of the others must be spread out, and the first must come soon.
func TestDaemonsOfALargeSiteDoNotClaimAtOnce(t *testing.T) {
	var all []elect.Member
	for i := range 300 {
		domain := []string{"x", "y", "z"}[i/100]
		all = append(all, elect.Member{Host: fleet.HostID(fmt.Sprintf("%s-%03d", domain, i)), Power: 190, Domain: fleet.DomainID(domain)})
	}
	first, each := time.Hour, map[time.Duration]int{}
	for _, m := range all[100:] {
		s := &site{elect.New(elect.Member{Host: m.Host, Power: m.Power}, start), start}
		s.SetMembers(all)
		step, after := s.until(20*time.Second, nil)
		qt.Assert(t, step, qt.Equals, elect.Claim)
		first = min(first, after)
		each[after.Truncate(time.Second)]++
	}
	qt.Check(t, first <= elect.ClaimStagger+20*time.Millisecond, qt.IsTrue, qt.Commentf("the first claims after %s", first))
	for at, n := range each {
		qt.Check(t, n <= 25, qt.IsTrue, qt.Commentf("%d claim within the second from %s on", n, at))
	}
}

// On a large site only some of the peers are asked, and a majority of these decides.
func TestLargeSiteAsksSome(t *testing.T) {
	s := newSite("b", 800)
	var all []elect.Member
	for i := range 300 {
		all = append(all, elect.Member{Host: fleet.HostID(fmt.Sprint("h", i)), Power: 190})
	}
	s.SetMembers(all)
	s.beat(lead("a", 800))
	step, _ := s.until(5*time.Second, nil)
	qt.Assert(t, step, qt.Equals, elect.Ask)
	s.answers(0, elect.MaxAsked/2+1)
	step, _ = s.until(20*time.Second, nil)
	qt.Assert(t, step, qt.Equals, elect.Claim)
	qt.Assert(t, s.AskedMajority(elect.MaxAsked/2-1), qt.IsFalse)
}
