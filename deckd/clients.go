package main

import (
	"dragonflydeck.example/deckd/daemon"
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/client"
)

// clients connects the daemon to other processes over the network.
type clients struct {
	*client.Pool
	log, roster string
}

func newClients(settings *daemon.Settings) *clients {
	return &clients{Pool: client.NewPool(), log: settings.Log, roster: settings.Roster}
}

// Log returns the platform's log.
func (c *clients) Log() fleet.Log { return c.Pool.Log(c.log) }

// Roster returns the platform's host list.
func (c *clients) Roster() fleet.Roster { return c.Pool.Roster(c.roster) }

// Retain closes connections to addresses that are in neither the settings nor
// the host list.
func (c *clients) Retain(used map[string]bool) {
	used[c.log], used[c.roster] = true, true
	c.Pool.Retain(used)
}
