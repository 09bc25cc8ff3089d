package site

import (
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/queue"
	"github.com/valyala/fasthttp"
)

// Dependencies are the external systems that a site daemon depends on.
type Dependencies struct {
	Store  fleet.Store
	Exec   fleet.Executor
	Reader Reader
	// NewFrontend builds the HTTP frontend that passes callers' requests to an intake.
	NewFrontend func(fleet.Intake) Frontend
}

// Reader decodes the records that the operator and the workers write to the
// store.
type Reader interface {
	// Topics returns the topics that the operator and the workers write to.
	Topics() (orders, workers fleet.Topic)
	// Orders decodes the operator's records, the newest of each key. It skips
	// records that it cannot decode and returns an error for each.
	Orders(records map[string]fleet.Record) (queue.Orders, []error)
	// Worker decodes a worker's service discovery entry.
	Worker(r fleet.Record) (fleet.WorkerEntry, error)
}

// Frontend handles the HTTP requests of callers and the platform's readiness
// checks.
type Frontend interface {
	Handle(ctx *fasthttp.RequestCtx)
	Readiness(ctx *fasthttp.RequestCtx)
}
