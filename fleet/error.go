package fleet

import (
	"errors"
	"fmt"
)

// Kind classifies a failed call to an external system by what the caller can
// conclude from it.
type Kind int

// The kinds of errors of external systems.
const (
	Unsent         Kind = iota + 1 // the request was not sent
	NotApplied                     // the other side reports that it did nothing
	OutcomeUnknown                 // no answer: the operation may have taken effect, or may still do so
	Moved                          // the end of the topic is not the offset that the append expected
	Forgotten                      // the requested records are no longer stored
	Fenced                         // the receiver has seen a newer term
	Stale                          // the run is not newer than one that already ended there
	Late                           // the lease given with the order has expired
	Full                           // the worker has no free capacity
	Replaced                       // the process at the address was replaced by a new one
	Garbled                        // the answer cannot be decoded
	Forbidden                      // the other side does not permit this call
)

var kindNames = [...]string{
	"", "unsent", "undone", "doubt", "moved", "forgotten", "fenced", "stale", "late", "full", "reborn", "garbled", "forbidden",
}

// String returns the name of the kind.
func (k Kind) String() string {
	if k <= 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Error is a failed call to an external system.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error. The outcome of an error of another type
// is unknown, so its kind is OutcomeUnknown.
func KindOf(err error) Kind {
	var own *Error
	if errors.As(err, &own) {
		return own.Kind
	}
	return OutcomeUnknown
}
