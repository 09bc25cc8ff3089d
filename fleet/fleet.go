// Package fleet holds what every part of the scheduler shares: identifiers,
// units and the interfaces of the systems around it. Implementations and
// decisions live in the packages below.
package fleet

import "dragonflydeck.example/fleet/wire"

// Log is the platform's append-only log. An Append that returns an error may
// still have taken effect.
type Log interface{ wire.Log }

// Roster is the platform's host list. It lags behind the hosts.
type Roster interface{ wire.Roster }

// Worker runs tasks under a lease and refuses terms older than it has seen.
type Worker interface{ wire.Worker }

// Runner answers requests in its slots.
type Runner interface{ wire.Runner }

// Peer is another daemon of the fleet.
type Peer interface{ wire.Peer }
