package bench

import (
	"container/heap"
	"fmt"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/place"
)

// start is the initial time of the virtual clock.
var start = time.Unix(1_800_000_000, 0)

// Parameters of the model of a worker.
const (
	checkpointTime = 2 * time.Second  // from the order to stop until the checkpoint is saved
	restoreTime    = 10 * time.Second // extra time of a start from a checkpoint
	failureTime    = 5 * time.Second  // run time until a faulty job or worker fails
	tickInterval   = time.Second
	maxReclaim     = 6700 * time.Millisecond // longest permitted wait for a guarantee that is free
)

// decision is a decision of either scheduler.
type decision struct {
	kind  place.Kind
	job   fleet.JobID
	parts []place.Part
	// reclaim is how long the job waited although its guarantee was free.
	reclaim time.Duration
}

// scheduler is an implementation of scheduling to measure.
type scheduler interface {
	submit(j *traceJob, now time.Time)
	cancel(j *traceJob, now time.Time)
	done(j *traceJob, now time.Time)
	failed(j *traceJob, on []fleet.HostID, now time.Time) (parked bool)
	evicted(j *traceJob, spent time.Duration, now time.Time)
	turn(d fleet.DomainID, out bool, now time.Time)
	plan(now time.Time) []decision
	took() time.Duration // processor time of all decisions so far
	rehomed() int        // moves of waiting jobs to other domains so far
}

// jobState is the state of a job during a simulation.
type jobState struct {
	*traceJob
	parts      []place.Part
	startedAt  time.Duration
	firstStart time.Duration // time of the first start, -1 before
	savedWork  time.Duration
	ended      bool
	endedAt    time.Duration
	epoch      int // incremented to invalidate the scheduled end
	stopping   bool
}

type simEvent struct {
	at    time.Duration
	seq   int
	epoch int
	job   *jobState
	do    func(m *simEvent)
}

type eventHeap []*simEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h eventHeap) Less(a, b int) bool {
	if h[a].at != h[b].at {
		return h[a].at < h[b].at
	}
	return h[a].seq < h[b].seq
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	m := old[len(old)-1]
	*h = old[:len(old)-1]
	return m
}

// simulation runs one trace through a scheduler.
type simulation struct {
	trace      *trace
	scheduler  scheduler
	checkpoint bool // stopped jobs keep their work
	heap       eventHeap
	seq        int
	now        time.Duration
	jobs       map[fleet.JobID]*jobState
	nodes      map[fleet.HostID]place.Node
	domainOf   map[fleet.HostID]fleet.DomainID
	used       map[fleet.HostID]fleet.Res
	out        map[fleet.DomainID]bool
	unfinished int
	fragments  []float64
	work       float64 // useful work around the outages, in hours of the whole capacity
	total      fleet.Res
	reclaim    time.Duration
	decisions  int
	violations []string
}

func newSimulation(t *trace, v scheduler, checkpoint bool) *simulation {
	r := &simulation{
		trace: t, scheduler: v, checkpoint: checkpoint, jobs: map[fleet.JobID]*jobState{},
		nodes: map[fleet.HostID]place.Node{}, domainOf: map[fleet.HostID]fleet.DomainID{},
		used: map[fleet.HostID]fleet.Res{}, out: map[fleet.DomainID]bool{}, total: t.total(),
	}
	for _, a := range t.domains {
		for _, n := range a.Nodes {
			r.nodes[n.ID], r.domainOf[n.ID] = n, a.Domain
		}
	}
	for _, j := range t.jobs {
		l := &jobState{traceJob: j, firstStart: -1}
		r.jobs[j.id] = l
		r.unfinished++
		r.at(j.arrive, l, r.arrive)
		if j.cancel > 0 {
			r.at(j.arrive+j.cancel, l, r.jobCancelled)
		}
	}
	for _, o := range t.outages {
		r.at(o.out, nil, func(*simEvent) { r.turn(o.domain, true) })
		r.at(o.back, nil, func(*simEvent) { r.turn(o.domain, false) })
	}
	return r
}

func (r *simulation) at(t time.Duration, l *jobState, do func(*simEvent)) {
	m := &simEvent{at: t, seq: r.seq, job: l, do: do}
	if l != nil {
		m.epoch = l.epoch
	}
	r.seq++
	heap.Push(&r.heap, m)
}

// runAll simulates the trace until all jobs have ended.
func (r *simulation) runAll() {
	r.at(0, nil, r.tick)
	for r.unfinished > 0 && r.heap.Len() > 0 {
		m := heap.Pop(&r.heap).(*simEvent)
		r.now = m.at
		m.do(m)
		for r.heap.Len() > 0 && r.heap[0].at == r.now {
			m = heap.Pop(&r.heap).(*simEvent)
			m.do(m)
		}
		r.decide()
	}
}

func (r *simulation) clock() time.Time { return start.Add(r.now) }

func (r *simulation) tick(*simEvent) {
	if r.now%(10*time.Minute) == 0 && r.now <= r.trace.size.span {
		r.sampleFragmentation()
	}
	if r.now < 20*r.trace.size.span {
		r.at(r.now+tickInterval, nil, r.tick)
	}
}

func (r *simulation) arrive(m *simEvent) {
	r.scheduler.submit(m.job.traceJob, r.clock())
}

func (r *simulation) jobCancelled(m *simEvent) {
	l := m.job
	if l.ended || l.stopping {
		return
	}
	r.scheduler.cancel(l.traceJob, r.clock())
	r.stop(l)
	r.finish(l)
	l.endedAt = -1
}

func (r *simulation) finish(l *jobState) {
	l.ended, l.endedAt = true, r.now
	l.epoch++
	r.unfinished--
}

// stop removes a gang from its workers.
func (r *simulation) stop(l *jobState) {
	for _, p := range l.parts {
		r.used[p.Worker] = r.used[p.Worker].Sub(l.each.Times(p.Tasks))
	}
	l.parts = nil
	l.epoch++
}

// creditWork counts work that does not have to be repeated, if done around an outage.
func (r *simulation) creditWork(l *jobState, from, to time.Duration) {
	share := l.need().DominantShare(r.total)
	for _, o := range r.trace.outages {
		a, b := max(from, o.out-5*time.Minute), min(to, o.back+30*time.Minute)
		if b > a {
			r.work += (b - a).Hours() * share
		}
	}
}

func (r *simulation) turn(d fleet.DomainID, out bool) {
	r.out[d] = out
	r.scheduler.turn(d, out, r.clock())
	if r.checkpoint || !out {
		return
	}
	for _, l := range r.jobList() { // the baseline stops running jobs without a checkpoint
		if len(l.parts) > 0 && r.domainOf[l.parts[0].Worker] == d {
			r.stop(l)
			r.scheduler.evicted(l.traceJob, 0, r.clock())
		}
	}
}

func (r *simulation) jobList() []*jobState {
	var all []*jobState
	for _, j := range r.trace.jobs {
		all = append(all, r.jobs[j.id])
	}
	return all
}

func (r *simulation) decide() {
	acts := r.scheduler.plan(r.clock())
	r.decisions += len(acts)
	for _, a := range acts {
		l := r.jobs[a.job]
		if a.kind == place.Start {
			r.start(l, a)
		} else {
			l.stopping = true
			r.at(r.now+checkpointTime, l, r.checkpointed)
		}
	}
}

func (r *simulation) start(l *jobState, a decision) {
	r.checkPlacement(l, a)
	l.parts, l.startedAt, l.stopping = a.parts, r.now, false
	l.epoch++
	if l.firstStart < 0 {
		l.firstStart = r.now
	}
	r.reclaim = max(r.reclaim, a.reclaim)
	for _, p := range a.parts {
		r.used[p.Worker] = r.used[p.Worker].Add(l.each.Times(p.Tasks))
		if !r.used[p.Worker].Fits(r.nodes[p.Worker].Total) {
			r.addViolation("%s runs more than its capacity", p.Worker)
		}
	}
	if on := r.faultyWorkerOf(l); on != "" || l.failsAlways {
		r.at(r.now+failureTime, l, r.jobFailed)
		return
	}
	if l.savedWork > 0 {
		l.startedAt += restoreTime
	}
	r.at(l.startedAt+l.runTime-l.savedWork, l, r.jobEnded)
}

func (r *simulation) checkPlacement(l *jobState, a decision) {
	tasks := 0
	for _, p := range a.parts {
		tasks += p.Tasks
		if r.out[r.domainOf[p.Worker]] {
			r.addViolation("%s starts in a domain that is out of service", l.id)
		}
		if r.domainOf[p.Worker] != r.domainOf[a.parts[0].Worker] {
			r.addViolation("%s is placed in two domains", l.id)
		}
	}
	if tasks != l.tasks || len(l.parts) > 0 || l.ended {
		r.addViolation("%s starts %d of %d tasks", l.id, tasks, l.tasks)
	}
}

func (r *simulation) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *simulation) faultyWorkerOf(l *jobState) fleet.HostID {
	for _, s := range r.trace.faulty {
		for _, p := range l.parts {
			if p.Worker == s.worker && r.now >= s.from && r.now < s.to {
				return p.Worker
			}
		}
	}
	return ""
}

func (r *simulation) jobEnded(m *simEvent) {
	l := m.job
	if m.epoch != l.epoch || l.ended || l.stopping {
		return
	}
	r.creditWork(l, l.startedAt, r.now)
	r.stop(l)
	r.finish(l)
	r.scheduler.done(l.traceJob, r.clock())
}

func (r *simulation) jobFailed(m *simEvent) {
	l := m.job
	if m.epoch != l.epoch || l.ended || l.stopping {
		return
	}
	on := r.faultyWorkerOf(l)
	if on == "" {
		on = l.parts[0].Worker
	}
	r.stop(l)
	if r.scheduler.failed(l.traceJob, []fleet.HostID{on}, r.clock()) {
		r.finish(l)
		l.endedAt = -1
	}
}

func (r *simulation) checkpointed(m *simEvent) {
	l := m.job
	if l.ended {
		return
	}
	until := max(l.startedAt, min(r.now, l.startedAt+l.runTime-l.savedWork))
	l.savedWork += until - l.startedAt
	r.creditWork(l, l.startedAt, until)
	r.stop(l)
	l.stopping = false
	r.scheduler.evicted(l.traceJob, l.savedWork, r.clock())
}

// sampleFragmentation records the share of the free accelerators that the largest
// waiting gang cannot use.
func (r *simulation) sampleFragmentation() {
	var big *jobState
	for _, l := range r.jobList() {
		waits := l.arrive <= r.now && !l.ended && len(l.parts) == 0 && !l.failsAlways
		if waits && l.each.Accels > 0 && (big == nil || l.tasks > big.tasks) {
			big = l
		}
	}
	if big == nil {
		return
	}
	free, usable := 0, map[fleet.DomainID]int{}
	for id, n := range r.nodes {
		if r.out[r.domainOf[id]] {
			continue
		}
		left := n.Total.Sub(r.used[id])
		free += int(left.Accels)
		usable[r.domainOf[id]] += left.Count(big.each) * int(big.each.Accels)
	}
	best := 0
	for _, u := range usable {
		best = max(best, u)
	}
	if free > 0 {
		r.fragments = append(r.fragments, 1-float64(best)/float64(free))
	}
}

// figures returns the results of the simulation by name.
func (r *simulation) figures() map[string]float64 {
	var slow, large []float64
	for _, l := range r.jobList() {
		if l.endedAt <= 0 || l.failsAlways {
			continue
		}
		slow = append(slow, float64(l.endedAt-l.arrive)/float64(l.runTime))
		if l.tasks >= 16 {
			large = append(large, (l.firstStart - l.arrive).Seconds())
		}
	}
	return map[string]float64{
		"completion.mean": mean(slow), "completion.p99": quantile(slow, 0.99),
		"largewait": mean(large), "fragment": mean(r.fragments), "domainwork": r.work,
		"reclaim": r.reclaim.Seconds(), "violations": float64(len(r.violations)),
		"moves":  float64(r.scheduler.rehomed()) / float64(len(r.jobs)),
		"decide": r.scheduler.took().Seconds() * 1000 / float64(max(r.decisions, 1)),
	}
}

func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(max(len(x), 1))
}

func quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	s := append([]float64{}, x...)
	sort.Float64s(s)
	return s[int(q*float64(len(s)-1))]
}
