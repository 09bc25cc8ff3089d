// Package gate decides whether tasks may start in the daemon's failure domain:
// only while it is certain that no operator has taken it out of service.
package gate

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/member"
)

// Limits on the age of what the daemon knows.
const (
	// MaxLogAge is how long ago the end of the log may have been reached.
	MaxLogAge = 4 * time.Second
	// MaxLogDownAge is how long ago every other daemon may have reported that the
	// log does not answer it either.
	MaxLogDownAge = 4 * time.Second
)

// Controller is the controller of the gate.
type Controller struct{}

// New returns the controller.
func New() *Controller { return &Controller{} }

// Step opens or closes the gate.
func (c *Controller) Step(b *board.Board) {
	g := decide(b)
	if g.Open != b.Gate.Open {
		noteChange(b, g)
	}
	b.Gate = g
}

// noteChange records that the gate was opened or closed.
func noteChange(b *board.Board, g board.Gate) {
	if g.Open {
		b.Emit(event.GateOpened, string(b.Self.Domain), "tasks may start")
		return
	}
	b.Emit(event.GateClosed, string(b.Self.Domain), g.Why)
}

// decide opens the gate if the domain is in service and the log was read a short
// time ago, or if nobody else can read the log either.
func decide(b *board.Board) board.Gate {
	id := b.Self.Domain
	switch {
	case !b.Log.Loaded:
		return board.Gate{Why: "the state is not loaded"}
	case b.State.OutOfService(id):
		return board.Gate{Why: fmt.Sprintf("%s is out of service: %s", id, b.State.Domains[id].GetWhy())}
	case b.HeldOut(id) != nil:
		return board.Gate{Why: fmt.Sprintf("%s is kept out of service by an operator's order that the log has not recorded yet", id)}
	case b.Now.Sub(b.Log.SyncedAt) <= MaxLogAge:
		return board.Gate{Open: true}
	}
	if who := mayKnowOrder(b); who != "" {
		return board.Gate{Why: fmt.Sprintf("the log does not answer, and %s may know of an order that %s does not", who, b.Self.Host)}
	}
	return board.Gate{Open: true, WithoutLog: true}
}

// mayKnowOrder returns a daemon that may have read an order from the log, or "" if
// all have reported within MaxLogDownAge that the log does not answer them.
func mayKnowOrder(b *board.Board) string {
	if !b.Log.Down {
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
	for _, p := range b.Members.Peers() {
		if !reportsLogDown(b, p) {
			return string(p.ID)
		}
	}
	return silentDomain(b)
}

// reportsLogDown reports whether a peer has reported within MaxLogDownAge that the
// log does not answer it.
func reportsLogDown(b *board.Board, p member.Peer) bool {
	return p.LogDown && b.Now.Sub(p.ReportedAt) <= MaxLogDownAge
}

// silentDomain describes the daemons of a failure domain of which none has been
// heard from. It returns "" if there is no such domain.
func silentDomain(b *board.Board) string {
	heard := map[fleet.DomainID]bool{b.Self.Domain: true}
	for _, p := range b.Members.Peers() {
		heard[p.Domain] = true
	}
	for id := range b.Domains() {
		if !heard[id] {
			return "a daemon of " + string(id)
		}
	}
	return ""
}
