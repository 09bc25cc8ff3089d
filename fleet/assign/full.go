package assign

import (
	"dragonflydeck.example/fleet"
)

// shapeKey is everything that decides whether there is room for a unit, except its
// number of tasks and the workers that have failed it.
type shapeKey struct {
	service, label, rack string
	each                 fleet.Res
	gang, tight, anyRack bool
	lastAttempt          bool
}

func shapeOf(u Unit) shapeKey {
	p := u.Step.Spec
	return shapeKey{
		service: u.Service, label: p.Label, rack: p.Rack, each: u.Step.Each(),
		gang: p.Gang, tight: p.Tight, anyRack: u.AnyRack, lastAttempt: u.LastAttempt,
	}
}

// FullCache remembers for which units a full site has no room: for each shape, the
// smallest number of tasks at once that found none. It is valid until resources are
// freed. With it, many waiting jobs of a few shapes cost one search for each shape.
type FullCache map[shapeKey]int

// Rejects reports whether there is certainly no room for a unit. It ignores
// reservations, so do not call it for a unit that has one.
func (f FullCache) Rejects(u Unit) bool {
	least, ok := f[shapeOf(u)]
	return ok && tasksAtOnce(u) >= least
}

// Add records that there is no room for a unit. A unit with restrictions of its own
// on the workers is not recorded, as it says nothing about other units.
func (f FullCache) Add(u Unit) {
	if len(u.Avoid) > 0 || u.Step.Spec.Spread > 0 || u.Isolation != Shared {
		return
	}
	s, n := shapeOf(u), tasksAtOnce(u)
	if least, ok := f[s]; !ok || n < least {
		f[s] = n
	}
}

// tasksAtOnce returns how many tasks of a unit must find room before any can start.
func tasksAtOnce(u Unit) int {
	if u.Step.Spec.Gang {
		return len(u.Indexes)
	}
	return 1
}
