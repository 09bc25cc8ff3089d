// Package permit decides whether tasks may start in the daemon's failure
// domain: only while it is known that operators have not taken it out.
package permit

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/member"
)

// Spans of the permit.
const (
	// FreshSpan is how old the knowledge of the log's end may be.
	FreshSpan = 4 * time.Second
	// BlindSpan is how old the word of every other daemon may be that the log
	// does not answer it either.
	BlindSpan = 4 * time.Second
)

// Control is the controller of the gate.
type Control struct{}

// New returns the controller.
func New() *Control { return &Control{} }

// Step opens or closes the gate.
func (c *Control) Step(b *board.Board) {
	g := decide(b)
	if g.Open != b.Gate.Open {
		tell(b, g)
	}
	b.Gate = g
}

func tell(b *board.Board, g board.Gate) {
	if g.Open {
		b.Note(event.GateOpened, string(b.Self.Domain), "tasks may start")
		return
	}
	b.Note(event.GateClosed, string(b.Self.Domain), g.Why)
}

func decide(b *board.Board) board.Gate {
	id := b.Self.Domain
	switch {
	case !b.Log.Loaded:
		return board.Gate{Why: "the state is not loaded"}
	case b.State.Out(id):
		return board.Gate{Why: fmt.Sprintf("%s is out of service: %s", id, b.State.Domains[id].GetWhy())}
	case b.HeldOut(id) != nil:
		return board.Gate{Why: fmt.Sprintf("%s is held out by order until the log answers", id)}
	case b.Now.Sub(b.Log.Fresh) <= FreshSpan:
		return board.Gate{Open: true}
	}
	if who := doubt(b); who != "" {
		return board.Gate{Why: fmt.Sprintf("the log does not answer, and %s may know of an order that %s does not", who, b.Self.Host)}
	}
	return board.Gate{Open: true, Blind: true}
}

// doubt names a daemon that may have reached the log, or is empty if every one
// has just said that it can't.
func doubt(b *board.Board) string {
	if !b.Log.Blind {
		return string(b.Self.Host)
	}
	for id, h := range b.Hosts {
		if h.Role.String() != "ENTRY" || id == b.Self.Host {
			continue
		}
		if _, ok := b.Members.Get(id); !ok {
			return string(id)
		}
	}
	for _, p := range b.Members.All() {
		if !blind(b, p) {
			return string(p.ID)
		}
	}
	return silentDomain(b)
}

func blind(b *board.Board, p member.Peer) bool {
	return p.Blind && b.Now.Sub(p.Said) <= BlindSpan
}

// silentDomain names a failure domain with workers but no daemon heard from.
func silentDomain(b *board.Board) string {
	heard := map[fleet.DomainID]bool{b.Self.Domain: true}
	for _, p := range b.Members.All() {
		heard[p.Domain] = true
	}
	for id := range b.Domains() {
		if !heard[id] {
			return "a daemon of " + string(id)
		}
	}
	return ""
}
