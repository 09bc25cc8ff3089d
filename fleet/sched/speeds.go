package sched

import (
	"math"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/assign"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
	"dragonflydeck.example/fleet/speed"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

// SpeedKey is the prefix of the keys of the records of workers' speeds.
const SpeedKey = "speed/"

// stepErrorWeight is the weight of a step in the average of its queue. A step tells the error of
// its estimate more exactly than a run.
const stepErrorWeight = 0.2

// speedLogInterval is the time between two looks for workers whose class of speed has changed.
const speedLogInterval = 2 * time.Second

// maxSpeedRecords bounds the records of speeds in one append.
const maxSpeedRecords = 64

// speeds is what the lead knows about the persistent speeds of the workers.
type speeds struct {
	book   *speed.Book
	queues map[string]*estimateError // of gangs, without the slowness of their workers; by queue
	steps  map[*flow.Step]*speed.Step
	gangs  map[*flow.Step]*measuredGang

	listed   bool      // the first list of workers was compared with the restored profiles
	loggedAt time.Time // when changed classes were last logged
}

// measuredGang is the newest run of a gang and whether it was measured.
type measuredGang struct {
	run     fleet.Run
	counted speed.Counted
}

func newSpeeds() speeds {
	return speeds{
		book: speed.New(), queues: map[string]*estimateError{},
		steps: map[*flow.Step]*speed.Step{}, gangs: map[*flow.Step]*measuredGang{},
	}
}

// forget drops the measurements of a step that has ended, or whose job has.
func (s *speeds) forget(step *flow.Step) {
	delete(s.steps, step)
	delete(s.gangs, step)
}

// finish adds the error of the estimate of a step that has ended to that of its queue.
func (s *speeds) finish(queue string, step *flow.Step) {
	if m, ok := s.steps[step]; ok {
		mean, variance := s.book.StepError(m)
		s.queueError(queue).add(mean, variance, stepErrorWeight)
	}
	s.forget(step)
}

func identity(w *pool.Worker) speed.Worker {
	return speed.Worker{Host: w.Endpoint.Host, Inc: w.Inc, Service: w.Service}
}

// queueError returns the error of the estimates of a queue.
func (s *speeds) queueError(queue string) *estimateError {
	e, ok := s.queues[queue]
	if !ok {
		e = &estimateError{variance: initialVariance}
		s.queues[queue] = e
	}
	return e
}

// learnSpeed adds the progress of a run to the profiles of its workers. Of a run that resumed
// from a checkpoint it is not known how much work was left.
func (sc *Scheduler) learnSpeed(w *pool.Worker, j *job, s *flow.Step, r *pool.Run, percent int) {
	done := percent - r.FromPercent
	if r.Saved != "" || done <= 0 || s.Unfinished() == 0 || s.Estimate() <= 0 || s.Spec.Lasting || s.OffRack {
		return
	}
	total := sc.now.Sub(r.Since).Seconds() * 100 / float64(done)
	logRatio := math.Log(max(total, 1e-3) / s.Estimate().Seconds())
	e := sc.speeds.queueError(j.Spec.Queue)
	if s.Spec.Gang {
		sc.learnGang(w, s, r, e, logRatio, done)
		return
	}
	step, ok := sc.speeds.steps[s]
	if !ok {
		step = speed.NewStep(e.mean, e.variance)
		sc.speeds.steps[s] = step
	}
	sc.speeds.book.ObserveStep(step, r.Task.Index, identity(w), logRatio, done)
}

// learnGang adds the progress of a gang, which is that of its slowest member.
func (sc *Scheduler) learnGang(w *pool.Worker, s *flow.Step, r *pool.Run, e *estimateError, logRatio float64, percent int) {
	g, ok := sc.speeds.gangs[s]
	if !ok || g.run != r.No {
		g = &measuredGang{run: r.No}
		sc.speeds.gangs[s] = g
	}
	if !g.counted.Wants(percent) {
		return
	}
	members := sc.gangMembers(w, s, r)
	expected := sc.speeds.book.Slowest(members)
	sc.speeds.book.ObserveGang(members, logRatio-e.mean, math.Sqrt(e.variance), percent, &g.counted)
	e.add(logRatio-expected, 0, errorWeight)
}

// siteProfiles gives placement access to the profiles of workers.
type siteProfiles struct {
	book *speed.Book
	pool *pool.Pool
}

// Profile returns the profile of a worker.
func (p siteProfiles) Profile(host fleet.HostID) assign.Profile {
	profile := p.book.Profile(identity(p.pool.Workers[host]))
	return &profile
}

// Differ reports whether the workers of a service are known to differ.
func (p siteProfiles) Differ(service string) bool { return p.book.Differ(service) }

// slack returns the logarithm of the slowdown of a worker with which a unit would just end when
// its job is due.
func (sc *Scheduler) slack(u unit) float64 { return sc.slackAfter(u, 0) }

// slackAfter returns the slack of a unit that starts after a wait.
func (sc *Scheduler) slackAfter(u unit, wait time.Duration) float64 {
	left := u.due.Sub(sc.now) - wait - u.job.PathAfter(u.Step.Index)
	return math.Log(max(left, time.Millisecond).Seconds() / max(u.Step.Estimate(), time.Millisecond).Seconds())
}

// expectedSlowness returns the logarithm of the slowdown that a run shows by the profiles of its
// workers; 0 where workers do not differ.
func (sc *Scheduler) expectedSlowness(w *pool.Worker, s *flow.Step, r *pool.Run) float64 {
	if !sc.speeds.book.Differ(w.Service) {
		return 0
	}
	if !s.Spec.Gang {
		p := sc.speeds.book.Profile(identity(w))
		return p.Mean()
	}
	return sc.speeds.book.Slowest(sc.gangMembers(w, s, r))
}

// gangMembers returns the workers of a gang, of which one has the given run.
func (sc *Scheduler) gangMembers(w *pool.Worker, s *flow.Step, r *pool.Run) []speed.Worker {
	members := []speed.Worker{identity(w)}
	for i := range s.Tasks {
		if o, ok := sc.pool.Workers[s.Tasks[i].Worker]; ok && o != w && s.Tasks[i].Run == r.No {
			members = append(members, identity(o))
		}
	}
	return members
}

// addSpeedRecords adds the profiles that have changed to a batch that is stored anyway. Those
// of services whose workers do not differ are of no use to the next lead. Deletions come first,
// as a worker that is back may have a new profile.
func (sc *Scheduler) addSpeedRecords(s *batch) {
	for _, host := range sc.goneSpeeds {
		s.records = append(s.records, fleet.Record{Key: SpeedKey + string(host)})
	}
	sc.goneSpeeds = nil
	s.speeds = sc.speeds.book.Due(maxSpeedRecords, sc.speeds.book.Differ)
	for _, r := range s.speeds {
		s.addRecord(SpeedKey+r.Host, r)
	}
}

// forgetSpeed drops the profile of a worker that is gone, and its record.
func (sc *Scheduler) forgetSpeed(host fleet.HostID) {
	if sc.speeds.book.Record(host) == nil {
		return
	}
	sc.speeds.book.Forget(host)
	sc.goneSpeeds = append(sc.goneSpeeds, host)
}

// forgetAbsentSpeeds drops the profiles in the store of workers that were gone before this lead
// read its first list of workers.
func (sc *Scheduler) forgetAbsentSpeeds() {
	if sc.speeds.listed || sc.list.term != sc.term {
		return
	}
	sc.speeds.listed = true
	for _, host := range sc.speeds.book.Hosts() {
		if sc.pool.Workers[host] == nil {
			sc.forgetSpeed(host)
		}
	}
}

// restoreSpeed restores a profile from its record.
func (sc *Scheduler) restoreSpeed(r fleet.Record) {
	var p wire.Speed
	err := proto.Unmarshal(r.Value, &p)
	if err == nil {
		err = sc.speeds.book.Restore(&p)
	}
	if err != nil {
		sc.logf(event.RecordBad, r.Key, "offset=%d: %v", r.Offset, err)
	}
}

// logSpeeds logs the workers whose class of speed has changed, where workers differ.
func (sc *Scheduler) logSpeeds() {
	if sc.now.Sub(sc.speeds.loggedAt) < speedLogInterval {
		return
	}
	sc.speeds.loggedAt = sc.now
	for _, c := range sc.speeds.book.TakeClassChanges(sc.speeds.book.Differ) {
		w, ok := sc.pool.Workers[c.Host]
		if !ok {
			continue
		}
		p := sc.speeds.book.Profile(identity(w))
		sc.logf(event.WorkerSpeed, string(c.Host), "class=%s before=%s slowdown=%.2f spread=%.2f runs=%d", c.To, c.From, math.Exp(p.Mean()), p.Spread(), p.Count())
	}
}

// WorkerSpeeds returns the estimated speeds of the workers of a failure domain, or of all.
func (sc *Scheduler) WorkerSpeeds(domain fleet.DomainID) *wire.WorkerSpeedReply {
	if sc.mode != leading {
		return &wire.WorkerSpeedReply{Verdict: wire.Verdict_ASTRAY}
	}
	reply := &wire.WorkerSpeedReply{Verdict: wire.Verdict_OK}
	for _, w := range sc.pool.Sorted() {
		if !w.Listed || domain != "" && w.Domain != domain {
			continue
		}
		p := sc.speeds.book.Profile(identity(w))
		reply.Workers = append(reply.Workers, &wire.WorkerSpeed{
			Host: string(w.Endpoint.Host), Domain: string(w.Domain), Service: w.Service,
			Slowdown: math.Exp(p.Mean()), Spread: p.Spread(), Transient: w.Slowdown(sc.now), Count: int32(p.Count()),
		})
	}
	return reply
}

// SpeedClasses returns the number of measured workers in each class of speed, by service. It holds
// only services whose workers are known to differ, and nothing on a daemon that is not the lead.
func (sc *Scheduler) SpeedClasses() map[string]map[speed.Class]int {
	classes := map[string]map[speed.Class]int{}
	if sc.mode != leading {
		return classes
	}
	for _, w := range sc.pool.Workers {
		if _, ok := classes[w.Service]; !ok && sc.speeds.book.Differ(w.Service) {
			classes[w.Service] = sc.speeds.book.Classes(w.Service)
		}
	}
	return classes
}
