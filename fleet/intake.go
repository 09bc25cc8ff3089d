package fleet

import (
	"time"

	"dragonflydeck.example/fleet/wire"
)

// Access is what a call may do, as its host name, path and key decide.
type Access int

// The kinds of access.
const (
	Granted    Access = iota + 1
	NoConfig          // this daemon has no configuration yet
	NoQueue           // no queue has this host name and path
	UnknownKey        // no workspace has this key
)

// Caller is a call to a queue whose access is granted.
type Caller struct {
	Queue string
	Space SpaceID // empty on a queue open to everybody
	Rest  string  // the path after the queue's prefix
}

// Intake takes callers' calls in. Each answers by the time given.
type Intake interface {
	Enter(host, path, key string) (Caller, Access)
	Hand(c Caller, f *wire.Flow, until time.Time) *wire.HandReply
	Status(c Caller, id JobID, until time.Time) *wire.FlowReply
	Drop(c Caller, id JobID, until time.Time) *wire.FlowReply
	Backlog(c Caller, until time.Time) *wire.BacklogReply
	// BodyMost returns the most bytes that a body may have.
	BodyMost() int
	Ready() bool
}
