package board

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
)

// Action is I/O that a controller requests. It is carried out outside of the
// control goroutine, and its result comes back as an Event.
type Action interface{ action() }

// ReadLog reads records from an offset. The result is a LogRead.
type ReadLog struct {
	From fleet.Offset
	Wait time.Duration
}

// AppendLog appends entries. The result is an Appended.
type AppendLog struct {
	Entries []*wire.Entry
}

// ListHosts requests the host list if it is newer than the version seen. The
// result is a Listed.
type ListHosts struct{ Seen int64 }

// RenewWorker renews a worker's lease, or only requests its reports if the
// lease is 0. The result is a Renewed.
type RenewWorker struct {
	Worker fleet.HostID
	Addr   string
	Ask    *wire.RenewAsk
}

// Step is a kind of order to a worker about its part of a gang.
type Step int

// The orders, in the sequence in which a part passes through them.
const (
	Reserve Step = iota + 1
	Start
	Save // save a checkpoint, then stop
	Stop // stop without a checkpoint
)

// String returns the step in lower case.
func (s Step) String() string {
	names := [...]string{"", "reserve", "start", "save", "stop"}
	return names[s]
}

// OrderWorker sends an order about a gang to a worker. The result is an
// OrderEnded.
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

// SendBeat sends a heartbeat to a peer. The result is a BeatReplied.
type SendBeat struct {
	Peer fleet.HostID
	Addr string
	Ask  *wire.BeatAsk
}

// FetchState requests newer state from a peer. The result is a Fetched.
type FetchState struct {
	Addr string
	From fleet.Offset
}

// LogEvent writes a numbered event as a log line. It has no result.
type LogEvent struct {
	Event event.Event
}

func (ReadLog) action()     {}
func (AppendLog) action()   {}
func (ListHosts) action()   {}
func (RenewWorker) action() {}
func (OrderWorker) action() {}
func (SendBeat) action()    {}
func (FetchState) action()  {}
func (LogEvent) action()    {}
