package helm

import (
	"math"
	"time"

	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/flow"
)

// Bounds of learning from progress.
const (
	learnLeast   = 700 * time.Millisecond // a run tells nothing before
	learnGap     = 1 * time.Second        // between two measurements of one run
	learnRate    = 0.05                   // weight of one measurement in what a queue's estimates are worth
	evenVariance = 0.06                   // of the work of the tasks of one step
	firstSpread  = 0.4                    // variance of a queue's estimates before any was seen
)

// guess is what the estimates of a queue's callers are worth, as logarithms of
// real over estimated run times.
type guess struct{ mean, variance float64 }

// peers are the measurements of the tasks of one step.
type peers struct {
	sum   float64
	count int
}

// learn takes a measurement from the progress of a run: of what its queue's
// estimates are worth, and of its worker's speed. Tasks of one step are compared
// with each other, as their estimate is off by the same factor.
func (h *Helm) learn(w *crew.Worker, r *crew.Run) {
	elapsed := h.now.Sub(r.Since)
	if r.Phase != crew.Running || elapsed < learnLeast || h.now.Sub(r.Learned) < learnGap {
		return
	}
	j, ok := h.jobs[r.Task.Job]
	if !ok {
		return
	}
	s := j.Step(r.Task)
	if s == nil || s.Span() <= 0 || s.Spec.Lasting || s.Far {
		return
	}
	r.Learned = h.now
	whole := elapsed.Seconds() * 100 / float64(max(r.Percent-r.From, 1))
	h.measure(w, j, s, math.Log(whole/s.Span().Seconds()))
}

func (h *Helm) measure(w *crew.Worker, j *job, s *flow.Step, log float64) {
	g, ok := h.guesses[j.Spec.Queue]
	if !ok {
		g = &guess{variance: firstSpread}
		h.guesses[j.Spec.Queue] = g
	}
	off := log - g.mean
	g.mean += learnRate * off
	g.variance += learnRate * (off*off - g.variance)
	if s.Spec.Gang {
		w.Observe(off, g.variance*float64(len(s.Tasks)), h.now)
		return
	}
	p := h.peersOf(s)
	if p.count > 1 {
		w.Observe(log-p.sum/float64(p.count), evenVariance, h.now)
	}
	p.sum += log
	p.count++
}

func (h *Helm) peersOf(s *flow.Step) *peers {
	p, ok := h.peers[s]
	if !ok {
		p = &peers{}
		h.peers[s] = p
	}
	return p
}

// forgetPeers drops the measurements of a job that has ended.
func (h *Helm) forgetPeers(j *job) {
	for _, r := range j.Rounds {
		for _, s := range r.Steps {
			delete(h.peers, s)
		}
	}
}

// span returns how long a task of a step is expected to run.
func (h *Helm) span(j *job, s *flow.Step) time.Duration {
	g, ok := h.guesses[j.Spec.Queue]
	if !ok {
		return s.Span()
	}
	return time.Duration(float64(s.Span()) * math.Exp(min(g.mean, 2)))
}
