package serve

import "fmt"

// Kind says what a server failed at.
type Kind int

// The kinds of failure.
const (
	Listening Kind = iota + 1
	Serving
	Stopping
)

// Error is why a port cannot be served.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns operation and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
