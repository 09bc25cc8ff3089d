// Package keep appends the state again, as an image, before the records that
// made it leave the log.
package keep

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/wire"
)

// Bounds of compaction.
const (
	// RecordsBetween is after how many records an image is appended.
	RecordsBetween = 2000
	// ShedShare is the part of the kept log after which an image is due even
	// if fewer records came.
	ShedShare = 0.5
	// TurnSpan is how much longer each next daemon waits before it appends an
	// image that is due, so that mostly one does.
	TurnSpan = 3 * time.Second
)

// Control is the controller of compaction.
type Control struct {
	last fleet.Offset // where the newest image begins
	due  time.Time
}

// New returns the controller.
func New() *Control { return &Control{} }

// Step appends an image when one is due and it is this daemon's turn.
func (c *Control) Step(b *board.Board) {
	c.follow(b)
	if !b.Log.Loaded || b.Log.Blind || b.Leaving || !c.needed(b) {
		c.due = time.Time{}
		return
	}
	if c.due.IsZero() {
		c.due = b.Now.Add(c.turn(b))
	}
	if b.Now.Before(c.due) {
		return
	}
	c.append(b)
}

// follow finds the newest image among the records.
func (c *Control) follow(b *board.Board) {
	records := b.Recent.Records()
	for i := len(records) - 1; i >= 0; i-- {
		at := fleet.Offset(records[i].Offset)
		if at <= c.last {
			return
		}
		if m := records[i].Entry.GetImage(); m != nil && m.Piece+1 == m.Pieces {
			c.last = fleet.Offset(m.Upto)
			return
		}
	}
}

// needed reports whether the newest image is too far back. The log's first
// record moving on past half of what lies before the image hastens it.
func (c *Control) needed(b *board.Board) bool {
	if b.State.Next-c.last > RecordsBetween {
		return true
	}
	if b.Log.First <= 1 || b.State.Next-c.last < 2 {
		return false
	}
	kept := float64(b.State.Next - b.Log.First)
	return float64(b.State.Next-c.last) > ShedShare*kept
}

func (c *Control) turn(b *board.Board) time.Duration {
	rank := 0
	for _, p := range b.Members.All() {
		if p.ID < b.Self.Host {
			rank++
		}
	}
	return time.Duration(rank) * TurnSpan
}

func (c *Control) append(b *board.Board) {
	pieces := b.State.Images()
	c.last = fleet.Offset(pieces[0].Upto)
	c.due = time.Time{}
	for _, p := range pieces {
		id := fmt.Sprintf("image/%s/%d/%d/%d", b.Self.Host, b.Self.Inc, p.Upto, p.Piece)
		b.Append(&wire.Entry{Id: id, Kind: &wire.Entry_Image{Image: p}})
	}
}
