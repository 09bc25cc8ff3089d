package fleet

import (
	"context"
	"time"
)

// Run numbers the starts of one task; each start has a higher number than the one before.
type Run int64

// Ticks is a reading of a worker's own clock in milliseconds. The clock may run
// slow and restarts with each process of the worker.
type Ticks int64

// EndNo numbers the ended runs that one process of a worker reports, from 1.
type EndNo int64

// Task identifies one task of a multi-step job.
type Task struct {
	Job   JobID
	Round int
	Step  int
	Index int
}

// End is the way in which a run ended.
type End int

// The ways in which a run ends.
const (
	EndDone    End = iota + 1
	EndFailed      // through a fault of the task or of the worker
	EndStopped     // by a stop order
	EndLapsed      // the worker's lease expired
	EndBroken      // another task of its gang ended
	EndAlone       // its gang was not complete in time
)

var endNames = [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of e.
func (e End) String() string {
	if e <= 0 || int(e) >= len(endNames) {
		return "unknown"
	}
	return endNames[e]
}

// Endpoint is the address of one worker process.
type Endpoint struct {
	Host HostID
	Addr string
}

// StartOrder starts a run. LeaseUntil extends the worker's lease.
type StartOrder struct {
	Task       Task
	Run        Run
	Spec       string
	Saved      string // checkpoint to resume from, empty for none
	LeaseUntil Ticks
	Term       Term
}

// StopOrder stops a run, or bars it from starting if it has not started yet.
type StopOrder struct {
	Task Task
	Run  Run
	Term Term
}

// PollOrder extends a worker's lease and asks for its running and ended runs.
type PollOrder struct {
	Term       Term
	Acked      EndNo         // the worker may discard ends up to this number
	LeaseUntil Ticks         // 0 leaves the lease unchanged
	Wait       time.Duration // how long the answer may wait for a run to end
}

// RunReport is a run that a worker reports as running.
type RunReport struct {
	Task    Task
	Run     Run
	Saved   string
	Percent int
}

// EndReport is a run that a worker reports as ended.
type EndReport struct {
	No    EndNo
	Task  Task
	Run   Run
	How   End
	Saved string
}

// WorkerReport is a worker's report on itself.
type WorkerReport struct {
	Clock Ticks
	Inc   Incarnation // 0 if the answer does not include it
	Runs  []RunReport
	Ends  []EndReport
}

// Executor sends orders to workers. Each call returns the worker's clock if the
// worker answered and included it. Errors are of type *Error.
type Executor interface {
	Start(ctx context.Context, e Endpoint, o StartOrder) (Ticks, error)
	Stop(ctx context.Context, e Endpoint, o StopOrder) (Ticks, error)
	Poll(ctx context.Context, e Endpoint, o PollOrder) (WorkerReport, error)
}

// WorkerState is the readiness that a worker announces.
type WorkerState int

// The states of workers.
const (
	WorkerUnknown WorkerState = iota // its present entry has not been read
	WorkerReady
	WorkerDraining
)

// WorkerEntry is a worker's entry in the service discovery.
type WorkerEntry struct {
	Endpoint  Endpoint
	Service   string
	Domain    DomainID
	State     WorkerState
	DrainLeft time.Duration // while draining: the least time until it may shut down
	Capacity  Res
	Labels    []string // among others its kind and its rack
	Inc       Incarnation
	Clock     Ticks
}
