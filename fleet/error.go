package fleet

import (
	"errors"
	"fmt"
)

// Kind sorts what can go wrong in a call to an outside system by what the
// caller may conclude from it.
type Kind int

// The kinds of errors of outside systems.
const (
	Unsent    Kind = iota + 1 // nothing was sent
	Undone                    // the other side says that it did nothing
	Doubt                     // no answer: it may be done, or be done later
	Moved                     // the topic does not end where the append expected
	Forgotten                 // the records asked for are gone
	Fenced                    // a newer term was seen
	Stale                     // the run is not newer than one ended there
	Late                      // the lease given with the order has passed
	Full                      // the worker has no room
	Reborn                    // the process at the address is another one
	Garbled                   // the answer cannot be read
	Forbidden                 // the other side refuses the call as such
)

var kinds = [...]string{
	"", "unsent", "undone", "doubt", "moved", "forgotten", "fenced", "stale", "late", "full", "reborn", "garbled", "forbidden",
}

// String returns the name of the kind.
func (k Kind) String() string {
	if k <= 0 || int(k) >= len(kinds) {
		return "unknown"
	}
	return kinds[k]
}

// Error is a failed call to an outside system.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error. An error of another type leaves the
// outcome in doubt.
func KindOf(err error) Kind {
	var own *Error
	if errors.As(err, &own) {
		return own.Kind
	}
	return Doubt
}
