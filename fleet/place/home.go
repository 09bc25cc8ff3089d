package place

import (
	"fmt"

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
	if best == nil {
		return ""
	}
	return best.Domain
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

// moveGain is by how much less crowded another domain must be for a job to
// wait there instead.
const moveGain = 0.1

// Better picks another failure domain for a job that waits at home, or none:
// one where it can start at once, or one far less crowded.
func Better(need fleet.Res, home fleet.DomainID, views []View) fleet.DomainID {
	var at *View
	var others []View
	for i := range views {
		if views[i].Domain == home {
			at = &views[i]
		} else {
			others = append(others, views[i])
		}
	}
	id := Choose(need, others)
	if id == "" || at == nil || !at.Open || !at.Ever {
		return id
	}
	for i := range others {
		v := &others[i]
		if v.Domain == id && (v.fits(need) && !at.Now || v.crowd(need)+moveGain < at.crowd(need)) {
			return id
		}
	}
	return ""
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
