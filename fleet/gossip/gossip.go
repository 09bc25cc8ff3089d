// Package gossip passes counters, operators' held orders and the log's state
// among the daemons, and notes which of them live.
package gossip

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/member"
	"dragonflydeck.example/fleet/tail"
	"dragonflydeck.example/fleet/wire"
)

// ListSpan is how often the host list is asked for.
const ListSpan = 2 * time.Second

// Control is the controller of membership.
type Control struct {
	near     time.Time
	far      time.Time
	list     time.Time
	listing  bool
	fetching bool
}

// New returns the controller.
func New() *Control { return &Control{} }

// Step takes what peers said, judges them, and beats when it is time.
func (c *Control) Step(b *board.Board) {
	for _, e := range b.Events {
		c.take(b, e)
	}
	c.judge(b)
	if !b.Now.Before(c.list) && !c.listing {
		c.listing, c.list = true, b.Now.Add(ListSpan)
		b.Do(board.ListHosts{Seen: b.HostsVersion})
	}
	b.Members.Say(b.Leaving, b.Log.Blind, b.State.Next, b.Log.Fresh, b.Room)
	c.beatNear(b)
	c.beatFar(b)
}

func (c *Control) take(b *board.Board, e board.Event) {
	switch e := e.(type) {
	case board.Listed:
		c.listed(b, e)
	case board.BeatIn:
		b.Members.Merge(b.Now, e.Ask.Pulses, time.Time{})
		c.holds(b, e.Ask.Holds)
	case board.BeatBack:
		if e.Err == nil {
			b.Members.Merge(b.Now, e.Reply.Pulses, e.Asked)
			c.holds(b, e.Reply.Holds)
			c.freshen(b)
		}
	case board.Fetched:
		c.fetched(b, e)
	}
}

// listed takes the host list. A failed or empty list keeps the last one: hosts
// are not gone because the list is.
func (c *Control) listed(b *board.Board, l board.Listed) {
	c.listing = false
	if l.Err != nil {
		return
	}
	if l.Reply.Version != 0 && l.Reply.Version == b.HostsVersion {
		b.HostsAt = b.Now
		return
	}
	if len(l.Reply.Hosts) == 0 {
		return
	}
	b.HostsVersion = l.Reply.Version
	b.Hosts = map[fleet.HostID]*wire.Host{}
	for _, h := range l.Reply.Hosts {
		b.Hosts[fleet.HostID(h.Id)] = h
	}
	b.HostsAt = b.Now
}

// holds takes orders of operators that the log has not taken yet.
func (c *Control) holds(b *board.Board, more []*wire.Hold) {
	for _, h := range more {
		id := fleet.EntryID(h.Entry.GetId())
		if h.Entry.GetTurn() == nil || b.Holds[id] != nil {
			continue
		}
		if met, _ := b.State.Outcome(id); met {
			continue
		}
		Hold(b, h.Entry)
	}
}

// Hold obeys an operator's order before the log has it, and sees to it that
// the log gets it.
func Hold(b *board.Board, e *wire.Entry) {
	t := e.GetTurn()
	for id, have := range b.Holds {
		if have.GetTurn().GetName() == t.Name && have.At < e.At {
			delete(b.Holds, id)
		}
	}
	b.Holds[fleet.EntryID(e.Id)] = e
	b.Outbox.Put(e)
	b.Note(event.DomainHeld, t.Name, fmt.Sprintf("out=%t by order at %s: %s", t.Out, e.Host, t.Why))
}

// freshen takes from peers up to when the own state is complete, and fetches
// newer records where the log itself does not answer.
func (c *Control) freshen(b *board.Board) {
	for _, p := range b.Members.All() {
		if p.End <= b.State.Next && p.Fresh.After(b.Log.Fresh) && b.Log.Loaded {
			b.Log.Fresh = p.Fresh
		}
		if p.End > b.State.Next && (b.Log.Blind || !b.Log.Loaded) && !c.fetching && p.Status == member.Alive {
			c.fetching = true
			b.Do(board.FetchState{Addr: b.AddrOf(p), From: b.State.Next})
		}
	}
}

func (c *Control) fetched(b *board.Board, f board.Fetched) {
	c.fetching = false
	if f.Err != nil {
		return
	}
	for _, s := range f.Reply.Entries {
		tail.Apply(b, s)
	}
	if len(f.Reply.Images) > 0 {
		tail.Load(b, f.Reply.Images)
	}
	if b.State.Next >= fleet.Offset(f.Reply.Next) && f.Reply.Next > 1 {
		b.Log.Loaded = true
	}
}

// Serve answers a peer's question for newer state.
func Serve(b *board.Board, from fleet.Offset) *wire.FetchReply {
	if from >= b.State.Next {
		return &wire.FetchReply{Next: int64(b.State.Next)}
	}
	if entries, ok := b.Recent.From(from); ok {
		return &wire.FetchReply{Entries: entries, Next: int64(b.State.Next)}
	}
	return &wire.FetchReply{Images: b.State.Images(), Next: int64(b.State.Next)}
}

func (c *Control) judge(b *board.Board) {
	for _, ch := range b.Members.Check(b.Now) {
		text := fmt.Sprintf("%s of %s, incarnation %d, was %s", ch.Peer.ID, ch.Peer.Domain, ch.Peer.Inc, ch.Was)
		switch ch.Peer.Status {
		case member.Alive:
			b.Note(event.PeerAlive, string(ch.Peer.ID), text)
		case member.Suspect:
			b.Note(event.PeerSuspect, string(ch.Peer.ID), text)
		case member.Dead:
			b.Note(event.PeerDead, string(ch.Peer.ID), text)
		}
	}
}

func (c *Control) beatNear(b *board.Board) {
	if b.Now.Before(c.near) {
		return
	}
	c.near = b.Now.Add(member.NearBeat)
	b.Members.Advance()
	for _, p := range b.Members.NearTargets(b.Hosts) {
		c.send(b, p)
	}
}

// beatFar beats one daemon of another domain, more often while the log does
// not answer, as more hangs on beats then.
func (c *Control) beatFar(b *board.Board) {
	if b.Now.Before(c.far) {
		return
	}
	c.far = b.Now.Add(member.FarBeat)
	if b.Log.Blind {
		c.far = b.Now.Add(member.NearBeat)
	}
	if p, ok := b.Members.FarTarget(b.Hosts); ok {
		c.send(b, p)
	}
}

func (c *Control) send(b *board.Board, p member.Peer) {
	addr := b.AddrOf(p)
	if addr == "" {
		return
	}
	b.Do(board.SendBeat{Peer: p.ID, Addr: addr, Ask: &wire.BeatAsk{
		Host: string(b.Self.Host), Domain: string(b.Self.Domain), Pulses: pulses(b, p.Domain), Holds: held(b),
	}})
}

// Reply returns what the daemon answers to a beat.
func Reply(b *board.Board, ask *wire.BeatAsk) *wire.BeatReply {
	return &wire.BeatReply{Pulses: pulses(b, fleet.DomainID(ask.Domain)), Holds: held(b)}
}

// pulses returns what a daemon of a domain is told.
func pulses(b *board.Board, to fleet.DomainID) []*wire.Pulse {
	switch {
	case b.Log.Blind:
		return b.Members.Pulses(b.Now, member.All)
	case to == b.Self.Domain:
		return b.Members.Pulses(b.Now, member.NearPassed)
	}
	return b.Members.Pulses(b.Now, member.FarPassed)
}

func held(b *board.Board) []*wire.Hold {
	var out []*wire.Hold
	for _, e := range b.Holds {
		out = append(out, &wire.Hold{Entry: e})
	}
	return out
}
