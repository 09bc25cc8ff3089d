package sched

import (
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/assign"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
)

// Limits of preemption.
const (
	maxEvictions          = 2                      // a task without checkpoints is not stopped more often
	restoreCost           = 250 * time.Millisecond // a task with checkpoints loses only the time of a restore
	preemptAfter          = 150 * time.Millisecond // urgent work waits this long for capacity before it preempts
	preemptRetry          = 800 * time.Millisecond // the stopped runs have ended by then
	preemptSearchRetry    = 250 * time.Millisecond // after a search that found no runs worth stopping
	reservationTime       = 900 * time.Millisecond // slightly longer than preemptRetry
	guaranteePreemptAfter = 800 * time.Millisecond // a workspace gets its guaranteed capacity within 2.9 s, at any cost
)

// preempt stops less urgent runs for urgent work and reserves their capacity for it.
// This serves bursts of urgent jobs on a site full of long ones. The work lost must
// not exceed the work of the urgent job, and the job must still be able to end in time,
// unless its workspace is entitled to the capacity. Work that claims its guarantee gets room for all
// of its tasks at once, whatever fills the site.
func (sc *Scheduler) preempt(p *planState, u unit) {
	if !sc.mayPreempt(u, preemptAfter) {
		return
	}
	u.job.preemptTriedAt = sc.now
	claim := sc.claimOf(p, u)
	u.Slack = sc.slackAfter(u, sc.limits.Stop)
	u.Claims = claim.anyCost
	clearing, ok := p.PlanPreemption(u.Unit, func(w *pool.Worker) []assign.Victim {
		all := sc.victims(p, w, claim.grounds())
		if u.beyond && !claim.entitled {
			all = runsOf(fleet.SpaceID(u.job.Spec.Space), all)
		}
		return all
	})
	if claim.anyCost && (!ok || len(clearing.Runs) == 0) {
		sc.noteUnserved(u)
	}
	if !ok || len(clearing.Runs) == 0 || !claim.allows(u, clearing.Cost) || clearing.Late && !claim.anyCost {
		return
	}
	u.job.preemptedAt = sc.now
	sc.logf(event.JobEvicted, string(u.job.ID), "runs=%d stopped for it, cost=%.0f work=%.0f owed=%t class=%d waited=%s", len(clearing.Runs), clearing.Cost, coreSeconds(u), claim.entitled, clearing.Class, u.waited)
	for _, w := range clearing.Workers {
		w.Reserve(u.job.ID, sc.now.Add(reservationTime), claim.entitled)
	}
	for _, r := range clearing.Runs {
		sc.evict(r, "preempted by urgent work")
	}
	p.noteStops()
}

// claim is on what grounds a unit may stop less urgent runs.
type claim struct {
	entitled   bool // it is within the guarantee of its workspace
	anyCost    bool // and has waited so long that it gets the capacity at any cost
	guaranteed bool // its workspace has accelerators guaranteed
}

func (sc *Scheduler) claimOf(p *planState, u unit) claim {
	entitled := p.withinGuarantee(sc, u.job)
	guaranteed := sc.config.Guaranteed(fleet.SpaceID(u.job.Spec.Space)) > 0
	return claim{entitled: entitled, anyCost: entitled && u.waited >= guaranteePreemptAfter, guaranteed: guaranteed}
}

func (c claim) grounds() grounds {
	switch {
	case !c.anyCost:
		return byWork
	case !c.guaranteed:
		return byUrgency
	}
	return byGuarantee
}

// allows reports whether work of a cost may be stopped for the unit.
func (c claim) allows(u unit, cost float64) bool { return c.anyCost || cost <= coreSeconds(u) }

// mayPreempt reports whether preemption may be tried for a unit now that must have waited for a
// while.
func (sc *Scheduler) mayPreempt(u unit, after time.Duration) bool {
	return u.priority == 0 && u.job.stored && u.waited >= after &&
		sc.now.Sub(u.job.preemptedAt) >= preemptRetry && sc.now.Sub(u.job.preemptTriedAt) >= preemptSearchRetry
}

// runsOf returns the victims that belong to a workspace.
func runsOf(space fleet.SpaceID, all []assign.Victim) []assign.Victim {
	var out []assign.Victim
	for _, v := range all {
		if v.Run.Space == space {
			out = append(out, v)
		}
	}
	return out
}

// coreSeconds returns the work of a unit in core-seconds.
func coreSeconds(u unit) float64 {
	return float64(len(u.Indexes)) * cores(u.Step.Each()) * u.Step.Estimate().Seconds()
}

// evict stops a run, and with it the other members of its gang.
func (sc *Scheduler) evict(r *pool.Run, why string) {
	j := sc.jobs[r.Task.Job]
	s := j.Step(r.Task)
	j.evicted[s.Task(j.ID, evictionIndex(s, r))]++
	for i := range s.Tasks {
		if i != r.Task.Index && !s.Spec.Gang {
			continue
		}
		if w, o := sc.newestRun(j, s, i); o != nil {
			sc.stopRun(w, o, why)
		}
	}
}

// victimsCache holds the runs that urgent work may stop, by its grounds and by worker.
type victimsCache map[grounds]map[*pool.Worker][]assign.Victim

func newVictimsCache() victimsCache {
	return victimsCache{byWork: {}, byUrgency: {}, byGuarantee: {}}
}

// victims returns the runs of a worker that urgent work may stop. They are computed
// once in a plan; runs that were stopped since are left out.
func (sc *Scheduler) victims(p *planState, w *pool.Worker, g grounds) []assign.Victim {
	cache := p.victims[g]
	all, ok := cache[w]
	if !ok {
		for _, r := range w.Sorted() {
			v, ok := assign.Victim{Run: r, Cost: sc.preemptionCost(r)}, true
			if g != byWork {
				v, ok = sc.victimOfClaim(p, r, g)
			}
			if ok && v.Cost >= 0 {
				v.Beyond = sc.isBeyond(p, w, r.Space)
				all = append(all, v)
			}
		}
		assign.SortVictims(all)
	} else {
		n := len(all)
		all = slices.DeleteFunc(all, func(v assign.Victim) bool { return v.Run.Phase != pool.Running })
		if len(all) == n {
			return all
		}
	}
	cache[w] = all
	return all
}

// isBeyond reports whether a workspace has its share of a worker's service.
func (sc *Scheduler) isBeyond(p *planState, w *pool.Worker, space fleet.SpaceID) bool {
	shares := sc.shares(p, w.Service)
	return shares != nil && shares.Beyond(space, sc.pool.Ledger.UsedOf(space, w.Service))
}

// preemptionCost returns the work in core-seconds that is lost by stopping a run
// for urgent work, or a negative number if it must not be stopped. A run that ends by itself as
// soon as a stop would is left alone. For work that claims a guarantee see victimOfClaim.
func (sc *Scheduler) preemptionCost(r *pool.Run) float64 {
	if r.Phase != pool.Running {
		return -1
	}
	j, ok := sc.jobs[r.Task.Job]
	if !ok || j.Spec.Priority <= 0 {
		return -1
	}
	s := j.Step(r.Task)
	if s.Spec.Lasting {
		return -1
	}
	if !s.Spec.Saves && !sc.canRestart(j, s, r) || sc.remainingTime(j, r) < sc.limits.Stop {
		return -1
	}
	return sc.stopCost(s, r)
}

// stopCost returns the core-seconds that are lost by stopping a run, and with it its gang.
func (sc *Scheduler) stopCost(s *flow.Step, r *pool.Run) float64 {
	cost := sc.lostWork(s, r)
	if s.Spec.Gang {
		cost *= float64(len(s.Tasks))
	}
	return cost
}

// lostWork returns the core-seconds that are lost if a run is stopped now.
func (sc *Scheduler) lostWork(s *flow.Step, r *pool.Run) float64 {
	lost := sc.now.Sub(r.Since) + r.WorkedBefore
	if s.Spec.Saves {
		lost = min(lost, restoreCost)
	}
	return lost.Seconds() * cores(r.Each)
}

// wastedWork is lostWork for any run, and zero for one that is not running or
// belongs to no known task.
func (sc *Scheduler) wastedWork(r *pool.Run) float64 {
	_, s := sc.stepOf(r.Task)
	if s == nil || r.Phase != pool.Running {
		return 0
	}
	return sc.lostWork(s, r)
}

// canRestart reports whether a run without checkpoints may be restarted from the
// beginning: it was not evicted too often, and its job can still meet its objective.
func (sc *Scheduler) canRestart(j *job, s *flow.Step, r *pool.Run) bool {
	due := j.Due(s.Round).Add(sc.objective(j))
	return j.evicted[s.Task(j.ID, evictionIndex(s, r))] < maxEvictions && sc.now.Add(sc.totalTime(j, r)).Before(due)
}

// evictionIndex returns the task index under which evictions of a run are counted;
// all members of a gang share one.
func evictionIndex(s *flow.Step, r *pool.Run) int {
	if s.Spec.Gang {
		return 0
	}
	return r.Task.Index
}

// coresPerAccel is the weight of an accelerator in cores, the same as in the
// platform's prices.
const coresPerAccel = 8

func cores(r fleet.Res) float64 {
	return float64(r.Cores)/1000 + coresPerAccel*float64(r.Accels)
}
