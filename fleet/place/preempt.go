package place

import (
	"math"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
)

// Bounds of preemption.
const (
	// Quantum is how long a gang runs before another may take its room, so
	// that checkpoints cost little beside the work between them.
	Quantum = 3 * time.Minute
	// preemptGain is by how much more urgent a waiting job must be than every
	// gang that is stopped for it.
	preemptGain = 1.5
	// gatherAfter is how long a job waits before room is gathered for it from
	// gangs that need less than gatherShare of what it needs.
	gatherAfter = time.Minute
	gatherShare = 0.5
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
	parts := p.fit(w.Tasks, w.Each, func(n *node) int { return p.yielding(n, w, u.worst) })
	if parts == nil {
		return nil
	}
	victims, ok := p.weakest(parts, w.Each, u.worst)
	if !ok || !u.allows(victims, w.Need()) {
		return nil
	}
	g := &gang{Job: w.Job, parts: parts}
	delete(p.waits, w.ID)
	p.release(w.ID)
	p.occupy(g)
	var out []Decision
	for _, v := range victims {
		out = append(out, p.evict(v, w.ID, u.why)...)
	}
	return append(out, p.begin(g)...)
}

// allows reports whether the victims are small beside what takes their room.
func (u *rule) allows(victims []*gang, need fleet.Res) bool {
	sum := fleet.Res{}
	for _, v := range victims {
		sum = sum.Add(v.Need())
	}
	return sum.Share(need) <= u.most
}

// yielding counts the tasks that fit on a worker if its weaker gangs go.
func (p *Planner) yielding(n *node, w *wait, worst float64) int {
	if !n.usable() || n.refuses(&w.Job) {
		return 0
	}
	room := n.free()
	for _, g := range n.gangs {
		if p.yields(g, worst) {
			room = room.Add(g.on(n.ID))
		}
	}
	return room.Count(w.Each)
}

// yields reports whether a gang may be stopped for a job of a given urgency.
func (p *Planner) yields(g *gang, worst float64) bool {
	return !g.owned && g.running && !g.leaving && p.now.Sub(g.began) >= Quantum && p.urgency(&g.Job, p.now.Sub(g.began)) < worst
}

// weakest chooses the gangs to stop so that parts have room, the least urgent
// first.
func (p *Planner) weakest(parts []Part, each fleet.Res, worst float64) ([]*gang, bool) {
	chosen := map[fleet.JobID]bool{}
	var list []*gang
	for _, part := range parts {
		n := p.nodes[part.Worker]
		need := each.Times(part.Tasks)
		room := n.free()
		for _, g := range n.gangs {
			if chosen[g.ID] {
				room = room.Add(g.on(n.ID))
			}
		}
		for _, g := range p.weakestOn(n, worst) {
			if need.Fits(room) {
				break
			}
			if !chosen[g.ID] {
				chosen[g.ID] = true
				list = append(list, g)
				room = room.Add(g.on(n.ID))
			}
		}
		if !need.Fits(room) {
			return nil, false
		}
	}
	return list, true
}

func (p *Planner) weakestOn(n *node, worst float64) []*gang {
	var list []*gang
	for _, g := range n.gangs {
		if p.yields(g, worst) {
			list = append(list, g)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	sort.SliceStable(list, func(a, b int) bool {
		return p.urgency(&list[a].Job, p.now.Sub(list[a].began)) < p.urgency(&list[b].Job, p.now.Sub(list[b].began))
	})
	return list
}

// urgency is the slowdown that a job has come to: the time since it was
// accepted, less its work, over the work that is left. Ran is how long its
// present attempt has run.
func (p *Planner) urgency(j *Job, ran time.Duration) float64 {
	est := p.space(j.Space).estimate(j.Declared)
	done := j.Spent + ran
	rest := max(est-done, est/10, time.Second)
	waited := max(p.now.Sub(j.Since)-done, 0)
	return (float64(waited) + float64(est)) / float64(rest)
}
