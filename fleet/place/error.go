package place

import "fmt"

// ErrorKind is the kind of an Error.
type ErrorKind int

// The kinds of errors.
const (
	NoRoom ErrorKind = iota + 1 // the requested guarantee does not fit
)

// Error says why an operation was refused.
type Error struct {
	Op   string
	Kind ErrorKind
	Text string
}

// Error returns the operation and the reason.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Op, e.Text) }
