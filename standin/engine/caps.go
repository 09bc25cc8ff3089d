package engine

import (
	"slices"
	"time"
)

// limit is a cap of a workspace. One that has been replaced applies until the given time.
type limit struct {
	room  Room
	until time.Time // zero for the newest
}

// SetCap sets what a workspace may have running over all engines; zero is no limit. A cap
// that this lowers still allows starts for graceTime, as the new one is not in force
// everywhere at once.
func (a *Auditor) SetCap(space string, to Room, graceTime time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := a.caps[space]
	if len(all) > 0 {
		all[len(all)-1].until = time.Now().Add(graceTime)
	}
	a.caps[space] = append(all, limit{room: to})
}

// checkCap checks that a start does not bring its workspace above all caps that apply. A
// start that was delayed on its way is checked when it is carried out.
func (a *Auditor) checkCap(id string, r *run) {
	var caps []Room
	for _, l := range a.caps[r.need.Space] {
		if l.until.IsZero() || !r.begun.After(l.until) {
			caps = append(caps, l.room)
		}
	}
	used := a.used(r.need.Space)
	if len(caps) > 0 && !slices.ContainsFunc(caps, used.within) {
		a.violation("task %s run %d on %s takes workspace %s over its cap: %+v of %+v", r.task, r.number, id, r.need.Space, used, caps)
	}
}

// within reports whether a need is within a cap.
func (n Need) within(limit Room) bool {
	return within(n.Cores, limit.Cores) && within(n.Mem, limit.Mem) && within(n.Accels, limit.Accels)
}

func within(n, limit int64) bool { return limit == 0 || n <= limit }

// used returns what a workspace has running, including runs that are being stopped.
func (a *Auditor) used(space string) Need {
	var used Need
	for _, runs := range a.running {
		for _, r := range runs {
			if r.need.Space == space {
				used = used.add(r.need)
			}
		}
	}
	return used
}
