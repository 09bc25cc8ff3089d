package bench

import (
	"sort"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/usage"
)

// planners is the scheduler under test: one planner for each failure domain, driven as by the daemons.
type planners struct {
	trace          *trace
	byDomain       map[fleet.DomainID]*place.Planner
	home           map[fleet.JobID]fleet.DomainID
	jobs           map[fleet.JobID]*traceJob
	spent          map[fleet.JobID]time.Duration
	faulty         map[fleet.JobID][]fleet.HostID
	retryAfter     map[fleet.JobID]time.Time
	waitsSince     map[fleet.JobID]time.Time // since when a job has waited in its home domain
	load           map[fleet.DomainID]*place.DomainLoad
	claims         map[fleet.DomainID]map[fleet.SpaceID][]place.Shape
	owned          map[fleet.JobID]bool
	claimableSince map[fleet.JobID]time.Time
	fitsEmpty      map[gangKind]bool
	cpu            time.Duration // processor time spent on decisions
	movedAt        time.Time
	moves          int
}

func newPlanners(t *trace) *planners {
	o := &planners{
		trace: t, byDomain: map[fleet.DomainID]*place.Planner{}, home: map[fleet.JobID]fleet.DomainID{},
		jobs: map[fleet.JobID]*traceJob{}, spent: map[fleet.JobID]time.Duration{},
		faulty: map[fleet.JobID][]fleet.HostID{}, retryAfter: map[fleet.JobID]time.Time{},
		waitsSince: map[fleet.JobID]time.Time{}, load: map[fleet.DomainID]*place.DomainLoad{},
		owned: map[fleet.JobID]bool{}, claimableSince: map[fleet.JobID]time.Time{}, fitsEmpty: map[gangKind]bool{},
	}
	for _, a := range t.domains {
		p := place.New(place.Defaults())
		v := &place.DomainLoad{Domain: a.Domain, Open: true}
		for _, n := range a.Nodes {
			p.SetNode(n)
			v.Total = v.Total.Add(n.Total)
		}
		p.Open()
		o.byDomain[a.Domain], o.load[a.Domain] = p, v
	}
	o.guarantee(t.domains)
	return o
}

// guarantee distributes the guaranteed shapes of every workspace over the given failure domains.
func (o *planners) guarantee(domains []place.DomainNodes) {
	o.claims = map[fleet.DomainID]map[fleet.SpaceID][]place.Shape{}
	var given []place.Guarantee
	for i := range o.trace.size.spaces {
		id := spaceName(i)
		shares, err := place.Admit(domains, given, o.trace.size.guarantee())
		if err != nil {
			panic(err)
		}
		for _, s := range shares {
			h := o.trace.size.guarantee()[s.Shape]
			h.Count = s.Count
			given = append(given, place.Guarantee{Space: id, Domain: s.Domain, Shape: h})
			if o.claims[s.Domain] == nil {
				o.claims[s.Domain] = map[fleet.SpaceID][]place.Shape{}
			}
			o.claims[s.Domain][id] = append(o.claims[s.Domain][id], h)
		}
	}
	for d, p := range o.byDomain {
		for i := range o.trace.size.spaces {
			p.SetSpace(spaceName(i), o.claims[d][spaceName(i)], fleet.Res{})
		}
	}
}

// loads returns what the daemons know of each other's domains.
func (o *planners) loads(j *traceJob) []place.DomainLoad {
	var out []place.DomainLoad
	for _, a := range o.trace.domains {
		v := *o.load[a.Domain]
		v.FitsEmpty, v.FitsNow = o.fits(a, j), o.byDomain[a.Domain].FitsNow(j.tasks, j.each)
		v.FreeGuarantees = o.unclaimed(a.Domain, j)
		out = append(out, v)
	}
	return out
}

// gangKind is what determines whether a gang fits an otherwise empty domain.
type gangKind struct {
	domain fleet.DomainID
	tasks  int
	each   fleet.Res
}

func (o *planners) fits(a place.DomainNodes, j *traceJob) bool {
	k := gangKind{a.Domain, j.tasks, j.each}
	fits, ok := o.fitsEmpty[k]
	if !ok {
		fits, _ = place.FitsEmpty(a.Nodes, j.tasks, j.each)
		o.fitsEmpty[k] = fits
	}
	return fits
}

func (o *planners) unclaimed(d fleet.DomainID, j *traceJob) int {
	n := 0
	for _, h := range o.claims[d][j.space] {
		if j.tasks <= h.Tasks && j.each.Fits(h.Each) {
			n += h.Count
		}
	}
	if n == 0 {
		return 0
	}
	for id, at := range o.home {
		if at == d && o.jobs[id].space == j.space && (o.owned[id] || !o.waitsSince[id].IsZero()) {
			n--
		}
	}
	return max(n, 0)
}

func (o *planners) submit(j *traceJob, now time.Time) {
	o.jobs[j.id] = j
	loads := o.loads(j)
	o.queue(j, timeDecision(o, func() fleet.DomainID { return place.Choose(j.need(), loads) }), now)
}

func (o *planners) queue(j *traceJob, d fleet.DomainID, now time.Time) {
	if d == "" {
		d = o.trace.domains[0].Domain
	}
	o.home[j.id], o.waitsSince[j.id] = d, now
	if len(o.faulty[j.id]) == 0 {
		o.claimableSince[j.id] = now // watchClaims clears it after the next plan unless its guarantee is free
	}
	o.load[d].Queued = o.load[d].Queued.Add(j.need())
	o.byDomain[d].Add(place.Job{
		ID: j.id, Space: j.space, Tasks: j.tasks, Each: j.each, Declared: j.declared,
		Spent: o.spent[j.id], Since: start.Add(j.arrive), Faulty: o.faulty[j.id], After: o.retryAfter[j.id],
	})
}

func (o *planners) dequeue(j *traceJob) {
	d := o.home[j.id]
	o.byDomain[d].Remove(j.id)
	o.load[d].Queued = o.load[d].Queued.Sub(j.need())
	delete(o.waitsSince, j.id)
}

func (o *planners) vacate(j *traceJob) {
	v := o.load[o.home[j.id]]
	v.Used = v.Used.Sub(j.need())
	delete(o.owned, j.id)
}

func (o *planners) cancel(j *traceJob, _ time.Time) {
	if !o.waitsSince[j.id].IsZero() {
		o.dequeue(j)
	} else {
		o.vacate(j)
		o.byDomain[o.home[j.id]].End(j.id)
	}
	delete(o.home, j.id)
}

func (o *planners) done(j *traceJob, now time.Time) {
	o.vacate(j)
	o.byDomain[o.home[j.id]].Done(j.id, now)
	delete(o.home, j.id)
}

func (o *planners) failed(j *traceJob, on []fleet.HostID, now time.Time) bool {
	d := o.home[j.id]
	o.vacate(j)
	v := o.byDomain[d].Fail(j.id, on, now)
	o.faulty[j.id] = append(o.faulty[j.id], on...)
	if v.Park {
		delete(o.home, j.id)
		return true
	}
	o.retryAfter[j.id] = v.After
	o.queue(j, d, now)
	return false
}

func (o *planners) evicted(j *traceJob, spent time.Duration, now time.Time) {
	d := o.home[j.id]
	o.vacate(j)
	o.byDomain[d].End(j.id)
	o.spent[j.id] = spent
	o.queue(j, d, now)
}

func (o *planners) turn(d fleet.DomainID, out bool, now time.Time) {
	o.load[d].Open = !out
	if out {
		o.byDomain[d].Close("out")
		o.byDomain[d].Drain()
	} else {
		o.byDomain[d].Open()
		o.byDomain[d].EndDrain(now)
	}
	var in []place.DomainNodes
	for _, a := range o.trace.domains {
		if o.load[a.Domain].Open {
			in = append(in, a)
		}
	}
	o.guarantee(in)
}

func (o *planners) took() time.Duration { return o.cpu }

func (o *planners) rehomed() int { return o.moves }

// timeDecision runs one decision and adds its processor time to the total.
func timeDecision[T any](o *planners, f func() T) T {
	var v T
	o.cpu += usage.Of(func() { v = f() })
	return v
}

func (o *planners) plan(now time.Time) []decision {
	o.rehome(now)
	var acts []decision
	for _, a := range o.trace.domains {
		for _, d := range timeDecision(o, func() []place.Decision { return o.byDomain[a.Domain].Plan(now) }) {
			if d.Kind == place.Start {
				o.started(d)
			}
			acts = append(acts, decision{kind: d.Kind, job: d.Job, parts: d.Parts, reclaim: o.reclaimed(d, now)})
		}
	}
	o.watchClaims(now)
	return acts
}

// watchClaims records since when a waiting job could have used its free guarantee.
func (o *planners) watchClaims(now time.Time) {
	for id := range o.waitsSince {
		if !o.byDomain[o.home[id]].Claimable(id) {
			if _, waits := o.waitsSince[id]; waits && !o.byDomain[o.home[id]].Claimed(id) {
				delete(o.claimableSince, id)
			}
			continue
		}
		if o.claimableSince[id].IsZero() && len(o.faulty[id]) == 0 {
			o.claimableSince[id] = now
		}
	}
}

func (o *planners) reclaimed(d place.Decision, now time.Time) time.Duration {
	since := o.claimableSince[d.Job]
	delete(o.claimableSince, d.Job)
	if d.Kind != place.Start || !d.Owned || since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

func (o *planners) started(d place.Decision) {
	j := o.jobs[d.Job]
	v := o.load[o.home[d.Job]]
	v.Queued, v.Used = v.Queued.Sub(j.need()), v.Used.Add(j.need())
	delete(o.waitsSince, d.Job)
	o.owned[d.Job] = d.Owned
}

func (o *planners) waiting() []*traceJob {
	var list []*traceJob
	for id := range o.waitsSince {
		list = append(list, o.jobs[id])
	}
	sort.Slice(list, func(a, b int) bool { return list[a].id < list[b].id })
	return list
}

// rehome moves waiting jobs to domains with free capacity, as the leads do.
func (o *planners) rehome(now time.Time) {
	if now.Sub(o.movedAt) < 2*time.Second {
		return
	}
	o.movedAt = now
	for _, j := range o.waiting() {
		since, home := o.waitsSince[j.id], o.home[j.id]
		if o.load[home].Open && now.Sub(since) < place.MinHomeWait {
			continue
		}
		loads := o.loads(j)
		wait := place.HomeWait{Need: j.need(), Home: home, Waited: now.Sub(since), Age: now.Sub(start.Add(j.arrive))}
		to := timeDecision(o, func() fleet.DomainID { return place.Move(wait, loads) })
		if to != "" {
			o.moves++
			o.dequeue(j)
			o.queue(j, to, now)
		}
	}
}
