// Package loop provides the event loop of a daemon: a single goroutine that owns
// the control state. It handles batches of events, ticks, and functions that
// other goroutines submit.
package loop

import (
	"context"
	"time"
)

// Capacities of a loop's queues and batches.
const (
	EventQueue = 4096
	CallQueue  = 1024
	EventBatch = 256
)

// Outcome is the outcome of a call of Loop.Do.
type Outcome int

// The outcomes of a call.
const (
	Done   Outcome = iota + 1
	Late           // the call did not run, as the loop was busy for too long
	Closed         // the call did not run, as the loop has ended
	Ended          // the loop ended in the meantime; the call may have run
)

// Loop is an event loop over a state S with events E.
type Loop[S, E any] struct {
	state  S
	step   func(batch []E, ticked bool)
	ticks  <-chan time.Time
	events chan E
	calls  chan func(S)
	ended  chan struct{}
}

// New returns a loop that has not started. The loop calls step after each
// wake-up, with the events that woke it and whether a tick did.
func New[S, E any](state S, ticks <-chan time.Time, events chan E, step func(batch []E, ticked bool)) *Loop[S, E] {
	return &Loop[S, E]{
		state: state, step: step, ticks: ticks, events: events,
		calls: make(chan func(S), CallQueue), ended: make(chan struct{}),
	}
}

// Ended returns a channel that is closed when the loop has ended.
func (l *Loop[S, E]) Ended() <-chan struct{} { return l.ended }

// Run handles events, calls and ticks until the context is done.
func (l *Loop[S, E]) Run(ctx context.Context) {
	defer close(l.ended)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.step(l.collect(e), false)
		case f := <-l.calls:
			f(l.state)
			l.step(nil, false)
		case <-l.ticks:
			l.step(nil, true)
		}
	}
}

// collect adds the events that are already queued, up to EventBatch.
func (l *Loop[S, E]) collect(first E) []E {
	batch := []E{first}
	for len(batch) < EventBatch {
		select {
		case e := <-l.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// Post queues an event; it blocks while the queue is full.
func (l *Loop[S, E]) Post(e E) { l.Offer(nil, e) }

// Offer is like Post but returns without queueing the event when giveUp is ready first.
func (l *Loop[S, E]) Offer(giveUp <-chan struct{}, e E) {
	select {
	case l.events <- e:
	case <-l.ended:
	case <-giveUp:
	}
}

// Do runs a function on the loop and waits for it to return. If giveUp is ready
// before the call is queued, the function does not run.
func (l *Loop[S, E]) Do(giveUp <-chan struct{}, f func(S)) Outcome {
	done := make(chan struct{})
	call := func(s S) {
		f(s)
		close(done)
	}
	select {
	case l.calls <- call:
	case <-l.ended:
		return Closed
	case <-giveUp:
		return Late
	}
	select {
	case <-done:
		return Done
	case <-l.ended:
		return Ended
	}
}
