package crew

import (
	"time"

	"dragonflydeck.example/fleet"
)

// When a worker is set aside. It answers a worker that fails whatever it is
// given: each fail there costs a job one of its few attempts.
const (
	failsAside = 2                // fails in a row, of different jobs
	asideFirst = 4 * time.Second  // then one task tries it again
	asideMost  = 30 * time.Second // doubled each time up to here
)

// Failed notes a fail on the worker. It reports whether the worker is set aside
// by it.
func (w *Worker) Failed(job fleet.JobID, now time.Time) bool {
	if w.FailJob == job && w.Fails > 0 {
		return false
	}
	w.FailJob = job
	w.Fails++
	if w.Fails < failsAside {
		return false
	}
	return w.SetAside(now)
}

// SetAside keeps the worker from new tasks for a while, longer each time.
func (w *Worker) SetAside(now time.Time) bool {
	if now.Before(w.Aside) {
		return false
	}
	span := min(asideFirst<<min(w.asides, 8), asideMost)
	w.asides++
	w.Aside = now.Add(span)
	return true
}

// Well notes that a task ended well on the worker.
func (w *Worker) Well() { w.Fails, w.FailJob, w.asides = 0, "", 0 }
