package quota

// Kind classifies invalid limits.
type Kind int

// The kinds of invalid limits.
const (
	Negative Kind = iota + 1 // a cap or a weight is below zero
)

// Error is an invalid limit.
type Error struct {
	Op    string
	Kind  Kind
	Field string
	Value string
}

// Error returns the operation, the field and its value.
func (e *Error) Error() string { return e.Op + ": the " + e.Field + " is " + e.Value }
