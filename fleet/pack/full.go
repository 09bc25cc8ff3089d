package pack

import (
	"dragonflydeck.example/fleet"
)

// shape is all that decides whether there is room for a unit, but for how many
// tasks it has and which workers have failed its job.
type shape struct {
	service, label, rack string
	each                 fleet.Res
	gang, tight, far     bool
	last                 bool
}

func shapeOf(u Unit) shape {
	p := u.Step.Spec
	return shape{
		service: u.Service, label: p.Label, rack: p.Rack, each: u.Step.Each(),
		gang: p.Gang, tight: p.Tight, far: u.Far, last: u.Last,
	}
}

// Full remembers for which units a full site had no room, as long as no room
// falls free. It answers many jobs of a few shapes that wait for a full site:
// each shape is looked for once.
type Full map[shape]int

// Holds reports whether there is surely no room for a unit. One that room is kept
// for is not to be asked about.
func (f Full) Holds(u Unit) bool {
	least, ok := f[shapeOf(u)]
	return ok && tasksAtOnce(u) >= least
}

// Note notes that there is no room for a unit. One that is bound to some workers,
// for whatever reason, tells nothing about others.
func (f Full) Note(u Unit) {
	if len(u.Avoid) > 0 || u.Step.Spec.Spread > 0 {
		return
	}
	s, n := shapeOf(u), tasksAtOnce(u)
	if least, ok := f[s]; !ok || n < least {
		f[s] = n
	}
}

// tasksAtOnce returns how many tasks of a unit need room before any can start.
func tasksAtOnce(u Unit) int {
	if u.Step.Spec.Gang {
		return len(u.Indexes)
	}
	return 1
}
