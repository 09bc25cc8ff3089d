// Package lead elects the daemon that schedules the jobs of a failure domain. A
// daemon becomes lead by appending a claim to the log. The offset of the claim is
// its term, so claims are ordered, and a claim succeeds only if it names the
// newest term as the one before. Only daemons of the domain itself claim its lead.
package lead

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/member"
	"dragonflydeck.example/fleet/wire"
)

// ConfirmDelay is how long a lead must be missing while the log answers. It gives
// a daemon that was cut off the time to hear from the others before it claims.
const ConfirmDelay = 2 * time.Second

// RankDelay is how much longer each daemon waits than the one ranked before it, so
// that two rarely claim at once.
const RankDelay = time.Second

// Controller is the controller that follows and claims the lead.
type Controller struct {
	missingSince time.Time     // since when the domain has no live lead
	claimID      fleet.EntryID // of the last claim
	term         int64         // the newest term seen
	termSeenAt   time.Time     // when it was first seen
}

// New returns the controller.
func New() *Controller { return &Controller{} }

// Step follows the term, updates the readiness of this lead and claims the lead
// if there is none.
func (c *Controller) Step(b *board.Board) {
	if !b.Log.Loaded {
		return
	}
	c.followTerm(b)
	c.updateReady(b)
	if b.Leaving || b.Log.Down || !c.missing(b) {
		c.missingSince = time.Time{}
		return
	}
	if c.missingSince.IsZero() {
		c.missingSince = b.Now
	}
	c.claimIfDue(b)
}

// followTerm records when this daemon becomes lead and when it stops being lead.
func (c *Controller) followTerm(b *board.Board) {
	d := b.State.Domain(b.Self.Domain)
	if d.Term != c.term || c.termSeenAt.IsZero() {
		c.term, c.termSeenAt = d.Term, b.Now
	}
	mine := d.Lead == string(b.Self.Host) && d.Inc == int64(b.Self.Inc)
	term := fleet.Term(d.Term)
	if mine == b.Lead.Mine && (!mine || term == b.Lead.Term) {
		return
	}
	if !mine {
		b.Lead = board.Lead{}
		b.Emit(event.LeadLost, string(b.Self.Domain), fmt.Sprintf("%s leads in term %d", d.Lead, term))
		return
	}
	b.Lead = board.Lead{Mine: true, Term: term, Since: b.Now, Lease: leaseOf(d.Lease), PriorLease: leaseOf(d.Before)}
	for _, w := range b.Workers {
		w.Reported = false
	}
}

// leaseOf converts the lease of a log record. A shorter one counts as MinLease.
func leaseOf(ms int64) time.Duration {
	return max(time.Duration(ms)*time.Millisecond, board.MinLease)
}

// updateReady makes the lead ready when every worker has reported in this term or
// is lost, or when all leases of the previous term have expired for certain.
func (c *Controller) updateReady(b *board.Board) {
	if !b.Lead.Mine || b.Lead.Ready || b.HostsAt.IsZero() {
		return
	}
	silent := 0
	for _, h := range b.LocalHosts(wire.Role_WORKER) {
		if w := b.Workers[fleet.HostID(h.Id)]; w == nil || !w.Reported && !w.Lost {
			silent++
		}
	}
	if silent > 0 && b.Now.Sub(b.Lead.Since) < board.LeaseExpiry(b.Lead.PriorLease) {
		return
	}
	b.Lead.Ready = true
	b.Emit(event.LeadReady, string(b.Self.Domain), fmt.Sprintf("term %d, %d workers have not reported, %s after the claim", b.Lead.Term, silent, b.Now.Sub(b.Lead.Since).Round(time.Millisecond)))
}

// missing reports whether the domain has no lead, or one that is dead or leaving
// or was replaced by a new process on its host.
func (c *Controller) missing(b *board.Board) bool {
	d := b.State.Domain(b.Self.Domain)
	if d.Lead == "" {
		return true
	}
	id := fleet.HostID(d.Lead)
	if id == b.Self.Host {
		return d.Inc != int64(b.Self.Inc)
	}
	p, ok := b.Members.Get(id)
	if !ok {
		return b.Now.Sub(c.termSeenAt) > member.LocalDeadAfter // it had time to send a beat
	}
	return p.Status == member.Dead || p.Leaving || int64(p.Inc) > d.Inc
}

// claimIfDue appends a claim once the lead has been missing for long enough. It
// does nothing while its last claim is in the outbox or after the log has decided
// on a claim with the same id.
func (c *Controller) claimIfDue(b *board.Board) {
	if c.claimID != "" && b.Outbox.Has(c.claimID) {
		return
	}
	if b.HostsAt.IsZero() || b.Now.Sub(c.missingSince) < c.claimDelay(b) {
		return
	}
	prev := b.State.Term(b.Self.Domain)
	id := fmt.Sprintf("claim/%s/%d/%s/%d", b.Self.Domain, prev, b.Self.Host, b.Self.Inc)
	if decided, _ := b.State.Outcome(fleet.EntryID(id)); decided {
		return
	}
	c.claimID = fleet.EntryID(id)
	b.Append(&wire.Entry{Id: id, Kind: &wire.Entry_Claim{Claim: &wire.Claim{
		Domain: string(b.Self.Domain), Host: string(b.Self.Host), Inc: int64(b.Self.Inc), Prev: int64(prev),
		Lease: board.LeaseFor(len(b.LocalHosts(wire.Role_WORKER))).Milliseconds(),
	}}})
}

// claimDelay returns how long this daemon waits for a missing lead to return. Only
// the delay by rank applies where it cannot return: there was none, it is leaving,
// or a new process has replaced it.
func (c *Controller) claimDelay(b *board.Board) time.Duration {
	rankDelay := time.Duration(c.rank(b)) * RankDelay
	d := b.State.Domain(b.Self.Domain)
	p, known := b.Members.Get(fleet.HostID(d.Lead))
	if d.Lead == "" || d.Lead == string(b.Self.Host) || known && (p.Leaving || int64(p.Inc) > d.Inc) {
		return rankDelay
	}
	return rankDelay + ConfirmDelay
}

// rank returns the position of this daemon among the live daemons of its domain.
func (c *Controller) rank(b *board.Board) int {
	for i, p := range b.Members.LocalLive() {
		if p.ID == b.Self.Host {
			return i
		}
	}
	return 0
}
