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
}

// crowd is the load of a domain with the job in it, as a part of its size.
func (v *View) crowd(need fleet.Res) float64 {
	return v.Used.Add(v.Queued).Add(need).Share(v.Total)
}

// Choose picks the failure domain for a job: one with a guarantee for it, else
// the least crowded. The empty answer means that none is fit.
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
	ca, cb := a.crowd(need), b.crowd(need)
	if ca != cb {
		return ca < cb
	}
	return a.Domain < b.Domain
}

// moveGain is by how much less crowded another domain must be for a waiting
// job to move there.
const moveGain = 0.1

// Better picks another failure domain for a job that waits at home, or none:
// one that has room now while home has not.
func Better(need fleet.Res, home fleet.DomainID, views []View) fleet.DomainID {
	var at *View
	var open []View
	for i := range views {
		if views[i].Domain == home {
			at = &views[i]
			continue
		}
		if views[i].crowd(need) <= 1 {
			open = append(open, views[i])
		}
	}
	to := Choose(need, open)
	if to == "" || at == nil || !at.Open || !at.Ever {
		return to
	}
	for i := range open {
		if open[i].Domain == to && open[i].crowd(need)+moveGain < at.crowd(need) {
			return to
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
