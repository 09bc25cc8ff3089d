package link

import (
	"errors"
	"fmt"
)

// Kind says how far a call came.
type Kind int

// The kinds of failed calls.
const (
	Unsent Kind = iota + 1 // no byte left this process
	Owed                   // bytes may have left, the answer is missing
)

// Error is a failed call.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns operation and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether an error says that no byte left this process.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == Unsent
}
