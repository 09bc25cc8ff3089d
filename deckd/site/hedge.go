package site

import (
	"context"
	"time"
)

// hedgeDelay is how long a read may take before it is sent again. A slow store answers
// within this time; one that was away does not answer what was sent meanwhile.
const hedgeDelay = 400 * time.Millisecond

// outcome is the result of a call.
type outcome[T any] struct {
	value T
	err   error
}

// hedge makes a call, and makes it again after each further delay without an outcome. It
// returns the first outcome. Start runs a function in a goroutine of its own; calls that
// are still out when hedge returns end there, and their outcomes are dropped.
func hedge[T any](ctx context.Context, delay time.Duration, start func(func()), call func() (T, error)) (T, error) {
	done := make(chan struct{})
	defer close(done)
	outcomes := make(chan outcome[T])
	try := func() {
		v, err := call()
		select {
		case outcomes <- outcome[T]{v, err}:
		case <-done:
		}
	}
	start(try)
	again := time.NewTicker(delay)
	defer again.Stop()
	for {
		select {
		case o := <-outcomes:
			return o.value, o.err
		case <-again.C:
			start(try)
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		}
	}
}
