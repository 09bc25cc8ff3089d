package route

import (
	"time"

	"dragonflydeck.example/fleet"
)

// SetPeers sets the list of peers with their free slots, as their heartbeats report them.
func (r *Router) SetPeers(peers []Peer) {
	old := map[fleet.HostID]Peer{}
	for _, p := range r.peers {
		old[p.ID] = p
	}
	for i := range peers {
		p := &peers[i]
		p.probedAt, p.backoff, p.backoffUntil = old[p.ID].probedAt, old[p.ID].backoff, old[p.ID].backoffUntil
	}
	r.peers = peers
}

// PeerFailed records that a peer did not answer, and backs off from it. Its
// heartbeats may still arrive through other daemons while the direct link is down.
func (r *Router) PeerFailed(id fleet.HostID, now time.Time) {
	for i := range r.peers {
		if p := &r.peers[i]; p.ID == id {
			p.backoff = min(max(2*p.backoff, r.rules.MinBackoff), r.rules.MaxBackoff)
			p.backoffUntil = now.Add(p.backoff)
		}
	}
}

// SetPeerSlots records one peer's free slots as reported in its answer to a relayed
// request. This is newer than any heartbeat. As the peer is reachable, its next
// backoff is a short one again.
func (r *Router) SetPeerSlots(id fleet.HostID, slots int) {
	for i := range r.peers {
		if r.peers[i].ID == id {
			r.peers[i].FreeSlots, r.peers[i].backoff = slots, 0
		}
	}
}

// HasCapacity reports whether this daemon has any runner slots or a peer has free ones.
func (r *Router) HasCapacity() bool {
	if r.capacity() > 0 {
		return true
	}
	for _, p := range r.peers {
		if p.FreeSlots > 0 {
			return true
		}
	}
	return false
}

// pickPeer picks a peer with free slots, preferring the same failure domain and
// then, of two random choices, the one with more. It takes one of those slots off
// the peer's count.
func (r *Router) pickPeer(now time.Time) fleet.HostID {
	for _, near := range []bool{true, false} {
		var candidates []*Peer
		for i := range r.peers {
			if p := &r.peers[i]; p.Near == near && p.FreeSlots > 0 && !now.Before(p.backoffUntil) {
				candidates = append(candidates, p)
			}
		}
		if len(candidates) == 0 {
			continue
		}
		a, b := candidates[r.rng.IntN(len(candidates))], candidates[r.rng.IntN(len(candidates))]
		if b.FreeSlots > a.FreeSlots {
			a = b
		}
		a.FreeSlots--
		return a.ID
	}
	return ""
}

// pickProbe picks a peer that has no known free slots and was not probed within
// the last ProbeInterval.
func (r *Router) pickProbe(now time.Time) fleet.HostID {
	if len(r.peers) == 0 {
		return ""
	}
	first := r.rng.IntN(len(r.peers))
	for i := range r.peers {
		p := &r.peers[(first+i)%len(r.peers)]
		if now.Sub(p.probedAt) >= ProbeInterval && !now.Before(p.backoffUntil) {
			p.probedAt = now
			return p.ID
		}
	}
	return ""
}
