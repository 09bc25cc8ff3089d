package sched

import (
	"fmt"
	"slices"
	"strings"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/assign"
	"dragonflydeck.example/fleet/clock"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
	"dragonflydeck.example/fleet/queue"
	"dragonflydeck.example/fleet/quota"
	"dragonflydeck.example/fleet/wire"
)

// recordedLimit is the limit of a workspace that a job's record holds.
type recordedLimit struct {
	limit quota.Limit
	at    clock.Reading // when the job was accepted
}

// noteLimit keeps the limit in a job's record. The newest one counts for a workspace that
// is not in the configuration. A job without one was accepted when its workspace was not
// configured either.
func (sc *Scheduler) noteLimit(j *job) {
	if j.Spec.Cap == nil {
		return
	}
	space, at := fleet.SpaceID(j.Spec.Space), clock.Reading(j.Spec.Stamp)
	if known, ok := sc.recordedLimits[space]; ok && known.at > at {
		return
	}
	sc.recordedLimits[space] = recordedLimit{quota.Limit{Cap: fleet.ResOf(j.Spec.Cap), Weight: j.Spec.Weight}, at}
}

// limitOf returns the limit of a workspace: that of the configuration, or the newest one
// that a job of the workspace was accepted with.
func (sc *Scheduler) limitOf(space fleet.SpaceID) quota.Limit {
	if l, ok := sc.config.Limit(space); ok {
		return l
	}
	return sc.recordedLimits[space].limit
}

// limited reports whether workspaces are limited on this site.
func (sc *Scheduler) limited() bool {
	if sc.config != nil {
		return sc.config.Limited()
	}
	for _, r := range sc.recordedLimits {
		if !r.limit.Zero() {
			return true
		}
	}
	return false
}

// declared returns what one task of a step counts against the cap of its workspace. Tasks
// that use idle processor time count with all that they declare.
func declared(s *flow.Step) fleet.Res { return fleet.ResOf(s.Spec.Each) }

// refusedByCap returns why a job can never run under the cap of its workspace, or an empty
// string.
func (sc *Scheduler) refusedByCap(j *job) string {
	space := fleet.SpaceID(j.Spec.Space)
	limit := sc.limitOf(space)
	if !limit.Capped() {
		return ""
	}
	for _, s := range j.Sample() {
		need, what := declared(s), "a task"
		if s.Spec.Gang {
			need, what = need.Times(len(s.Tasks)), "a gang"
		}
		if !limit.Admits(need) {
			return fmt.Sprintf("workspace %q may have %s for %s of the job", space, limit.Describe(need), what)
		}
	}
	return ""
}

// cappedUnit describes the first unit of a workspace in a plan that waits for its cap.
type cappedUnit struct {
	priority int32
	overdue  bool // it has waited for longer than it runs
}

// blocks reports whether another unit of the workspace must leave its cap to the one that waits.
// Without this, tasks of less urgent jobs take each part of the cap as it becomes free, and a
// gang that needs several parts never starts.
func (c cappedUnit) blocks(u unit) bool {
	return u.priority > c.priority || u.priority == c.priority && c.overdue
}

// fitToCap limits a unit to the tasks that may start under the cap of its workspace. Of a
// gang either all may start or none.
func (sc *Scheduler) fitToCap(p *planState, u unit) unit {
	space := fleet.SpaceID(u.job.Spec.Space)
	limit := sc.limitOf(space)
	if !limit.Capped() {
		return u
	}
	if first, ok := p.capped[space]; ok && first.blocks(u) {
		u.Indexes = nil
		return u
	}
	u.Indexes = u.Indexes[:atOnce(u, limit.Room(sc.pool.Ledger.Used(space), declared(u.Step)))]
	return u
}

// atOnce returns how many tasks of a unit may start at once where there is room for some.
func atOnce(u unit, room int) int {
	if u.Step.Spec.Gang && room < len(u.Indexes) {
		return 0
	}
	return min(room, len(u.Indexes))
}

// waitForCap lets a unit wait for the cap of its workspace, and stops less urgent work of the
// workspace for it. One that does not fit while nothing but lasting tasks runs keeps nothing from
// the others, as it would wait until the operator raises the cap or a caller cancels those tasks.
func (sc *Scheduler) waitForCap(p *planState, u unit) {
	space := fleet.SpaceID(u.job.Spec.Space)
	sc.noteCapped(u)
	n := atOnce(u, sc.limitOf(space).Room(sc.lastingUse(p, space), declared(u.Step)))
	if n == 0 {
		return
	}
	if _, ok := p.capped[space]; !ok {
		p.capped[space] = cappedUnit{u.priority, u.waited > u.Step.Estimate()}
	}
	u.Indexes = u.Indexes[:n]
	sc.preemptOwn(p, u)
}

// lastingUse returns what the placed tasks of a workspace that do not end by themselves count.
func (sc *Scheduler) lastingUse(p *planState, space fleet.SpaceID) fleet.Res {
	if p.lasting != nil {
		return p.lasting[space]
	}
	p.lasting = map[fleet.SpaceID]fleet.Res{}
	for _, j := range sc.jobs {
		owner := fleet.SpaceID(j.Spec.Space)
		j.EachOpen(sc.now, func(s *flow.Step) {
			if s.Spec.Lasting {
				p.lasting[owner] = p.lasting[owner].Add(declared(s).Times(len(s.Tasks) - len(waitingTasks(s))))
			}
		})
	}
	return p.lasting[space]
}

// noteCapped logs once per wait that a step waits for the cap of its workspace.
func (sc *Scheduler) noteCapped(u unit) {
	if u.job.capped[u.Step] {
		return
	}
	u.job.capped[u.Step] = true
	space := fleet.SpaceID(u.job.Spec.Space)
	sc.logf(event.JobCapped, string(u.job.ID), "space=%s round=%d step=%d need=%s used=%s cap=%s",
		space, u.Step.Round, u.Step.Index, declared(u.Step).Times(len(u.Indexes)), sc.pool.Ledger.Used(space), sc.limitOf(space).Cap)
}

// preemptOwn stops less urgent runs of an urgent job's own workspace whose cap they fill. The
// conditions are those of preempt, but it does not wait: no end of another workspace's run can
// help. Load pattern: a workspace fills its cap with long work, and then claims its guarantee. A
// search here does not delay the one of preempt: other tasks of the job may fit under the cap, and
// what is stopped here may free room on too many workers for a gang.
func (sc *Scheduler) preemptOwn(p *planState, u unit) {
	if !sc.mayPreempt(u, 0) || sc.now.Sub(u.job.capPreemptedAt) < preemptRetry || sc.now.Sub(u.job.capTriedAt) < preemptSearchRetry {
		return
	}
	space := fleet.SpaceID(u.job.Spec.Space)
	u.job.capTriedAt = sc.now
	claim := sc.claimOf(p, u)
	need := sc.pool.Ledger.Used(space).Add(declared(u.Step).Times(len(u.Indexes)))
	excess := sc.limitOf(space).Excess(need)
	runs, cost, ok := sc.ownVictims(p, space, excess, claim.grounds())
	if !ok || len(runs) == 0 || !claim.allows(u, cost) {
		return
	}
	u.job.capPreemptedAt = sc.now
	sc.logf(event.JobEvicted, string(u.job.ID), "runs=%d of workspace %s stopped for it, cost=%.0f work=%.0f owed=%t waited=%s", len(runs), space, cost, coreSeconds(u), claim.entitled, u.waited)
	for _, r := range runs {
		sc.evict(r, "its workspace needs the cap for urgent work")
	}
	p.noteStops()
}

// keepCap keeps what was stopped for a unit that still lacks room from starting again under the
// cap. The unit would be above the cap again, and wait for good.
func (sc *Scheduler) keepCap(p *planState, u unit) {
	space := fleet.SpaceID(u.job.Spec.Space)
	stoppedFor := min(sc.now.Sub(u.job.preemptedAt), sc.now.Sub(u.job.capPreemptedAt))
	if _, ok := p.capped[space]; ok || stoppedFor >= reservationTime || !sc.limitOf(space).Capped() {
		return
	}
	p.capped[space] = cappedUnit{priority: u.priority}
}

// ownVictims returns the runs of a workspace whose stop frees the given resources at the least
// cost. It reports false if all of them do not free enough.
func (sc *Scheduler) ownVictims(p *planState, space fleet.SpaceID, excess fleet.Res, g grounds) ([]*pool.Run, float64, bool) {
	var all []assign.Victim
	for _, w := range sc.pool.Sorted() {
		for _, v := range sc.victims(p, w, g) {
			if v.Run.Space == space {
				all = append(all, v)
			}
		}
	}
	assign.SortVictims(all)
	var runs []*pool.Run
	cost := 0.0
	stopped := map[fleet.Task]bool{}
	for _, v := range all {
		if excess.Fits(fleet.Res{}) {
			break
		}
		if stopped[v.Run.Task] || !frees(v.Run.Counts, excess) {
			continue
		}
		runs = append(runs, v.Run)
		cost += v.Cost
		_, s := sc.stepOf(v.Run.Task)
		for i := range s.Tasks {
			if i == v.Run.Task.Index || s.Spec.Gang {
				stopped[s.Task(v.Run.Task.Job, i)] = true
				excess = excess.Sub(declared(s))
			}
		}
	}
	return runs, cost, excess.Fits(fleet.Res{})
}

// frees reports whether a run takes any of the resources that are exceeded.
func frees(r, excess fleet.Res) bool {
	return r.Cores > 0 && excess.Cores > 0 || r.Mem > 0 && excess.Mem > 0 || r.Accels > 0 && excess.Accels > 0
}

// withdrawCapped withdraws starts that are not sent yet of workspaces that are above their
// cap, the newest first. This happens if a cap is lowered while placements are being stored.
func (sc *Scheduler) withdrawCapped(starts []pendingStart) {
	for _, st := range slices.Backward(starts) {
		if w := sc.workerOf(st); w != nil && sc.overCap(st.run) {
			sc.stopRun(w, st.run, "its workspace is above its cap")
		}
	}
}

// overCap reports whether the workspace of a run is above its cap.
func (sc *Scheduler) overCap(r *pool.Run) bool {
	return sc.limitOf(r.Space).Exceeded(sc.pool.Ledger.Used(r.Space))
}

// logChangedLimits logs the workspaces whose limits differ between two configurations.
func (sc *Scheduler) logChangedLimits(before, after *queue.Config) {
	if !before.Limited() && !after.Limited() {
		return
	}
	var changed []string
	for _, s := range after.Spaces {
		if old, _ := before.Limit(s.Name); old != s.Limit {
			changed = append(changed, fmt.Sprintf("%s: cap %s, weight %g", s.Name, s.Limit.Cap, s.Limit.Weight))
		}
	}
	if before != nil {
		for _, s := range before.Spaces {
			if _, ok := after.Limit(s.Name); !ok && !s.Limit.Zero() {
				changed = append(changed, fmt.Sprintf("%s: removed", s.Name))
			}
		}
	}
	if len(changed) > 0 {
		sc.logf(event.CapsChanged, "config", "version=%d %s", after.Version, strings.Join(changed, "; "))
	}
}

// waitReason is why tasks wait.
type waitReason int

// The reasons for a wait.
const (
	waitsForCap   waitReason = iota + 1 // of its workspace
	waitsForShare                       // its workspace has its share, and the site is full
	waitsForRoom
)

// waitCounts is how many tasks of a workspace wait, by reason.
type waitCounts map[waitReason]int

// noteWaiting counts the waiting tasks of a unit.
func (p *planState) noteWaiting(u unit, tasks int, why waitReason) {
	space := fleet.SpaceID(u.job.Spec.Space)
	if p.waiting[space] == nil {
		p.waiting[space] = waitCounts{}
	}
	p.waiting[space][why] += tasks
}

// SpaceUse returns what a workspace, or with an empty name every workspace, has running and waits
// for. The reply has no entry if there is no such workspace.
func (sc *Scheduler) SpaceUse(name fleet.SpaceID) *wire.SpaceUseReply {
	if sc.mode != leading {
		return &wire.SpaceUseReply{Verdict: wire.Verdict_ASTRAY}
	}
	r := &wire.SpaceUseReply{Verdict: wire.Verdict_OK}
	shares := sc.allShares()
	for _, space := range sc.knownSpaces() {
		if name != "" && name != space {
			continue
		}
		limit := sc.limitOf(space)
		_, configured := sc.config.Limit(space)
		waiting := sc.waiting[space]
		r.Spaces = append(r.Spaces, &wire.SpaceUse{
			Name: string(space), Used: sc.pool.Ledger.Used(space).Wire(),
			Cap: limit.Cap.Wire(), Weight: limit.Weight, Share: shares.Fraction(space), Absent: !configured,
			Capped: int32(waiting[waitsForCap]), Deferred: int32(waiting[waitsForShare]), Crowded: int32(waiting[waitsForRoom]),
		})
	}
	return r
}

// knownSpaces returns the workspaces that are configured or have work, in order of name.
func (sc *Scheduler) knownSpaces() []fleet.SpaceID {
	all := sc.pool.Ledger.Spaces()
	if sc.config != nil {
		for _, s := range sc.config.Spaces {
			all = append(all, s.Name)
		}
	}
	for _, j := range sc.jobs {
		if !j.HasEnded() && j.Spec.Space != "" {
			all = append(all, fleet.SpaceID(j.Spec.Space))
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
