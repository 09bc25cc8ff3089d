package client

import (
	"errors"
	"fmt"
)

// Kind says how far a failed call got.
type Kind int

// The kinds of failed calls.
const (
	Unsent     Kind = iota + 1 // no byte was sent
	Unanswered                 // bytes may have been sent, and no answer arrived
)

// Error is a failed call.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether err says that no byte was sent.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == Unsent
}
