package config

// Kind classifies invalid settings.
type Kind int

// The kinds of invalid settings.
const (
	Environment Kind = iota + 1 // a variable cannot be parsed
	Value                       // a value is not allowed
)

// Error is an invalid setting.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Text }
