package site

import (
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/queue"
	"github.com/valyala/fasthttp"
)

// Edges are the systems around a daemon of a site.
type Edges struct {
	Store  fleet.Store
	Exec   fleet.Executor
	Reader Reader
	// Front answers callers' calls and the question of readiness by an intake.
	Front func(fleet.Intake) Front
}

// Reader reads what others keep in the store.
type Reader interface {
	// Topics returns the topics of the operator and of the workers.
	Topics() (orders, workers fleet.Topic)
	// Orders reads the operator's records, each the newest of its key. What
	// cannot be read is left out and told among the errors.
	Orders(records map[string]fleet.Record) (queue.Orders, []error)
	// Worker reads a worker's entry.
	Worker(r fleet.Record) (fleet.WorkerEntry, error)
}

// Front answers callers and the platform.
type Front interface {
	Handle(ctx *fasthttp.RequestCtx)
	Readiness(ctx *fasthttp.RequestCtx)
}
