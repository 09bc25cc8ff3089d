// Package snap appends snapshots of the state, images, to the log before the
// log drops the records that led to the state.
package snap

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/wire"
)

// Limits that decide when an image is due, and who appends it.
const (
	// MaxRecordsBetween is the number of records after which an image is due.
	MaxRecordsBetween = 2000
	// DueShare is the share of the records still in the log after which an
	// image is due even if there are fewer than MaxRecordsBetween.
	DueShare = 0.5
	// RankDelay is how much longer each daemon waits than the one before it, in
	// the order of host IDs, so that usually only one appends a due image.
	RankDelay = 3 * time.Second
)

// Controller is the controller that appends images.
type Controller struct {
	lastImage fleet.Offset // offset up to which the newest image covers the log
	due       time.Time
}

// New returns the controller that appends images.
func New() *Controller { return &Controller{} }

// Step appends an image if one is due and the delay of this daemon's rank has
// passed.
func (c *Controller) Step(b *board.Board) {
	c.findLastImage(b)
	if !b.Log.Loaded || b.Log.Down || b.Leaving || !c.needed(b) {
		c.due = time.Time{}
		return
	}
	if c.due.IsZero() {
		c.due = b.Now.Add(c.rankDelay(b))
	}
	if b.Now.Before(c.due) {
		return
	}
	c.appendImage(b)
}

// findLastImage looks for the newest image among the recent records.
func (c *Controller) findLastImage(b *board.Board) {
	records := b.Recent.Records()
	for i := len(records) - 1; i >= 0; i-- {
		at := fleet.Offset(records[i].Offset)
		if at <= c.lastImage {
			return
		}
		if m := records[i].Entry.GetImage(); m != nil && m.Piece+1 == m.Pieces {
			c.lastImage = fleet.Offset(m.Upto)
			return
		}
	}
}

// needed reports whether the newest image is too old. Once the log has begun to
// drop records, an image is due when the records after the newest one exceed
// DueShare of all records in the log.
func (c *Controller) needed(b *board.Board) bool {
	if b.State.Next-c.lastImage > MaxRecordsBetween {
		return true
	}
	if b.Log.First <= 1 || b.State.Next-c.lastImage < 2 {
		return false
	}
	kept := float64(b.State.Next - b.Log.First)
	return float64(b.State.Next-c.lastImage) > DueShare*kept
}

func (c *Controller) rankDelay(b *board.Board) time.Duration {
	rank := 0
	for _, p := range b.Members.Peers() {
		if p.ID < b.Self.Host {
			rank++
		}
	}
	return time.Duration(rank) * RankDelay
}

func (c *Controller) appendImage(b *board.Board) {
	pieces := b.State.Images()
	c.lastImage = fleet.Offset(pieces[0].Upto)
	c.due = time.Time{}
	for _, p := range pieces {
		id := fmt.Sprintf("image/%s/%d/%d/%d", b.Self.Host, b.Self.Inc, p.Upto, p.Piece)
		b.Append(&wire.Entry{Id: id, Kind: &wire.Entry_Image{Image: p}})
	}
}
