// Package tail follows the platform's log and folds its records into the state.
package tail

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/note"
	"dragonflydeck.example/fleet/state"
	"dragonflydeck.example/fleet/wire"
)

// Spans of the reader.
const (
	ReadWait = time.Second // a read waits so long for a record
	MinRetry = 200 * time.Millisecond
	MaxRetry = 2 * time.Second
	// SlowSpan is how late an answer may be before reads wait for no record, so
	// that the age of what is known stays small while the log is slow.
	SlowSpan = 500 * time.Millisecond
)

// Control is the controller of the log's tail.
type Control struct {
	flying bool
	next   time.Time // no read before
	retry  time.Duration
	slow   bool
	wait   time.Duration // of the read in flight
	seek   fleet.Offset  // read position while an image is looked for, else 0
	gather state.Gather
}

// New returns the controller.
func New() *Control { return &Control{} }

// Step folds what was read and asks for more.
func (c *Control) Step(b *board.Board) {
	for _, e := range b.Events {
		if r, ok := e.(board.LogRead); ok {
			c.read(b, r)
		}
	}
	b.Outbox.Met(func(id fleet.EntryID) bool {
		found, _ := b.State.Outcome(id)
		return found
	})
	if c.flying || b.Now.Before(c.next) {
		return
	}
	c.flying, c.wait = true, ReadWait
	if c.slow {
		c.wait = 0
	}
	b.Do(board.ReadLog{From: c.from(b), Wait: c.wait})
}

func (c *Control) from(b *board.Board) fleet.Offset {
	if c.seek > 0 {
		return c.seek
	}
	return b.State.Next
}

func (c *Control) read(b *board.Board, r board.LogRead) {
	c.flying = false
	if r.Err != nil {
		c.failed(b, r.Err)
		return
	}
	c.retry = 0
	c.slow = b.Now.Sub(r.Asked)-c.wait > SlowSpan
	if b.Log.Blind {
		b.Log.Blind = false
		b.Note(event.LogSeen, "log", fmt.Sprintf("the log answers again, its end is %d", r.Reply.End))
	}
	b.Log.End, b.Log.First = fleet.Offset(r.Reply.End), fleet.Offset(r.Reply.First)
	if b.State.Next < b.Log.First && c.seek == 0 {
		c.seek = b.Log.First
		return
	}
	if c.seek > 0 {
		c.search(b, r.Reply)
		return
	}
	c.fold(b, r.Reply)
	if b.State.Next >= b.Log.End {
		c.caught(b, r.Asked)
	}
}

func (c *Control) caught(b *board.Board, asked time.Time) {
	b.Log.Loaded = true
	if asked.After(b.Log.Fresh) {
		b.Log.Fresh = asked
	}
	b.Log.Direct = asked
}

func (c *Control) failed(b *board.Board, err error) {
	c.retry = min(max(2*c.retry, MinRetry), MaxRetry)
	c.next = b.Now.Add(c.retry)
	if b.Log.Blind {
		return
	}
	b.Log.Blind = true
	b.Note(event.LogBlind, "log", "read: "+err.Error())
}

func (c *Control) fold(b *board.Board, r *wire.ReadReply) {
	for _, s := range r.Entries {
		if !Apply(b, s) {
			return
		}
	}
}

// Apply folds one record and notes what it changed. It reports false if
// records before it are missing.
func Apply(b *board.Board, s *wire.Stamped) bool {
	if fleet.Offset(s.Offset) < b.State.Next {
		return true
	}
	if fleet.Offset(s.Offset) > b.State.Next {
		return false
	}
	err := b.State.Apply(fleet.Offset(s.Offset), s.Entry)
	b.Recent.Keep(s)
	delete(b.Holds, fleet.EntryID(s.Entry.GetId()))
	ev := note.Of(s, err)
	b.Do(board.Note{Event: ev})
	return true
}

// search looks for a whole image that reaches past the oldest record.
func (c *Control) search(b *board.Board, r *wire.ReadReply) {
	for _, s := range r.Entries {
		c.seek = fleet.Offset(s.Offset) + 1
		piece := s.Entry.GetImage()
		if piece == nil {
			continue
		}
		if whole := c.gather.Add(piece); whole != nil && c.load(b, whole) {
			return
		}
	}
	if c.seek < b.Log.First {
		c.seek = b.Log.First
	}
}

func (c *Control) load(b *board.Board, pieces []*wire.Image) bool {
	if fleet.Offset(pieces[0].Upto) < b.Log.First {
		return false
	}
	c.seek = 0
	return Load(b, pieces)
}

// Load replaces the state by a newer one and reports whether it did. An older
// image never replaces a newer state.
func Load(b *board.Board, pieces []*wire.Image) bool {
	s, err := state.Load(pieces)
	if err != nil || s.Next <= b.State.Next {
		return false
	}
	b.State = s
	b.Recent.Cut()
	for id := range s.Jobs {
		b.Touched = append(b.Touched, id)
	}
	b.Note(event.StateLoaded, string(b.Self.Host), fmt.Sprintf("from an image up to record %d", s.Next))
	return true
}
