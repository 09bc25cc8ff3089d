package sched

import (
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/voter"
)

// succession is what a lead knows about the end of its predecessors. One that hears neither the
// store nor this lead goes on to renew leases for as long as a majority of its voters confirms
// it. That ends once so many of them know this lead that the others are no majority: a daemon
// never confirms a term that is older than one it knows.
type succession struct {
	followers map[fleet.HostID]bool // daemons that know this lead
	askedAt   time.Time             // when the peers were last asked
	settled   bool                  // no former lead can be confirmed any more
	renewedAt time.Time             // when foreign leases were last assumed to be renewed
}

// noteFollower records that a peer knows this lead.
func (sc *Scheduler) noteFollower(host fleet.HostID) {
	if !sc.succession.settled {
		sc.succession.followers[host], sc.rolls.mayDiffer = true, true
		sc.settleSuccession()
	}
}

// settleSuccession notes when all former leads are over. From then on they go on for as long as it
// takes to notice.
func (sc *Scheduler) settleSuccession() {
	s := &sc.succession
	if slices.ContainsFunc(sc.rolls.stored.Former, func(t voter.Tenure) bool { return !sc.isOver(t) }) {
		return
	}
	s.settled, sc.rolls.mayDiffer = true, true
	sc.assumeForeignLeases()
	sc.logf(event.LeadSettled, string(sc.self.Host), "term=%d followers=%d after=%s", sc.term, len(s.followers), sc.now.Sub(sc.leadingSince))
}

// assumeForeignLeases assumes that a former lead renews the leases of all workers that have not
// accepted this lead's term, until it notices that it was replaced or cut off.
func (sc *Scheduler) assumeForeignLeases() {
	sc.succession.renewedAt = sc.now
	for _, w := range sc.pool.Workers {
		if !w.Synced {
			w.ExpectForeignLeases(sc.now.Add(aloneDetection))
		}
	}
}

// checkSuccession asks the peers whether they know this lead, until enough do. Load pattern: a
// failure domain is cut off together with the store, and a daemon in it takes the lead, while
// the former one goes on with the majority of the daemons. The tasks there must not start again.
func (sc *Scheduler) checkSuccession() {
	s := &sc.succession
	if s.settled {
		return
	}
	if sc.now.Sub(s.renewedAt) >= superviseInterval {
		sc.assumeForeignLeases()
		sc.settleSuccession()
	}
	if s.askedAt.IsZero() || sc.now.Sub(s.askedAt) >= quorumInterval {
		s.askedAt = sc.now
		sc.emit(AskPeers{All: true})
	}
}
