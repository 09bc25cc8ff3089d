// Package board holds the control state of one daemon, a blackboard that its
// controllers read and write. Only the control goroutine uses it. Each step
// gets the time and events as input and yields actions as output, so
// controllers do no I/O and read no clock.
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

// Durations that several controllers share.
const (
	// MinLease is the shortest lease. A lease is how long a worker keeps
	// running tasks without a renewal, by its own clock.
	MinLease = 20 * time.Second
	// MaxLease is the longest lease.
	MaxLease = time.Minute
	// RequestTimeout is the longest time that a request may run.
	RequestTimeout = 30 * time.Second
)

// Network cost of lease renewals. Leases grow with the number of workers, up to
// MaxLease, so that the renewals of a failure domain stay within
// renewalBytesPerSecond.
const (
	renewalBytes          = 300  // size of a renewal, request and reply
	renewalBytesPerSecond = 1000 // for all renewals that a lead sends
	renewalsPerLease      = 4    // renewals within one lease
)

// LeaseFor returns the lease for a failure domain with this many workers.
func LeaseFor(workers int) time.Duration {
	span := time.Duration(renewalsPerLease * float64(workers) * renewalBytes / renewalBytesPerSecond * float64(time.Second))
	return min(max(span, MinLease), MaxLease)
}

// RenewWait returns how long a worker may delay its reply to a renewal while it
// has nothing new to report.
func RenewWait(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) / renewalsPerLease)
}

// LeaseExpiry returns the time without contact after which a lease has certainly
// expired. It allows for clocks that run at different rates.
func LeaseExpiry(lease time.Duration) time.Duration { return lease + lease/5 }

// Identity identifies the daemon itself.
type Identity struct {
	Host   fleet.HostID
	Domain fleet.DomainID
	Addr   string
	Inc    fleet.Incarnation
}

// Log is the daemon's view of the platform's log.
type Log struct {
	Loaded   bool         // the state is complete enough to be used
	Down     bool         // the last read failed
	End      fleet.Offset // end of the log at the last read
	First    fleet.Offset // oldest record that the log still has
	SyncedAt time.Time    // every record appended before this time has been applied
	ReadAt   time.Time    // like SyncedAt, but without what peers report
}

// Lead is the daemon's state as the lead of its failure domain.
type Lead struct {
	Mine       bool
	Term       fleet.Term
	Since      time.Time
	Ready      bool          // every worker has reported what it runs, or is lost
	Lease      time.Duration // lease that workers get in this term
	PriorLease time.Duration // lease that the previous lead granted
}

// Gate says whether tasks may start in the daemon's failure domain.
type Gate struct {
	Open       bool
	WithoutLog bool // open although the log does not answer, as no daemon can reach the log
	Why        string
}

// Worker is what the lead knows about a worker.
type Worker struct {
	Host     *wire.Host
	Reports  []*wire.Report
	Version  int64
	Reported bool      // it has reported in this term
	Lost     bool      // its lease has certainly expired
	AskedAt  time.Time // when the request was sent that Reports answer
}

// Report returns the worker's report about an attempt of a gang, or nil.
func (w *Worker) Report(job fleet.JobID, attempt fleet.Attempt) *wire.Report {
	for _, r := range w.Reports {
		if r.Job == string(job) && r.Attempt == int32(attempt) {
			return r
		}
	}
	return nil
}

// Share is the part of the runners' slots and connections that the daemon may
// use. It is given by the seats that the daemon holds.
type Share struct {
	Seats   []int32
	Total   int32 // number of seats in the failure domain
	Version int   // increases with every change of Seats
}

// Board is the control state of a daemon.
type Board struct {
	Now             time.Time
	Self            Identity
	Leaving         bool
	State           *state.State
	Changed         []fleet.JobID // jobs that changed since the last step
	Log             Log
	Hosts           map[fleet.HostID]*wire.Host
	HostsAt         time.Time
	HostsVersion    int64
	Members         *member.Table
	Lead            Lead
	Gate            Gate
	Workers         map[fleet.HostID]*Worker
	Holds           map[fleet.EntryID]*wire.Entry // orders of operators that are not in the log yet
	Share           Share
	FreeSlots       int32 // free runner slots, set by the request path
	AppliedShare    int   // newest Share.Version with which the requests on all runners comply, set by the request path
	RunnerReachable bool  // stays true once there were runner slots here or free ones at a peer, or the start timeout passed, set by the request path
	Outbox          *outbox.Outbox
	Recent          *Recent

	Events  []Event // events of this step
	actions []Action
}

// New returns the board of a daemon that has just started.
func New(self Identity) *Board {
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

// Do requests an action.
func (b *Board) Do(a Action) { b.actions = append(b.actions, a) }

// TakeActions returns the actions requested since the last call.
func (b *Board) TakeActions() []Action {
	out := b.actions
	b.actions = nil
	return out
}

// Emit records a numbered event and writes it as a log line.
func (b *Board) Emit(code event.Code, about, text string) {
	e := event.Event{At: b.Now, Code: code, Host: b.Self.Host, About: about, Text: text}
	b.Recent.AddEvent(e)
	b.Do(LogEvent{e})
}

// Append sets the host and time of an entry and puts it into the outbox. It
// returns false if the outbox is full.
func (b *Board) Append(e *wire.Entry) bool {
	e.Host, e.At = string(b.Self.Host), b.Now.UnixMilli()
	return b.Outbox.Put(e)
}

// HeldOut returns the operator's order that takes a failure domain out of
// service and is not in the log yet, or nil.
func (b *Board) HeldOut(id fleet.DomainID) *wire.Turn {
	for _, e := range b.Holds {
		if t := e.GetTurn(); t.GetName() == string(id) && t.GetOut() {
			return t
		}
	}
	return nil
}

// LocalHosts returns the listed hosts with a role in the daemon's own failure domain.
func (b *Board) LocalHosts(role wire.Role) []*wire.Host {
	var out []*wire.Host
	for _, h := range b.Hosts {
		if h.Role == role && fleet.DomainID(h.Domain) == b.Self.Domain {
			out = append(out, h)
		}
	}
	return out
}

// AddrOf returns the address that a peer announced, or else its address in the
// host list.
func (b *Board) AddrOf(p member.Peer) string {
	if h := b.Hosts[p.ID]; p.Addr == "" && h != nil {
		return h.Addr
	}
	return p.Addr
}

// MoveID returns the ID of the entry that moves a waiting job to another
// domain.
func MoveID(j *wire.Job) fleet.EntryID {
	return fleet.EntryID(fmt.Sprintf("move/%s/%d/%s/%d", j.Spec.Id, j.Attempt, j.Home, j.Rev))
}

// Domains returns the failure domains in the host list or the state, and the
// daemon's own.
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
