// Package elect decides when a daemon should claim the lead of its site. The claim
// itself is an append to the store on the condition that nobody else has claimed.
// That makes the lead unique; this package only avoids needless claims.
package elect

import (
	"cmp"
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Timing of the election.
const (
	BeatInterval      = 150 * time.Millisecond // between two heartbeats of a lead
	ResponsiveTimeout = 400 * time.Millisecond // a lead that was not heard for this long gets no further calls; two heartbeats may be lost
	LeadTimeout       = 600 * time.Millisecond // without a heartbeat, the lead counts as silent; four heartbeats, as single datagrams get lost and a majority must miss the lead
	ColdStartTimeout  = 400 * time.Millisecond // a daemon that has just started hears a running lead within this
	BlindLeadDelay    = 100 * time.Millisecond // a lead that says for this long that the store does not answer it may be replaced; it tells its recovery at once
	StoreProbeTime    = 300 * time.Millisecond // the store must answer a daemon for this long before it replaces a blind lead
	WeakLeadDelay     = 3 * time.Second        // before a much more powerful daemon replaces a weak lead
	AskTimeout        = 300 * time.Millisecond // for peers to answer whether they hear the lead
	ClaimStagger      = 120 * time.Millisecond // between the claims of two daemons, so that one comes first
	IsolatedDelay     = 6 * time.Second        // before a daemon that reaches no majority claims; most partitions are shorter
	ClaimRetry        = 400 * time.Millisecond // after an attempt to claim that failed
)

// neverHeard is the reported age of the last heartbeat of a lead of which only the
// claim is known.
const neverHeard = time.Hour

// MaxAsked limits how many peers a daemon asks before it claims the lead. It asks a
// new random sample each time. On a large site all daemons ask at the same time,
// and asking every peer would cost more than the election is worth.
const MaxAsked = 15

const (
	weakFactor       = 2                     // a daemon replaces a lead that has at most half of its power
	maxStaggered     = 12                    // daemons whose claims are ClaimStagger apart
	lateClaimStagger = 40 * time.Millisecond // between the claims of the others; each has to read all jobs first
)

// Lead is what a daemon knows about the lead of its site.
type Lead struct {
	Host      fleet.HostID
	Addr      string
	Term      fleet.Term
	Inc       fleet.Incarnation // of the process that leads
	Power     fleet.Millicores
	LastHeard time.Time // when its last heartbeat arrived or its claim was read
	BeatHeard bool      // a heartbeat of it arrived, not only its claim was read

	Blind   time.Time // since when it reports that the store does not answer it
	Alone   bool      // it reports that most of its peers do not answer either
	Leaving bool
}

// Member is a daemon of the site.
type Member struct {
	Host   fleet.HostID
	Inc    fleet.Incarnation // of its newest process
	Power  fleet.Millicores
	Domain fleet.DomainID
}

// reason is why a site needs another lead.
type reason int

const (
	noReason  reason = iota
	noLead           // no lead is known: the site never had one, or this daemon has just started
	restarted        // the lead's host runs a newer process
	silent           // no heartbeats of the lead arrive
	leaving          // the lead reports that it is being stopped
	blind            // the store does not answer the lead
	weak             // this daemon is much more powerful than the lead
)

// Elector is the election as one daemon sees it.
type Elector struct {
	self    Member
	lead    Lead
	members []Member // in the order in which they claim

	reason     reason
	since      time.Time // since when the reason holds
	asked      time.Time // when the peers were asked or the store was probed; zero if neither is pending
	waitUntil  time.Time // no further step before then
	claimOnly  bool      // the lead is known only from a claim that is older than this daemon
	hearing    int       // number of asked peers that hear the lead
	missing    int       // number of asked peers that do not
	agreed     bool      // the peers' answers, or the lack of them, allow a claim
	isolated   bool      // most of the asked peers did not answer
	storeSince time.Time // since when the store has answered this daemon; zero if it does not
}

// New returns the election for a daemon that has just started. It does not claim before
// the members of the site are known, as its rank among them decides when.
func New(self Member, now time.Time) *Elector {
	return &Elector{self: self, lead: Lead{LastHeard: now}}
}

// Lead returns what is known about the lead.
func (e *Elector) Lead() Lead { return e.lead }

// SetMembers sets the daemons of the site. The most powerful ones claim first. Those of
// equal power alternate between failure domains, so that the loss of one domain does
// not take the next candidates, too.
func (e *Elector) SetMembers(all []Member) {
	e.members = slices.Clone(all)
	slices.SortFunc(e.members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(a.Host, b.Host))
	})
	type class struct {
		power  fleet.Millicores
		domain fleet.DomainID
	}
	seen := map[class]int{}
	position := map[fleet.HostID]int{} // among the daemons of equal power in its domain
	for _, m := range e.members {
		c := class{m.Power, m.Domain}
		position[m.Host] = seen[c]
		seen[c]++
	}
	slices.SortStableFunc(e.members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(position[a.Host], position[b.Host]), cmp.Compare(a.Domain, b.Domain))
	})
}

// NoteClaim records a claim that is in the store.
func (e *Elector) NoteClaim(term fleet.Term, m Member, addr string, now time.Time) {
	if term <= e.lead.Term {
		return
	}
	e.claimOnly = e.lead.Term == 0 && m.Host != e.self.Host
	e.lead = Lead{Host: m.Host, Addr: addr, Term: term, Inc: m.Inc, Power: e.powerOf(m.Host), LastHeard: now}
	e.reset()
}

// Members returns the daemons of the site in the order in which they claim.
func (e *Elector) Members() []Member { return e.members }

func (e *Elector) powerOf(host fleet.HostID) fleet.Millicores {
	for _, m := range e.members {
		if m.Host == host {
			return m.Power
		}
	}
	return e.self.Power
}

// NoteBeat records a heartbeat. It reports false for one of an older term, which is
// ignored.
func (e *Elector) NoteBeat(b *wire.Beat, now time.Time) bool {
	term := fleet.Term(b.Term)
	if term < e.lead.Term {
		return false
	}
	blindSince := e.lead.Blind
	switch {
	case !b.Blind:
		blindSince = time.Time{}
	case blindSince.IsZero() || term > e.lead.Term:
		blindSince = now
	}
	e.claimOnly = false
	e.lead = Lead{
		Host: fleet.HostID(b.Host), Addr: b.Addr, Term: term, Inc: fleet.Incarnation(b.Inc),
		Power: fleet.Millicores(b.Power), LastHeard: now, BeatHeard: true,
		Blind: blindSince, Alone: b.Alone, Leaving: b.Leaving,
	}
	return true
}

// LeadResponsive reports whether the lead was heard recently enough to expect that it
// answers.
func (e *Elector) LeadResponsive(now time.Time) bool {
	l := e.lead
	return l.Term > 0 && !l.Leaving && now.Sub(l.LastHeard) < ResponsiveTimeout
}

// Isolated reports whether this daemon hears neither the lead nor most of its peers, or
// the lead reports that it is cut off itself.
func (e *Elector) Isolated() bool { return e.isolated && e.reason == silent || e.lead.Alone }

func (e *Elector) reset() {
	e.reason, e.since, e.asked = noReason, time.Time{}, time.Time{}
	e.hearing, e.missing, e.agreed, e.isolated, e.storeSince = 0, 0, false, false, time.Time{}
}

// claimReason returns why the site needs another lead, if it does.
func (e *Elector) claimReason(now time.Time) reason {
	l := e.lead
	switch {
	case l.Term == 0:
		return noLead
	case l.Leaving:
		return leaving
	case e.hasRestarted():
		return restarted
	case now.Sub(l.LastHeard) > LeadTimeout, e.claimOnly && now.Sub(l.LastHeard) > ColdStartTimeout:
		return silent
	case !l.Blind.IsZero() && now.Sub(l.Blind) > BlindLeadDelay:
		return blind
	case l.Host != e.self.Host && weakFactor*l.Power <= e.self.Power:
		return weak
	}
	return noReason
}

// hasRestarted reports whether the lead's host runs a newer process than the one
// that claimed, as after a kill and restart.
func (e *Elector) hasRestarted() bool {
	for _, m := range e.members {
		if m.Host == e.lead.Host {
			return e.lead.Inc != 0 && m.Inc > e.lead.Inc
		}
	}
	return false
}

// Sight returns this daemon's answer to peers that ask whether it hears the lead.
func (e *Elector) Sight(now time.Time) *wire.SightReply {
	l := e.lead
	r := &wire.SightReply{Term: int64(l.Term), Host: string(l.Host), Addr: l.Addr, Age: now.Sub(l.LastHeard).Milliseconds(), Inc: int64(e.self.Inc)}
	if !l.BeatHeard {
		r.Age = neverHeard.Milliseconds()
	}
	return r
}

// NoteAnswer counts a peer's answer to the question whether it hears the lead.
func (e *Elector) NoteAnswer(s *wire.SightReply) {
	if e.asked.IsZero() || e.reason != silent {
		return
	}
	heard := s.Term >= int64(e.lead.Term) && time.Duration(s.Age)*time.Millisecond < LeadTimeout
	if heard {
		e.hearing++
		return
	}
	e.missing++
}

// NoteProbe records whether the store answered this daemon's probe.
func (e *Elector) NoteProbe(ok bool, now time.Time) {
	switch {
	case !ok:
		e.storeSince = time.Time{}
	case e.storeSince.IsZero():
		e.storeSince = now
	}
	e.asked = time.Time{}
	e.waitUntil = now.Add(e.probeWait(now))
}

// probeWait returns the time until the next look at the store, or until a claim if the store
// answers until then.
func (e *Elector) probeWait(now time.Time) time.Duration {
	wait := ClaimRetry / 2
	if e.storeSince.IsZero() {
		return wait
	}
	return min(wait, max(StoreProbeTime-now.Sub(e.storeSince), 0))
}

// Step is what a daemon is to do next.
type Step int

// The steps of an election.
const (
	Wait  Step = iota
	Ask        // ask the peers whether they hear the lead
	Probe      // check whether the store answers this daemon
	Claim      // append a claim to the store
)

// Next returns the next step.
func (e *Elector) Next(now time.Time) Step {
	if len(e.members) == 0 {
		return Wait
	}
	r := e.claimReason(now)
	if r != e.reason {
		e.reset()
		e.reason, e.since = r, now
	}
	if r == noReason || now.Before(e.waitUntil) {
		return Wait
	}
	switch r {
	case silent:
		return e.nextSilent(now)
	case blind:
		return e.nextBlind(now)
	case weak:
		return e.claim(now, WeakLeadDelay)
	}
	return e.claim(now, 0)
}

// claim returns Claim once the reason has held for minDelay and this daemon's own delay.
func (e *Elector) claim(now time.Time, minDelay time.Duration) Step {
	if now.Sub(e.since) < minDelay+e.claimDelay() {
		return Wait
	}
	e.waitUntil = now.Add(ClaimRetry)
	return Claim
}

// nextSilent asks the peers first, as the lead may be healthy and only this daemon
// cut off.
func (e *Elector) nextSilent(now time.Time) Step {
	if e.agreed {
		return e.claim(now, 0)
	}
	if e.asked.IsZero() {
		e.asked, e.hearing, e.missing = now, 0, 0
		return Ask
	}
	if now.Sub(e.asked) < AskTimeout && !e.allAsked(e.hearing+e.missing) && !e.majorityMisses() {
		return Wait
	}
	e.isolated = !e.majority()
	e.agreed = e.hearing <= e.missing && (e.majority() || now.Sub(e.since) >= IsolatedDelay)
	e.asked = time.Time{}
	if !e.agreed {
		e.waitUntil = now.Add(ClaimRetry)
	}
	return Wait
}

// nextBlind claims only if the store answers this daemon but still not the lead.
// After an outage of the store for everybody, the lead continues.
func (e *Elector) nextBlind(now time.Time) Step {
	if !e.storeSince.IsZero() && now.Sub(e.storeSince) >= StoreProbeTime {
		return e.claim(now, 0)
	}
	if !e.asked.IsZero() {
		return Wait
	}
	e.asked = now
	return Probe
}

// askedCount returns how many daemons decide whether the lead is missing, this one
// included.
func (e *Elector) askedCount() int { return min(len(e.members), MaxAsked+1) }

// majority reports whether more than half of the daemons that were asked, this one
// included, have answered.
func (e *Elector) majority() bool { return e.AskedMajority(e.hearing + e.missing) }

// AskedMajority reports whether this number of peers and this daemon are more than
// half of the daemons that are asked.
func (e *Elector) AskedMajority(peers int) bool { return 2*(peers+1) > e.askedCount() }

// allAsked reports whether this number of peers are all that were asked.
func (e *Elector) allAsked(peers int) bool { return peers+1 >= e.askedCount() }

// majorityMisses reports whether more than half of the daemons that were asked, this
// one included, miss the lead.
func (e *Elector) majorityMisses() bool { return e.AskedMajority(e.missing) }

// claimDelay staggers the claims of daemons that want to replace the lead at the
// same time. It depends on the daemon's position among the members.
func (e *Elector) claimDelay() time.Duration {
	rank := 0
	for _, m := range e.members {
		if m.Host == e.self.Host {
			break
		}
		if m.Host != e.lead.Host {
			rank++
		}
	}
	return time.Duration(min(rank, maxStaggered))*ClaimStagger + time.Duration(max(rank-maxStaggered, 0))*lateClaimStagger
}
