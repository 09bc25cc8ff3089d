package outbox_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/outbox"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func ids(list []*wire.Entry) string {
	out := ""
	for _, e := range list {
		out += e.Id
	}
	return out
}

func put(b *outbox.Outbox, names ...string) {
	for _, n := range names {
		b.Put(&wire.Entry{Id: n})
	}
}

// An entry whose append failed is sent again only after the log was read, and later
// entries must not overtake it.
func TestFailedEntriesAreResentInOrderAfterARead(t *testing.T) {
	b := outbox.New()
	put(b, "a", "b")
	at := start
	qt.Assert(t, ids(b.Batch(at, at)), qt.Equals, "ab")
	b.BatchDone(at, errors.New("lost"))
	put(b, "c")
	at = at.Add(time.Second)
	qt.Assert(t, ids(b.Batch(at, start)), qt.Equals, "", qt.Commentf("the log was not read since"))
	b.Prune(func(id fleet.EntryID) bool { return id == "a" })
	qt.Assert(t, ids(b.Batch(at, at)), qt.Equals, "bc")
	b.BatchDone(at, nil)
	b.Prune(func(fleet.EntryID) bool { return true })
	qt.Assert(t, b.Len(), qt.Equals, 0)
}

func TestRetriesBackOff(t *testing.T) {
	b := outbox.New()
	put(b, "a")
	at, sent := start, 0
	for range 600 { // a minute of failures
		if len(b.Batch(at, at)) > 0 {
			sent++
			b.BatchDone(at, errors.New("down"))
		}
		at = at.Add(100 * time.Millisecond)
	}
	qt.Assert(t, sent < 25, qt.IsTrue, qt.Commentf("sent %d times", sent))
	qt.Assert(t, sent > 10, qt.IsTrue, qt.Commentf("sent %d times", sent))
}

func TestOnlyAnUnsentEntryCanBeWithdrawn(t *testing.T) {
	b := outbox.New()
	put(b, "a")
	b.Batch(start, start)
	put(b, "b")
	qt.Assert(t, b.Withdraw("a"), qt.IsFalse)
	qt.Assert(t, b.Withdraw("b"), qt.IsTrue)
	qt.Assert(t, b.Has("a"), qt.IsTrue)
	qt.Assert(t, b.Has("b"), qt.IsFalse)
}

func TestOutboxIsBounded(t *testing.T) {
	b := outbox.New()
	for i := range outbox.MaxPending {
		qt.Assert(t, b.Put(&wire.Entry{Id: fmt.Sprint(i)}), qt.IsTrue)
	}
	qt.Assert(t, b.Put(&wire.Entry{Id: "more"}), qt.IsFalse)
	qt.Assert(t, b.Batch(start, start), qt.HasLen, outbox.MaxBatch)
}
