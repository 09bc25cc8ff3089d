// Package fleet holds what every part of the scheduler shares: identifiers,
// units and the interfaces of external systems. Its subpackages hold the
// implementations and the scheduling decisions.
package fleet

import "dragonflydeck.example/fleet/wire"

// Log is the platform's append-only log. An Append that returned an error may
// still have taken effect.
type Log interface{ wire.Log }

// Roster is the platform's host list. It lags behind the actual state.
type Roster interface{ wire.Roster }

// Worker runs tasks under a lease and rejects terms older than the newest it has seen.
type Worker interface{ wire.Worker }

// Runner serves requests, at most one per slot at a time.
type Runner interface{ wire.Runner }

// Peer is another daemon of the fleet.
type Peer interface{ wire.Peer }
