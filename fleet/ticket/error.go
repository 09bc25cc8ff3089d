package ticket

import "fmt"

// Kind is the kind of a refusal.
type Kind int

// The kinds of refusals.
const (
	Malformed Kind = iota + 1
	Full
	Expired
)

// Error is a refusal to issue or accept a ticket.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Op, e.Text) }
