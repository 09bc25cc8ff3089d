package daemon

import "fmt"

// Kind classifies the daemon's errors.
type Kind int

// The kinds of error.
const (
	InvalidSetting Kind = iota + 1
	Stopped             // the daemon is stopping
	StopTimeout         // a graceful stop timed out
)

// Error is an error of the daemon.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns operation and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Op, e.Text) }
