// Package crew is what the lead of a site knows about its workers: what room
// they have, what runs there, and until when their leases may last.
package crew

import (
	"maps"
	"slices"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
)

// Phase is how far a run on a worker has come.
type Phase int

// The phases of a run.
const (
	Sent     Phase = iota + 1 // the start is on its way
	Running                   // the worker has said that it is there
	Stopping                  // a stop is on its way, or has been answered
	Doubtful                  // the start got no answer
)

// Run is one start of a task on a worker.
type Run struct {
	Task  fleet.Task
	No    fleet.Run
	Each  fleet.Res
	Phase Phase
	Since time.Time // of the phase

	Percent int           // progress that the worker last told
	Moved   time.Time     // when that last rose
	From    int           // progress that it had when it was first seen
	Before  time.Duration // that it had worked by then
	Learned time.Time     // when its progress was last measured
	Stopped time.Time     // when a stop was answered first; zero before
	Foreign bool          // a former lead sent it
	Left    bool          // its start has left this daemon
	Sends   int           // how often
	Saved   string        // checkpoint that it goes on from
}

// Key names a run on a worker.
type Key struct {
	Task fleet.Task
	No   fleet.Run
}

// Worker is one worker and its runs.
type Worker struct {
	fleet.WorkerEntry
	Listed bool // in the service discovery
	Rack   string
	Runs   map[Key]*Run
	Synced bool // it has seen our term, and its runs are known

	Seen  fleet.EndNo // ends noted, not yet stored
	Taken fleet.EndNo // ends stored, the worker may forget them
	Told  fleet.EndNo // ends that the worker knows it may forget

	Gone  time.Time // when a worker that drains will have left
	Short bool      // it is taken away rather than drained

	Owes time.Time // it may list ends that are not known, until then

	Looking  int       // looks on their way
	Heard    time.Time // last answer
	Tried    time.Time // last look sent
	Settle   time.Time // when a stop was last answered
	Fails    int       // fails in a row, of jobs that failed nowhere else
	Aside    time.Time // not used before
	asides   int
	odds     odds   // that it fails the next task
	order    []*Run // Runs in order, nil if they have changed
	speed    speed
	keeper   fleet.JobID // the job that its room is kept for
	kept     time.Time   // until then
	used     fleet.Res
	clock    fleet.Ticks   // as told in the newest answer
	clockAt  time.Time     // when that arrived
	until    fleet.Ticks   // end of the longest lease that was sent
	longest  time.Duration // lease that the platform allows
	boundAll time.Time     // a lease that another lead gave has lapsed by then
	answerBy time.Time     // it owes an answer from then on; zero if it owes none
	pollBy   time.Time     // the same for its look that waits
}

// Free returns the room that is not taken. What is being stopped, or may still
// start, takes its room.
func (w *Worker) Free() fleet.Res { return w.Room.Sub(w.used) }

// Used returns the room that is taken.
func (w *Worker) Used() fleet.Res { return w.used }

// Usable reports whether tasks may be started on the worker.
func (w *Worker) Usable(now time.Time) bool {
	return w.Listed && w.Synced && w.State == fleet.WorkerReady && !now.Before(w.Aside) && !w.Quiet(now)
}

// Has reports whether the worker has a label; an empty one always.
func (w *Worker) Has(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Keep keeps the worker's room for a job.
func (w *Worker) Keep(job fleet.JobID, until time.Time) { w.keeper, w.kept = job, until }

// Release ends the keeping of room for a job.
func (w *Worker) Release(job fleet.JobID) {
	if w.keeper == job {
		w.keeper = ""
	}
}

// OpenTo reports whether the worker's room is not kept for another job.
func (w *Worker) OpenTo(job fleet.JobID, now time.Time) bool {
	return w.keeper == "" || w.keeper == job || !now.Before(w.kept)
}

// Add puts a run on the worker.
func (w *Worker) Add(r *Run) {
	k := Key{r.Task, r.No}
	if _, ok := w.Runs[k]; ok {
		return
	}
	w.Runs[k], w.order = r, nil
	w.used = w.used.Add(r.Each)
}

// Drop takes a run off the worker.
func (w *Worker) Drop(k Key) {
	r, ok := w.Runs[k]
	if !ok {
		return
	}
	delete(w.Runs, k)
	w.order = nil
	w.used = w.used.Sub(r.Each)
}

// Leased reports whether a lease was given for something on the worker. A start
// that has not left yet brings its own.
func (w *Worker) Leased() bool {
	for _, r := range w.Runs {
		if r.Left || r.Foreign {
			return true
		}
	}
	return false
}

// Count returns how many runs of a round of a step the worker has.
func (w *Worker) Count(t fleet.Task) int {
	n := 0
	for k := range w.Runs {
		if k.Task.Job == t.Job && k.Task.Round == t.Round && k.Task.Step == t.Step {
			n++
		}
	}
	return n
}

// Sorted returns the runs in a fixed order. The result stays as it is when runs
// are added or dropped.
func (w *Worker) Sorted() []*Run {
	if w.order == nil && len(w.Runs) > 0 {
		w.order = slices.Collect(maps.Values(w.Runs))
		sort.Slice(w.order, func(a, b int) bool { return less(w.order[a], w.order[b]) })
	}
	return w.order
}

func less(a, b *Run) bool {
	x, y := a.Task, b.Task
	switch {
	case x.Job != y.Job:
		return x.Job < y.Job
	case x.Round != y.Round:
		return x.Round < y.Round
	case x.Step != y.Step:
		return x.Step < y.Step
	case x.Index != y.Index:
		return x.Index < y.Index
	}
	return a.No < b.No
}

// Crew is every worker that the lead knows.
type Crew struct {
	Workers map[fleet.HostID]*Worker
	Census  int // rises when workers or what they have in all change

	longest time.Duration // lease that the platform allows
	sorted  []*Worker
	heard   map[fleet.DomainID]time.Time
}

// New returns a crew without workers, whose leases may last so long at most.
func New(longest time.Duration) *Crew {
	return &Crew{Workers: map[fleet.HostID]*Worker{}, longest: longest, heard: map[fleet.DomainID]time.Time{}}
}

// Sorted returns the workers in the order of their names.
func (c *Crew) Sorted() []*Worker {
	if len(c.sorted) != len(c.Workers) {
		c.sorted = c.sorted[:0]
		for _, w := range c.Workers {
			c.sorted = append(c.sorted, w)
		}
		sort.Slice(c.sorted, func(a, b int) bool { return c.sorted[a].Place.Host < c.sorted[b].Place.Host })
	}
	return c.sorted
}

// Enter notes a worker's entry. Reborn reports that its process is another one
// than before, so that nothing of the former one runs.
func (c *Crew) Enter(e fleet.WorkerEntry, rack string, now time.Time) (w *Worker, reborn bool) {
	w, ok := c.Workers[e.Place.Host]
	if !ok {
		w = &Worker{Runs: map[Key]*Run{}, longest: c.longest}
		w.Bound(now)
		c.Workers[e.Place.Host] = w
		c.sorted = nil
	}
	reborn = ok && e.Born != 0 && w.Born != 0 && e.Born > w.Born
	if ok && e.Born != 0 && e.Born < w.Born {
		return w, false
	}
	if reborn {
		w.rebirth(now)
	}
	if !w.Listed || w.Service != e.Service || w.Room != e.Room || !slices.Equal(w.Labels, e.Labels) {
		c.Census++
	}
	w.WorkerEntry, w.Rack, w.Listed = e, rack, true
	return w, reborn
}

// Leave notes that a worker has no entry any more.
func (c *Crew) Leave(id fleet.HostID) {
	if w, ok := c.Workers[id]; ok && w.Listed {
		w.Listed = false
		c.Census++
	}
}

func (c *Crew) forget(w *Worker, now time.Time) {
	if w.Listed || len(w.Runs) > 0 || w.Looking > 0 || now.Before(w.Owes) {
		return
	}
	delete(c.Workers, w.Place.Host)
	c.sorted = nil
}

// Sweep forgets the workers that have no entry, nothing running and no ends that
// are not known.
func (c *Crew) Sweep(now time.Time) {
	for _, w := range c.Workers {
		c.forget(w, now)
	}
}

// rebirth forgets what belonged to the former process of the worker.
func (w *Worker) rebirth(now time.Time) {
	w.Synced, w.Seen, w.Taken, w.Told = false, 0, 0, 0
	w.until, w.clockAt, w.clock = 0, time.Time{}, 0
	w.answerBy = time.Time{}
	w.Fails, w.Aside, w.asides, w.speed, w.odds = 0, time.Time{}, 0, speed{}, odds{}
	w.Bound(now)
}
