// Package loop is the control thread of a daemon: one goroutine that alone
// touches the control state. It takes events in batches, ticks, and calls of
// other goroutines.
package loop

import (
	"context"
	"time"
)

// Bounds of a loop.
const (
	EventQueue = 4096
	CallQueue  = 1024
	EventBatch = 256
)

// Outcome is what became of a call.
type Outcome int

// The outcomes of calls.
const (
	Done   Outcome = iota + 1
	Late           // it was not run, as the loop was busy for too long
	Closed         // it was not run, as the loop has ended
	Ended          // the loop ended meanwhile; the call may have run
)

// Loop is a control thread with a state S and events E.
type Loop[S, E any] struct {
	state  S
	step   func(batch []E, ticked bool)
	ticks  <-chan time.Time
	events chan E
	calls  chan func(S)
	ended  chan struct{}
}

// New returns a loop that has not started. Step runs after each wake-up, with
// the events that woke the loop, and tells a tick.
func New[S, E any](state S, ticks <-chan time.Time, events chan E, step func(batch []E, ticked bool)) *Loop[S, E] {
	return &Loop[S, E]{
		state: state, step: step, ticks: ticks, events: events,
		calls: make(chan func(S), CallQueue), ended: make(chan struct{}),
	}
}

// Ended is closed when the loop has ended.
func (l *Loop[S, E]) Ended() <-chan struct{} { return l.ended }

// Run steps on every event, call and tick until the context ends.
func (l *Loop[S, E]) Run(ctx context.Context) {
	defer close(l.ended)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.step(l.more(e), false)
		case f := <-l.calls:
			f(l.state)
			l.step(nil, false)
		case <-l.ticks:
			l.step(nil, true)
		}
	}
}

// more takes the events that are there already, up to a bound.
func (l *Loop[S, E]) more(first E) []E {
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

// Post gives the loop an event.
func (l *Loop[S, E]) Post(e E) { l.Offer(nil, e) }

// Offer gives the loop an event, unless giveUp is ready first.
func (l *Loop[S, E]) Offer(giveUp <-chan struct{}, e E) {
	select {
	case l.events <- e:
	case <-l.ended:
	case <-giveUp:
	}
}

// Do runs a function on the loop and waits for it. A call that the loop has not
// taken when giveUp is ready does not run.
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
