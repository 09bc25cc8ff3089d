package serve

import "fmt"

// Kind is the phase in which a server failed.
type Kind int

// The phases of a server.
const (
	Listening Kind = iota + 1
	Serving
	Stopping
)

// Error is the failure of a server.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
