package sched_test

import (
	"cmp"
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/pool"
)

// worker simulates a worker of the platform in virtual time.
type worker struct {
	id           fleet.HostID
	rack         string
	domain       fleet.DomainID
	inc          fleet.Incarnation
	epoch        time.Time     // zero of its clock
	saved        string        // checkpoint that its polls report
	stopTime     time.Duration // of a run; 0 for half of the limit
	atWork       bool          // its runs report that they have started up
	unlisted     bool
	draining     bool
	drainLeft    time.Duration // until it is gone, as announced while it drains
	cutOff       bool          // no request reaches it
	losesAnswers bool          // requests take effect, but their answers are lost
	fails        bool          // every run fails
	flaky        bool          // every other run fails
	hangs        bool          // no run makes progress
	clockRate    float64       // of its clock; 0 counts as 1
	slow         float64       // factor by which runs take longer, below 1 on a faster worker; 0 counts as 1
	capacity     fleet.Res
	maxAccels    int64 // most accelerators ever in use at one time

	term             fleet.Term
	leaseUntil       time.Time
	advancedAt       time.Time
	runs             map[pool.Key]*running
	order            []pool.Key               // of the runs, as they began; some may have ended
	closed           map[fleet.Task]fleet.Run // newest run that ended or was stopped here
	ends             []fleet.EndReport
	ended            fleet.EndNo
	acked            fleet.EndNo // in the newest poll
	started          map[fleet.JobID]int
	seen             int
	startCount       int               // runs that have started here
	pending          []func(time.Time) // starts that are carried out late
	repeatedStartErr error             // answer to a start whose run is already running
	startDelay       time.Duration
	maxDelayed       int // limit of starts delayed at one time; 0 for no limit
	delayedUntil     time.Time
	longPolls        []longPoll

	crasher *crasher   // knows the tasks that crash their workers; nil if there are none
	crashAt time.Time  // when it crashes; zero if it does not
	upAt    time.Time  // when it is back after a crash; zero while it is up
	hung    []longPoll // polls that time out, as it fell silent

	gangFinished func(fleet.JobID) bool    // reports whether all members of a gang have finished their part; nil if they do not wait for each other
	gangSlowdown func(fleet.JobID) float64 // slowdown of a gang's slowest member; nil if members advance on their own
	rush         *rush                     // knows the gangs and run times of a simulated day; nil otherwise
}

type running struct {
	order fleet.StartOrder
	left  time.Duration
	stop  time.Time // when a stop completes; zero if none is under way
	odd   bool      // it is the first, third ... run on its worker
	gang  *gangRun  // nil if its members do not wait for each other
	begun time.Time
	total time.Duration // work of the run from its beginning, for a simulated day
}

// runTimes is how long the tasks of a job really run.
var runTimes = map[fleet.JobID]time.Duration{}

// accelsOf is how many accelerators each task of a job takes.
var accelsOf = map[fleet.JobID]int64{}

// gangJobs are the jobs whose tasks form a gang.
var gangJobs = map[fleet.JobID]bool{}

func newWorker(id fleet.HostID, rack string, now time.Time) *worker {
	return &worker{
		id: id, rack: rack, domain: "d1", inc: fleet.Incarnation(now.UnixMilli()), epoch: now.Add(-time.Hour),
		capacity: fleet.Res{Cores: 64000, Mem: 131072, Accels: 8}, advancedAt: now,
		runs: map[pool.Key]*running{}, closed: map[fleet.Task]fleet.Run{}, started: map[fleet.JobID]int{},
	}
}

// endGangsTogether makes the members of a gang end together, once all have finished
// their part.
func (w *world) endGangsTogether() {
	for _, one := range w.workers {
		one.gangFinished = w.allDone
	}
}

// advanceGangsTogether makes all members of a gang advance at the pace of the slowest, and end
// together. Single tasks end on their own.
func (w *world) advanceGangsTogether() {
	for _, one := range w.workers {
		one.gangSlowdown = w.slowestMember
		one.gangFinished = func(job fleet.JobID) bool { return !gangJobs[job] || w.allDone(job) }
	}
}

func (w *world) slowestMember(job fleet.JobID) float64 {
	slowest := 0.0
	for _, one := range w.workers {
		for k := range one.runs {
			if k.Task.Job == job {
				slowest = max(slowest, cmp.Or(one.slow, 1))
			}
		}
	}
	return slowest
}

func (w *world) allDone(job fleet.JobID) bool {
	for _, one := range w.workers {
		for k, r := range one.runs {
			if k.Task.Job == job && r.left > 0 {
				return false
			}
		}
	}
	return true
}

func (w *worker) entry() fleet.WorkerEntry {
	state := fleet.WorkerReady
	if w.draining {
		state = fleet.WorkerDraining
	}
	return fleet.WorkerEntry{
		Endpoint: fleet.Endpoint{Host: w.id, Addr: string(w.id) + ":1"}, Service: service, Domain: w.domain,
		State: state, Capacity: w.capacity, Labels: []string{"a", w.rack}, Inc: w.inc, DrainLeft: w.drainLeft,
	}
}

// crash replaces the worker's process by a new one.
func (w *worker) crash(now time.Time) {
	w.inc = fleet.Incarnation(now.UnixMilli())
	w.epoch, w.term, w.ends, w.ended = now, 0, nil, 0
	w.runs, w.closed = map[pool.Key]*running{}, map[fleet.Task]fleet.Run{}
	w.pending = nil
	w.breakPolls()
}

// breakPolls fails the polls that wait at the worker.
func (w *worker) breakPolls() {
	for _, p := range w.longPolls {
		p.fail()
	}
	w.longPolls = nil
}

func (w *worker) clock(now time.Time) fleet.Ticks {
	return fleet.Ticks(float64(now.Sub(w.epoch).Milliseconds()) * cmp.Or(w.clockRate, 1))
}

// advance moves the worker's runs on to the given time.
func (w *worker) advance(now time.Time) {
	span := now.Sub(w.advancedAt)
	w.advancedAt = now
	w.advanceCrash(now)
	if len(w.pending) > 0 && !now.Before(w.delayedUntil) {
		for _, f := range w.pending {
			f(now)
		}
		w.pending = nil
	}
	if len(w.runs) > 0 && now.After(w.leaseUntil) {
		for _, k := range w.sortedRuns() {
			w.end(k, fleet.EndLapsed, "")
		}
	}
	for _, k := range w.sortedRuns() {
		r := w.runs[k]
		switch {
		case !r.stop.IsZero():
			if !now.Before(r.stop) {
				w.end(k, fleet.EndStopped, w.checkpoint(k, r))
			}
		case w.fails, w.flaky && r.odd:
			w.end(k, fleet.EndFailed, "")
		case r.gang != nil:
			w.advanceMember(k, r, now, span)
		case !w.hangs:
			r.left -= w.progressOf(k.Task.Job, span)
			if r.left <= 0 && (w.gangFinished == nil || w.gangFinished(k.Task.Job)) {
				w.end(k, fleet.EndDone, "")
			}
		}
	}
}

// sortedRuns returns the runs in the order in which they began.
func (w *worker) sortedRuns() []pool.Key {
	w.order = slices.DeleteFunc(w.order, func(k pool.Key) bool { return w.runs[k] == nil })
	return slices.Clone(w.order)
}

// checkpoint returns the checkpoint that a stopped run leaves.
func (w *worker) checkpoint(k pool.Key, r *running) string {
	if w.rush == nil {
		return "saved"
	}
	return w.rush.checkpoint(k, r)
}

// progress returns how much of a run's work the worker does in a span.
func (w *worker) progress(span time.Duration) time.Duration {
	return time.Duration(float64(span) / cmp.Or(w.slow, 1))
}

// progressOf returns how much of a job's run the worker does in a span.
func (w *worker) progressOf(job fleet.JobID, span time.Duration) time.Duration {
	if w.gangSlowdown != nil && gangJobs[job] {
		return time.Duration(float64(span) / w.gangSlowdown(job))
	}
	return w.progress(span)
}

func (w *worker) end(k pool.Key, how fleet.End, saved string) {
	if r := w.runs[k]; w.rush != nil {
		w.rush.noteEnd(k, r, how)
	}
	delete(w.runs, k)
	w.closed[k.Task] = max(w.closed[k.Task], k.No)
	w.ended++
	w.ends = append(w.ends, fleet.EndReport{No: w.ended, Task: k.Task, Run: k.No, How: how, Saved: saved})
}

const (
	callTimeout = time.Second
	callTime    = 2 * time.Millisecond
)

func (w *worker) timedOut(op string) (fleet.Ticks, time.Duration, error) {
	return 0, callTimeout, &fleet.Error{Op: op, Kind: fleet.OutcomeUnknown, Err: errUnreachable}
}

func (w *worker) start(now time.Time, o fleet.StartOrder) (fleet.Ticks, time.Duration, error) {
	if w.cutOff {
		return w.timedOut("start")
	}
	if w.isDown() {
		return w.refuse()
	}
	if w.startDelay > 0 && (w.maxDelayed == 0 || len(w.pending) < w.maxDelayed) {
		w.delayedUntil = now.Add(w.startDelay)
		w.pending = append(w.pending, func(at time.Time) { w.beginRun(at, o) })
		return w.timedOut("start")
	}
	if w.repeatedStartErr != nil && w.runs[pool.Key{Task: o.Task, No: o.Run}] != nil {
		return 0, callTime, w.repeatedStartErr
	}
	err := w.beginRun(now, o)
	if w.losesAnswers {
		return w.timedOut("start")
	}
	return w.clock(now), callTime, err
}

func (w *worker) beginRun(now time.Time, o fleet.StartOrder) error {
	k := pool.Key{Task: o.Task, No: o.Run}
	switch {
	case o.Term < w.term:
		return &fleet.Error{Op: "start", Kind: fleet.Fenced}
	case w.runs[k] != nil:
		return nil
	case o.Run <= w.closed[o.Task]:
		return &fleet.Error{Op: "start", Kind: fleet.Stale}
	case o.LeaseUntil <= w.clock(now):
		return &fleet.Error{Op: "start", Kind: fleet.Late}
	}
	w.term = o.Term
	w.extend(now, o.LeaseUntil)
	w.startCount++
	r := &running{order: o, left: runTimes[o.Task.Job], odd: w.startCount%2 == 1, begun: now}
	if w.rush != nil {
		w.rush.begin(w, k, r)
	}
	w.runs[k] = r
	w.order = append(w.order, k)
	w.started[o.Task.Job]++
	w.crasher.noteStart(w, o.Task, now)
	used := int64(0)
	for k := range w.runs {
		used += accelsOf[k.Task.Job]
	}
	w.maxAccels = max(w.maxAccels, used)
	return nil
}

func (w *worker) extend(now time.Time, until fleet.Ticks) {
	rate := cmp.Or(w.clockRate, 1)
	at := w.epoch.Add(time.Duration(float64(until)/rate) * time.Millisecond)
	if most := now.Add(time.Duration(float64(limits.Lease) / rate)); at.After(most) {
		at = most
	}
	if until > 0 && at.After(w.leaseUntil) {
		w.leaseUntil = at
	}
}

func (w *worker) stop(now time.Time, o fleet.StopOrder) (fleet.Ticks, time.Duration, error) {
	if w.cutOff {
		return w.timedOut("stop")
	}
	if w.isDown() {
		return w.refuse()
	}
	if o.Term < w.term {
		return w.clock(now), callTime, &fleet.Error{Op: "stop", Kind: fleet.Fenced}
	}
	w.term = o.Term
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	if r := w.runs[pool.Key{Task: o.Task, No: o.Run}]; r != nil && r.stop.IsZero() {
		r.stop = now.Add(cmp.Or(w.stopTime, limits.Stop/2))
	}
	if w.losesAnswers {
		return w.timedOut("stop")
	}
	return w.clock(now), callTime, nil
}

func (w *worker) poll(now time.Time, o fleet.PollOrder) (fleet.WorkerReport, time.Duration, error) {
	if w.cutOff {
		_, span, err := w.timedOut("look")
		return fleet.WorkerReport{}, o.Wait + span, err
	}
	if w.isDown() {
		_, span, err := w.refuse()
		return fleet.WorkerReport{}, span, err
	}
	if o.Term < w.term {
		return fleet.WorkerReport{}, callTime, &fleet.Error{Op: "look", Kind: fleet.Fenced}
	}
	w.term, w.acked = o.Term, o.Acked
	w.extend(now, o.LeaseUntil)
	for len(w.ends) > 0 && w.ends[0].No <= o.Acked {
		w.ends = w.ends[1:]
	}
	return w.report(now), callTime, nil
}

// report returns the worker's answer to a poll.
func (w *worker) report(now time.Time) fleet.WorkerReport {
	s := fleet.WorkerReport{Clock: w.clock(now), Inc: w.inc, Ends: append([]fleet.EndReport(nil), w.ends...)}
	for _, k := range w.sortedRuns() {
		r := w.runs[k]
		span := runTimes[k.Task.Job]
		if w.rush != nil {
			span = r.total
		}
		done := span - r.left
		percent := min(int(100*done/max(span, 1)), 100)
		if w.atWork {
			percent = 100
		}
		s.Runs = append(s.Runs, fleet.RunReport{Task: k.Task, Run: k.No, Saved: w.saved, Percent: percent})
	}
	return s
}

// longPoll is a poll that waits for a run's end.
type longPoll struct {
	until  time.Time
	answer func(fleet.WorkerReport)
	fail   func()
}

// answerLongPolls answers the long polls that are due.
func (w *worker) answerLongPolls(now time.Time) {
	remaining := w.longPolls[:0]
	for _, p := range w.longPolls {
		if len(w.ends) == 0 && now.Before(p.until) {
			remaining = append(remaining, p)
			continue
		}
		p.answer(w.report(now))
	}
	w.longPolls = remaining
}
