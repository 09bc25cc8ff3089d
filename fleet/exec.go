package fleet

import (
	"context"
	"time"
)

// Run numbers the starts of one task; later starts have higher numbers.
type Run int64

// Ticks is the time of a worker's own clock in milliseconds. It may run slow
// and begins anew with each process of the worker.
type Ticks int64

// EndNo numbers the ends that one process of a worker lists, from 1.
type EndNo int64

// Task names one task of a job of steps.
type Task struct {
	Job   JobID
	Round int
	Step  int
	Index int
}

// End tells how a run ended.
type End int

// The ways in which a run ends.
const (
	EndDone    End = iota + 1
	EndFailed      // by its own fault or the worker's
	EndStopped     // by an order
	EndLapsed      // the worker's lease ran out
	EndBroken      // another member of its gang ended
	EndAlone       // its gang was not whole in time
)

var ends = [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the end.
func (e End) String() string {
	if e <= 0 || int(e) >= len(ends) {
		return "unknown"
	}
	return ends[e]
}

// Place is one process of a worker.
type Place struct {
	Host HostID
	Addr string
}

// StartOrder begins a run. Until extends the worker's lease.
type StartOrder struct {
	Task  Task
	Run   Run
	Spec  string
	Saved string // checkpoint to go on from, empty for none
	Until Ticks
	Term  Term
}

// StopOrder ends a run, and forbids it where it has not begun.
type StopOrder struct {
	Task Task
	Run  Run
	Term Term
}

// LookOrder extends a worker's lease and asks what it runs.
type LookOrder struct {
	Term  Term
	Taken EndNo         // ends up to here may be forgotten
	Until Ticks         // 0 leaves the lease as it is
	Wait  time.Duration // the answer may wait so long for an end
}

// RunSeen is a run that a worker lists as running.
type RunSeen struct {
	Task    Task
	Run     Run
	Saved   string
	Percent int
}

// EndSeen is a run that a worker lists as ended.
type EndSeen struct {
	No    EndNo
	Task  Task
	Run   Run
	How   End
	Saved string
}

// Sight is what a worker tells of itself.
type Sight struct {
	Clock Ticks
	Born  Incarnation // 0 where the answer does not say
	Runs  []RunSeen
	Ends  []EndSeen
}

// Executor gives orders to workers. Each call returns the worker's clock if
// there was an answer that tells it. Errors are of type *Error.
type Executor interface {
	Start(ctx context.Context, p Place, o StartOrder) (Ticks, error)
	Stop(ctx context.Context, p Place, o StopOrder) (Ticks, error)
	Look(ctx context.Context, p Place, o LookOrder) (Sight, error)
}

// WorkerState is what a worker says of its readiness.
type WorkerState int

// The states of workers.
const (
	WorkerReady WorkerState = iota + 1
	WorkerDraining
)

// WorkerEntry is a worker's entry in the service discovery.
type WorkerEntry struct {
	Place   Place
	Service string
	Domain  DomainID
	State   WorkerState
	Left    time.Duration // while it drains: until it may be gone, at least
	Room    Res
	Labels  []string // its kind and its rack, among others
	Born    Incarnation
	Clock   Ticks
}
