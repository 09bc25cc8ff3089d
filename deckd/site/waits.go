package site

import (
	"sync"

	"dragonflydeck.example/fleet/helm"
)

// waits are the callers that wait for an answer of the control loop.
type waits[T any] struct {
	mu   sync.Mutex
	next helm.Waiter
	open map[helm.Waiter]chan T
}

func newWaits[T any]() *waits[T] { return &waits[T]{open: map[helm.Waiter]chan T{}} }

// add returns a new waiter and where its answer arrives.
func (w *waits[T]) add() (helm.Waiter, <-chan T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	c := make(chan T, 1)
	w.open[w.next] = c
	return w.next, c
}

// answer gives a waiter its answer, if it still waits.
func (w *waits[T]) answer(id helm.Waiter, a T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c, ok := w.open[id]; ok {
		c <- a
		delete(w.open, id)
	}
}

// drop forgets a waiter.
func (w *waits[T]) drop(id helm.Waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.open, id)
}
