package board

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
)

// Action is something that the control goroutine wants done outside.
type Action interface{ action() }

// ReadLog reads records from an offset; LogRead follows.
type ReadLog struct {
	From fleet.Offset
	Wait time.Duration
}

// AppendLog appends entries; Appended follows.
type AppendLog struct {
	Entries []*wire.Entry
}

// ListHosts asks for the host list if it is newer than the version seen; Listed
// follows.
type ListHosts struct{ Seen int64 }

// RenewWorker renews a lease, or only asks if the lease is 0; Renewed follows.
type RenewWorker struct {
	Worker fleet.HostID
	Addr   string
	Ask    *wire.RenewAsk
}

// Step is a step in the life of a gang on one worker.
type Step int

// The steps that a worker is ordered to take.
const (
	Reserve Step = iota + 1
	Start
	Save // checkpoint, then stop
	Stop // stop at once
)

// String returns the step in lower case.
func (s Step) String() string {
	names := [...]string{"", "reserve", "start", "save", "stop"}
	return names[s]
}

// OrderWorker orders one step of one gang; Ordered follows.
type OrderWorker struct {
	Worker  fleet.HostID
	Addr    string
	Step    Step
	Term    fleet.Term
	Job     fleet.JobID
	Attempt fleet.Attempt
	Tasks   int
	Each    fleet.Res
	Spent   time.Duration
	Span    time.Duration
	Hold    time.Duration
	Limit   time.Duration
}

// SendBeat tells a peer what is known; BeatBack follows.
type SendBeat struct {
	Peer fleet.HostID
	Addr string
	Ask  *wire.BeatAsk
}

// FetchState asks a peer for newer state; Fetched follows.
type FetchState struct {
	Addr string
	From fleet.Offset
}

// Note writes a numbered event to the log lines.
type Note struct {
	Event event.Event
}

func (ReadLog) action()     {}
func (AppendLog) action()   {}
func (ListHosts) action()   {}
func (RenewWorker) action() {}
func (OrderWorker) action() {}
func (SendBeat) action()    {}
func (FetchState) action()  {}
func (Note) action()        {}
