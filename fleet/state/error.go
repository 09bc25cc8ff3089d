package state

import "fmt"

// Kind sorts the reasons for which a record has no effect.
type Kind int

// The kinds of refusal.
const (
	Conflict Kind = iota + 1 // somebody else's change came first
	Missing                  // what it is about does not exist
	Busy                     // what it is about is in use
	Stale                    // its term or attempt is over
	Broken                   // the record itself makes no sense
	Gap                      // records before it are missing
	Moved                    // what it was weighed against has changed
)

// String returns the kind for people.
func (k Kind) String() string {
	names := [...]string{"", "conflict", "missing", "busy", "stale", "broken", "gap", "moved"}
	return names[k]
}

// Error is why a record has no effect on the state.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns operation, kind and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Text)
}

func fail(op string, kind Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Text: fmt.Sprintf(format, args...)}
}
