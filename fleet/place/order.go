package place

import (
	"sort"
	"time"

	"dragonflydeck.example/fleet"
)

// fairBase weighs how strongly a workspace's use lowers its jobs' turn.
const fairBase = 0.5

// look returns the jobs that this plan looks at: the first by turn, and those
// that have waited longest of all, whatever their turn.
func (p *Planner) look() []*wait {
	list := p.order()
	if len(list) <= p.rules.Depth {
		return list
	}
	rest := list[p.rules.Depth:]
	sort.Slice(rest, func(a, b int) bool { return rest[a].Since.Before(rest[b].Since) })
	return list[:p.rules.Depth+min(p.rules.Holds, len(rest))]
}

// order sorts the waiting jobs by turn: urgent ones first, then by how long a
// job has waited measured by its own length, divided by its workspace's use.
func (p *Planner) order() []*wait {
	if len(p.waits) == 0 {
		return nil
	}
	list := make([]*wait, 0, len(p.waits))
	active := p.active()
	for _, w := range p.waits {
		if w.After.After(p.now) {
			w.why = "failed before, is tried again at " + w.After.UTC().Format(time.TimeOnly)
			p.soon(w.After)
			continue
		}
		w.score = p.turn(w, active)
		list = append(list, w)
	}
	sort.Slice(list, func(a, b int) bool { return earlier(list[a], list[b]) })
	return list
}

func earlier(a, b *wait) bool {
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

func (p *Planner) turn(w *wait, active int) float64 {
	ratio := p.urgency(&w.Job, 0)
	share := p.space(w.Space).used.Share(p.total)
	return ratio / (fairBase + share*float64(active))
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

// active counts the workspaces that run or wait.
func (p *Planner) active() int {
	ids := map[fleet.SpaceID]bool{}
	for _, w := range p.waits {
		ids[w.Space] = true
	}
	for _, g := range p.gangs {
		ids[g.Space] = true
	}
	return len(ids)
}
