package daemon

import (
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Edges reach the systems around the daemon.
type Edges interface {
	Log() fleet.Log
	Roster() fleet.Roster
	Worker(addr string) fleet.Worker
	Runner(addr string) fleet.Runner
	Peer(addr string) fleet.Peer
	Desk(addr string) wire.Desk
	// Keep drops connections to addresses that are not among these.
	Keep(used map[string]bool)
	// Rest closes the connections to an address that no call uses.
	Rest(addr string)
}
