// Package lead decides which daemon places work in a failure domain. The term
// is the offset of the claim in the log, so claims are ordered and only one
// that knows the newest term succeeds. Only a daemon of the same domain claims.
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

// ConfirmSpan is how long a lead must be missing while the log answers, so that
// a daemon that was cut off hears the others before it claims.
const ConfirmSpan = 2 * time.Second

// RankSpan is how much longer each next daemon waits before it claims, so that
// two seldom do at once.
const RankSpan = time.Second

// Control is the controller of the lead.
type Control struct {
	absent time.Time // since when the domain has no live lead
	asked  fleet.EntryID
	term   int64     // the newest term met
	met    time.Time // when it was met
}

// New returns the controller.
func New() *Control { return &Control{} }

// Step follows the term, judges readiness and claims a lead that is missing.
func (c *Control) Step(b *board.Board) {
	if !b.Log.Loaded {
		return
	}
	c.follow(b)
	c.ready(b)
	if b.Leaving || b.Log.Blind || !c.missing(b) {
		c.absent = time.Time{}
		return
	}
	if c.absent.IsZero() {
		c.absent = b.Now
	}
	c.claim(b)
}

// follow notes when this daemon becomes lead or no longer is.
func (c *Control) follow(b *board.Board) {
	d := b.State.Domain(b.Self.Domain)
	if d.Term != c.term || c.met.IsZero() {
		c.term, c.met = d.Term, b.Now
	}
	mine := d.Lead == string(b.Self.Host) && d.Inc == int64(b.Self.Inc)
	term := fleet.Term(d.Term)
	if mine == b.Lead.Mine && (!mine || term == b.Lead.Term) {
		return
	}
	if !mine {
		b.Lead = board.Lead{}
		b.Note(event.LeadLost, string(b.Self.Domain), fmt.Sprintf("%s leads in term %d", d.Lead, term))
		return
	}
	b.Lead = board.Lead{Mine: true, Term: term, Since: b.Now, Lease: lease(d.Lease), Prior: lease(d.Before)}
	for _, w := range b.Workers {
		w.Fresh = false
	}
}

func lease(ms int64) time.Duration {
	return max(time.Duration(ms)*time.Millisecond, board.MinLease)
}

// ready waits until every worker reported to this term, or its lease from an
// earlier one has surely lapsed.
func (c *Control) ready(b *board.Board) {
	if !b.Lead.Mine || b.Lead.Ready || b.HostsAt.IsZero() {
		return
	}
	waits := 0
	for _, h := range b.Own(wire.Role_WORKER) {
		if w := b.Workers[fleet.HostID(h.Id)]; w == nil || !w.Fresh && !w.Lost {
			waits++
		}
	}
	if waits > 0 && b.Now.Sub(b.Lead.Since) < board.Lapse(b.Lead.Prior) {
		return
	}
	b.Lead.Ready = true
	b.Note(event.LeadReady, string(b.Self.Domain), fmt.Sprintf("term %d, %d workers silent, %s after the claim", b.Lead.Term, waits, b.Now.Sub(b.Lead.Since).Round(time.Millisecond)))
}

// missing reports whether the domain has no lead that lives and stays.
func (c *Control) missing(b *board.Board) bool {
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
		return b.Now.Sub(c.met) > member.NearDead // it had time to speak
	}
	return p.Status == member.Dead || p.Leaving || int64(p.Inc) > d.Inc
}

// claim asks for the lead when it is this daemon's turn.
func (c *Control) claim(b *board.Board) {
	if c.asked != "" && b.Outbox.Has(c.asked) {
		return
	}
	if b.HostsAt.IsZero() || b.Now.Sub(c.absent) < c.patience(b) {
		return
	}
	prev := b.State.Term(b.Self.Domain)
	id := fmt.Sprintf("claim/%s/%d/%s/%d", b.Self.Domain, prev, b.Self.Host, b.Self.Inc)
	if met, _ := b.State.Outcome(fleet.EntryID(id)); met {
		return
	}
	c.asked = fleet.EntryID(id)
	b.Append(&wire.Entry{Id: id, Kind: &wire.Entry_Claim{Claim: &wire.Claim{
		Domain: string(b.Self.Domain), Host: string(b.Self.Host), Inc: int64(b.Self.Inc), Prev: int64(prev),
		Lease: board.LeaseFor(len(b.Own(wire.Role_WORKER))).Milliseconds(),
	}}})
}

// patience is how long a missing lead is waited for. One that was never there,
// that left, or that is an earlier process of this host surely stays away.
func (c *Control) patience(b *board.Board) time.Duration {
	turn := time.Duration(c.rank(b)) * RankSpan
	d := b.State.Domain(b.Self.Domain)
	p, known := b.Members.Get(fleet.HostID(d.Lead))
	if d.Lead == "" || d.Lead == string(b.Self.Host) || known && (p.Leaving || int64(p.Inc) > d.Inc) {
		return turn
	}
	return turn + ConfirmSpan
}

func (c *Control) rank(b *board.Board) int {
	for i, p := range b.Members.Near() {
		if p.ID == b.Self.Host {
			return i
		}
	}
	return 0
}
