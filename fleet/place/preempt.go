package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dragonflydeck.example/fleet"
)

// Bounds of preemption.
const (
	// Quantum is how long a gang runs before another may take its room, so
	// that checkpoints cost little beside the work between them.
	Quantum = 2 * time.Minute
	// preemptGain is by how much more urgent a waiting job must be than every
	// gang that is stopped for it.
	preemptGain = 1.5
	// gatherAfter is how long a job waits before room is gathered for it from
	// gangs that need less than gatherShare of what it needs.
	gatherAfter = 15 * time.Second
	gatherShare = 0.75
)

// rule says which gangs may be stopped for a waiting job.
type rule struct {
	worst float64 // less urgent than this
	most  float64 // and together at most this part of the job's need
	why   string
}

// preempt makes room for a job by checkpointing lent gangs: those that can wait
// far better than it, or a few small ones whose going puts more to work than it
// stops. The job holds the room from now on.
func (p *Planner) preempt(w *wait) []Decision {
	rules := []rule{{worst: w.score / preemptGain, most: math.Inf(1), why: "it has waited less for its length"}}
	if p.now.Sub(w.Since) >= gatherAfter {
		rules = append(rules, rule{worst: math.Inf(1), most: gatherShare, why: "more is put to work than stopped"})
	}
	for _, u := range rules {
		if u.worst < 1 {
			continue
		}
		if ds := p.oust(w, u); ds != nil {
			return ds
		}
	}
	return nil
}

// oust stops what a rule allows so that the job fits.
func (p *Planner) oust(w *wait, u rule) []Decision {
	victims := p.fewest(w, u)
	if victims == nil {
		return nil
	}
	gone := map[fleet.JobID]bool{}
	for _, v := range victims {
		gone[v.ID] = true
	}
	parts := p.fit(w.Tasks, w.Each, func(n *node) int { return p.without(n, w, gone) })
	if parts == nil {
		return nil
	}
	g := p.assign(w, &gang{parts: parts})
	var out []Decision
	for _, v := range p.touching(victims, parts) {
		out = append(out, p.evict(v, w.ID, u.why)...)
	}
	return append(out, p.begin(g)...)
}

// fewest chooses gangs, the best to stop first, until the job fits without
// them; nil if it never does or the rule forbids so much.
func (p *Planner) fewest(w *wait, u rule) []*gang {
	k := p.newClearing(w)
	for _, l := range p.lenders() {
		if k.fits >= w.Tasks || l.rate >= u.worst {
			break
		}
		if !l.leaving {
			k.consider(l.gang, u)
		}
	}
	if k.fits < w.Tasks {
		return nil
	}
	return k.list
}

// clearing is the room that a job would have if some gangs were gone.
type clearing struct {
	job  *wait
	room map[fleet.HostID]fleet.Res // of the workers that may take it
	fits int                        // tasks that fit
	list []*gang                    // that are to go
	sum  fleet.Res                  // that these hold
}

func (p *Planner) newClearing(w *wait) *clearing {
	k := &clearing{job: w, room: map[fleet.HostID]fleet.Res{}}
	for _, r := range p.racks {
		for _, n := range r.nodes {
			if n.takes(&w.Job) {
				k.room[n.ID] = p.spare(n, n.free(), &w.Job, false)
				k.fits += k.room[n.ID].Count(w.Each)
			}
		}
	}
	return k
}

// consider adds a gang if more tasks fit without it and the rule allows it.
func (k *clearing) consider(g *gang, u rule) {
	gain := k.gain(g)
	sum := k.sum.Add(g.Need())
	if gain == 0 || sum.Share(k.job.Need()) > u.most {
		return
	}
	for _, part := range g.parts {
		if have, ok := k.room[part.Worker]; ok {
			k.room[part.Worker] = have.Add(g.Each.Times(part.Tasks))
		}
	}
	k.fits += gain
	k.sum = sum
	k.list = append(k.list, g)
}

// gain counts the tasks that fit in addition if a gang is gone.
func (k *clearing) gain(g *gang) int {
	n := 0
	for _, part := range g.parts {
		if have, ok := k.room[part.Worker]; ok {
			after := have.Add(g.Each.Times(part.Tasks))
			n += after.Count(k.job.Each) - have.Count(k.job.Each)
		}
	}
	return n
}

// lender is a gang that may be stopped, and its urgency.
type lender struct {
	*gang
	rate float64
}

// lenders lists the gangs that may be stopped, the least urgent first. The list
// holds for the whole plan: what starts in it is too young to be stopped.
func (p *Planner) lenders() []lender {
	if p.lent == nil {
		p.lent = p.listLenders()
	}
	return p.lent
}

func (p *Planner) listLenders() []lender {
	list := make([]lender, 0, len(p.gangs))
	for _, g := range p.gangs {
		if g.owned || !g.running || p.now.Sub(g.began) < Quantum {
			continue
		}
		list = append(list, lender{g, p.urgency(&g.Job, p.now.Sub(g.began))})
	}
	slices.SortFunc(list, func(a, b lender) int {
		return cmp.Or(cmp.Compare(a.rate, b.rate), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// without counts the tasks that fit on a worker when some gangs are gone.
func (p *Planner) without(n *node, w *wait, gone map[fleet.JobID]bool) int {
	if !n.takes(&w.Job) {
		return 0
	}
	room := p.spare(n, n.free(), &w.Job, false)
	for _, g := range n.gangs {
		if gone[g.ID] {
			room = room.Add(g.on(n.ID))
		}
	}
	return room.Count(w.Each)
}

// touching returns the gangs that must go for these parts: those on a worker
// that has too little room.
func (p *Planner) touching(victims []*gang, parts []Part) []*gang {
	var out []*gang
	for _, v := range victims {
		for _, part := range v.parts {
			if names(parts, part.Worker) && p.nodes[part.Worker].free().Negative() {
				out = append(out, v)
				break
			}
		}
	}
	return out
}
