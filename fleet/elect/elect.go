// Package elect decides when a daemon should claim to lead its site. The claim
// itself is an append to the store on the condition that nobody else claimed;
// this package only keeps daemons from claiming without need.
package elect

import (
	"cmp"
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Spans of the election.
const (
	BeatSpan   = 150 * time.Millisecond // between two beats of a lead
	QuietSpan  = 400 * time.Millisecond // two beats may be lost before nothing is sent to a lead any more
	SilentSpan = 600 * time.Millisecond // four beats; datagrams are lost at times, and most peers must miss them
	ColdSpan   = 400 * time.Millisecond // a daemon that has just started hears a lead that lives within this
	BlindSpan  = 500 * time.Millisecond // a lead that the store does not answer so long may be replaced
	ProbeSpan  = 300 * time.Millisecond // the store has answered a daemon so long before it replaces a blind lead
	WeakSpan   = 3 * time.Second        // a daemon that could lead much better lets a lead stand so long
	AskSpan    = 300 * time.Millisecond // for peers to say whether they hear the lead
	RankSpan   = 120 * time.Millisecond // between the claims of two daemons, so that one is first
	LoneSpan   = 6 * time.Second        // a daemon that reaches no majority waits so long: cuts are mostly shorter
	RestSpan   = 400 * time.Millisecond // after a claim that failed
)

// neverHeard is the age that is told of a lead of which only the claim is known.
const neverHeard = time.Hour

// AskMost is how many peers are asked, drawn anew each time. On a large site all
// daemons ask at the same time, and an answer from everybody to everybody would cost
// more than the lead that is sought.
const AskMost = 15

const (
	weakFactor = 2                     // a lead with at most half of a daemon's power is replaced by it
	rankMost   = 12                    // daemons that claim RankSpan after each other
	tailSpan   = 40 * time.Millisecond // between the claims of those after them: each reads all jobs first
)

// Lead is what a daemon believes about the lead of its site.
type Lead struct {
	Host  fleet.HostID
	Addr  string
	Term  fleet.Term
	Inc   fleet.Incarnation // of its process
	Power fleet.Millicores
	Heard time.Time // its last beat, or when its claim was read
	Beats bool      // a beat of it was heard, not only its claim read

	Blind   time.Time // since when it says that the store does not answer it
	Alone   bool      // nor do most of its peers
	Leaving bool
}

// Member is a daemon of the site.
type Member struct {
	Host   fleet.HostID
	Inc    fleet.Incarnation // of its newest process
	Power  fleet.Millicores
	Domain fleet.DomainID
}

// want is why a site needs another lead.
type want int

const (
	content  want = iota
	never         // there was none yet
	replaced      // its host runs another process
	silent        // it is not heard
	leaving       // it says that it is being stopped
	blind         // the store does not answer it
	weak          // this daemon can carry the lead much better
)

// Elect is one daemon's part in the election.
type Elect struct {
	self    Member
	lead    Lead
	members []Member // the strongest first

	want    want
	since   time.Time // since when the site needs another lead for that reason
	asked   time.Time // when the peers or the store were asked
	rest    time.Time // no step before
	cold    bool      // the lead is known from a claim alone that was there before this daemon
	hear    int       // peers that hear the lead
	miss    int       // peers that do not
	agreed  bool      // most peers miss the lead too
	lone    bool      // neither the lead nor most peers answer
	reached time.Time // since when the store answers this daemon
}

// New returns a daemon's part. The daemon listens for a lead before it claims,
// unless there was never one.
func New(self Member, now time.Time) *Elect {
	return &Elect{self: self, lead: Lead{Heard: now}}
}

// Lead returns what is believed about the lead.
func (e *Elect) Lead() Lead { return e.lead }

// Members sets the daemons of the site. The strongest claim first, and those of one
// strength by failure domain in turn: the next one is not gone with the first.
func (e *Elect) Members(all []Member) {
	e.members = slices.Clone(all)
	slices.SortFunc(e.members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(a.Host, b.Host))
	})
	type class struct {
		power  fleet.Millicores
		domain fleet.DomainID
	}
	seen := map[class]int{}
	turn := map[fleet.HostID]int{}
	for _, m := range e.members {
		c := class{m.Power, m.Domain}
		turn[m.Host] = seen[c]
		seen[c]++
	}
	slices.SortStableFunc(e.members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(turn[a.Host], turn[b.Host]), cmp.Compare(a.Domain, b.Domain))
	})
}

// Claimed notes a claim that the store has taken.
func (e *Elect) Claimed(term fleet.Term, m Member, addr string, now time.Time) {
	if term <= e.lead.Term {
		return
	}
	e.cold = e.lead.Term == 0 && m.Host != e.self.Host
	e.lead = Lead{Host: m.Host, Addr: addr, Term: term, Inc: m.Inc, Power: e.powerOf(m.Host), Heard: now}
	e.calm()
}

func (e *Elect) powerOf(host fleet.HostID) fleet.Millicores {
	for _, m := range e.members {
		if m.Host == host {
			return m.Power
		}
	}
	return e.self.Power
}

// Beat notes a beat. It reports whether the beat is of the newest term known.
func (e *Elect) Beat(b *wire.Beat, now time.Time) bool {
	term := fleet.Term(b.Term)
	if term < e.lead.Term {
		return false
	}
	since := e.lead.Blind
	switch {
	case !b.Blind:
		since = time.Time{}
	case since.IsZero() || term > e.lead.Term:
		since = now
	}
	e.cold = false
	e.lead = Lead{
		Host: fleet.HostID(b.Host), Addr: b.Addr, Term: term, Inc: fleet.Incarnation(b.Inc),
		Power: fleet.Millicores(b.Power), Heard: now, Beats: true,
		Blind: since, Alone: b.Alone, Leaving: b.Leaving,
	}
	return true
}

// Fresh reports whether the lead was heard a moment ago, so that it may be
// expected to answer.
func (e *Elect) Fresh(now time.Time) bool {
	l := e.lead
	return l.Term > 0 && !l.Leaving && now.Sub(l.Heard) < QuietSpan
}

// Lone reports whether this daemon hears neither the lead nor most of its peers, or
// hears a lead that hears nobody else.
func (e *Elect) Lone() bool { return e.lone && e.want == silent || e.lead.Alone }

func (e *Elect) calm() {
	e.want, e.since, e.asked = content, time.Time{}, time.Time{}
	e.hear, e.miss, e.agreed, e.lone, e.reached = 0, 0, false, false, time.Time{}
}

// wanted returns why the site needs another lead.
func (e *Elect) wanted(now time.Time) want {
	l := e.lead
	switch {
	case l.Term == 0:
		return never
	case l.Leaving:
		return leaving
	case e.isReplaced():
		return replaced
	case now.Sub(l.Heard) > SilentSpan, e.cold && now.Sub(l.Heard) > ColdSpan:
		return silent
	case !l.Blind.IsZero() && now.Sub(l.Blind) > BlindSpan:
		return blind
	case l.Host != e.self.Host && weakFactor*l.Power <= e.self.Power:
		return weak
	}
	return content
}

// isReplaced reports whether the host of the lead runs another process than the
// one that claimed. It answers processes that are killed and restarted.
func (e *Elect) isReplaced() bool {
	for _, m := range e.members {
		if m.Host == e.lead.Host {
			return e.lead.Inc != 0 && m.Inc > e.lead.Inc
		}
	}
	return false
}

// Sight returns what this daemon tells its peers about the lead.
func (e *Elect) Sight(now time.Time) *wire.SightReply {
	l := e.lead
	r := &wire.SightReply{Term: int64(l.Term), Host: string(l.Host), Addr: l.Addr, Age: now.Sub(l.Heard).Milliseconds()}
	if !l.Beats {
		r.Age = neverHeard.Milliseconds()
	}
	return r
}

// Answer notes a peer's answer to the question whether it hears the lead.
func (e *Elect) Answer(s *wire.SightReply) {
	if e.asked.IsZero() || e.want != silent {
		return
	}
	heard := s.Term >= int64(e.lead.Term) && time.Duration(s.Age)*time.Millisecond < SilentSpan
	if heard {
		e.hear++
		return
	}
	e.miss++
}

// Probed notes whether the store answers this daemon.
func (e *Elect) Probed(ok bool, now time.Time) {
	switch {
	case !ok:
		e.reached = time.Time{}
	case e.reached.IsZero():
		e.reached = now
	}
	e.asked = time.Time{}
	e.rest = now.Add(RestSpan / 2)
}

// Step is what a daemon does next about the lead.
type Step int

// The steps of a daemon.
const (
	Wait  Step = iota
	Ask        // ask the peers whether they hear the lead
	Probe      // ask the store whether it answers this daemon
	Claim      // append a claim
)

// Next returns the next step.
func (e *Elect) Next(now time.Time) Step {
	w := e.wanted(now)
	if w != e.want {
		e.calm()
		e.want, e.since = w, now
	}
	if w == content || now.Before(e.rest) {
		return Wait
	}
	switch w {
	case silent:
		return e.nextSilent(now)
	case blind:
		return e.nextBlind(now)
	case weak:
		return e.claim(now, WeakSpan)
	}
	return e.claim(now, 0)
}

// claim claims after a span, and later the weaker the daemon is.
func (e *Elect) claim(now time.Time, span time.Duration) Step {
	if now.Sub(e.since) < span+e.delay() {
		return Wait
	}
	e.rest = now.Add(RestSpan)
	return Claim
}

// nextSilent asks the peers first: the lead may be well and only this daemon
// cut off.
func (e *Elect) nextSilent(now time.Time) Step {
	if e.agreed {
		return e.claim(now, 0)
	}
	if e.asked.IsZero() {
		e.asked, e.hear, e.miss = now, 0, 0
		return Ask
	}
	if now.Sub(e.asked) < AskSpan && e.hear+e.miss < e.panel()-1 && !e.missed() {
		return Wait
	}
	e.lone = !e.majority()
	e.agreed = e.hear <= e.miss && (e.majority() || now.Sub(e.since) >= LoneSpan)
	e.asked = time.Time{}
	if !e.agreed {
		e.rest = now.Add(RestSpan)
	}
	return Wait
}

// nextBlind claims only if the store answers this daemon and still not the
// lead: after an outage for all, the lead goes on.
func (e *Elect) nextBlind(now time.Time) Step {
	if !e.reached.IsZero() && now.Sub(e.reached) >= ProbeSpan {
		return e.claim(now, 0)
	}
	if !e.asked.IsZero() {
		return Wait
	}
	e.asked = now
	return Probe
}

// panel is how many daemons are asked, this one among them.
func (e *Elect) panel() int { return min(len(e.members), AskMost+1) }

// majority reports whether more than half of the daemons that were asked, this one
// among them, have answered.
func (e *Elect) majority() bool { return e.Most(e.hear + e.miss) }

// Most reports whether some peers and this daemon are more than half of those that
// are asked.
func (e *Elect) Most(peers int) bool { return 2*(peers+1) > e.panel() }

// Majority reports whether some peers and this daemon are more than half of all.
func (e *Elect) Majority(peers int) bool { return 2*(peers+1) > len(e.members) }

// missed reports whether more than half of the daemons, this one among them, miss
// the lead.
func (e *Elect) missed() bool { return e.Most(e.miss) }

// delay spreads the claims of daemons that miss the lead at the same time.
func (e *Elect) delay() time.Duration {
	rank := 0
	for _, m := range e.members {
		if m.Host == e.self.Host {
			break
		}
		if m.Host != e.lead.Host {
			rank++
		}
	}
	return time.Duration(min(rank, rankMost))*RankSpan + time.Duration(max(rank-rankMost, 0))*tailSpan
}
