package lease

import (
	"errors"

	"github.com/twitchtv/twirp"
)

// Fenced reports whether a worker refused a call because it has seen a newer term.
func Fenced(err error) bool {
	var te twirp.Error
	return errors.As(err, &te) && te.Code() == twirp.FailedPrecondition && te.Meta("kind") == "term"
}
