package sched

import (
	"slices"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/assign"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
	"dragonflydeck.example/fleet/quota"
)

// Timing of placement. A unit runs off its rack if it runs away from its data or
// spread over several racks, where it is slower.
const (
	provenWait            = 3 * time.Second        // how long a task on its last attempt waits for a worker with a proven record
	planInterval          = 250 * time.Millisecond // between two plans while nothing has changed
	minPlanInterval       = 40 * time.Millisecond  // between two plans, so that a burst of events costs one plan
	idleOffRackAfter      = time.Second            // wait after which work may run off its rack on a site with much free capacity
	guaranteeOffRackAfter = 2 * time.Second        // wait after which work within its guarantee may run off its rack
	offRackAfterRunTimes  = 6                      // other work may run off its rack after a wait of this many times its run time
)

// idleLoad is the load below which running off the rack takes no capacity from other
// work. The platform requires that below 0.5 no work waits for a better place.
const idleLoad = 0.6

// unit is a unit of placement with its scheduling order.
type unit struct {
	assign.Unit
	job      *job
	priority int32
	due      time.Time // when its job should have ended by its objective
	waited   time.Duration
	beyond   bool // its workspace has its share
}

// plan places all waiting work that can start now. Load pattern: on a large, full
// site, hundreds of run ends arrive each second, one by one, and each changes what
// can be placed. A plan for each would leave no time for anything else. Without a current
// list of workers nothing is placed, as any of them may be leaving, and neither before the
// operator's records are read on a site with limits, as caps may have been lowered. If these hold no
// valid configuration, the limits in the records of the jobs apply.
func (sc *Scheduler) plan() {
	since := sc.now.Sub(sc.plannedAt)
	if since < minPlanInterval || !sc.changed && since < planInterval || sc.outbox.stuck(sc.now) || !sc.listIsCurrent() || sc.configEnd == 0 && sc.limited() {
		return
	}
	sc.changed, sc.plannedAt = false, sc.now
	p := sc.newPlan()
	units := sc.units()
	sc.orderByShare(p, units)
	for _, u := range units {
		sc.placedAt = sc.now
		u.AnyRack = sc.mayRunOffRack(p, u)
		if u.priority <= 0 {
			u.Entitled = func() bool { return p.withinGuarantee(sc, u.job) }
		}
		sc.place(p, u)
	}
	sc.waiting = p.waiting
}

// planState caches what one pass of plan has found out about the site.
type planState struct {
	*assign.Site
	full    assign.FullCache
	loads   map[string]float64             // by service
	needs   map[fleet.SpaceID]fleet.Accels // of the urgent jobs of each workspace; nil until they are needed
	owed    map[*pool.Run]bool             // runs within guarantees; nil until they are needed
	misses  map[*flow.Step]int             // how many more tasks of a step may be stopped
	victims victimsCache
	shares  map[string]*quota.Shares     // by service
	capped  map[fleet.SpaceID]cappedUnit // waits for the cap of its workspace
	waiting map[fleet.SpaceID]waitCounts
	lasting map[fleet.SpaceID]fleet.Res // what lasting tasks that are placed count; nil until it is needed
}

func (sc *Scheduler) newPlan() *planState {
	return &planState{
		Site: sc.site(), full: assign.FullCache{}, loads: map[string]float64{}, misses: map[*flow.Step]int{}, victims: newVictimsCache(),
		shares: map[string]*quota.Shares{}, capped: map[fleet.SpaceID]cappedUnit{}, waiting: map[fleet.SpaceID]waitCounts{},
	}
}

// load returns the load of a service's workers as of the first call in this pass.
func (p *planState) load(service string) float64 {
	l, ok := p.loads[service]
	if !ok {
		l = p.Load(service)
		p.loads[service] = l
	}
	return l
}

// noteStops forgets what stops of runs in this pass may have changed.
func (p *planState) noteStops() {
	p.NoteFreed()
}

func (sc *Scheduler) site() *assign.Site {
	return &assign.Site{
		Now: sc.now, Pool: sc.pool, OutOfService: sc.domainsOut, Unreachable: sc.unreachable,
		Profiles: siteProfiles{sc.speeds.book, sc.pool},
	}
}

// units returns the waiting work in scheduling order.
func (sc *Scheduler) units() []unit {
	var out []unit
	for _, j := range sc.jobs {
		sc.turnRounds(j)
		j.EachOpen(sc.now, func(s *flow.Step) {
			waiting := waitingTasks(s)
			suspects := suspectedTasks(s, waiting)
			for _, u := range sc.unitsOf(j, s, suspects) {
				u.Isolation = isolation(u.waited)
				out = append(out, u)
			}
			out = append(out, sc.unitsOf(j, s, subtract(waiting, suspects))...)
		})
	}
	sort.Slice(out, func(a, b int) bool { return less(&out[a], &out[b]) })
	return out
}

// unitsOf divides tasks of a step into those on their last attempt and the others.
func (sc *Scheduler) unitsOf(j *job, s *flow.Step, tasks []int) []unit {
	var out []unit
	last := sc.lastAttempts(j, s, tasks)
	if len(tasks) > len(last) {
		out = append(out, sc.unit(j, s, subtract(tasks, last)))
	}
	if len(last) > 0 {
		u := sc.unit(j, s, last)
		u.LastAttempt = u.waited < provenWait
		out = append(out, u)
	}
	return out
}

// lastAttempts returns those of the waiting tasks whose next failure would fail
// their job.
func (sc *Scheduler) lastAttempts(j *job, s *flow.Step, waiting []int) []int {
	least := sc.maxAttempts(j) - 1
	if s.Spec.Lasting || least == 0 {
		return nil
	}
	if s.Spec.Gang {
		if s.Fails < least {
			return nil
		}
		return waiting
	}
	var out []int
	for _, i := range waiting {
		if s.Tasks[i].Fails >= least {
			out = append(out, i)
		}
	}
	return out
}

// subtract returns the elements of all that are not in removed. Both are sorted.
func subtract(all, removed []int) []int {
	if len(removed) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(i int) bool {
		_, found := slices.BinarySearch(removed, i)
		return found
	})
}

// waitingTasks returns the tasks of a step that need a worker. For a gang these are
// all tasks or none.
func waitingTasks(s *flow.Step) []int {
	var out []int
	for i := range s.Tasks {
		if k := &s.Tasks[i]; !k.Done && k.Worker == "" {
			if out == nil {
				out = make([]int, 0, s.Unfinished())
			}
			out = append(out, i)
		} else if s.Spec.Gang {
			return nil
		}
	}
	return out
}

func (sc *Scheduler) unit(j *job, s *flow.Step, waiting []int) unit {
	due := j.Due(s.Round)
	u := unit{
		Unit: assign.Unit{Job: j.Job, Step: s, Service: j.Spec.Service, Indexes: waiting, Avoid: j.failed},
		job:  j, priority: j.Spec.Priority, waited: sc.now.Sub(due),
	}
	if s.Freed.After(due) {
		u.waited = sc.now.Sub(s.Freed)
	}
	u.due = due.Add(sc.objective(j))
	u.Slack, u.Urgent = sc.slack(u), u.priority == 0
	u.OneDomain = sc.expectedRunTime(j, s) > sc.limits.Lease
	return u
}

// objective returns the response-time objective of a job.
func (sc *Scheduler) objective(j *job) time.Duration {
	return time.Duration(j.Spec.Slowdown*float64(j.CriticalPath())) + time.Duration(j.Spec.Target)*time.Millisecond
}

// mayRunOffRack reports whether a unit may run off its rack, where it is slower: if
// it would not fit on a rack even if that were empty, or once waiting has cost more
// than the slowdown.
func (sc *Scheduler) mayRunOffRack(p *planState, u unit) bool {
	spec := u.Step.Spec
	if !spec.Tight && spec.Rack == "" {
		return false
	}
	switch {
	case u.waited > max(offRackAfterRunTimes*u.Step.Estimate(), guaranteeOffRackAfter):
		return true
	case u.priority == 0 && u.waited > guaranteeOffRackAfter && p.withinGuarantee(sc, u.job):
		return true
	case u.waited > idleOffRackAfter && p.load(u.Service) < idleLoad:
		return true
	}
	return !sc.fitsOnRack(p, u)
}

// fitsOnRack reports whether the site's workers, if they were empty, could run a unit
// at full speed, that is, on its rack. The answer depends on the set of workers
// only, and is cached.
func (sc *Scheduler) fitsOnRack(p *planState, u unit) bool {
	n, ok := u.job.rackFits[u.Step]
	if !ok || n.generation != sc.pool.Generation {
		n = rackFit{sc.pool.Generation, p.Feasible(u.Unit, true)}
		u.job.rackFits[u.Step] = n
	}
	return n.fits
}

func less(a, b *unit) bool {
	switch {
	case a.priority != b.priority:
		return a.priority < b.priority
	case !a.due.Equal(b.due):
		return a.due.Before(b.due)
	case a.job.ID != b.job.ID:
		return a.job.ID < b.job.ID
	case a.Step.Round != b.Step.Round:
		return a.Step.Round < b.Step.Round
	}
	return a.Step.Index < b.Step.Index
}

// place starts a unit if there is capacity for it, else tries preemption for it.
func (sc *Scheduler) place(p *planState, u unit) {
	asked := u
	u = sc.fitToCap(p, u)
	p.noteWaiting(u, len(asked.Indexes)-len(u.Indexes), waitsForCap)
	if len(u.Indexes) < len(asked.Indexes) {
		sc.waitForCap(p, asked)
	} else {
		delete(u.job.capped, u.Step)
	}
	if len(u.Indexes) == 0 {
		return
	}
	if u = sc.fitToOrders(u); len(u.Indexes) == 0 {
		return
	}
	placements := sc.findPlacements(p, u)
	p.noteWaiting(u, len(u.Indexes)-len(placements), u.waitReason())
	if len(placements) == 0 {
		sc.preempt(p, u)
		sc.keepCap(p, u)
		return
	}
	run := sc.nextRun(u.Step)
	u.Step.OffRack = u.AnyRack
	if sc.holdsReservation(u.job) && (len(placements) == len(u.Indexes) || !p.withinGuarantee(sc, u.job)) {
		for _, w := range sc.pool.Sorted() {
			w.Unreserve(u.job.ID)
		}
	}
	for _, pl := range placements {
		t := u.Step.Task(u.job.ID, pl.Index)
		r := sc.newRun(u.job, u.Step, t, run, pool.Sent)
		r.PlacedAt, r.Isolated = sc.now, u.Isolation != assign.Shared
		pl.Worker.Add(r)
		u.job.Start(t, run, pl.Worker.Endpoint.Host, pl.Worker.Inc)
		sc.outbox.starts = append(sc.outbox.starts, pendingStart{pl.Worker.Endpoint.Host, r})
	}
	sc.outbox.markDirty(u.job)
	sc.logf(event.JobPlaced, string(u.job.ID), "round=%d step=%d run=%d tasks=%d of %d waited=%s far=%t list=%s on=%s", u.Step.Round, u.Step.Index, run, len(placements), len(u.Indexes), u.waited, u.AnyRack, age(sc.now, sc.list.readAt), hostList(placements))
}

// waitReason returns why a unit within the cap of its workspace waits.
func (u unit) waitReason() waitReason {
	if u.beyond {
		return waitsForShare
	}
	return waitsForRoom
}

// newRun returns a run of a task that enters a phase now.
func (sc *Scheduler) newRun(j *job, s *flow.Step, t fleet.Task, no fleet.Run, phase pool.Phase) *pool.Run {
	return &pool.Run{
		Task: t, No: no, Each: s.Each(), Space: fleet.SpaceID(j.Spec.Space), Counts: declared(s),
		Phase: phase, Since: sc.now, ProgressAt: sc.now,
	}
}

// findPlacements returns the workers on which a unit can start now.
func (sc *Scheduler) findPlacements(p *planState, u unit) []assign.Placement {
	if !sc.holdsReservation(u.job) && p.full.Rejects(u.Unit) {
		return nil
	}
	placements := p.Place(u.Unit)
	if len(placements) == 0 {
		p.full.Add(u.Unit)
	}
	return placements
}

// holdsReservation reports whether capacity may be reserved for a job alone.
func (sc *Scheduler) holdsReservation(j *job) bool {
	return sc.now.Sub(j.preemptedAt) < reservationTime
}

func hostList(placements []assign.Placement) string {
	out := ""
	for i, pl := range placements {
		if i > 0 && placements[i-1].Worker == pl.Worker {
			continue
		}
		if out != "" {
			out += ","
		}
		out += string(pl.Worker.Endpoint.Host)
	}
	return out
}

// nextRun returns a run number higher than that of any earlier start of the step.
func (sc *Scheduler) nextRun(s *flow.Step) fleet.Run {
	return max(s.Run, fleet.Run(sc.epoch-1)*runsPerEpoch) + 1
}
