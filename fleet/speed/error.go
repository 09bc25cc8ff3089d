package speed

import "fmt"

// Kind classifies the reasons why a record is not restored.
type Kind int

// The kinds of records that are not restored.
const (
	BadHost   Kind = iota + 1 // the host or the service is empty
	BadMean                   // the mean is not a number or outside the grid
	BadSpread                 // the spread is not a number or out of range
	BadCount                  // there is no measurement
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := [...]string{"", "bad host", "bad mean", "bad spread", "bad count"}
	if k <= 0 || int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Error says why a record was refused.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Text) }
