package fleet

import (
	"time"

	"dragonflydeck.example/fleet/wire"
)

// Access is the result of authorizing a call by its host name, path and key.
type Access int

// The results of an authorization.
const (
	Granted    Access = iota + 1
	NoConfig          // this daemon has not loaded a configuration yet
	NoQueue           // no queue is configured for this host name and path
	UnknownKey        // no workspace has this key
)

// Caller describes an authorized call to a queue.
type Caller struct {
	Queue string
	Space SpaceID // empty for a queue that needs no key
	Mark  KeyMark // of the key that the call carries
	Path  string  // the path after the queue's prefix
}

// Intake serves the calls of callers. Each method answers by the given time.
type Intake interface {
	Authorize(host, path, key string) (Caller, Access)
	Submit(c Caller, f *wire.Flow, until time.Time) *wire.HandReply
	Status(c Caller, id JobID, until time.Time) *wire.FlowReply
	Cancel(c Caller, id JobID, until time.Time) *wire.FlowReply
	Backlog(c Caller, until time.Time) *wire.BacklogReply
	// MaxBody returns the largest permitted size of a body in bytes.
	MaxBody() int
	Ready() bool
}
