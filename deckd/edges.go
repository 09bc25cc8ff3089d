package main

import (
	"dragonflydeck.example/deckd/daemon"
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/link"
)

// edges reach other processes over the network.
type edges struct {
	*link.Pool
	log, roster string
}

func newEdges(s *daemon.Settings) *edges {
	return &edges{Pool: link.NewPool(), log: s.Log, roster: s.Roster}
}

// Log returns the platform's log.
func (e *edges) Log() fleet.Log { return e.Pool.Log(e.log) }

// Roster returns the platform's host list.
func (e *edges) Roster() fleet.Roster { return e.Pool.Roster(e.roster) }

// Keep drops connections to addresses that neither the settings nor the host
// list name.
func (e *edges) Keep(used map[string]bool) {
	used[e.log], used[e.roster] = true, true
	e.Pool.Keep(used)
}
