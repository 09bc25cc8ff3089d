// Package board is the blackboard: the control state of one daemon, which its
// controllers read and write. It belongs to the control goroutine. Events come
// in with the time, actions go out; no controller does I/O or reads a clock.
package board

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/member"
	"dragonflydeck.example/fleet/outbox"
	"dragonflydeck.example/fleet/state"
	"dragonflydeck.example/fleet/wire"
)

// Spans that several controllers share.
const (
	// MinLease is the shortest lease: how long a worker runs on without a
	// renewal, by its clock.
	MinLease = 20 * time.Second
	// MaxLease is the longest lease.
	MaxLease = time.Minute
	// RequestSpan is the longest that a request may run.
	RequestSpan = 30 * time.Second
)

// Cost of renewals. A lease is as long as the bytes that its renewals may take
// ask for, in a domain with many workers.
const (
	renewBytes  = 300  // of one renewal, both ways
	renewBudget = 1000 // bytes a second for all renewals of a lead
	renewsEach  = 4    // renewals in the span of one lease
)

// LeaseFor returns the lease for a domain with so many workers.
func LeaseFor(workers int) time.Duration {
	span := time.Duration(renewsEach * float64(workers) * renewBytes / renewBudget * float64(time.Second))
	return min(max(span, MinLease), MaxLease)
}

// RenewWait returns how long a worker may hold the answer to a renewal back.
func RenewWait(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) / renewsEach)
}

// Lapse returns after how long without contact a lease has surely lapsed,
// allowing for clocks that run apart.
func Lapse(lease time.Duration) time.Duration { return lease + lease/5 }

// Self is the daemon itself.
type Self struct {
	Host   fleet.HostID
	Domain fleet.DomainID
	Addr   string
	Inc    fleet.Incarnation
}

// Log is what the daemon knows of the platform's log.
type Log struct {
	Loaded bool         // the state is usable
	Blind  bool         // the last read failed
	End    fleet.Offset // as last read
	First  fleet.Offset // the oldest record kept
	Fresh  time.Time    // every record appended before this is applied
	Direct time.Time    // the same, by own reads only
}

// Lead is the daemon's part in placing work in its failure domain.
type Lead struct {
	Mine  bool
	Term  fleet.Term
	Since time.Time
	Ready bool          // it is known what every worker runs
	Lease time.Duration // granted to workers in this term
	Prior time.Duration // granted by the lead before
}

// Gate says whether tasks may start in the daemon's failure domain.
type Gate struct {
	Open  bool
	Blind bool // open although the log is down, as nobody can change it
	Why   string
}

// Worker is what the lead knows of one worker.
type Worker struct {
	Host    *wire.Host
	Reports []*wire.Report
	Version int64
	Fresh   bool      // it reported in this term
	Lost    bool      // its lease has surely lapsed
	Asked   time.Time // when the question left that Reports answer
}

// Report returns what the worker said of a gang, or nil.
func (w *Worker) Report(job fleet.JobID, attempt fleet.Attempt) *wire.Report {
	for _, r := range w.Reports {
		if r.Job == string(job) && r.Attempt == int32(attempt) {
			return r
		}
	}
	return nil
}

// Share is how many slots and connections of each runner the daemon may use.
type Share struct {
	Seats   []int32
	Of      int32 // seats in the failure domain
	Version int   // rises with every change of Seats
}

// Board is the blackboard.
type Board struct {
	Now          time.Time
	Self         Self
	Leaving      bool
	State        *state.State
	Touched      []fleet.JobID // jobs that changed since the last step
	Log          Log
	Hosts        map[fleet.HostID]*wire.Host
	HostsAt      time.Time
	HostsVersion int64
	Members      *member.Table
	Lead         Lead
	Gate         Gate
	Workers      map[fleet.HostID]*Worker
	Holds        map[fleet.EntryID]*wire.Entry // orders of operators not in the log yet
	Share        Share
	Room         int32 // free runner slots, told by the traffic side
	Settled      int   // version of the share that no runner has more requests than, told by the traffic side
	Reach        bool  // a request has found or would have found a runner, told by the traffic side
	Outbox       *outbox.Box
	Recent       *Recent

	Events  []Event // of this step
	actions []Action
}

// New returns the board of a daemon that knows nothing yet.
func New(self Self) *Board {
	return &Board{
		Self:    self,
		State:   state.New(),
		Hosts:   map[fleet.HostID]*wire.Host{},
		Members: member.New(member.Peer{ID: self.Host, Domain: self.Domain, Addr: self.Addr, Inc: self.Inc}),
		Workers: map[fleet.HostID]*Worker{},
		Holds:   map[fleet.EntryID]*wire.Entry{},
		Outbox:  outbox.New(),
		Recent:  NewRecent(),
	}
}

// Do adds an action to those of this step.
func (b *Board) Do(a Action) { b.actions = append(b.actions, a) }

// Take returns the actions since the last call.
func (b *Board) Take() []Action {
	out := b.actions
	b.actions = nil
	return out
}

// Note records a numbered event.
func (b *Board) Note(code event.Code, about, text string) {
	e := event.Event{At: b.Now, Code: code, Host: b.Self.Host, About: about, Text: text}
	b.Recent.Add(e)
	b.Do(Note{e})
}

// Append puts an entry into the outbox, stamped with host and time. It reports
// false if the outbox is full.
func (b *Board) Append(e *wire.Entry) bool {
	e.Host, e.At = string(b.Self.Host), b.Now.UnixMilli()
	return b.Outbox.Put(e)
}

// HeldOut returns the operator's order that holds a domain out while the log
// has not taken it, or nil.
func (b *Board) HeldOut(id fleet.DomainID) *wire.Turn {
	for _, e := range b.Holds {
		if t := e.GetTurn(); t.GetName() == string(id) && t.GetOut() {
			return t
		}
	}
	return nil
}

// Own returns the listed hosts of the daemon's own failure domain with a role.
func (b *Board) Own(role wire.Role) []*wire.Host {
	var out []*wire.Host
	for _, h := range b.Hosts {
		if h.Role == role && fleet.DomainID(h.Domain) == b.Self.Domain {
			out = append(out, h)
		}
	}
	return out
}

// AddrOf returns the address of a peer, by its own word or the host list.
func (b *Board) AddrOf(p member.Peer) string {
	if h := b.Hosts[p.ID]; p.Addr == "" && h != nil {
		return h.Addr
	}
	return p.Addr
}

// MoveID names the entry that gives a waiting job to another domain.
func MoveID(j *wire.Job) fleet.EntryID {
	return fleet.EntryID(fmt.Sprintf("move/%s/%d/%s/%d", j.Spec.Id, j.Attempt, j.Home, j.Rev))
}

// Domains returns the failure domains that the host list or the state names.
func (b *Board) Domains() map[fleet.DomainID]bool {
	out := map[fleet.DomainID]bool{b.Self.Domain: true}
	for _, h := range b.Hosts {
		out[fleet.DomainID(h.Domain)] = true
	}
	for id := range b.State.Domains {
		out[id] = true
	}
	return out
}
