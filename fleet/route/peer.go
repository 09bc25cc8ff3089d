package route

import (
	"time"

	"dragonflydeck.example/fleet"
)

// SetPeers tells of the other daemons' free slots, as their beats say.
func (r *Router) SetPeers(peers []Peer) {
	probes := map[fleet.HostID]time.Time{}
	for i := range r.peers {
		probes[r.peers[i].ID] = r.peers[i].probe
	}
	for i := range peers {
		peers[i].probe = probes[peers[i].ID]
	}
	r.peers = peers
}

// PeerRoom tells of one peer's free slots, as its answer to a relay says. It is
// newer than any beat.
func (r *Router) PeerRoom(id fleet.HostID, room int) {
	for i := range r.peers {
		if r.peers[i].ID == id {
			r.peers[i].Room = room
		}
	}
}

// peer picks a peer with room: of two at random the one with more, near ones
// before far ones. What it is given counts at once.
func (r *Router) peer() fleet.HostID {
	for _, near := range []bool{true, false} {
		var with []*Peer
		for i := range r.peers {
			if p := &r.peers[i]; p.Near == near && p.Room > 0 {
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
		if now.Sub(p.probe) >= ProbeSpan {
			p.probe = now
			return p.ID
		}
	}
	return ""
}
