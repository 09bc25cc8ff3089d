package site

// Kind classifies the errors of a site daemon.
type Kind int

// The kinds of errors.
const (
	Listening Kind = iota + 1 // listening on an address failed
	Serving                   // a server stopped without being asked to
	Stopping                  // a graceful shutdown failed
)

// Error is the reason why a daemon cannot start or did not stop cleanly.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
