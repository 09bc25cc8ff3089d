package bench

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/usage"
)

// maxTries is how often the baseline tries a job that fails.
const maxTries = 20

// naive is the baseline scheduler. It places jobs by first fit in order of arrival
// and retries on any error. It ignores guarantees, checkpoints and estimates.
type naive struct {
	order      []*naiveNode
	queue      []*traceJob
	domainsOut map[fleet.DomainID]bool
	placed     map[fleet.JobID][]place.Part
	nodes      map[fleet.HostID]*naiveNode
	tries      map[fleet.JobID]int
	cpu        time.Duration
}

type naiveNode struct {
	id     fleet.HostID
	domain fleet.DomainID
	free   fleet.Res
}

func newNaive(t *trace) *naive {
	n := &naive{
		domainsOut: map[fleet.DomainID]bool{}, placed: map[fleet.JobID][]place.Part{},
		nodes: map[fleet.HostID]*naiveNode{}, tries: map[fleet.JobID]int{},
	}
	for _, a := range t.domains {
		for _, w := range a.Nodes {
			k := &naiveNode{w.ID, a.Domain, w.Total}
			n.order = append(n.order, k)
			n.nodes[w.ID] = k
		}
	}
	return n
}

func (n *naive) submit(j *traceJob, _ time.Time) { n.insert(j) }

// insert adds a job to the queue, which is in order of arrival.
func (n *naive) insert(j *traceJob) {
	i := len(n.queue)
	for i > 0 && n.queue[i-1].arrive > j.arrive {
		i--
	}
	n.queue = append(n.queue, nil)
	copy(n.queue[i+1:], n.queue[i:])
	n.queue[i] = j
}

func (n *naive) cancel(j *traceJob, _ time.Time) {
	for i, q := range n.queue {
		if q == j {
			n.queue = append(n.queue[:i], n.queue[i+1:]...)
			return
		}
	}
	n.free(j)
}

func (n *naive) free(j *traceJob) {
	for _, p := range n.placed[j.id] {
		k := n.nodes[p.Worker]
		k.free = k.free.Add(j.each.Times(p.Tasks))
	}
	delete(n.placed, j.id)
}

func (n *naive) done(j *traceJob, _ time.Time) { n.free(j) }

func (n *naive) failed(j *traceJob, _ []fleet.HostID, _ time.Time) (parked bool) {
	n.free(j)
	n.tries[j.id]++
	if n.tries[j.id] >= maxTries {
		return true
	}
	n.insert(j)
	return false
}

func (n *naive) evicted(j *traceJob, _ time.Duration, _ time.Time) {
	n.free(j)
	n.insert(j)
}

func (n *naive) turn(d fleet.DomainID, out bool, _ time.Time) { n.domainsOut[d] = out }

func (n *naive) took() time.Duration { return n.cpu }

func (n *naive) rehomed() int { return 0 }

func (n *naive) plan(time.Time) []decision {
	var acts []decision
	n.cpu += usage.Of(func() { acts = n.startAll() })
	return acts
}

func (n *naive) startAll() []decision {
	var acts []decision
	rest := n.queue[:0]
	for _, j := range n.queue {
		parts := n.firstFit(j)
		if parts == nil {
			rest = append(rest, j)
			continue
		}
		n.placed[j.id] = parts
		acts = append(acts, decision{kind: place.Start, job: j.id, parts: parts})
	}
	n.queue = rest
	return acts
}

func (n *naive) firstFit(j *traceJob) []place.Part {
	var parts []place.Part
	var at fleet.DomainID
	left := j.tasks
	for _, k := range n.order {
		if n.domainsOut[k.domain] {
			continue
		}
		if k.domain != at {
			at, parts, left = k.domain, nil, j.tasks
		}
		if t := min(k.free.Count(j.each), left); t > 0 {
			parts = append(parts, place.Part{Worker: k.id, Tasks: t})
			left -= t
		}
		if left == 0 {
			for _, p := range parts {
				w := n.nodes[p.Worker]
				w.free = w.free.Sub(j.each.Times(p.Tasks))
			}
			return parts
		}
	}
	return nil
}
