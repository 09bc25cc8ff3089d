package place

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
)

// View is what is known of a failure domain from outside.
type View struct {
	Domain fleet.DomainID
	Open   bool
	Total  fleet.Res
	Used   fleet.Res
	Queued fleet.Res // of jobs that wait
	Claims int       // unclaimed guaranteed gangs that take the job
	Ever   bool      // the job fits the empty domain
	Now    bool      // the job fits beside what runs
}

// crowd is the load of a domain with the job in it, as a part of its size.
func (v *View) crowd(need fleet.Res) float64 {
	return v.Used.Add(v.Queued).Add(need).Share(v.Total)
}

// fits reports whether the job can start at once and nothing waits before it.
func (v *View) fits(need fleet.Res) bool { return v.Now && v.crowd(need) <= 1 }

// Choose picks the failure domain for a job: one with a guarantee for it; else
// of those with room now the fullest, so that the large holes stay; else the
// least crowded. The empty answer means that none is fit.
func Choose(need fleet.Res, views []View) fleet.DomainID {
	if v := best(need, views); v != nil {
		return v.Domain
	}
	return ""
}

func best(need fleet.Res, views []View) *View {
	var best *View
	for i := range views {
		v := &views[i]
		if !v.Open || !v.Ever {
			continue
		}
		if best == nil || better(v, best, need) {
			best = v
		}
	}
	return best
}

func better(a, b *View, need fleet.Res) bool {
	if (a.Claims > 0) != (b.Claims > 0) {
		return a.Claims > 0
	}
	if fa, fb := a.fits(need), b.fits(need); fa != fb {
		return fa
	}
	ca, cb := a.crowd(need), b.crowd(need)
	switch {
	case ca == cb:
		return a.Domain < b.Domain
	case a.fits(need):
		return ca > cb
	}
	return ca < cb
}

// Bounds of moves.
const (
	// StaySpan is how long a job waits at home before another domain is weighed.
	StaySpan = 10 * time.Second
	// TurnSpan is how long a large job waits at one domain before it tries the
	// next one.
	TurnSpan = time.Minute
	// moveGain is by how much less crowded another domain must be for a job to
	// wait there instead.
	moveGain = 0.1
	// largeShare is the part of its domain from which on a job counts as large.
	largeShare = 0.25
)

// Stay is a job's waiting at its home.
type Stay struct {
	Need fleet.Res
	Home fleet.DomainID
	Here time.Duration // since it waits at this home
	Age  time.Duration // since it was accepted
}

// Move picks another failure domain for a job that waits, or none: at once if
// its home is out; after a while one where it can start or that is far less
// crowded; and a large job tries one after the other until its home keeps room
// for it, as which of them can be cleared for it changes all the time.
func Move(s Stay, views []View) fleet.DomainID {
	at, others := split(s.Home, views)
	to := best(s.Need, others)
	switch {
	case to == nil:
		return ""
	case at == nil || !at.Open || !at.Ever:
		return to.Domain
	case s.Here >= StaySpan && (s.tries(at) || s.gains(at, to)):
		return to.Domain
	}
	return ""
}

func split(home fleet.DomainID, views []View) (at *View, others []View) {
	for i := range views {
		if views[i].Domain == home {
			at = &views[i]
		} else {
			others = append(others, views[i])
		}
	}
	return at, others
}

// tries reports whether it is time for a large job to try another domain.
func (s Stay) tries(at *View) bool {
	return s.Here >= TurnSpan && s.Age < HoldAfter && s.Need.Share(at.Total) >= largeShare
}

// gains reports whether the job is far better off in another domain.
func (s Stay) gains(at, to *View) bool {
	here := at.crowd(fleet.Res{}) // the job is among those queued
	return to.fits(s.Need) && !at.Now || to.crowd(s.Need)+moveGain < here
}

// Ever reports whether a gang fits a domain with these workers when nothing
// else runs there, and if not, why.
func Ever(nodes []Node, tasks int, each fleet.Res) (bool, string) {
	fits := 0
	largest := fleet.Res{}
	for _, n := range nodes {
		if n.Leaving {
			continue
		}
		fits += n.Total.Count(each)
		largest = greater(largest, n.Total)
	}
	if fits >= tasks {
		return true, ""
	}
	if lacks := each.Lacks(largest); lacks != "" {
		return false, "no worker is large enough for one task: the largest lacks " + lacks
	}
	return false, fmt.Sprintf("%d tasks fit at most, not %d", fits, tasks)
}

func greater(a, b fleet.Res) fleet.Res {
	return fleet.Res{Cores: max(a.Cores, b.Cores), Mem: max(a.Mem, b.Mem), Accels: max(a.Accels, b.Accels)}
}
