// Package gossip exchanges heartbeats between daemons. They carry heartbeat
// counters, operators' orders that are not in the log yet, and how far each
// daemon has read the log. The package also detects which daemons are alive.
package gossip

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/member"
	"dragonflydeck.example/fleet/replay"
	"dragonflydeck.example/fleet/wire"
)

// HostListInterval is the time between requests for the host list.
const HostListInterval = 2 * time.Second

// Controller is the controller of heartbeats and membership.
type Controller struct {
	nextLocal  time.Time
	nextRemote time.Time
	nextList   time.Time
	listing    bool
	fetching   bool
}

// New returns the controller of heartbeats and membership.
func New() *Controller { return &Controller{} }

// Step handles messages from peers, updates their status, and sends heartbeats
// and requests for the host list when they are due.
func (c *Controller) Step(b *board.Board) {
	for _, e := range b.Events {
		c.handle(b, e)
	}
	c.noteChanges(b)
	if !b.Now.Before(c.nextList) && !c.listing {
		c.listing, c.nextList = true, b.Now.Add(HostListInterval)
		b.Do(board.ListHosts{Seen: b.HostsVersion})
	}
	b.Members.SetSelf(b.Leaving, b.Log.Down, b.State.Next, b.Log.SyncedAt, b.FreeSlots)
	c.beatLocal(b)
	c.beatRemote(b)
}

func (c *Controller) handle(b *board.Board, e board.Event) {
	switch e := e.(type) {
	case board.Listed:
		c.handleHostList(b, e)
	case board.BeatReceived:
		b.Members.Merge(b.Now, e.Ask.Pulses, time.Time{})
		c.mergeHolds(b, e.Ask.Holds)
	case board.BeatReplied:
		if e.Err == nil {
			b.Members.Merge(b.Now, e.Reply.Pulses, e.AskedAt)
			c.mergeHolds(b, e.Reply.Holds)
			c.catchUp(b)
		}
	case board.Fetched:
		c.handleFetched(b, e)
	}
}

// handleHostList replaces the host list. If the request failed or the new list
// is empty, the old one is kept: a missing list does not mean that the hosts
// are gone.
func (c *Controller) handleHostList(b *board.Board, l board.Listed) {
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

// mergeHolds adopts operators' orders that are not in the log yet.
func (c *Controller) mergeHolds(b *board.Board, more []*wire.Hold) {
	for _, h := range more {
		id := fleet.EntryID(h.Entry.GetId())
		if h.Entry.GetTurn() == nil || b.Holds[id] != nil {
			continue
		}
		if found, _ := b.State.Outcome(id); found {
			continue
		}
		Hold(b, h.Entry)
	}
}

// Hold applies an operator's order before it is in the log, and puts it into
// the outbox to be appended. It replaces older orders for the same failure
// domain, and has no effect beside a newer one.
func Hold(b *board.Board, e *wire.Entry) {
	t := e.GetTurn()
	for _, have := range b.Holds {
		if have.GetTurn().GetName() == t.Name && have.At > e.At {
			return
		}
	}
	for id, have := range b.Holds {
		if have.GetTurn().GetName() == t.Name && have.At < e.At {
			delete(b.Holds, id)
		}
	}
	b.Holds[fleet.EntryID(e.Id)] = e
	b.Outbox.Put(e)
	b.Emit(event.DomainHeld, t.Name, fmt.Sprintf("out=%t ordered on %s, not in the log yet: %s", t.Out, e.Host, t.Why))
}

// catchUp compares the own state with what peers report. If a peer has no newer
// records, the time up to which the peer's state is complete holds for the own
// state too. If one has newer records and the log does not answer, or the state
// is not loaded yet, they are fetched from that peer.
func (c *Controller) catchUp(b *board.Board) {
	for _, p := range b.Members.Peers() {
		if p.End <= b.State.Next && p.SyncedAt.After(b.Log.SyncedAt) && b.Log.Loaded {
			b.Log.SyncedAt = p.SyncedAt
		}
		if p.End > b.State.Next && (b.Log.Down || !b.Log.Loaded) && !c.fetching && p.Status == member.Alive {
			c.fetching = true
			b.Do(board.FetchState{Addr: b.AddrOf(p), From: b.State.Next})
		}
	}
}

func (c *Controller) handleFetched(b *board.Board, f board.Fetched) {
	c.fetching = false
	if f.Err != nil {
		return
	}
	for _, s := range f.Reply.Entries {
		replay.Apply(b, s)
	}
	if len(f.Reply.Images) > 0 {
		replay.Load(b, f.Reply.Images)
	}
	if b.State.Next >= fleet.Offset(f.Reply.Next) && f.Reply.Next > 1 {
		b.Log.Loaded = true
	}
}

// StateReply returns the reply to a peer that requests newer state.
func StateReply(b *board.Board, from fleet.Offset) *wire.FetchReply {
	if from >= b.State.Next {
		return &wire.FetchReply{Next: int64(b.State.Next)}
	}
	if entries, ok := b.Recent.RecordsFrom(from); ok {
		return &wire.FetchReply{Entries: entries, Next: int64(b.State.Next)}
	}
	return &wire.FetchReply{Images: b.State.Images(), Next: int64(b.State.Next)}
}

func (c *Controller) noteChanges(b *board.Board) {
	for _, ch := range b.Members.Check(b.Now) {
		text := fmt.Sprintf("%s in failure domain %s, incarnation %d, was %s", ch.Peer.ID, ch.Peer.Domain, ch.Peer.Inc, ch.Was)
		switch ch.Peer.Status {
		case member.Alive:
			b.Emit(event.PeerAlive, string(ch.Peer.ID), text)
		case member.Suspect:
			b.Emit(event.PeerSuspect, string(ch.Peer.ID), text)
		case member.Dead:
			b.Emit(event.PeerDead, string(ch.Peer.ID), text)
		}
	}
}

func (c *Controller) beatLocal(b *board.Board) {
	if b.Now.Before(c.nextLocal) {
		return
	}
	c.nextLocal = b.Now.Add(member.LocalBeatInterval)
	b.Members.IncrementBeat()
	for _, p := range b.Members.LocalTargets(b.Hosts) {
		c.send(b, p)
	}
}

// beatRemote sends a heartbeat to a daemon of another failure domain. It does
// so more often while the log does not answer, when heartbeats are the only way
// to share state between domains.
func (c *Controller) beatRemote(b *board.Board) {
	if b.Now.Before(c.nextRemote) {
		return
	}
	c.nextRemote = b.Now.Add(member.RemoteBeatInterval)
	if b.Log.Down {
		c.nextRemote = b.Now.Add(member.LocalBeatInterval)
	}
	if p, ok := b.Members.RemoteTarget(b.Hosts); ok {
		c.send(b, p)
	}
}

func (c *Controller) send(b *board.Board, p member.Peer) {
	addr := b.AddrOf(p)
	if addr == "" {
		return
	}
	b.Do(board.SendBeat{Peer: p.ID, Addr: addr, Ask: &wire.BeatAsk{
		Host: string(b.Self.Host), Domain: string(b.Self.Domain), Pulses: pulses(b, p.Domain), Holds: pendingHolds(b),
	}})
}

// BeatReply returns the reply to a heartbeat.
func BeatReply(b *board.Board, ask *wire.BeatAsk) *wire.BeatReply {
	return &wire.BeatReply{Pulses: pulses(b, fleet.DomainID(ask.Domain)), Holds: pendingHolds(b)}
}

// pulses returns the pulses to send to a daemon of a failure domain.
func pulses(b *board.Board, to fleet.DomainID) []*wire.Pulse {
	switch {
	case b.Log.Down:
		return b.Members.Pulses(b.Now, member.AllPulses)
	case to == b.Self.Domain:
		return b.Members.Pulses(b.Now, member.LocalPulses)
	}
	return b.Members.Pulses(b.Now, member.RemotePulses)
}

func pendingHolds(b *board.Board) []*wire.Hold {
	var out []*wire.Hold
	for _, e := range b.Holds {
		out = append(out, &wire.Hold{Entry: e})
	}
	return out
}
