// Package quota limits what workspaces may have running, and divides a full site among
// them by weight.
package quota

import (
	"fmt"
	"math"
	"strings"

	"dragonflydeck.example/fleet"
)

// Limit is what a workspace may use. A zero field of Cap means no limit.
type Limit struct {
	Cap    fleet.Res // most that its runs may take over all workers
	Weight float64   // share when the site is full, relative to other workspaces; 0 counts as 1
}

// Zero reports whether neither a cap nor a weight is set.
func (l Limit) Zero() bool { return l.Cap.Zero() && l.Weight == 0 }

// Capped reports whether any resource is limited.
func (l Limit) Capped() bool { return !l.Cap.Zero() }

// weight returns the weight that counts.
func (l Limit) weight() float64 {
	if l.Weight <= 0 {
		return 1
	}
	return l.Weight
}

// Check returns an error that names a field which is negative or not a number.
func (l Limit) Check() error {
	switch {
	case l.Weight < 0 || math.IsNaN(l.Weight) || math.IsInf(l.Weight, 0):
		return &Error{Op: "check limit", Kind: Negative, Field: "weight", Value: fmt.Sprint(l.Weight)}
	case l.Cap.Cores < 0:
		return &Error{Op: "check limit", Kind: Negative, Field: "cap of cores", Value: fmt.Sprint(l.Cap.Cores)}
	case l.Cap.Mem < 0:
		return &Error{Op: "check limit", Kind: Negative, Field: "cap of memory", Value: fmt.Sprint(l.Cap.Mem)}
	case l.Cap.Accels < 0:
		return &Error{Op: "check limit", Kind: Negative, Field: "cap of accelerators", Value: fmt.Sprint(l.Cap.Accels)}
	}
	return nil
}

// Room returns how many tasks of a size may start while used is running, at most 2^30.
func (l Limit) Room(used, each fleet.Res) int {
	left := l.left(used)
	if !each.Fits(left) {
		return 0
	}
	return left.Count(each)
}

// Admits reports whether need fits under the cap while nothing else runs.
func (l Limit) Admits(need fleet.Res) bool { return need.Fits(l.left(fleet.Res{})) }

// Exceeded reports whether used is above the cap.
func (l Limit) Exceeded(used fleet.Res) bool { return !l.Admits(used) }

// Excess returns how much of each limited resource used is above the cap.
func (l Limit) Excess(used fleet.Res) fleet.Res {
	left := l.left(used)
	return fleet.Res{Cores: max(-left.Cores, 0), Mem: max(-left.Mem, 0), Accels: max(-left.Accels, 0)}
}

// Describe lists the limited resources that need takes more of than the cap allows.
func (l Limit) Describe(need fleet.Res) string {
	var out []string
	if l.Cap.Accels > 0 && need.Accels > l.Cap.Accels {
		out = append(out, fmt.Sprintf("%d accelerators, and %d are needed", l.Cap.Accels, need.Accels))
	}
	if l.Cap.Cores > 0 && need.Cores > l.Cap.Cores {
		out = append(out, fmt.Sprintf("%d millicores, and %d are needed", l.Cap.Cores, need.Cores))
	}
	if l.Cap.Mem > 0 && need.Mem > l.Cap.Mem {
		out = append(out, fmt.Sprintf("%d MiB, and %d are needed", l.Cap.Mem, need.Mem))
	}
	return strings.Join(out, "; ")
}

// unlimited is more of any resource than a site has.
const unlimited = 1 << 50

// left returns what may start in addition to used; it is negative in a resource of which
// used exceeds the cap.
func (l Limit) left(used fleet.Res) fleet.Res {
	left := fleet.Res{Cores: unlimited, Mem: unlimited, Accels: unlimited}
	if l.Cap.Cores > 0 {
		left.Cores = l.Cap.Cores - used.Cores
	}
	if l.Cap.Mem > 0 {
		left.Mem = l.Cap.Mem - used.Mem
	}
	if l.Cap.Accels > 0 {
		left.Accels = l.Cap.Accels - used.Accels
	}
	return left
}
