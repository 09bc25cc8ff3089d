package helm

import (
	"slices"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pack"
)

// Spans of planning.
const (
	provenWait        = 3 * time.Second        // a last try waits so long for a worker that is proven
	planInterval      = 250 * time.Millisecond // between two plans when nothing has changed
	idleFarAfter      = time.Second            // on a site with much free room, work that waits longer runs spread out
	guaranteeFarAfter = 2 * time.Second        // work that is owed room runs spread out rather than later
	farAfterRunTimes  = 6                      // other work waits so many times its run time before it runs spread out
)

// idleLoad is the load of a site below which spreading out costs nobody else
// his room. The platform asks that work waits for no better place below 0.5.
const idleLoad = 0.6

// unit is a unit of placement in its order.
type unit struct {
	pack.Unit
	job      *job
	priority int32
	due      time.Time // when its job should have ended
	waited   time.Duration
}

// plan starts what can start.
func (sc *Helm) plan() {
	if !sc.changed && sc.now.Sub(sc.plannedAt) < planInterval || sc.outbox.stuck(sc.now) {
		return
	}
	sc.changed, sc.plannedAt = false, sc.now
	p := &planState{Site: sc.site(), full: pack.Full{}, loads: map[string]float64{}}
	for _, u := range sc.units() {
		sc.placedAt = sc.now
		u.Far = sc.mayRunFar(p, u)
		sc.place(p, u)
	}
}

// plan is what one plan has found out about the site.
type planState struct {
	*pack.Site
	full  pack.Full
	loads map[string]float64 // by service
}

// load returns the part of a service's workers that was taken when it was asked
// for first.
func (p *planState) load(service string) float64 {
	l, ok := p.loads[service]
	if !ok {
		l = p.Load(service)
		p.loads[service] = l
	}
	return l
}

func (sc *Helm) site() *pack.Site {
	return &pack.Site{Now: sc.now, Crew: sc.crew, Out: sc.domainsOut, Muted: sc.unreachable}
}

// units returns what waits, in the order in which it gets room.
func (sc *Helm) units() []unit {
	var out []unit
	for _, j := range sc.jobs {
		j.Each(sc.now, func(s *flow.Step) {
			waiting := waitingTasks(s)
			last := sc.lastAttempts(j, s, waiting)
			if len(waiting) > len(last) {
				out = append(out, sc.unit(j, s, subtract(waiting, last)))
			}
			if len(last) > 0 {
				u := sc.unit(j, s, last)
				u.Last = u.waited < provenWait
				out = append(out, u)
			}
		})
	}
	sort.Slice(out, func(a, b int) bool { return less(&out[a], &out[b]) })
	return out
}

// lastTries returns which of some tasks of a step would end their job by one more
// fail.
func (sc *Helm) lastAttempts(j *job, s *flow.Step, waiting []int) []int {
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

// without returns what is in the first list and not in the second, both in order.
func subtract(all, less []int) []int {
	if len(less) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(i int) bool {
		_, found := slices.BinarySearch(less, i)
		return found
	})
}

// idle returns the tasks of a step that need a worker: of a gang all or none.
func waitingTasks(s *flow.Step) []int {
	var out []int
	for i := range s.Tasks {
		if k := &s.Tasks[i]; !k.Done && k.At == "" {
			out = append(out, i)
		}
	}
	if s.Spec.Gang && len(out) < len(s.Tasks) {
		return nil
	}
	return out
}

func (sc *Helm) unit(j *job, s *flow.Step, waiting []int) unit {
	due := j.Rounds[s.Round].Due
	u := unit{
		Unit: pack.Unit{Job: j.Job, Step: s, Service: j.Spec.Service, Indexes: waiting, Avoid: j.failed},
		job:  j, priority: j.Spec.Priority, waited: sc.now.Sub(due),
	}
	if s.Freed.After(due) {
		u.waited = sc.now.Sub(s.Freed)
	}
	u.due = due.Add(sc.objective(j))
	return u
}

// goal returns the response-time objective of a job.
func (sc *Helm) objective(j *job) time.Duration {
	return time.Duration(j.Spec.Slowdown*float64(j.Chain())) + time.Duration(j.Spec.Target)*time.Millisecond
}

// far reports whether a unit may run where it is slowed: where no place near
// could ever hold it, or once waiting has cost more than the slowdown.
func (sc *Helm) mayRunFar(p *planState, u unit) bool {
	spec := u.Step.Spec
	if !spec.Tight && spec.Rack == "" {
		return false
	}
	switch {
	case u.waited > max(farAfterRunTimes*u.Step.Span(), guaranteeFarAfter):
		return true
	case u.priority == 0 && u.waited > guaranteeFarAfter && sc.withinGuarantee(u.job):
		return true
	case u.waited > idleFarAfter && p.load(u.Service) < idleLoad:
		return true
	}
	return !sc.fitsNear(p, u)
}

// holdsNear reports whether the site could ever run a unit where it is not
// slowed. The answer changes with the workers only.
func (sc *Helm) fitsNear(p *planState, u unit) bool {
	n, ok := u.job.nearFits[u.Step]
	if !ok || n.workersVersion != sc.crew.Census {
		n = nearFit{sc.crew.Census, p.Holds(u.Unit, true)}
		u.job.nearFits[u.Step] = n
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

// place gives a unit its workers if there is room, and makes room for urgent
// work.
func (sc *Helm) place(p *planState, u unit) {
	spots := sc.findSpots(p, u)
	if len(spots) == 0 {
		sc.preempt(p.Site, u)
		return
	}
	run := sc.nextRun(u.Step)
	u.Step.Far = u.Far
	for _, w := range sc.crew.Sorted() {
		w.Release(u.job.ID)
	}
	for _, s := range spots {
		t := u.Step.Task(u.job.ID, s.Index)
		r := &crew.Run{Task: t, No: run, Each: u.Step.Each(), Phase: crew.Sent, Since: sc.now, Moved: sc.now}
		s.Worker.Add(r)
		u.job.Start(t, run, s.Worker.Place.Host)
		sc.outbox.starts = append(sc.outbox.starts, pendingStart{s.Worker.Place.Host, r})
	}
	sc.outbox.markDirty(u.job)
	sc.logf(event.JobPlaced, string(u.job.ID), "round=%d step=%d run=%d tasks=%d of %d waited=%s far=%t on=%s", u.Step.Round, u.Step.Index, run, len(spots), len(u.Indexes), u.waited, u.Far, hostList(spots))
}

// spots returns where a unit can start now.
func (sc *Helm) findSpots(p *planState, u unit) []pack.Spot {
	reserved := sc.now.Sub(u.job.preemptedAt) < reservationTime // room may be kept for it alone
	if !reserved && p.full.Holds(u.Unit) {
		return nil
	}
	spots := p.Place(u.Unit)
	if len(spots) == 0 {
		p.full.Note(u.Unit)
	}
	return spots
}

func hostList(spots []pack.Spot) string {
	out := ""
	for i, s := range spots {
		if i > 0 && spots[i-1].Worker == s.Worker {
			continue
		}
		if out != "" {
			out += ","
		}
		out += string(s.Worker.Place.Host)
	}
	return out
}

// next returns a run number that no earlier start of the step has had.
func (sc *Helm) nextRun(s *flow.Step) fleet.Run {
	return max(s.Run, fleet.Run(sc.epoch-1)*runsPerEpoch) + 1
}
