package home

import "fmt"

// Kind sorts refusals.
type Kind int

// The kinds of refusal.
const (
	Never  Kind = iota + 1 // no failure domain is large enough
	Closed                 // those that are can't be used now
	Short                  // the guarantee does not fit
)

// Error is why a job or a guarantee has no home.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns operation and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Op, e.Text) }
