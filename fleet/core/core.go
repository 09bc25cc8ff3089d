// Package core runs the controllers of a daemon on its shared board. All control
// decisions are made here: events and the time come in, actions go out.
package core

import (
	"time"

	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/gang"
	"dragonflydeck.example/fleet/gate"
	"dragonflydeck.example/fleet/gossip"
	"dragonflydeck.example/fleet/home"
	"dragonflydeck.example/fleet/lead"
	"dragonflydeck.example/fleet/lease"
	"dragonflydeck.example/fleet/replay"
	"dragonflydeck.example/fleet/seat"
	"dragonflydeck.example/fleet/snap"
)

// Controller is one part of the control logic. It reads and writes the board.
type Controller interface {
	Step(b *board.Board)
}

// Core is the control state of one daemon and its controllers. It must be used by
// one goroutine only.
type Core struct {
	Board *board.Board
	Gangs *gang.Controller

	controllers []Controller
	ready       bool // as last recorded
}

// New returns the core of a daemon in a failure domain with the given number of
// seats.
func New(self board.Identity, seats int32) *Core {
	gangs := gang.New()
	return &Core{
		Board: board.New(self),
		Gangs: gangs,
		controllers: []Controller{
			replay.New(), gossip.New(), lead.New(), lease.New(), gate.New(),
			gangs, home.New(), seat.New(seats), snap.New(),
		},
	}
}

// Step processes events at the given time and returns the actions to carry out.
func (c *Core) Step(now time.Time, events []board.Event) []board.Action {
	b := c.Board
	b.Now, b.Events = now, events
	for _, controller := range c.controllers {
		controller.Step(b)
		b.Changed = append(b.Changed, b.State.TakeChanged()...)
	}
	b.Changed = nil
	c.noteReadiness()
	for _, e := range events {
		if a, ok := e.(board.Appended); ok {
			b.Outbox.BatchDone(now, a.Err)
		}
	}
	if batch := b.Outbox.Batch(now, b.Log.ReadAt); len(batch) > 0 {
		b.Do(board.AppendLog{Entries: batch})
	}
	return b.TakeActions()
}

// Ready reports whether the daemon can serve callers.
func (c *Core) Ready() bool { return c.UnreadyReason() == "" }

// UnreadyReason returns why callers should use another daemon, or "" if this one is
// ready.
func (c *Core) UnreadyReason() string {
	switch b := c.Board; {
	case !b.Log.Loaded:
		return "the state is not loaded: neither the log nor a peer has answered"
	case b.Leaving:
		return "the daemon is shutting down"
	case !b.RunnerReachable:
		return "the daemon has no runner slots yet and has not heard of a peer"
	}
	return ""
}

// noteReadiness records when the daemon becomes ready or unready.
func (c *Core) noteReadiness() {
	if c.ready == c.Ready() {
		return
	}
	c.ready = !c.ready
	host := string(c.Board.Self.Host)
	if c.ready {
		c.Board.Emit(event.ProcessReady, host, "callers are served")
		return
	}
	c.Board.Emit(event.ProcessUnready, host, c.UnreadyReason())
}
