// Package pool holds what the lead of a site knows about its workers: their
// resources, the runs on them, and when the leases it granted expire.
package pool

import (
	"maps"
	"slices"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/quota"
)

// Phase is the state of a run on a worker, as far as the lead knows it.
type Phase int

// The phases of a run.
const (
	Sent        Phase = iota + 1 // the start order was sent
	Running                      // the worker reported it as running
	Stopping                     // a stop order was sent or answered
	Unconfirmed                  // the start order got no answer, so it may run or not
)

// Run is one start of a task on a worker.
type Run struct {
	Task  fleet.Task
	No    fleet.Run
	Each  fleet.Res
	Phase Phase
	Since time.Time // when it entered the phase

	Space  fleet.SpaceID // its workspace
	Counts fleet.Res     // what it counts against the cap of its workspace

	PlacedAt time.Time // when this lead decided to start it; zero if another one did
	SentAt   time.Time // when its start order was first sent

	Percent      int               // progress in the worker's newest report
	ProgressAt   time.Time         // when Percent last rose
	FromPercent  int               // progress when it was first reported
	WorkedBefore time.Duration     // how long it had run by then
	MeasuredAt   time.Time         // when its progress was last measured
	StopAnswered time.Time         // when a stop order was first answered; zero before
	Inherited    bool              // a former lead started it
	Inc          fleet.Incarnation // of the worker's process when a former lead placed it; 0 if unknown or placed by this one
	Confirmed    bool              // the worker has said that it runs
	Isolated     bool              // its task is suspected of crashing its workers
	Blame        flow.Blame        // for the crash by which it was lost
	Dispatched   bool              // its start order has left this daemon
	Sends        int               // how often the start order was sent
	Saved        string            // checkpoint that it resumes from
}

// Key identifies a run on a worker.
type Key struct {
	Task fleet.Task
	No   fleet.Run
}

// Worker is one worker and its runs.
type Worker struct {
	fleet.WorkerEntry
	Listed bool // it has an entry in the service discovery
	Rack   string
	Runs   map[Key]*Run
	Synced bool // it has accepted this lead's term, and its runs are known

	EndsSeen        fleet.EndNo // last end that it reported; it may not be stored yet
	EndsStored      fleet.EndNo // last end that is stored, so that the worker may forget it
	EndsForgettable fleet.EndNo // last end that the worker was told it may forget

	LeavesAt    time.Time // when a draining worker will have left
	ShortNotice bool      // it leaves at shorter notice than a drain gives

	UnknownEndsUntil time.Time // until then, it may still list ends that the lead does not know

	PollsInFlight    int       // polls that it has not answered yet
	LastHeard        time.Time // when it last answered
	LastPoll         time.Time // when the last poll was sent
	LastStopAnswered time.Time // when it last answered a stop order
	ReplacedAt       time.Time // when its process was last found to have been replaced
	Fails            int       // consecutive failures of jobs that failed on no other worker
	QuarantinedUntil time.Time // end of its quarantine
	quarantines      int
	outcomes         outcomes             // of its recent tasks
	failing          bool                 // calls have failed since it last answered
	inDoubtAt        time.Time            // when its process may last have been replaced unnoticed; zero if not since it last answered a poll
	failedAt         time.Time            // when its calls last began to fail
	brokenAt         time.Time            // when a call to it was first broken off since it last answered
	crashedAt        time.Time            // when it was last found to have crashed
	crashedJobs      map[fleet.JobID]bool // that ran there then
	isolated         int                  // number of isolated runs
	order            []*Run               // Runs in a fixed order, nil if they have changed since
	speed            speedEstimate
	reservedFor      fleet.JobID // job that its free resources are reserved for
	reservedFirmly   bool        // that job is within the guarantee of its workspace
	reservedUntil    time.Time   // end of that reservation
	used             fleet.Res
	ledger           *quota.Ledger // of the pool
	clock            fleet.Ticks   // reported in its newest answer
	clockAt          time.Time     // when that answer arrived
	leaseEnd         fleet.Ticks   // on the worker's clock: end of the longest lease that was sent
	maxLease         time.Duration // longest lease that the platform allows
	unknownLeaseEnd  time.Time     // latest end of leases that this lead did not grant or does not know
	answerDue        time.Time     // when its next answer is due; zero if none is expected
	pollDue          time.Time     // when the answer to a poll that waits at the worker is due
}

// Free returns the resources that no run takes. Runs that are being stopped, or
// that may still start, count as taking theirs.
func (w *Worker) Free() fleet.Res { return w.Capacity.Sub(w.used) }

// Used returns the resources that runs take.
func (w *Worker) Used() fleet.Res { return w.used }

// Ready reports whether the worker is listed in the service discovery and does not leave.
func (w *Worker) Ready() bool { return w.Listed && w.State == fleet.WorkerReady }

// Usable reports whether tasks may be started on the worker now: it is ready and synced,
// not in quarantine, and no answer of it is overdue.
func (w *Worker) Usable(now time.Time) bool {
	return w.Ready() && w.Synced && !now.Before(w.QuarantinedUntil) && !w.Overdue(now)
}

// HasLabel reports whether the worker has the label; it is true for an empty one.
func (w *Worker) HasLabel(label string) bool {
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

// Reserve reserves the worker's free resources for a job until the given time; firmly for one that is
// within the guarantee of its workspace.
func (w *Worker) Reserve(job fleet.JobID, until time.Time, firmly bool) {
	w.reservedFor, w.reservedUntil, w.reservedFirmly = job, until, firmly
}

// Unreserve ends the reservation for a job.
func (w *Worker) Unreserve(job fleet.JobID) {
	if w.reservedFor == job {
		w.reservedFor = ""
	}
}

// AvailableTo reports whether the worker is not reserved for another job.
func (w *Worker) AvailableTo(job fleet.JobID, now time.Time) bool {
	return w.reservedFor == "" || w.reservedFor == job || !now.Before(w.reservedUntil)
}

// ReservedFirmly reports whether the job that the worker is reserved for is within the guarantee of its
// workspace.
func (w *Worker) ReservedFirmly() bool { return w.reservedFirmly }

// Add adds a run to the worker; one that is already there is ignored.
func (w *Worker) Add(r *Run) {
	k := Key{r.Task, r.No}
	if _, ok := w.Runs[k]; ok {
		return
	}
	w.Runs[k], w.order = r, nil
	w.used = w.used.Add(r.Each)
	w.ledger.Take(r.Space, w.Service, r.Counts)
	if r.Isolated {
		w.isolated++
	}
}

// changeService moves what the worker's runs use to the account of another service.
func (w *Worker) changeService(service string) {
	if w.Service == service {
		return
	}
	for _, r := range w.Runs {
		w.ledger.Release(r.Space, w.Service, r.Counts)
		w.ledger.Take(r.Space, service, r.Counts)
	}
}

// MoveRuns moves what a job's runs use to the account of another workspace.
func (w *Worker) MoveRuns(job fleet.JobID, space fleet.SpaceID) {
	for _, r := range w.Runs {
		if r.Task.Job == job {
			w.ledger.Release(r.Space, w.Service, r.Counts)
			w.ledger.Take(space, w.Service, r.Counts)
			r.Space = space
		}
	}
}

// Drop removes a run from the worker and frees its resources.
func (w *Worker) Drop(k Key) {
	r, ok := w.Runs[k]
	if !ok {
		return
	}
	delete(w.Runs, k)
	w.order = nil
	w.used = w.used.Sub(r.Each)
	w.ledger.Release(r.Space, w.Service, r.Counts)
	if r.Isolated {
		w.isolated--
	}
}

// Leased reports whether a lease was granted for any run on the worker. A run whose
// start order has not left this daemon does not count: sending the order extends the
// lease.
func (w *Worker) Leased() bool {
	for _, r := range w.Sorted() {
		if r.Dispatched || r.Inherited {
			return true
		}
	}
	return false
}

// Count returns how many runs of the task's step and round the worker has.
func (w *Worker) Count(t fleet.Task) int {
	n := 0
	for k := range w.Runs {
		if k.Task.Job == t.Job && k.Task.Round == t.Round && k.Task.Step == t.Step {
			n++
		}
	}
	return n
}

// Sorted returns the runs ordered by task and run number. Adding or dropping runs
// does not change a slice that was returned before.
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

// Pool is the set of workers that the lead knows.
type Pool struct {
	Workers    map[fleet.HostID]*Worker
	Generation int // rises when the set of workers, their domains or their total resources change
	Ledger     *quota.Ledger

	maxLease  time.Duration // longest lease that the platform allows
	sorted    []*Worker
	domains   []fleet.DomainID // of the workers; computed for one generation
	domainsOf int              // that generation
	lastHeard map[fleet.DomainID]time.Time
}

// New returns a pool without workers. MaxLease is the longest lease that the platform
// allows.
func New(maxLease time.Duration) *Pool {
	return &Pool{Workers: map[fleet.HostID]*Worker{}, Ledger: quota.NewLedger(), maxLease: maxLease, lastHeard: map[fleet.DomainID]time.Time{}}
}

// SetMaxLease sets the longest lease that the platform allows. A raised limit also
// counts for leases whose length is unknown; one that is lowered does not end leases
// that were granted before.
func (p *Pool) SetMaxLease(limit time.Duration, now time.Time) {
	p.maxLease = limit
	for _, w := range p.Workers {
		raised := limit > w.maxLease
		w.maxLease = limit
		if raised {
			w.AssumeLease(now)
		}
	}
}

// Domains returns the failure domains of the listed workers.
func (p *Pool) Domains() []fleet.DomainID {
	if p.domainsOf == p.Generation {
		return p.domains
	}
	p.domains, p.domainsOf = nil, p.Generation
	for _, w := range p.Workers {
		if w.Listed && !slices.Contains(p.domains, w.Domain) {
			p.domains = append(p.domains, w.Domain)
		}
	}
	return p.domains
}

// Sorted returns the workers ordered by host name.
func (p *Pool) Sorted() []*Worker {
	if len(p.sorted) != len(p.Workers) {
		p.sorted = p.sorted[:0]
		for _, w := range p.Workers {
			p.sorted = append(p.sorted, w)
		}
		sort.Slice(p.sorted, func(a, b int) bool { return p.sorted[a].Endpoint.Host < p.sorted[b].Endpoint.Host })
	}
	return p.sorted
}

// Update adds or updates a worker from its entry in the service discovery.
// Restarted reports that the entry is from a newer process, so that no run of the
// former process exists any more. An entry from an older process is ignored.
func (p *Pool) Update(e fleet.WorkerEntry, rack string, now time.Time) (w *Worker, restarted bool) {
	w, ok := p.Workers[e.Endpoint.Host]
	if !ok {
		w = &Worker{Runs: map[Key]*Run{}, maxLease: p.maxLease, ledger: p.Ledger}
		w.AssumeLease(now)
		p.Workers[e.Endpoint.Host] = w
		p.sorted = nil
	}
	restarted = ok && e.Inc != 0 && w.Inc != 0 && e.Inc > w.Inc
	if ok && e.Inc != 0 && e.Inc < w.Inc {
		return w, false
	}
	if restarted {
		w.resetProcess(now)
	}
	if e.Inc == 0 {
		e.Inc = w.Inc // an entry without a start time says nothing about the process
	}
	if !w.Listed || w.Service != e.Service || w.Domain != e.Domain || w.Capacity != e.Capacity || !slices.Equal(w.Labels, e.Labels) {
		p.Generation++
	}
	w.changeService(e.Service)
	w.WorkerEntry, w.Rack, w.Listed = e, rack, true
	return w, restarted
}

// Unlist notes that a worker is no longer in the service discovery.
func (p *Pool) Unlist(id fleet.HostID) {
	if w, ok := p.Workers[id]; ok && w.Listed {
		w.Listed = false
		p.Generation++
	}
}

func (p *Pool) forgetIfIdle(w *Worker, now time.Time) bool {
	if w.Listed || len(w.Runs) > 0 || w.PollsInFlight > 0 || now.Before(w.UnknownEndsUntil) {
		return false
	}
	delete(p.Workers, w.Endpoint.Host)
	p.sorted = nil
	return true
}

// Sweep removes the workers that have no entry, no runs, no poll in flight and no
// ends that the lead may not have learned yet. It returns them.
func (p *Pool) Sweep(now time.Time) []fleet.HostID {
	var gone []fleet.HostID
	for host, w := range p.Workers {
		if p.forgetIfIdle(w, now) {
			gone = append(gone, host)
		}
	}
	return gone
}

// resetProcess clears what is known of the worker's former process.
func (w *Worker) resetProcess(now time.Time) {
	w.Synced, w.EndsSeen, w.EndsStored, w.EndsForgettable = false, 0, 0, 0
	w.leaseEnd, w.clockAt, w.clock = 0, time.Time{}, 0
	w.answerDue = time.Time{}
	w.Fails, w.QuarantinedUntil, w.quarantines, w.speed, w.outcomes = 0, time.Time{}, 0, speedEstimate{}, outcomes{}
	w.AssumeLease(now)
}
