package quota

import (
	"maps"
	"slices"

	"dragonflydeck.example/fleet"
)

// Ledger counts what the runs of each workspace take. A hold is what a job may have
// running that no worker has reported yet.
type Ledger struct {
	used  map[account]fleet.Res
	total map[fleet.SpaceID]fleet.Res
	holds map[fleet.JobID]hold
	held  map[fleet.SpaceID]fleet.Res
}

// account is what a workspace uses of one service's workers.
type account struct {
	space   fleet.SpaceID
	service string
}

type hold struct {
	space fleet.SpaceID
	res   fleet.Res
}

// NewLedger returns a ledger without runs.
func NewLedger() *Ledger {
	return &Ledger{
		used: map[account]fleet.Res{}, total: map[fleet.SpaceID]fleet.Res{},
		holds: map[fleet.JobID]hold{}, held: map[fleet.SpaceID]fleet.Res{},
	}
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

// Hold counts resources as used by a job until Unhold.
func (l *Ledger) Hold(job fleet.JobID, space fleet.SpaceID, r fleet.Res) {
	if _, ok := l.holds[job]; ok {
		return
	}
	l.holds[job] = hold{space, r}
	addTo(l.held, space, r)
}

// Unhold ends all holds.
func (l *Ledger) Unhold() {
	clear(l.holds)
	clear(l.held)
}

// Holds returns the number of holds.
func (l *Ledger) Holds() int { return len(l.holds) }

// Used returns what a workspace uses, with what is held for it.
func (l *Ledger) Used(space fleet.SpaceID) fleet.Res { return l.total[space].Add(l.held[space]) }

// Held returns what is held for a workspace.
func (l *Ledger) Held(space fleet.SpaceID) fleet.Res { return l.held[space] }

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
func (l *Ledger) Spaces() []fleet.SpaceID {
	all := maps.Clone(l.total)
	maps.Copy(all, l.held)
	return slices.Sorted(maps.Keys(all))
}
