package home

import "fmt"

// Kind classifies errors.
type Kind int

// The kinds of errors.
const (
	Infeasible  Kind = iota + 1 // no failure domain is large enough for the job
	Unavailable                 // every failure domain that is large enough is out of service
	NoCapacity                  // the guarantee exceeds the free capacity
)

// Error says why no failure domain takes a job or a guarantee.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Op, e.Text) }
