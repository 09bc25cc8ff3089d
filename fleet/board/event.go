package board

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Event is something that happened outside the control goroutine.
type Event interface{ event() }

// LogRead is the answer to a ReadLog.
type LogRead struct {
	Asked time.Time
	From  fleet.Offset
	Reply *wire.ReadReply
	Err   error
}

// Appended is the end of an AppendLog.
type Appended struct {
	Err error
}

// Listed is the answer of the host list.
type Listed struct {
	Reply *wire.ListReply
	Err   error
}

// Renewed is the answer to a RenewWorker.
type Renewed struct {
	Worker fleet.HostID
	Term   fleet.Term
	Asked  time.Time
	Held   bool // the ask granted a lease
	Reply  *wire.RenewReply
	Err    error
}

// Ordered is the end of an OrderWorker.
type Ordered struct {
	Order OrderWorker
	Reply *wire.OrderReply
	Err   error
}

// BeatIn is a beat of a peer.
type BeatIn struct {
	Ask *wire.BeatAsk
}

// BeatBack is the answer to a SendBeat.
type BeatBack struct {
	Peer  fleet.HostID
	Asked time.Time
	Reply *wire.BeatReply
	Err   error
}

// Fetched is the answer to a FetchState.
type Fetched struct {
	Reply *wire.FetchReply
	Err   error
}

func (LogRead) event()  {}
func (Appended) event() {}
func (Listed) event()   {}
func (Renewed) event()  {}
func (Ordered) event()  {}
func (BeatIn) event()   {}
func (BeatBack) event() {}
func (Fetched) event()  {}
