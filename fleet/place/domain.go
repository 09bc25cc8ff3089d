package place

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
)

// DomainLoad is the load of a failure domain, as seen for one job.
type DomainLoad struct {
	Domain         fleet.DomainID
	Open           bool // in service
	Total          fleet.Res
	Used           fleet.Res
	Queued         fleet.Res // needed by waiting jobs
	FreeGuarantees int       // guaranteed gangs of the workspace that are unused and large enough for the job
	FitsEmpty      bool      // the job fits into the domain when it is empty
	FitsNow        bool      // the job fits beside the running gangs
}

// load is the share of the domain that is used and queued for, with need added.
func (d *DomainLoad) load(need fleet.Res) float64 {
	return d.Used.Add(d.Queued).Add(need).DominantShare(d.Total)
}

// startsNow reports whether the job can start at once, also beside the waiting
// jobs.
func (d *DomainLoad) startsNow(need fleet.Res) bool { return d.FitsNow && d.load(need) <= 1 }

// Choose returns the failure domain for a job: one with an unused guarantee for
// it; else the fullest of those where it starts now, which keeps large free areas
// for large gangs; else the least loaded. It returns "" if none can run the job.
func Choose(need fleet.Res, domains []DomainLoad) fleet.DomainID {
	if d := bestDomain(need, domains); d != nil {
		return d.Domain
	}
	return ""
}

func bestDomain(need fleet.Res, domains []DomainLoad) *DomainLoad {
	var best *DomainLoad
	for i := range domains {
		d := &domains[i]
		if !d.Open || !d.FitsEmpty {
			continue
		}
		if best == nil || betterDomain(d, best, need) {
			best = d
		}
	}
	return best
}

func betterDomain(a, b *DomainLoad, need fleet.Res) bool {
	if (a.FreeGuarantees > 0) != (b.FreeGuarantees > 0) {
		return a.FreeGuarantees > 0
	}
	if fa, fb := a.startsNow(need), b.startsNow(need); fa != fb {
		return fa
	}
	ca, cb := a.load(need), b.load(need)
	switch {
	case ca == cb:
		return a.Domain < b.Domain
	case a.startsNow(need):
		return ca > cb
	}
	return ca < cb
}

// Limits of moves between failure domains.
const (
	// MinHomeWait is how long a job waits at its home before it may move.
	MinHomeWait = 10 * time.Second
	// LargeJobWait is how long a large job waits in one domain before it tries the
	// next one.
	LargeJobWait = time.Minute
	// minLoadGain is by how much the load of another domain must be lower for a job
	// to move there and wait.
	minLoadGain = 0.1
	// largeShare is the share of a domain from which on a job counts as large.
	largeShare = 0.25
)

// HomeWait is a job that waits at its home, the failure domain that it belongs to.
type HomeWait struct {
	Need   fleet.Res
	Home   fleet.DomainID
	Waited time.Duration // time waited at this home
	Age    time.Duration // time since the job was accepted
}

// Move returns the failure domain to which a waiting job moves, or "". A job
// moves at once if its home is out of service or too small. After MinHomeWait
// it moves to a domain where it starts now or whose load is clearly lower. A large
// job tries the domains in turn until it is old enough for a reservation, because
// the domains in which gangs can be preempted for it change all the time.
func Move(w HomeWait, domains []DomainLoad) fleet.DomainID {
	at, others := splitHome(w.Home, domains)
	to := bestDomain(w.Need, others)
	switch {
	case to == nil:
		return ""
	case at == nil || !at.Open || !at.FitsEmpty:
		return to.Domain
	case w.Waited >= MinHomeWait && (w.triesNextDomain(at) || w.gainsBy(at, to)):
		return to.Domain
	}
	return ""
}

func splitHome(home fleet.DomainID, domains []DomainLoad) (at *DomainLoad, others []DomainLoad) {
	for i := range domains {
		if domains[i].Domain == home {
			at = &domains[i]
		} else {
			others = append(others, domains[i])
		}
	}
	return at, others
}

// triesNextDomain reports whether a large job has waited long enough to try
// another domain.
func (w HomeWait) triesNextDomain(at *DomainLoad) bool {
	return w.Waited >= LargeJobWait && w.Age < ReserveAfter && w.Need.DominantShare(at.Total) >= largeShare
}

// gainsBy reports whether the job is clearly better off in another domain.
func (w HomeWait) gainsBy(at, to *DomainLoad) bool {
	here := at.load(fleet.Res{}) // Queued includes the job
	return to.startsNow(w.Need) && !at.FitsNow || to.load(w.Need)+minLoadGain < here
}

// FitsEmpty reports whether a gang fits on these workers when nothing else runs
// there, and if not, why.
func FitsEmpty(nodes []Node, tasks int, each fleet.Res) (bool, string) {
	fits := 0
	largest := fleet.Res{}
	for _, n := range nodes {
		if n.Leaving {
			continue
		}
		fits += n.Total.Count(each)
		largest = maxOfEach(largest, n.Total)
	}
	if fits >= tasks {
		return true, ""
	}
	if lacks := each.Lacks(largest); lacks != "" {
		return false, "no worker is large enough for one task: the largest ones lack " + lacks
	}
	return false, fmt.Sprintf("%d tasks fit at most, not %d", fits, tasks)
}

// maxOfEach returns the larger amount of each resource.
func maxOfEach(a, b fleet.Res) fleet.Res {
	return fleet.Res{Cores: max(a.Cores, b.Cores), Mem: max(a.Mem, b.Mem), Accels: max(a.Accels, b.Accels)}
}
