// Package elect decides when a daemon should claim to lead its site. The claim
// itself is an append to the store on the condition that nobody else claimed;
// this package only keeps daemons from claiming without need.
package elect

import (
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Spans of the election.
const (
	BeatSpan   = 150 * time.Millisecond  // between two beats of a lead
	SilentSpan = 900 * time.Millisecond  // six beats; datagrams are lost at times
	BlindSpan  = 1200 * time.Millisecond // a lead that the store does not answer so long is replaced
	AskSpan    = 300 * time.Millisecond  // for peers to say whether they hear the lead
	RankSpan   = 120 * time.Millisecond  // between the claims of two daemons, so that one is first
	LoneSpan   = 6 * time.Second         // a daemon that reaches no majority waits so long: cuts are mostly shorter
	RestSpan   = 400 * time.Millisecond  // after a claim that failed
)

// Lead is what a daemon believes about the lead of its site.
type Lead struct {
	Host  fleet.HostID
	Addr  string
	Term  fleet.Term
	Heard time.Time // its last beat

	Blind   time.Time // since when it says that the store does not answer it
	Leaving bool
}

// Elect is one daemon's part in the election.
type Elect struct {
	self    fleet.HostID
	lead    Lead
	members []fleet.HostID

	lost   time.Time // when the lead was first missed
	asked  time.Time // when the peers were asked
	rest   time.Time // no claim before
	hear   int       // peers that hear the lead
	miss   int       // peers that do not
	agreed bool
}

// New returns a daemon's part. The daemon listens for a lead before it claims,
// unless there was never one.
func New(self fleet.HostID, now time.Time) *Elect {
	return &Elect{self: self, lead: Lead{Heard: now}}
}

// Lead returns what is believed about the lead.
func (e *Elect) Lead() Lead { return e.lead }

// Members sets the daemons of the site.
func (e *Elect) Members(ids []fleet.HostID) {
	e.members = ids
	slices.Sort(e.members)
}

// Claimed notes a claim that the store has taken.
func (e *Elect) Claimed(term fleet.Term, host fleet.HostID, addr string, now time.Time) {
	if term <= e.lead.Term {
		return
	}
	e.lead = Lead{Host: host, Addr: addr, Term: term, Heard: now}
	e.calm()
}

// Beat notes a beat. It reports whether the beat is of the newest term known.
func (e *Elect) Beat(b *wire.Beat, now time.Time) bool {
	term := fleet.Term(b.Term)
	if term < e.lead.Term {
		return false
	}
	blind := e.lead.Blind
	switch {
	case !b.Blind:
		blind = time.Time{}
	case blind.IsZero() || term > e.lead.Term:
		blind = now
	}
	e.lead = Lead{
		Host: fleet.HostID(b.Host), Addr: b.Addr, Term: term, Heard: now,
		Blind: blind, Leaving: b.Leaving,
	}
	if !e.Missed(now) {
		e.calm()
	}
	return true
}

func (e *Elect) calm() {
	e.lost, e.asked, e.hear, e.miss, e.agreed = time.Time{}, time.Time{}, 0, 0, false
}

// Missed reports whether the lead is of no use any more.
func (e *Elect) Missed(now time.Time) bool {
	l := e.lead
	return l.Term == 0 || l.Leaving || e.silent(now) ||
		!l.Blind.IsZero() && now.Sub(l.Blind) > BlindSpan
}

func (e *Elect) silent(now time.Time) bool { return now.Sub(e.lead.Heard) > SilentSpan }

// Answer notes a peer's answer to the question whether it hears the lead.
func (e *Elect) Answer(s *wire.SightReply) {
	if e.asked.IsZero() {
		return
	}
	heard := s.Term > int64(e.lead.Term) ||
		s.Term == int64(e.lead.Term) && time.Duration(s.Age)*time.Millisecond < SilentSpan
	if heard {
		e.hear++
		return
	}
	e.miss++
}

// Step is what a daemon does next about the lead.
type Step int

// The steps of a daemon.
const (
	Wait  Step = iota
	Ask        // ask the peers whether they hear the lead
	Claim      // append a claim
)

// Next returns the next step. Blind tells that the store does not answer this
// daemon, which then cannot claim.
func (e *Elect) Next(now time.Time, blind bool) Step {
	if blind || !e.Missed(now) || now.Before(e.rest) {
		return Wait
	}
	if e.lost.IsZero() {
		e.lost = now
	}
	if e.agreed || !e.doubted(now) {
		if now.Sub(e.lost) < e.delay() {
			return Wait
		}
		e.rest = now.Add(RestSpan)
		return Claim
	}
	if e.asked.IsZero() {
		e.asked, e.hear, e.miss = now, 0, 0
		return Ask
	}
	if now.Sub(e.asked) < AskSpan && e.hear+e.miss < len(e.members)-1 {
		return Wait
	}
	e.agreed = e.hear <= e.miss && (e.majority() || now.Sub(e.lost) >= LoneSpan)
	e.asked = time.Time{}
	if !e.agreed {
		e.rest = now.Add(RestSpan)
	}
	return Wait
}

// majority reports whether more than half of the daemons, this one among them,
// have answered.
func (e *Elect) majority() bool { return 2*(e.hear+e.miss+1) > len(e.members) }

// doubted reports whether the lead may be well and only this daemon cut off.
func (e *Elect) doubted(now time.Time) bool {
	l := e.lead
	return l.Term != 0 && !l.Leaving && e.silent(now)
}

// delay spreads the claims of daemons that miss the lead at the same time.
func (e *Elect) delay() time.Duration {
	rank := 0
	for _, m := range e.members {
		if m == e.self {
			break
		}
		if m != e.lead.Host {
			rank++
		}
	}
	return time.Duration(rank) * RankSpan
}
