package daemon

import "fmt"

// Kind sorts the daemon's errors.
type Kind int

// The kinds of error.
const (
	Setting Kind = iota + 1
	Stopped      // the daemon is stopping
	Cut          // a graceful stop hit its limit
)

// Error is an error of the daemon.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns operation and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Op, e.Text) }
