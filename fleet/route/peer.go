package route

import (
	"time"

	"dragonflydeck.example/fleet"
)

// SetPeers tells of the other daemons' free slots, as their beats say.
func (r *Router) SetPeers(peers []Peer) {
	old := map[fleet.HostID]Peer{}
	for _, p := range r.peers {
		old[p.ID] = p
	}
	for i := range peers {
		p := &peers[i]
		p.probe, p.pause, p.until = old[p.ID].probe, old[p.ID].pause, old[p.ID].until
	}
	r.peers = peers
}

// PeerFailed tells that a peer did not answer. It is left alone for a while:
// others may hear it well while the way from here is cut.
func (r *Router) PeerFailed(id fleet.HostID, now time.Time) {
	for i := range r.peers {
		if p := &r.peers[i]; p.ID == id {
			p.pause = min(max(2*p.pause, r.rules.Pause), r.rules.MaxWait)
			p.until = now.Add(p.pause)
		}
	}
}

// PeerRoom tells of one peer's free slots, as its answer to a relay says. It is
// newer than any beat, and shows that the way there is open.
func (r *Router) PeerRoom(id fleet.HostID, room int) {
	for i := range r.peers {
		if r.peers[i].ID == id {
			r.peers[i].Room, r.peers[i].pause = room, 0
		}
	}
}

// Reaches reports whether a request would find a runner, here or at a peer.
func (r *Router) Reaches() bool {
	if r.capacity() > 0 {
		return true
	}
	for _, p := range r.peers {
		if p.Room > 0 {
			return true
		}
	}
	return false
}

// peer picks a peer with room: of two at random the one with more, near ones
// before far ones. What it is given counts at once.
func (r *Router) peer(now time.Time) fleet.HostID {
	for _, near := range []bool{true, false} {
		var with []*Peer
		for i := range r.peers {
			if p := &r.peers[i]; p.Near == near && p.Room > 0 && !now.Before(p.until) {
				with = append(with, p)
			}
		}
		if len(with) == 0 {
			continue
		}
		a, b := with[r.rng.IntN(len(with))], with[r.rng.IntN(len(with))]
		if b.Room > a.Room {
			a = b
		}
		a.Room--
		return a.ID
	}
	return ""
}

// probe picks a peer without known room that was not offered anything lately.
func (r *Router) probe(now time.Time) fleet.HostID {
	if len(r.peers) == 0 {
		return ""
	}
	first := r.rng.IntN(len(r.peers))
	for i := range r.peers {
		p := &r.peers[(first+i)%len(r.peers)]
		if now.Sub(p.probe) >= ProbeSpan && !now.Before(p.until) {
			p.probe = now
			return p.ID
		}
	}
	return ""
}
