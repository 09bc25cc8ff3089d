package crew

import "time"

// When a worker is set aside. It answers a worker that fails whatever it is
// given: each fail there costs a job one of its few attempts.
const (
	failsAside = 2                // fails in a row, of jobs that failed nowhere else
	asideFirst = 4 * time.Second  // then one task tries it again
	asideMost  = 30 * time.Second // doubled each time up to here
)

// Failed notes a fail on the worker of a job that has failed nowhere else. It
// reports whether the worker is set aside by it.
func (w *Worker) Failed(now time.Time) bool {
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
func (w *Worker) Well() { w.Fails, w.asides = 0, 0 }
