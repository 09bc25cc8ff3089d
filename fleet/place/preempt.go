package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dragonflydeck.example/fleet"
)

// Limits of preemption.
const (
	// Quantum is how long a gang runs before it may be preempted, so that
	// checkpoints cost little compared to the work between them.
	Quantum = 2 * time.Minute
	// preemptGain is the factor by which a waiting job must be more urgent than
	// every gang that is preempted for it.
	preemptGain = 1.5
	// anyUrgencyAfter is how long a job waits before it may preempt gangs of any
	// urgency that together hold at most anyUrgencyMaxShare of what it needs.
	anyUrgencyAfter    = 15 * time.Second
	anyUrgencyMaxShare = 0.75
)

// preemptRule limits which gangs may be preempted for a waiting job.
type preemptRule struct {
	maxUrgency float64 // only gangs less urgent than this
	maxShare   float64 // together at most this multiple of what the job needs
	why        string  // reason given for the evictions
}

// preempt makes room for a job by evicting borrowing gangs: those that are much
// less urgent, or small ones that hold clearly less than the job needs, so that
// more resources are used afterwards. The job holds the room from now on.
func (p *Planner) preempt(w *waitingJob) []Decision {
	rules := []preemptRule{{maxUrgency: w.score / preemptGain, maxShare: math.Inf(1), why: "its room goes to a job that has waited longer in relation to its run time"}}
	if p.now.Sub(w.Since) >= anyUrgencyAfter {
		rules = append(rules, preemptRule{maxUrgency: math.Inf(1), maxShare: anyUrgencyMaxShare, why: "its room goes to a job that uses more resources than the gangs stopped for it"})
	}
	for _, rule := range rules {
		if rule.maxUrgency < 1 {
			continue
		}
		if decisions := p.preemptBy(w, rule); decisions != nil {
			return decisions
		}
	}
	return nil
}

// preemptBy evicts gangs that the rule allows so that the job fits. It returns
// nil if that is not possible.
func (p *Planner) preemptBy(w *waitingJob, rule preemptRule) []Decision {
	victims := p.chooseVictims(w, rule)
	if victims == nil {
		return nil
	}
	gone := map[fleet.JobID]bool{}
	for _, v := range victims {
		gone[v.ID] = true
	}
	parts := p.fit(w.Tasks, w.Each, func(n *node) int { return p.tasksWithout(n, w, gone) })
	if parts == nil {
		return nil
	}
	g := p.assign(w, &gang{parts: parts})
	var out []Decision
	for _, v := range p.requiredVictims(victims, parts) {
		out = append(out, p.evict(v, w.ID, rule.why)...)
	}
	return append(out, p.startIfFree(g)...)
}

// chooseVictims collects gangs, the least urgent first, until the job fits
// without them. It returns nil if the rule does not allow enough.
func (p *Planner) chooseVictims(w *waitingJob, rule preemptRule) []*gang {
	e := p.newEvictionPlan(w)
	for _, v := range p.preemptibleGangs() {
		if e.fits >= w.Tasks || v.urgency >= rule.maxUrgency {
			break
		}
		if !v.evicting {
			e.consider(v.gang, rule)
		}
	}
	if e.fits < w.Tasks {
		return nil
	}
	return e.victims
}

// evictionPlan is a set of gangs to evict and the room that a job would have
// without them.
type evictionPlan struct {
	job     *waitingJob
	room    map[fleet.HostID]fleet.Res // on the workers that accept the job
	fits    int                        // tasks that fit
	victims []*gang                    // gangs to evict
	held    fleet.Res                  // resources of the victims
}

func (p *Planner) newEvictionPlan(w *waitingJob) *evictionPlan {
	e := &evictionPlan{job: w, room: map[fleet.HostID]fleet.Res{}}
	for _, r := range p.racks {
		for _, n := range r.nodes {
			if n.accepts(&w.Job) {
				e.room[n.ID] = p.roomFor(n, n.free(), &w.Job, false)
				e.fits += e.room[n.ID].Count(w.Each)
			}
		}
	}
	return e
}

// consider adds a gang to the victims if more tasks fit without it and the rule
// allows it.
func (e *evictionPlan) consider(g *gang, rule preemptRule) {
	gain := e.gain(g)
	sum := e.held.Add(g.Need())
	if gain == 0 || sum.DominantShare(e.job.Need()) > rule.maxShare {
		return
	}
	for _, part := range g.parts {
		if have, ok := e.room[part.Worker]; ok {
			e.room[part.Worker] = have.Add(g.Each.Times(part.Tasks))
		}
	}
	e.fits += gain
	e.held = sum
	e.victims = append(e.victims, g)
}

// gain returns how many more tasks fit without a gang.
func (e *evictionPlan) gain(g *gang) int {
	n := 0
	for _, part := range g.parts {
		if have, ok := e.room[part.Worker]; ok {
			after := have.Add(g.Each.Times(part.Tasks))
			n += after.Count(e.job.Each) - have.Count(e.job.Each)
		}
	}
	return n
}

// preemptible is a gang that may be preempted, and its urgency.
type preemptible struct {
	*gang
	urgency float64
}

// preemptibleGangs lists the gangs that may be preempted, the least urgent first.
// The list stays valid for the whole plan, because gangs that start during it
// have not run for a quantum.
func (p *Planner) preemptibleGangs() []preemptible {
	if p.preemptibles == nil {
		p.preemptibles = p.listPreemptible()
	}
	return p.preemptibles
}

func (p *Planner) listPreemptible() []preemptible {
	list := make([]preemptible, 0, len(p.gangs))
	for _, g := range p.gangs {
		if g.owned || !g.running || p.now.Sub(g.began) < Quantum {
			continue
		}
		list = append(list, preemptible{g, p.urgency(&g.Job, p.now.Sub(g.began))})
	}
	slices.SortFunc(list, func(a, b preemptible) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// tasksWithout returns how many tasks of a job fit on a worker without some of its
// gangs.
func (p *Planner) tasksWithout(n *node, w *waitingJob, gone map[fleet.JobID]bool) int {
	if !n.accepts(&w.Job) {
		return 0
	}
	room := p.roomFor(n, n.free(), &w.Job, false)
	for _, g := range n.gangs {
		if gone[g.ID] {
			room = room.Add(g.heldOn(n.ID))
		}
	}
	return room.Count(w.Each)
}

// requiredVictims returns the victims that must be evicted for these parts: those
// on a worker with too little room.
func (p *Planner) requiredVictims(victims []*gang, parts []Part) []*gang {
	var out []*gang
	for _, v := range victims {
		for _, part := range v.parts {
			if includesWorker(parts, part.Worker) && p.nodes[part.Worker].free().Negative() {
				out = append(out, v)
				break
			}
		}
	}
	return out
}
