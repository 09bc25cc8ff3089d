package helm

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pack"
)

// Bounds of admission.
const (
	lateFactor = 3 // beyond so many times its objective a job is of no use to its caller
	retryLeast = time.Second
	retryMost  = 10 * time.Second
)

// admit decides whether a job is taken in: empty if it is, else when the caller
// should come back and why. It answers a load that stays above what the site
// can do: a job that would end too late is refused at once.
func (h *Helm) admit(j *job) (time.Duration, string) {
	site := h.site()
	total := site.Total(j.Spec.Service)
	if total == 0 {
		return 0, ""
	}
	for _, s := range j.Rounds[0].Steps {
		if !site.Holds(whole(j, s), false) {
			return retryMost, "no worker is large enough for it"
		}
	}
	if j.Timed() {
		return 0, ""
	}
	ahead := time.Duration(h.ahead(j) / float64(total) * float64(time.Second))
	late := lateFactor*h.goal(j) - j.Chain()
	if ahead <= late {
		return 0, ""
	}
	return min(max(ahead-late, retryLeast), retryMost), fmt.Sprintf("work for %s waits before it, it can wait %s", ahead.Round(time.Millisecond), late.Round(time.Millisecond))
}

func whole(j *job, s *flow.Step) pack.Unit {
	u := pack.Unit{Job: j.Job, Step: s, Service: j.Spec.Service}
	for i := range s.Tasks {
		u.Indexes = append(u.Indexes, i)
	}
	return u
}

// ahead returns the accelerator-seconds of work that comes before a job.
func (h *Helm) ahead(j *job) float64 {
	sum := 0.0
	for _, o := range h.jobs {
		if o.Over() || o.Spec.Priority > j.Spec.Priority || o.Spec.Service != j.Spec.Service {
			continue
		}
		o.Each(h.now, func(s *flow.Step) {
			sum += float64(s.Left()) * s.Span().Seconds() * float64(weight(s.Each()))
		})
	}
	return sum
}

// weight counts a task without accelerators as one.
func weight(r fleet.Res) fleet.Accels { return max(r.Accels, 1) }
