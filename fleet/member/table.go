// Package member detects which daemons of the fleet are alive. Every daemon
// increments a heartbeat counter, and daemons pass their own and other daemons'
// counters on to a few peers. A daemon whose counter does not increase for some
// time is suspected, then declared dead. A broken link between two daemons,
// also in one direction only, does not matter, because counters also arrive
// through other daemons.
package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
	"github.com/cespare/xxhash/v2"
)

// Intervals of heartbeats, and times without a new counter. The times are
// longer for daemons of other failure domains, whose counters pass through more
// daemons.
const (
	LocalBeatInterval  = time.Second     // to every daemon of the own failure domain
	RemoteBeatInterval = 2 * time.Second // to one daemon of another failure domain
	LocalSuspectAfter  = 3 * time.Second
	LocalDeadAfter     = 5 * time.Second
	RemoteSuspectAfter = 20 * time.Second
	RemoteDeadAfter    = 40 * time.Second
	ForgetAfter        = 2 * time.Minute
)

// Numbers of other daemons' pulses that a heartbeat carries. AllPulses is used
// while the log does not answer, when heartbeats are the only way to share
// state.
const (
	LocalPulses  = 2
	RemotePulses = 8
	AllPulses    = 1 << 16
)

// Status is the liveness of a peer.
type Status int

// The states of a peer.
const (
	Alive Status = iota + 1
	Suspect
	Dead
)

// String returns the state in lower case.
func (s Status) String() string {
	names := [...]string{"unknown", "alive", "suspect", "dead"}
	return names[s]
}

// Peer is the newest information about a daemon.
type Peer struct {
	ID        fleet.HostID
	Domain    fleet.DomainID
	Addr      string
	Inc       fleet.Incarnation
	Beat      int64
	Leaving   bool
	Status    Status
	LastHeard time.Time // when its counter last increased
	FreeSlots int32

	// What it reported about the log, and the earliest time at which it can
	// have done so.
	ReportedAt time.Time
	LogDown    bool
	End        fleet.Offset
	SyncedAt   time.Time // it had applied every record appended before this time
}

// Change is a peer whose status has changed.
type Change struct {
	Peer Peer
	Was  Status
}

// Table holds the peers that a daemon knows. It is not safe for concurrent use.
type Table struct {
	self  Peer
	peers map[fleet.HostID]*Peer
	rng   *rand.Rand
}

// New returns a table that contains only the daemon itself.
func New(self Peer) *Table {
	seed := xxhash.Sum64String(string(self.ID))
	return &Table{self: self, peers: map[fleet.HostID]*Peer{}, rng: rand.New(rand.NewPCG(seed, uint64(self.Inc)))}
}

// IncrementBeat increments the daemon's own counter.
func (t *Table) IncrementBeat() { t.self.Beat++ }

// SetSelf sets what the daemon reports about itself.
func (t *Table) SetSelf(leaving, logDown bool, end fleet.Offset, syncedAt time.Time, freeSlots int32) {
	t.self.Leaving, t.self.LogDown = leaving, logDown
	t.self.End, t.self.SyncedAt, t.self.FreeSlots = end, syncedAt, freeSlots
}

// Pulses returns the content of a heartbeat: the daemon's own pulse, and those
// of at most maxOthers other daemons, picked at random. Dead daemons are left
// out.
func (t *Table) Pulses(now time.Time, maxOthers int) []*wire.Pulse {
	t.self.ReportedAt = now
	own := pulse(&t.self, now)
	own.Addr = t.self.Addr
	out := []*wire.Pulse{own}
	all := t.Peers()
	for _, i := range t.rng.Perm(len(all))[:min(maxOthers, len(all))] {
		if all[i].Status != Dead {
			out = append(out, pulse(&all[i], now))
		}
	}
	return out
}

func pulse(p *Peer, now time.Time) *wire.Pulse {
	return &wire.Pulse{
		Host: string(p.ID), Inc: int64(p.Inc), Beat: p.Beat, Leaving: p.Leaving,
		Domain: string(p.Domain), Room: p.FreeSlots,
		End: int64(p.End), Blind: p.LogDown,
		Age: p.ReportedAt.Sub(p.SyncedAt).Milliseconds(), Old: now.Sub(p.ReportedAt).Milliseconds(),
	}
}

// Merge merges pulses received from a peer. If they came in a reply, asked is
// when the request was sent, which is the earliest time at which the peer can
// have created them. Otherwise asked is zero.
func (t *Table) Merge(now time.Time, pulses []*wire.Pulse, asked time.Time) {
	for _, w := range pulses {
		if fleet.HostID(w.Host) == t.self.ID || w.Host == "" {
			continue
		}
		t.merge(now, w, asked)
	}
}

func (t *Table) merge(now time.Time, w *wire.Pulse, asked time.Time) {
	id := fleet.HostID(w.Host)
	p, ok := t.peers[id]
	if !ok || int64(p.Inc) < w.Inc {
		p = &Peer{ID: id, Inc: fleet.Incarnation(w.Inc), Beat: -1, Status: Dead}
		t.peers[id] = p
	}
	if int64(p.Inc) > w.Inc {
		return
	}
	if w.Beat > p.Beat {
		p.Beat, p.LastHeard = w.Beat, now
		p.Leaving, p.FreeSlots = w.Leaving, w.Room
		p.Domain = fleet.DomainID(w.Domain)
		if w.Addr != "" {
			p.Addr = w.Addr
		}
		p.LogDown = p.LogDown && w.Blind
	}
	if asked.IsZero() {
		return
	}
	reportedAt := asked.Add(-ms(w.Old))
	if reportedAt.After(p.ReportedAt) {
		p.ReportedAt, p.LogDown, p.End = reportedAt, w.Blind, fleet.Offset(w.End)
		p.SyncedAt = reportedAt.Add(-ms(w.Age))
	}
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Check updates the status of every peer and returns the changes. It removes
// peers not heard of for ForgetAfter.
func (t *Table) Check(now time.Time) []Change {
	var out []Change
	for _, p := range t.Peers() {
		was := p.Status
		is := t.statusOf(&p, now)
		t.peers[p.ID].Status = is
		if is != was {
			p.Status = is
			out = append(out, Change{Peer: p, Was: was})
		}
		if now.Sub(p.LastHeard) > ForgetAfter {
			delete(t.peers, p.ID)
		}
	}
	return out
}

func (t *Table) statusOf(p *Peer, now time.Time) Status {
	suspect, dead := RemoteSuspectAfter, RemoteDeadAfter
	if p.Domain == t.self.Domain {
		suspect, dead = LocalSuspectAfter, LocalDeadAfter
	}
	silent := now.Sub(p.LastHeard)
	switch {
	case silent >= dead:
		return Dead
	case silent >= suspect:
		return Suspect
	}
	return Alive
}

// Peers returns the peers sorted by ID, without the daemon itself.
func (t *Table) Peers() []Peer {
	out := make([]Peer, 0, len(t.peers))
	for _, p := range t.peers {
		out = append(out, *p)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// Get returns what is known about a daemon, which may be the daemon itself.
func (t *Table) Get(id fleet.HostID) (Peer, bool) {
	if id == t.self.ID {
		self := t.self
		self.Status = Alive
		return self, true
	}
	p, ok := t.peers[id]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// LocalLive returns the daemons of the own failure domain that are neither dead nor
// leaving, sorted by ID, including the daemon itself.
func (t *Table) LocalLive() []Peer {
	var out []Peer
	if !t.self.Leaving {
		self := t.self
		self.Status = Alive
		out = append(out, self)
	}
	for _, p := range t.Peers() {
		if p.Domain == t.self.Domain && p.Status != Dead && !p.Leaving {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// LocalTargets returns the daemons of the own failure domain to send heartbeats
// to: all of them.
func (t *Table) LocalTargets(known map[fleet.HostID]*wire.Host) []Peer {
	return t.candidates(known, true)
}

// RemoteTarget picks a random daemon of another failure domain.
func (t *Table) RemoteTarget(known map[fleet.HostID]*wire.Host) (Peer, bool) {
	remote := t.candidates(known, false)
	if len(remote) == 0 {
		return Peer{}, false
	}
	return remote[t.rng.IntN(len(remote))], true
}

// candidates returns the known peers and the entry hosts on the host list that
// are not among them, either of the own failure domain or of all others.
func (t *Table) candidates(known map[fleet.HostID]*wire.Host, local bool) []Peer {
	var out []Peer
	for _, p := range t.Peers() {
		if (p.Domain == t.self.Domain) == local {
			out = append(out, p)
		}
	}
	for id, h := range known {
		_, heard := t.peers[id]
		inDomain := fleet.DomainID(h.Domain) == t.self.Domain
		if !heard && inDomain == local && h.Role == wire.Role_ENTRY && id != t.self.ID {
			out = append(out, Peer{ID: id, Domain: fleet.DomainID(h.Domain), Addr: h.Addr})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}
