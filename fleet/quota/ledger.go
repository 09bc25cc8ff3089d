package quota

import (
	"maps"
	"slices"

	"dragonflydeck.example/fleet"
)

// Ledger counts what the runs of each workspace take.
type Ledger struct {
	used  map[account]fleet.Res
	total map[fleet.SpaceID]fleet.Res
}

// account is what a workspace uses of one service's workers.
type account struct {
	space   fleet.SpaceID
	service string
}

// NewLedger returns a ledger without runs.
func NewLedger() *Ledger {
	return &Ledger{used: map[account]fleet.Res{}, total: map[fleet.SpaceID]fleet.Res{}}
}

// Take counts a run on a worker of a service.
func (l *Ledger) Take(space fleet.SpaceID, service string, r fleet.Res) { l.add(space, service, r) }

// Release stops counting a run.
func (l *Ledger) Release(space fleet.SpaceID, service string, r fleet.Res) {
	l.add(space, service, fleet.Res{}.Sub(r))
}

func (l *Ledger) add(space fleet.SpaceID, service string, r fleet.Res) {
	if r.Zero() {
		return
	}
	a := account{space, service}
	addTo(l.used, a, r)
	addTo(l.total, space, r)
}

// addTo adds to an entry, and deletes one that becomes zero.
func addTo[K comparable](m map[K]fleet.Res, k K, r fleet.Res) {
	if sum := m[k].Add(r); !sum.Zero() {
		m[k] = sum
		return
	}
	delete(m, k)
}

// Used returns what the runs of a workspace take.
func (l *Ledger) Used(space fleet.SpaceID) fleet.Res { return l.total[space] }

// UsedOf returns what the runs of a workspace take on the workers of a service.
func (l *Ledger) UsedOf(space fleet.SpaceID, service string) fleet.Res {
	return l.used[account{space, service}]
}

// Active returns the workspaces with runs on a service's workers, in order of name.
func (l *Ledger) Active(service string) []fleet.SpaceID {
	var out []fleet.SpaceID
	for a := range l.used {
		if a.service == service {
			out = append(out, a.space)
		}
	}
	slices.Sort(out)
	return out
}

// Spaces returns the workspaces that use anything, in order of name.
func (l *Ledger) Spaces() []fleet.SpaceID { return slices.Sorted(maps.Keys(l.total)) }
