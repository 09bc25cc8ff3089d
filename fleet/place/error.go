package place

import "fmt"

// ErrorKind sorts refusals.
type ErrorKind int

// The kinds of refusal.
const (
	NoRoom ErrorKind = iota + 1 // the guarantee does not fit
)

// Error is why something is refused.
type Error struct {
	Op   string
	Kind ErrorKind
	Text string
}

// Error returns operation and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Op, e.Text) }
