package helm

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pack"
)

// Bounds of making room.
const (
	maxEvictions          = 2                      // stops of work that keeps no checkpoints, after which it is let end
	restoreCost           = 250 * time.Millisecond // work that keeps checkpoints loses the time of a restore
	preemptAfter          = 150 * time.Millisecond // urgent work waits so long for room before others are stopped for it
	preemptRetry          = 800 * time.Millisecond // what was stopped for it is gone by then
	reservationTime       = 900 * time.Millisecond // room is kept a little longer than that
	guaranteePreemptAfter = 800 * time.Millisecond // a workspace gets what is guaranteed to it within 2.9 s, whatever it costs
)

// clear stops less urgent runs for urgent work, and keeps their room for it. It
// answers a burst of urgent jobs against long ones that fill the site: what is
// thrown away must not be more than the urgent job itself, unless its workspace
// is owed the room.
func (sc *Helm) preempt(site *pack.Site, u unit) {
	if u.priority != 0 || !u.job.stored || u.waited < preemptAfter || sc.now.Sub(u.job.preemptedAt) < preemptRetry {
		return
	}
	owed := sc.withinGuarantee(u.job)
	claimsGuarantee := owed && u.waited >= guaranteePreemptAfter
	clearing, ok := site.Clear(u.Unit, func(r *crew.Run) float64 { return sc.preemptionCost(u, r, claimsGuarantee) })
	if !ok || len(clearing.Runs) == 0 || clearing.Cost > coreSeconds(u) && !claimsGuarantee {
		return
	}
	u.job.preemptedAt = sc.now
	sc.logf(event.JobEvicted, string(u.job.ID), "runs=%d stopped for it, cost=%.0f work=%.0f owed=%t waited=%s", len(clearing.Runs), clearing.Cost, coreSeconds(u), owed, u.waited)
	for _, w := range clearing.Workers {
		w.Keep(u.job.ID, sc.now.Add(reservationTime))
	}
	for _, r := range clearing.Runs {
		sc.evict(r, "urgent work needs the room")
	}
}

// work returns the seconds of a core that a unit takes.
func coreSeconds(u unit) float64 {
	return float64(len(u.Indexes)) * cores(u.Step.Each()) * u.Step.Span().Seconds()
}

// owed reports whether the urgent jobs of a job's workspace, all together, need
// no more than is guaranteed to it.
func (sc *Helm) withinGuarantee(j *job) bool {
	var need fleet.Accels
	for _, o := range sc.jobs {
		if o.Over() || o.Spec.Priority != 0 || o.Spec.Space != j.Spec.Space {
			continue
		}
		for _, s := range o.Spec.Steps {
			need += fleet.Accels(s.Each.GetAccels()) * fleet.Accels(s.Count)
		}
	}
	return need <= sc.config.Guaranteed(fleet.SpaceID(j.Spec.Space))
}

// evict stops a run and the rest of its gang.
func (sc *Helm) evict(r *crew.Run, why string) {
	j := sc.jobs[r.Task.Job]
	s := j.Step(r.Task)
	j.evicted[s.Task(j.ID, member(s, r))]++
	for i := range s.Tasks {
		if i != r.Task.Index && !s.Spec.Gang {
			continue
		}
		if w, o := sc.newestRun(j, s, i); o != nil {
			sc.stopRun(w, o, why)
		}
	}
}

// price tells what stopping a run would throw away, in seconds of a core;
// negative if it may not be stopped for the unit. A unit that claims what is
// guaranteed to its workspace stops whatever it takes.
func (sc *Helm) preemptionCost(u unit, r *crew.Run, claimsGuarantee bool) float64 {
	j, ok := sc.jobs[r.Task.Job]
	if !ok || j.Spec.Priority <= u.priority || r.Phase != crew.Running || j.Step(r.Task).Spec.Lasting {
		return -1
	}
	s := j.Step(r.Task)
	if !s.Spec.Saves && !claimsGuarantee && !sc.canRestart(j, s, r) {
		return -1
	}
	cost := sc.lostWork(s, r)
	if s.Spec.Gang {
		cost *= float64(len(s.Tasks))
	}
	return cost
}

// lost returns what stopping a run now throws away, in seconds of a core.
func (sc *Helm) lostWork(s *flow.Step, r *crew.Run) float64 {
	span := sc.now.Sub(r.Since) + r.Before
	if s.Spec.Saves {
		span = min(span, restoreCost)
	}
	return span.Seconds() * cores(r.Each)
}

// wasted returns what a run that is stopped now has done for nothing, in seconds
// of a core.
func (sc *Helm) wastedWork(r *crew.Run) float64 {
	_, s := sc.stepOf(r.Task)
	if s == nil || r.Phase != crew.Running {
		return 0
	}
	return sc.lostWork(s, r)
}

// spares reports whether a job can do without a run that would have to begin
// anew: it was not stopped often already, and may still end in time.
func (sc *Helm) canRestart(j *job, s *flow.Step, r *crew.Run) bool {
	due := j.Rounds[s.Round].Due.Add(sc.objective(j))
	return j.evicted[s.Task(j.ID, member(s, r))] < maxEvictions && sc.now.Add(sc.totalTime(j, r)).Before(due)
}

// member returns the index under which the evictions of a run are counted: those
// of a gang together.
func member(s *flow.Step, r *crew.Run) int {
	if s.Spec.Gang {
		return 0
	}
	return r.Task.Index
}

// coresPerAccel weighs an accelerator against processor cores, as the platform
// does in its prices.
const coresPerAccel = 8

func cores(r fleet.Res) float64 {
	return float64(r.Cores)/1000 + coresPerAccel*float64(r.Accels)
}
