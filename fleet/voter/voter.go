// Package voter keeps whose answers may confirm the leads of a site. A lead that does not reach the
// store goes on for as long as a majority of its voters confirms it. Its successor reads these
// voters from the store, so that both count the same processes, and knows from their answers when
// no majority of them is left.
package voter

import (
	"cmp"
	"slices"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/clock"
	"dragonflydeck.example/fleet/wire"
)

// Process is one process of a daemon. One that starts anew on the same host is another voter, as it
// has forgotten which lead it knew.
type Process struct {
	Host fleet.HostID
	Inc  fleet.Incarnation
}

// Set is a set of processes, one for each host, in the order of the hosts.
type Set []Process

// NewSet returns the set of the processes.
func NewSet(all []Process) Set {
	s := slices.Clone(all)
	slices.SortFunc(s, func(a, b Process) int { return cmp.Compare(a.Host, b.Host) })
	return s
}

// count returns how many of the processes have a property.
func (s Set) count(has func(Process) bool) int {
	n := 0
	for _, p := range s {
		if has(p) {
			n++
		}
	}
	return n
}

// Majority reports whether more than half of the processes have confirmed a lead.
func (s Set) Majority(confirmed func(Process) bool) bool { return 2*s.count(confirmed) > len(s) }

// Tenure is a lead's time in office.
type Tenure struct {
	Lead     Process
	Voters   Set           // that may confirm the lead while the store does not answer
	Replaced clock.Reading // when a later lead read this; 0 if that is not known
}

// Over reports whether the lead can no longer be confirmed, as it or half of its voters are released:
// they know a later lead or have left, and confirm no earlier one again.
func (t Tenure) Over(released func(Process) bool) bool {
	return released(t.Lead) || 2*t.Voters.count(released) >= len(t.Voters)
}

func (t Tenure) equal(o Tenure) bool {
	return t.Lead == o.Lead && t.Replaced == o.Replaced && slices.Equal(t.Voters, o.Voters)
}

// Roll holds whose answers may confirm the leads that may still act.
type Roll struct {
	Present Tenure
	Former  []Tenure // those that may not have noticed that they were replaced
}

// Equal reports whether two rolls hold the same.
func (r Roll) Equal(o Roll) bool {
	return r.Present.equal(o.Present) && slices.EqualFunc(r.Former, o.Former, Tenure.equal)
}

// Succeed returns the roll of a lead that follows the one whose roll is given. A former lead whose
// tenure is already listed with the same voters is listed once; that tenure ends with the majority.
func (r Roll) Succeed(lead Process, voters Set) Roll {
	next := Roll{Present: Tenure{Lead: lead, Voters: voters}, Former: slices.Clone(r.Former)}
	former := r.Present
	next.Former = slices.DeleteFunc(next.Former, func(t Tenure) bool {
		if !slices.Equal(t.Voters, former.Voters) {
			return false
		}
		if t.Lead != former.Lead {
			former.Lead = Process{}
		}
		return true
	})
	next.Former = append(next.Former, former)
	return next
}

// Wire returns the roll as it is stored.
func (r Roll) Wire() *wire.Roll {
	w := &wire.Roll{Present: r.Present.wire()}
	for _, t := range r.Former {
		w.Former = append(w.Former, t.wire())
	}
	return w
}

func (t Tenure) wire() *wire.Tenure {
	w := &wire.Tenure{Lead: t.Lead.wire(), Replaced: int64(t.Replaced)}
	for _, p := range t.Voters {
		w.Voters = append(w.Voters, p.wire())
	}
	return w
}

func (p Process) wire() *wire.Voter { return &wire.Voter{Host: string(p.Host), Inc: int64(p.Inc)} }

// FromWire returns a stored roll.
func FromWire(w *wire.Roll) Roll {
	r := Roll{Present: tenure(w.GetPresent())}
	for _, t := range w.GetFormer() {
		r.Former = append(r.Former, tenure(t))
	}
	return r
}

func tenure(w *wire.Tenure) Tenure {
	t := Tenure{Lead: process(w.GetLead()), Replaced: clock.Reading(w.GetReplaced())}
	for _, v := range w.GetVoters() {
		t.Voters = append(t.Voters, process(v))
	}
	return t
}

func process(v *wire.Voter) Process {
	return Process{Host: fleet.HostID(v.GetHost()), Inc: fleet.Incarnation(v.GetInc())}
}
