package board

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Event is input to the control goroutine: the result of an Action or a peer's
// message.
type Event interface{ event() }

// LogRead is the result of a ReadLog.
type LogRead struct {
	AskedAt time.Time
	From    fleet.Offset
	Reply   *wire.ReadReply
	Err     error
}

// Appended is the result of an AppendLog.
type Appended struct {
	Err error
}

// Listed is the result of a ListHosts.
type Listed struct {
	Reply *wire.ListReply
	Err   error
}

// Renewed is the result of a RenewWorker.
type Renewed struct {
	Worker       fleet.HostID
	Term         fleet.Term
	AskedAt      time.Time
	LeaseGranted bool // the request granted a lease
	Reply        *wire.RenewReply
	Err          error
}

// OrderEnded is the result of an OrderWorker.
type OrderEnded struct {
	Order OrderWorker
	Reply *wire.OrderReply
	Err   error
}

// BeatReceived is a heartbeat received from a peer.
type BeatReceived struct {
	Ask *wire.BeatAsk
}

// BeatReplied is the result of a SendBeat.
type BeatReplied struct {
	Peer    fleet.HostID
	AskedAt time.Time
	Reply   *wire.BeatReply
	Err     error
}

// Fetched is the result of a FetchState.
type Fetched struct {
	Reply *wire.FetchReply
	Err   error
}

func (LogRead) event()      {}
func (Appended) event()     {}
func (Listed) event()       {}
func (Renewed) event()      {}
func (OrderEnded) event()   {}
func (BeatReceived) event() {}
func (BeatReplied) event()  {}
func (Fetched) event()      {}
