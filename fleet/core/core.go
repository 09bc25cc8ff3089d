// Package core orders the controllers around the blackboard. It is the whole of
// a daemon's control decisions: events and the time in, actions out.
package core

import (
	"time"

	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/gang"
	"dragonflydeck.example/fleet/gossip"
	"dragonflydeck.example/fleet/home"
	"dragonflydeck.example/fleet/keep"
	"dragonflydeck.example/fleet/lead"
	"dragonflydeck.example/fleet/lease"
	"dragonflydeck.example/fleet/permit"
	"dragonflydeck.example/fleet/seat"
	"dragonflydeck.example/fleet/tail"
)

// Controller reads and writes the board.
type Controller interface {
	Step(b *board.Board)
}

// Core is the control state of one daemon and the controllers on it. It
// belongs to one goroutine.
type Core struct {
	Board *board.Board
	Gangs *gang.Control

	controllers []Controller
	ready       bool
}

// New returns the core of a daemon whose failure domain has so many seats.
func New(self board.Self, seats int32) *Core {
	gangs := gang.New()
	return &Core{
		Board: board.New(self),
		Gangs: gangs,
		controllers: []Controller{
			tail.New(), gossip.New(), lead.New(), lease.New(), permit.New(),
			gangs, home.New(), seat.New(seats), keep.New(),
		},
	}
}

// Step takes events and the time, and returns what is to be done.
func (c *Core) Step(now time.Time, events []board.Event) []board.Action {
	b := c.Board
	b.Now, b.Events = now, events
	for _, p := range c.controllers {
		p.Step(b)
		b.Touched = append(b.Touched, b.State.Touched()...)
	}
	b.Touched = nil
	c.tell()
	for _, e := range events {
		if a, ok := e.(board.Appended); ok {
			b.Outbox.Done(now, a.Err)
		}
	}
	if batch := b.Outbox.Batch(now, b.Log.Direct); len(batch) > 0 {
		b.Do(board.AppendLog{Entries: batch})
	}
	return b.Take()
}

// Ready reports whether callers are served well by this daemon.
func (c *Core) Ready() bool { return c.Unready() == "" }

// Unready tells why callers are better served elsewhere, empty if they are not.
func (c *Core) Unready() string {
	switch b := c.Board; {
	case !b.Log.Loaded:
		return "the state is not loaded: neither the log nor a peer has answered"
	case b.Leaving:
		return "the daemon leaves"
	case !b.Reach:
		return "the daemon has no runner slots yet and has not heard of a peer"
	}
	return ""
}

// tell notes when the daemon becomes ready or no longer is.
func (c *Core) tell() {
	if c.ready == c.Ready() {
		return
	}
	c.ready = !c.ready
	host := string(c.Board.Self.Host)
	if c.ready {
		c.Board.Note(event.ProcessReady, host, "callers are served")
		return
	}
	c.Board.Note(event.ProcessUnready, host, c.Unready())
}
