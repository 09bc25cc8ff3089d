package sched

import (
	"cmp"
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/assign"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
)

// The order in which a claim of a guarantee stops runs. Others may use what is idle of a guarantee, for
// as long as it is not claimed.
const (
	lessUrgent  = iota // the work that is lost decides among these
	lessLasting        // tasks without an end, which are started again
	urgentExtra        // urgent work of a workspace beyond its own guarantee
	extraLasting
)

// grounds are on what grounds a unit may stop runs of other work.
type grounds int

const (
	byWork      grounds = iota // it is worth more than what is lost
	byUrgency                  // its workspace is entitled to go on, but has no accelerators guaranteed that it could claim
	byGuarantee                // it claims accelerators that are guaranteed to its workspace
)

// victimOfClaim returns what is lost by stopping a run for work that its workspace is entitled to. It
// reports false if the run must not be stopped: it is within the guarantee of its own workspace, it has not begun or
// is being stopped, or too many tasks of a step are away that must not miss more.
func (sc *Scheduler) victimOfClaim(p *planState, r *pool.Run, g grounds) (assign.Victim, bool) {
	j, s := sc.stepOf(r.Task)
	if s == nil || r.Phase != pool.Running {
		return assign.Victim{}, false
	}
	v := assign.Victim{Run: r, Cost: sc.stopCost(s, r), Class: lessUrgent}
	if s.Spec.Lasting {
		v.Class, v.Cost = lessLasting, restoreCost.Seconds()*cores(r.Each)
	}
	if j.Spec.Priority <= 0 {
		if p.owedRuns(sc)[r] {
			return assign.Victim{}, false
		}
		v.Class += urgentExtra
	}
	if g == byUrgency && v.Class > lessUrgent {
		return assign.Victim{}, false
	}
	return v, p.mayMiss(sc, j, s)
}

// owedRuns returns the urgent runs that are within the guarantees of their workspaces: for each workspace those
// that have run for longest, with all members of a gang or none.
func (p *planState) owedRuns(sc *Scheduler) map[*pool.Run]bool {
	if p.owed != nil {
		return p.owed
	}
	type group struct {
		space  fleet.SpaceID
		runs   []*pool.Run
		accels fleet.Accels
		since  time.Time
	}
	groups := map[fleet.Task]*group{} // by the first task of a gang, or by task
	for _, w := range sc.pool.Workers {
		for _, r := range w.Runs {
			j, s := sc.stepOf(r.Task)
			if s == nil || j.Spec.Priority > 0 || r.Phase == pool.Stopping {
				continue
			}
			t := s.Task(j.ID, evictionIndex(s, r))
			g := groups[t]
			if g == nil {
				g = &group{space: r.Space, since: r.Since}
				groups[t] = g
			}
			g.runs, g.accels = append(g.runs, r), g.accels+r.Each.Accels
			if r.Since.Before(g.since) {
				g.since = r.Since
			}
		}
	}
	tasks := make([]fleet.Task, 0, len(groups))
	for t := range groups {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b fleet.Task) int {
		return cmp.Or(groups[a].since.Compare(groups[b].since), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Round, b.Round), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	p.owed = map[*pool.Run]bool{}
	used := map[fleet.SpaceID]fleet.Accels{}
	for _, t := range tasks {
		g := groups[t]
		if used[g.space]+g.accels > sc.config.Guaranteed(g.space) {
			continue
		}
		used[g.space] += g.accels
		for _, r := range g.runs {
			p.owed[r] = true
		}
	}
	return p.owed
}

// mayMiss reports whether one more task of a step may be stopped, or all of a gang, and counts it. Only steps of
// lasting tasks limit how many of them the scheduler may interrupt at a time; those that are away for any reason count.
func (p *planState) mayMiss(sc *Scheduler, j *job, s *flow.Step) bool {
	if !s.Spec.Lasting || s.Spec.Misses == 0 {
		return true
	}
	left, known := p.misses[s]
	if !known {
		left = int(s.Spec.Misses)
		for i := range s.Tasks {
			if _, r := sc.newestRun(j, s, i); r == nil || r.Phase != pool.Running || r.Percent < fullPercent {
				left--
			}
		}
	}
	if s.Spec.Gang {
		p.misses[s] = left
		return left >= len(s.Tasks)
	}
	p.misses[s] = left - 1
	return left > 0
}

// guaranteeNeeds returns how many accelerators the urgent jobs of each workspace need together.
func (sc *Scheduler) guaranteeNeeds() map[fleet.SpaceID]fleet.Accels {
	needs := map[fleet.SpaceID]fleet.Accels{}
	for _, j := range sc.jobs {
		if !j.HasEnded() && j.Spec.Priority <= 0 {
			needs[fleet.SpaceID(j.Spec.Space)] += accelsOf(j)
		}
	}
	return needs
}

// accelsOf returns how many accelerators the steps of a job need together.
func accelsOf(j *job) fleet.Accels {
	var n fleet.Accels
	for _, s := range j.Spec.Steps {
		n += fleet.Accels(s.Each.GetAccels()) * fleet.Accels(s.Count)
	}
	return n
}

// need returns how many accelerators the urgent jobs of a workspace need together, as of the first call in this pass.
func (p *planState) need(sc *Scheduler, space fleet.SpaceID) fleet.Accels {
	if p.needs == nil {
		p.needs = sc.guaranteeNeeds()
	}
	return p.needs[space]
}

// withinGuarantee reports whether all urgent jobs of a job's workspace together fit into the workspace's guarantee.
func (p *planState) withinGuarantee(sc *Scheduler, j *job) bool {
	space := fleet.SpaceID(j.Spec.Space)
	return j.Spec.Priority <= 0 && p.need(sc, space) <= sc.config.Guaranteed(space)
}

// admitsClaim reports whether a job that is not accepted yet would be within the guarantee of its workspace.
func (p *planState) admitsClaim(sc *Scheduler, j *job) bool {
	space := fleet.SpaceID(j.Spec.Space)
	guaranteed := sc.config.Guaranteed(space)
	return j.Spec.Priority <= 0 && guaranteed > 0 && p.need(sc, space)+accelsOf(j) <= guaranteed
}

// noteUnserved logs that no room can be made for work that claims its guarantee, at most once a second for a job.
func (sc *Scheduler) noteUnserved(u unit) {
	if sc.now.Sub(u.job.unservedAt) < time.Second {
		return
	}
	u.job.unservedAt = sc.now
	sc.logf(event.ClaimUnserved, string(u.job.ID), "space=%s round=%d step=%d tasks=%d waited=%s", u.job.Spec.Space, u.Step.Round, u.Step.Index, len(u.Indexes), u.waited)
}
