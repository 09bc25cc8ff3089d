package daemon

import (
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Clients gives access to the systems around the daemon.
type Clients interface {
	Log() fleet.Log
	Roster() fleet.Roster
	Worker(addr string) fleet.Worker
	Runner(addr string) fleet.Runner
	Peer(addr string) fleet.Peer
	Desk(addr string) wire.Desk
	// Retain closes connections to all addresses that are not in used.
	Retain(used map[string]bool)
	// CloseIdle closes the idle connections to an address.
	CloseIdle(addr string)
}
