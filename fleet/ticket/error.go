package ticket

import "fmt"

// Kind sorts refusals.
type Kind int

// The kinds of refusal.
const (
	Malformed Kind = iota + 1
	Full
	Expired
)

// Error is why a ticket is refused.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns operation and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Op, e.Text) }
