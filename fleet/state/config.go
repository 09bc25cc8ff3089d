package state

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// SeatCooldown is how long a seat stays unused after it is taken from a holder that
// did not give it back. It exceeds the longest time that a request may run.
const SeatCooldown = 35 * time.Second

func (s *State) setSpace(at fleet.Offset, w *wire.Space) error {
	id := fleet.SpaceID(w.GetName())
	if id == "" {
		return fail("set workspace", Broken, "the workspace has no name")
	}
	if have := s.Spaces[id].GetRev(); have != w.Rev {
		return fail("set workspace", Conflict, "%s is at revision %d, not %d", id, have, w.Rev)
	}
	if len(w.Homes) > 0 && fleet.Offset(w.Seen) != s.Config {
		return fail("set workspace", Moved, "the configuration is at %d, but the guarantee was computed for %d", s.Config, w.Seen)
	}
	set := &wire.Space{Name: w.Name, Shapes: w.Shapes, Quota: w.Quota, Homes: w.Homes, Rev: int64(at)}
	s.Spaces[id] = set
	s.Config = at
	return nil
}

func (s *State) dropSpace(at fleet.Offset, d *wire.Drop) error {
	id := fleet.SpaceID(d.GetName())
	w, ok := s.Spaces[id]
	if !ok {
		return fail("remove workspace", Missing, "no workspace %s", id)
	}
	if w.Rev != d.Base {
		return fail("remove workspace", Conflict, "%s is at revision %d, not %d", id, w.Rev, d.Base)
	}
	if n := s.countLive(id); n > 0 {
		return fail("remove workspace", Busy, "%s has %d jobs that have not ended", id, n)
	}
	delete(s.Spaces, id)
	s.Config = at
	return nil
}

func (s *State) countLive(id fleet.SpaceID) int {
	n := 0
	for _, j := range s.Jobs {
		if j.Spec.Space == string(id) && !Ended(j.Phase) {
			n++
		}
	}
	return n
}

func (s *State) turnDomain(at fleet.Offset, when int64, t *wire.Turn) error {
	id := fleet.DomainID(t.GetName())
	if id == "" {
		return fail("turn failure domain", Broken, "the failure domain has no name")
	}
	if have := s.Domains[id].GetRev(); have != t.Base {
		return fail("turn failure domain", Conflict, "%s is at revision %d, not %d", id, have, t.Base)
	}
	d := s.Domain(id)
	d.Out, d.Drain, d.Why = t.Out, t.Drain, t.Why
	d.Rev, d.Since = int64(at), when
	s.Config = at
	return nil
}

func (s *State) claim(at fleet.Offset, c *wire.Claim) error {
	id := fleet.DomainID(c.GetDomain())
	if have := s.Domains[id].GetTerm(); have != c.GetPrev() {
		return fail("claim lead", Conflict, "%s is in term %d, not %d", id, have, c.GetPrev())
	}
	d := s.Domain(id)
	d.Lead, d.Inc, d.Term = c.Host, c.Inc, int64(at)
	d.Before, d.Lease = d.Lease, c.Lease
	return nil
}

// seat assigns a seat to a host, or frees it if the host is empty. A seat that
// was not given back must not be used for SeatCooldown, because requests of its
// last holder may still occupy the runners.
func (s *State) seat(at fleet.Offset, when int64, w *wire.Seat) error {
	key := SeatKey{fleet.DomainID(w.GetDomain()), w.GetSeat()}
	have, ok := s.Seats[key]
	if have.GetRev() != w.GetPrev() {
		return fail("take seat", Conflict, "seat %d of %s is at revision %d, not %d", key.Seat, key.Domain, have.GetRev(), w.GetPrev())
	}
	cooldownEnd := have.GetRest() // from an earlier holder; giving the seat back does not shorten it
	if ok && have.Host != "" && w.Host != "" {
		cooldownEnd = max(cooldownEnd, when+SeatCooldown.Milliseconds())
	}
	s.Seats[key] = &wire.Seated{Domain: w.Domain, Seat: w.Seat, Host: w.Host, Inc: w.Inc, Rev: int64(at), Rest: cooldownEnd}
	return nil
}
