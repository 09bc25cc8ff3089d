package engine

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// What a deadly task does to its engine.
const (
	deadlyIndex = ".0" // of the tasks of a deadly job, the one that is deadly
	crashDelay  = 10 * time.Millisecond
	downTime    = 2 * time.Second
)

// Limits that the platform sets for tasks that crash their engines.
const (
	toleratedCrashes = 3
	toleratedStarts  = 2 // after that
)

// crashBy crashes the engine because of a run, if that still runs. The engine is down for
// a while.
func (e *Engine) crashBy(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.task] != r {
		return
	}
	e.opts.Auditor.crashedBy(r)
	e.crash()
	e.upAt = time.Now().Add(downTime)
	time.AfterFunc(downTime, e.comeUp)
}

// CrashForGood crashes the engine. No other process takes its place.
func (e *Engine) CrashForGood() {
	e.set(func() {
		e.crash()
		e.upAt = time.Now()
	})
}

// breakOff closes a call's connection without an answer.
func breakOff(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// comeUp starts the engine's next process.
func (e *Engine) comeUp() {
	e.set(func() {
		e.reset()
		e.upAt = time.Time{}
	})
}

// Down reports whether the engine's process is gone.
func (e *Engine) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.upAt.IsZero()
}
