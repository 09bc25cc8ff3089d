// Package refuse defines the error of a refused call: whether the work ran, and
// when to retry. On the wire it is a Twirp error with two meta keys.
package refuse

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
)

// Ran says whether the work of a refused call ran.
type Ran string

// The values of Ran.
const (
	No      Ran = "no"      // it did not run and will not run because of this request
	Yes     Ran = "yes"     // it ran
	Unknown Ran = "unknown" // it may have run
)

// The meta keys of the Twirp error.
const (
	ranKey   = "ran"
	afterKey = "after"
)

// Error is the error of a refused call.
type Error struct {
	Op         string
	Kind       twirp.ErrorCode
	Ran        Ran
	RetryAfter time.Duration // when to retry; 0 if a retry would not help
	Text       string
}

// Error returns the operation, the cause, whether the work ran and when to retry.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s (ran: %s", e.Op, e.Text, e.Ran)
	if e.RetryAfter > 0 {
		s += fmt.Sprintf(", retry after %s", e.RetryAfter)
	}
	return s + ")"
}

// Twirp converts the error to the form sent on the wire.
func (e *Error) Twirp() twirp.Error {
	t := twirp.NewError(e.Kind, e.Op+": "+e.Text).WithMeta(ranKey, string(e.Ran))
	return t.WithMeta(afterKey, strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
}

// From converts any error to an *Error. If err holds neither an *Error nor a
// Twirp error, the result says that it is unknown whether the work ran.
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
		ran = inferRan(t)
	}
	return &Error{Op: op, Kind: t.Code(), Ran: ran, RetryAfter: time.Duration(ms) * time.Millisecond, Text: t.Msg()}
}

// inferRan derives Ran from the code of an error that lacks the meta key. The
// codes that a server returns before it reaches the handler mean No.
func inferRan(t twirp.Error) Ran {
	switch t.Code() {
	case twirp.Malformed, twirp.BadRoute, twirp.InvalidArgument, twirp.Unauthenticated:
		return No
	}
	return Unknown
}

// NotRun returns the refusal of a call whose work did not run.
func NotRun(op string, kind twirp.ErrorCode, after time.Duration, format string, args ...any) *Error {
	return &Error{Op: op, Kind: kind, Ran: No, RetryAfter: after, Text: fmt.Sprintf(format, args...)}
}

// MayHaveRun returns the refusal of a call whose work may have run.
func MayHaveRun(op string, after time.Duration, format string, args ...any) *Error {
	return &Error{Op: op, Kind: twirp.Unavailable, Ran: Unknown, RetryAfter: after, Text: fmt.Sprintf(format, args...)}
}
