package site

// Kind sorts the errors of a daemon of a site.
type Kind int

// The kinds of errors.
const (
	Listening Kind = iota + 1 // an address cannot be listened on
	Serving                   // a server has stopped by itself
	Stopping                  // a stop was not clean
)

// Error is why a daemon cannot run.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns operation and cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
