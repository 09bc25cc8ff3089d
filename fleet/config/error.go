package config

// Kind sorts wrong settings.
type Kind int

// The kinds of wrong setting.
const (
	Environment Kind = iota + 1 // a variable cannot be read
	Value                       // a value is not allowed
)

// Error is a setting that cannot be used.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns operation and cause.
func (e *Error) Error() string { return e.Op + ": " + e.Text }
