package place

import (
	"sort"
	"time"

	"dragonflydeck.example/fleet"
)

// fairnessBase is added to the share that a workspace uses, times the number of
// active workspaces, before the score is divided by it. A larger base makes use
// count less.
const fairnessBase = 0.5

// shortlist returns the waiting jobs that this plan considers: the first in
// order, and of the others those that have waited longest.
func (p *Planner) shortlist() []*waitingJob {
	list := p.orderWaiting()
	if len(list) <= p.rules.PlanDepth {
		return list
	}
	rest := list[p.rules.PlanDepth:]
	sort.Slice(rest, func(a, b int) bool { return rest[a].Since.Before(rest[b].Since) })
	return list[:p.rules.PlanDepth+min(p.rules.Reservations, len(rest))]
}

// orderWaiting sorts the waiting jobs: urgent ones first, then by score. It leaves
// out those that wait for their next attempt.
func (p *Planner) orderWaiting() []*waitingJob {
	if len(p.waiting) == 0 {
		return nil
	}
	list := make([]*waitingJob, 0, len(p.waiting))
	active := p.activeSpaces()
	for _, w := range p.waiting {
		if w.After.After(p.now) {
			w.why = "it failed before and is retried at " + w.After.UTC().Format(time.TimeOnly)
			p.planBy(w.After)
			continue
		}
		w.score = p.score(w, active)
		list = append(list, w)
	}
	sort.Slice(list, func(a, b int) bool { return earlier(list[a], list[b]) })
	return list
}

func earlier(a, b *waitingJob) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	if a.score != b.score {
		return a.score > b.score
	}
	if !a.Since.Equal(b.Since) {
		return a.Since.Before(b.Since)
	}
	return a.ID < b.ID
}

// score is the urgency of a job, lowered by what its workspace uses already.
func (p *Planner) score(w *waitingJob, active int) float64 {
	ratio := p.urgency(&w.Job, 0)
	share := p.space(w.Space).used.DominantShare(p.total)
	return ratio / (fairnessBase + share*float64(active))
}

// urgency is like the slowdown of a job, but relative to the run time that is
// left: its waiting time so far plus its estimated run time, divided by what
// remains of that. Ran is how long its present attempt has run.
func (p *Planner) urgency(j *Job, ran time.Duration) float64 {
	est := p.space(j.Space).estimate(j.Declared)
	done := j.Spent + ran
	rest := max(est-done, est/10, time.Second)
	waited := max(p.now.Sub(j.Since)-done, 0)
	return (float64(waited) + float64(est)) / float64(rest)
}

// activeSpaces returns the number of workspaces with waiting or running jobs.
func (p *Planner) activeSpaces() int {
	ids := map[fleet.SpaceID]bool{}
	for _, w := range p.waiting {
		ids[w.Space] = true
	}
	for _, g := range p.gangs {
		ids[g.Space] = true
	}
	return len(ids)
}
