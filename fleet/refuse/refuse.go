// Package refuse is how the fleet says no: what became of the work, and when
// to come back. It travels as a Twirp error with two meta keys.
package refuse

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
)

// Ran says what became of the work.
type Ran string

// What can have become of the work.
const (
	No      Ran = "no"      // it did not run and never will by this request
	Yes     Ran = "yes"     // it ran
	Unknown Ran = "unknown" // it may have run
)

// Keys of the meta values.
const (
	ranKey   = "ran"
	afterKey = "after"
)

// Error is a refusal.
type Error struct {
	Op    string
	Kind  twirp.ErrorCode
	Ran   Ran
	After time.Duration // when to come back; 0 if there is no use in it
	Text  string
}

// Error returns operation, cause, what became of the work and when to return.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s (ran: %s", e.Op, e.Text, e.Ran)
	if e.After > 0 {
		s += fmt.Sprintf(", come back after %s", e.After)
	}
	return s + ")"
}

// Twirp returns the form that travels.
func (e *Error) Twirp() twirp.Error {
	t := twirp.NewError(e.Kind, e.Op+": "+e.Text).WithMeta(ranKey, string(e.Ran))
	return t.WithMeta(afterKey, strconv.FormatInt(e.After.Milliseconds(), 10))
}

// From returns the refusal that an error carries. An error of another origin
// becomes one whose outcome is unknown, unless it says that nothing was sent.
func From(op string, err error) *Error {
	var own *Error
	if errors.As(err, &own) {
		return own
	}
	var t twirp.Error
	if !errors.As(err, &t) {
		return &Error{Op: op, Kind: twirp.Unavailable, Ran: Unknown, Text: err.Error()}
	}
	ms, _ := strconv.ParseInt(t.Meta(afterKey), 10, 64)
	ran := Ran(t.Meta(ranKey))
	if ran == "" {
		ran = guess(t)
	}
	return &Error{Op: op, Kind: t.Code(), Ran: ran, After: time.Duration(ms) * time.Millisecond, Text: t.Msg()}
}

// guess judges errors that a server gives before it looks at the work.
func guess(t twirp.Error) Ran {
	switch t.Code() {
	case twirp.Malformed, twirp.BadRoute, twirp.InvalidArgument, twirp.Unauthenticated:
		return No
	}
	return Unknown
}

// NotRun returns a refusal of work that did not run.
func NotRun(op string, kind twirp.ErrorCode, after time.Duration, format string, args ...any) *Error {
	return &Error{Op: op, Kind: kind, Ran: No, After: after, Text: fmt.Sprintf(format, args...)}
}

// Doubt returns a refusal of work that may have run.
func Doubt(op string, after time.Duration, format string, args ...any) *Error {
	return &Error{Op: op, Kind: twirp.Unavailable, Ran: Unknown, After: after, Text: fmt.Sprintf(format, args...)}
}
