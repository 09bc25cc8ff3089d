// Package replay follows the platform's log and applies its records to the state.
package replay

import (
	"fmt"
	"maps"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/render"
	"dragonflydeck.example/fleet/state"
	"dragonflydeck.example/fleet/wire"
)

// Timing of the log reads.
const (
	ReadWait = time.Second            // how long a read waits for a record
	MinRetry = 200 * time.Millisecond // first delay after a failed read
	MaxRetry = 2 * time.Second        // longest delay after a failed read
	// SlowAnswer is how late an answer may be before reads stop waiting for new
	// records. This keeps the view of the log recent while the log is slow.
	SlowAnswer = 500 * time.Millisecond
)

// Controller is the controller that reads the log.
type Controller struct {
	inFlight   bool
	notBefore  time.Time // time of the next read at the earliest
	retryDelay time.Duration
	logSlow    bool
	readWait   time.Duration // ReadWait or 0, of the read in flight
	searchFrom fleet.Offset  // read position while searching for an image, else 0
	pieces     state.Assembler
}

// New returns the controller.
func New() *Controller { return &Controller{} }

// Step applies the records that were read and starts the next read.
func (c *Controller) Step(b *board.Board) {
	for _, e := range b.Events {
		if r, ok := e.(board.LogRead); ok {
			c.handleRead(b, r)
		}
	}
	b.Outbox.Prune(func(id fleet.EntryID) bool { return isKnown(b, id) })
	if c.inFlight || b.Now.Before(c.notBefore) {
		return
	}
	c.inFlight, c.readWait = true, ReadWait
	if c.logSlow {
		c.readWait = 0
	}
	b.Do(board.ReadLog{From: c.readFrom(b), Wait: c.readWait})
}

// isKnown reports whether the state knows the outcome of an entry.
func isKnown(b *board.Board, id fleet.EntryID) bool {
	found, _ := b.State.Outcome(id)
	return found
}

func (c *Controller) readFrom(b *board.Board) fleet.Offset {
	if c.searchFrom > 0 {
		return c.searchFrom
	}
	return b.State.Next
}

func (c *Controller) handleRead(b *board.Board, r board.LogRead) {
	c.inFlight = false
	if r.Err != nil {
		c.readFailed(b, r.Err)
		return
	}
	c.retryDelay = 0
	c.logSlow = b.Now.Sub(r.AskedAt)-c.readWait > SlowAnswer
	if b.Log.Down {
		b.Log.Down = false
		b.Emit(event.LogSeen, "log", fmt.Sprintf("the log answers again; it ends at offset %d", r.Reply.End))
	}
	b.Log.End, b.Log.First = fleet.Offset(r.Reply.End), fleet.Offset(r.Reply.First)
	if b.State.Next < b.Log.First && c.searchFrom == 0 {
		c.searchFrom = b.Log.First
		return
	}
	if c.searchFrom > 0 {
		c.searchImage(b, r.Reply)
		return
	}
	c.applyEntries(b, r.Reply)
	if b.State.Next >= b.Log.End {
		c.caughtUp(b, r.AskedAt)
	}
}

func (c *Controller) caughtUp(b *board.Board, asked time.Time) {
	b.Log.Loaded = true
	if asked.After(b.Log.SyncedAt) {
		b.Log.SyncedAt = asked
	}
	b.Log.ReadAt = asked
}

func (c *Controller) readFailed(b *board.Board, err error) {
	c.retryDelay = min(max(2*c.retryDelay, MinRetry), MaxRetry)
	c.notBefore = b.Now.Add(c.retryDelay)
	if b.Log.Down {
		return
	}
	b.Log.Down = true
	b.Emit(event.LogBlind, "log", "read: "+err.Error())
}

func (c *Controller) applyEntries(b *board.Board, r *wire.ReadReply) {
	for _, s := range r.Entries {
		if !Apply(b, s) {
			return
		}
	}
}

// Apply applies one record to the state and emits an event that describes it. It
// reports false if earlier records are missing.
func Apply(b *board.Board, s *wire.Stamped) bool {
	if fleet.Offset(s.Offset) < b.State.Next {
		return true
	}
	if fleet.Offset(s.Offset) > b.State.Next {
		return false
	}
	err := b.State.Apply(fleet.Offset(s.Offset), s.Entry)
	b.Recent.AddRecord(s)
	delete(b.Holds, fleet.EntryID(s.Entry.GetId()))
	ev := render.Event(s, err)
	b.Do(board.LogEvent{Event: ev})
	return true
}

// searchImage looks in the log for a complete image of the state that covers all
// records that the log no longer holds.
func (c *Controller) searchImage(b *board.Board, r *wire.ReadReply) {
	for _, s := range r.Entries {
		c.searchFrom = fleet.Offset(s.Offset) + 1
		piece := s.Entry.GetImage()
		if piece == nil {
			continue
		}
		if whole := c.pieces.Add(piece); whole != nil && c.loadImage(b, whole) {
			return
		}
	}
	if c.searchFrom < b.Log.First {
		c.searchFrom = b.Log.First
	}
}

func (c *Controller) loadImage(b *board.Board, pieces []*wire.Image) bool {
	if fleet.Offset(pieces[0].Upto) < b.Log.First {
		return false
	}
	c.searchFrom = 0
	return Load(b, pieces)
}

// Load replaces the state by that of an image and reports whether it did. An
// image that is not newer than the state is ignored. Held orders that the image covers
// end, as their records may never be read.
func Load(b *board.Board, pieces []*wire.Image) bool {
	s, err := state.Load(pieces)
	if err != nil || s.Next <= b.State.Next {
		return false
	}
	b.State = s
	maps.DeleteFunc(b.Holds, func(id fleet.EntryID, _ *wire.Entry) bool { return isKnown(b, id) })
	b.Recent.DropRecords()
	for id := range s.Jobs {
		b.Changed = append(b.Changed, id)
	}
	b.Emit(event.StateLoaded, string(b.Self.Host), fmt.Sprintf("from an image of all records before offset %d", s.Next))
	return true
}
