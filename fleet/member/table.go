// Package member decides which daemons of the fleet are alive. Daemons pass
// counters along to a few peers; one whose counter stands still is suspected.
// A link that is cut in one direction does no harm, as counters take other ways.
package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
	"github.com/cespare/xxhash/v2"
)

// Spans of beats and of silence. Counters from other failure domains take
// longer ways.
const (
	NearBeat    = time.Second     // to peers of the own failure domain
	FarBeat     = 2 * time.Second // to one other
	NearSuspect = 3 * time.Second
	NearDead    = 5 * time.Second
	FarSuspect  = 20 * time.Second
	FarDead     = 40 * time.Second
	ForgetSpan  = 2 * time.Minute
)

// How many other daemons' pulses one beat passes on. All is for when the log
// does not answer: then beats carry what it else would.
const (
	NearPassed = 2
	FarPassed  = 8
	All        = 1 << 16
)

// Status says what is thought of a peer.
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

// Peer is the newest that is known of one daemon.
type Peer struct {
	ID      fleet.HostID
	Domain  fleet.DomainID
	Addr    string
	Inc     fleet.Incarnation
	Beat    int64
	Leaving bool
	Status  Status
	Heard   time.Time // when its counter last rose
	Room    int32

	// What it said of the log, and the earliest time it can have said so.
	Said  time.Time
	Blind bool
	End   fleet.Offset
	Fresh time.Time // it had applied every record appended before this
}

// Change is a peer whose state changed.
type Change struct {
	Peer Peer
	Was  Status
}

// Table holds the peers that one daemon knows. It belongs to one goroutine.
type Table struct {
	self  Peer
	peers map[fleet.HostID]*Peer
	rng   *rand.Rand
}

// New returns a table that knows only its own daemon.
func New(self Peer) *Table {
	seed := xxhash.Sum64String(string(self.ID))
	return &Table{self: self, peers: map[fleet.HostID]*Peer{}, rng: rand.New(rand.NewPCG(seed, uint64(self.Inc)))}
}

// Advance raises the daemon's own counter.
func (t *Table) Advance() { t.self.Beat++ }

// Say sets what the daemon tells of itself.
func (t *Table) Say(leaving, blind bool, end fleet.Offset, fresh time.Time, room int32) {
	t.self.Leaving, t.self.Blind = leaving, blind
	t.self.End, t.self.Fresh, t.self.Room = end, fresh, room
}

// Pulses returns what this daemon tells a peer: of itself, and of so many
// others, picked at random.
func (t *Table) Pulses(now time.Time, most int) []*wire.Pulse {
	t.self.Said = now
	own := pulse(&t.self, now)
	own.Addr = t.self.Addr
	out := []*wire.Pulse{own}
	all := t.All()
	for _, i := range t.rng.Perm(len(all))[:min(most, len(all))] {
		if all[i].Status != Dead {
			out = append(out, pulse(&all[i], now))
		}
	}
	return out
}

func pulse(p *Peer, now time.Time) *wire.Pulse {
	return &wire.Pulse{
		Host: string(p.ID), Inc: int64(p.Inc), Beat: p.Beat, Leaving: p.Leaving,
		Domain: string(p.Domain), Room: p.Room,
		End: int64(p.End), Blind: p.Blind,
		Age: p.Said.Sub(p.Fresh).Milliseconds(), Old: now.Sub(p.Said).Milliseconds(),
	}
}

// Merge takes pulses from a peer. For an answer, asked is when the question
// left, which bounds when the pulses were said; else it is zero.
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
		p.Beat, p.Heard = w.Beat, now
		p.Leaving, p.Room = w.Leaving, w.Room
		p.Domain = fleet.DomainID(w.Domain)
		if w.Addr != "" {
			p.Addr = w.Addr
		}
		p.Blind = p.Blind && w.Blind
	}
	if asked.IsZero() {
		return
	}
	said := asked.Add(-ms(w.Old))
	if said.After(p.Said) {
		p.Said, p.Blind, p.End = said, w.Blind, fleet.Offset(w.End)
		p.Fresh = said.Add(-ms(w.Age))
	}
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Check judges every peer by its silence and returns the changes.
func (t *Table) Check(now time.Time) []Change {
	var out []Change
	for _, p := range t.All() {
		was := p.Status
		is := t.judge(&p, now)
		t.peers[p.ID].Status = is
		if is != was {
			p.Status = is
			out = append(out, Change{Peer: p, Was: was})
		}
		if now.Sub(p.Heard) > ForgetSpan {
			delete(t.peers, p.ID)
		}
	}
	return out
}

func (t *Table) judge(p *Peer, now time.Time) Status {
	suspect, dead := FarSuspect, FarDead
	if p.Domain == t.self.Domain {
		suspect, dead = NearSuspect, NearDead
	}
	silent := now.Sub(p.Heard)
	switch {
	case silent >= dead:
		return Dead
	case silent >= suspect:
		return Suspect
	}
	return Alive
}

// All returns the peers by id, without the daemon itself.
func (t *Table) All() []Peer {
	out := make([]Peer, 0, len(t.peers))
	for _, p := range t.peers {
		out = append(out, *p)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// Get returns what is known of a daemon, itself included.
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

// Near returns the live daemons of the own failure domain in order, itself
// included unless it leaves.
func (t *Table) Near() []Peer {
	var out []Peer
	if !t.self.Leaving {
		self := t.self
		self.Status = Alive
		out = append(out, self)
	}
	for _, p := range t.All() {
		if p.Domain == t.self.Domain && p.Status != Dead && !p.Leaving {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// NearTargets picks whom to beat of the own failure domain: everybody.
func (t *Table) NearTargets(known map[fleet.HostID]*wire.Host) []Peer {
	return t.candidates(known, true)
}

// FarTarget picks one daemon of the others at random.
func (t *Table) FarTarget(known map[fleet.HostID]*wire.Host) (Peer, bool) {
	far := t.candidates(known, false)
	if len(far) == 0 {
		return Peer{}, false
	}
	return far[t.rng.IntN(len(far))], true
}

// candidates joins the host list with the peers heard of, of the own failure
// domain or of the others.
func (t *Table) candidates(known map[fleet.HostID]*wire.Host, near bool) []Peer {
	var out []Peer
	for _, p := range t.All() {
		if (p.Domain == t.self.Domain) == near {
			out = append(out, p)
		}
	}
	for id, h := range known {
		_, heard := t.peers[id]
		there := fleet.DomainID(h.Domain) == t.self.Domain
		if !heard && there == near && h.Role == wire.Role_ENTRY && id != t.self.ID {
			out = append(out, Peer{ID: id, Domain: fleet.DomainID(h.Domain), Addr: h.Addr})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}
