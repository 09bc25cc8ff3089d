package state

import "fmt"

// Kind classifies the reasons why a record has no effect.
type Kind int

// The kinds of refused records.
const (
	Conflict Kind = iota + 1 // another change came first
	Missing                  // the object does not exist
	Busy                     // the object is in use
	Stale                    // the term or attempt has ended
	Broken                   // the record is invalid
	Gap                      // earlier records are missing
	Moved                    // the configuration that the record was computed for has changed
)

// String returns the kind in lower case, as it is printed.
func (k Kind) String() string {
	names := [...]string{"", "conflict", "missing", "busy", "stale", "broken", "gap", "moved"}
	return names[k]
}

// Error says why a record has no effect on the state.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Text)
}

func fail(op string, kind Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Text: fmt.Sprintf(format, args...)}
}
