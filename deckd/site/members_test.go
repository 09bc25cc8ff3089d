package site

import (
	"context"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/mirror"
	qt "github.com/frankban/quicktest"
)

// batches answers reads of a topic one after the other.
type batches struct {
	fleet.Store
	answers []fleet.Batch
}

func (b *batches) Read(context.Context, fleet.Topic, fleet.Offset, time.Duration) (fleet.Batch, error) {
	next := b.answers[0]
	b.answers = b.answers[1:]
	return next, nil
}

// A read that does not reach the end of the topic says nothing about the records after
// it, such as a worker's notice that it leaves.
func TestReadThatEndsEarlyDoesNotRenewTheList(t *testing.T) {
	store := &batches{answers: []fleet.Batch{{Next: 3, End: 5}, {Next: 5, End: 5}}}
	applied := fleet.Offset(0)
	f := follower{
		site: &Site{deps: Dependencies{Store: store}}, loaded: true,
		apply: func(u mirror.Update) { applied = u.End },
	}
	qt.Assert(t, f.step(t.Context()), qt.IsNil)
	qt.Check(t, applied, qt.Equals, fleet.Offset(3))
	qt.Check(t, f.readAt.IsZero(), qt.IsTrue)
	begun := time.Now()
	qt.Assert(t, f.step(t.Context()), qt.IsNil)
	qt.Check(t, applied, qt.Equals, fleet.Offset(5))
	qt.Check(t, f.readAt.Before(begun), qt.IsFalse)
}
