package site

import (
	"sync"

	"dragonflydeck.example/fleet/sched"
)

// waiters maps the ids of pending requests to the channels on which their
// goroutines wait for an answer of the control loop.
type waiters[T any] struct {
	mu      sync.Mutex
	next    sched.Waiter
	pending map[sched.Waiter]chan T
}

func newWaiters[T any]() *waiters[T] { return &waiters[T]{pending: map[sched.Waiter]chan T{}} }

// add registers a new waiter and returns its id and the channel that will
// receive its answer.
func (w *waiters[T]) add() (sched.Waiter, <-chan T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	c := make(chan T, 1)
	w.pending[w.next] = c
	return w.next, c
}

// answer delivers an answer to a waiter and removes it. It does nothing if the
// waiter was removed before.
func (w *waiters[T]) answer(id sched.Waiter, a T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c, ok := w.pending[id]; ok {
		c <- a
		delete(w.pending, id)
	}
}

// remove drops a waiter that no longer waits.
func (w *waiters[T]) remove(id sched.Waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pending, id)
}
