// Package speed estimates how fast each worker of a service is, from the run
// times of tasks and gangs. It performs no I/O and reads no clock. A Book is not
// safe for concurrent use.
//
// A profile is a distribution over the logarithm of a worker's slowdown: the run
// time there over the run time on a worker of speed 1. It does not age; a process
// that is replaced gets a new profile.
//
// # Scale
//
// Adding a constant to all logarithms of slowdowns and subtracting it from the
// queues' estimate errors explains every run time equally well. The scale is
// therefore fixed: the mean over the measured workers of a service is 0, and each
// worker has the same weight, however much runs there. All results, except the
// stored records, are relative to that mean. A caller that tracks the mean error
// of a queue must track it on this scale: with the error that Book.StepError
// returns for a step, and with the logarithm of a gang's run time over the
// estimate less Book.Slowest. Where the caller's mean is off by a constant, all
// profiles move by about the same amount, and the results hardly change.
//
// # Counting
//
// Measurements of one run at different times have nearly the same error. Each run
// counts once, at its first measurement with at least 60 percent of progress.
// Earlier measurements only improve the estimate of the error that the tasks of a
// step share.
package speed

import (
	"maps"
	"slices"

	"dragonflydeck.example/fleet"
)

const (
	// countedPercent is the progress at which a run counts. By then a task three
	// times as slow has passed earlyPercent, so that the comparison within a step
	// includes the slow workers. Rounding to whole percents is an error below 2 percent.
	countedPercent = 60
	// earlyPercent is the progress from which a task contributes to the shared
	// error of its step. Rounding is an error of at most 5 percent.
	earlyPercent = 20

	initialSpread = 0.4  // standard deviation of the prior before workers are measured
	enoughForMean = 8    // measured workers from which a service has a prior of its own
	initialShare  = 0.1  // share of the initial prior in a service's own
	priorShare    = 0.25 // widens a service's own prior: twice by a standard deviation of 0.11

	// forgotten is the share of the initial prior that is mixed in with each
	// measurement. It lets a profile follow a worker whose speed changes. With 0.002,
	// workers that run only gangs of 1 to 13 members were not measured better than to 0.25.
	forgotten = 1e-4
)

var initialPrior = gaussian(0, initialSpread)

// Worker is a process that runs tasks of a service.
type Worker struct {
	Host    fleet.HostID
	Inc     fleet.Incarnation
	Service string
}

// Book holds the profiles of the workers.
type Book struct {
	profiles map[fleet.HostID]*profile
	services map[string]*population
	moved    map[fleet.HostID]struct{} // workers whose record is out of date
	changed  map[fleet.HostID]Class    // former classes since TakeClassChanges
	gang     gangBuffers
}

// New returns a book without profiles.
func New() *Book {
	return &Book{
		profiles: map[fleet.HostID]*profile{},
		services: map[string]*population{},
		moved:    map[fleet.HostID]struct{}{},
		changed:  map[fleet.HostID]Class{},
	}
}

// profile is the state of a measured worker.
type profile struct {
	cells        cells
	mean, spread float32 // of cells
	count        int32
	inc          fleet.Incarnation
	service      *population

	recordedMean, recordedSpread float32
	recorded                     bool
	inFlight                     bool
	class                        Class
}

// Profile is the estimate for one worker.
type Profile struct {
	cells  cells
	shift  float64 // mean over the service's measured workers
	mean   float64
	spread float64
	count  int
}

// Mean returns the mean of the logarithm of the slowdown.
func (p *Profile) Mean() float64 { return p.mean - p.shift }

// Spread returns the standard deviation of the logarithm of the slowdown.
func (p *Profile) Spread() float64 { return p.spread }

// Count returns how many runs have been counted, 0 for a worker without measurements.
func (p *Profile) Count() int { return p.count }

// ChanceWithin returns the probability that the logarithm of the slowdown is at
// most a value.
func (p *Profile) ChanceWithin(log float64) float64 { return p.cells.within(log + p.shift) }

// Profile returns the estimate for a worker. A worker without measurements, or
// whose process is not the measured one, has the prior of its service.
func (b *Book) Profile(w Worker) Profile {
	if p := b.known(w); p != nil {
		return Profile{p.cells, p.service.shift(), float64(p.mean), float64(p.spread), int(p.count)}
	}
	s, ok := b.services[w.Service]
	if !ok {
		return Profile{cells: initialPrior, spread: initialSpread}
	}
	c := s.prior()
	mean, spread := c.moments()
	return Profile{cells: c, shift: s.shift(), mean: mean, spread: spread}
}

// Forget deletes the profile of a worker.
func (b *Book) Forget(host fleet.HostID) {
	p, ok := b.profiles[host]
	if !ok {
		return
	}
	p.service.remove(p)
	if p.service.measured == 0 {
		delete(b.services, p.service.name)
	}
	delete(b.profiles, host)
	delete(b.moved, host)
	delete(b.changed, host)
}

// Hosts returns the workers that have a profile, in order.
func (b *Book) Hosts() []fleet.HostID { return slices.Sorted(maps.Keys(b.profiles)) }

// Counted says whether a run has been counted. The caller keeps one for each run
// of a gang or of a single task; the zero value is that of a new run.
type Counted struct{ done bool }

// Wants reports whether a measurement that covers so much of the run would count.
func (c *Counted) Wants(percent int) bool { return !c.done && percent >= countedPercent }

// count reports whether a run counts now, which it does once.
func (c *Counted) count(percent int) bool {
	if !c.Wants(percent) {
		return false
	}
	c.done = true
	return true
}

// ObserveTask adds the measurement of a single task: the logarithm of its run time
// over the expected one, without the error of its job's estimate. Tasks of which
// that error is unknown are for ObserveStep. The percent is the share of the run
// that the measurement covers.
func (b *Book) ObserveTask(w Worker, deviation float64, percent int, run *Counted) {
	if !finite(deviation) || !run.count(percent) {
		return
	}
	n := newNoise(taskError, 1)
	like := n.atPoints(deviation)
	before := b.distribution(w)
	b.update(w, &before, &like)
}

// known returns the profile of a worker's process, nil if there is none.
func (b *Book) known(w Worker) *profile {
	p, ok := b.profiles[w.Host]
	if !ok || p.inc != w.Inc || p.service.name != w.Service {
		return nil
	}
	return p
}

// distribution returns a worker's distribution, not centred.
func (b *Book) distribution(w Worker) cells {
	if p := b.known(w); p != nil {
		return p.cells
	}
	if s, ok := b.services[w.Service]; ok {
		return s.prior()
	}
	return initialPrior
}

// update replaces a worker's distribution by the one before the measurement
// multiplied by a likelihood. Late measurements of
// a former process are ignored.
func (b *Book) update(w Worker, before *cells, like *vector) {
	var v vector
	for i, p := range before {
		v[i] = float64(p) * like[i]
	}
	sum := v.total()
	if !(sum > 0) {
		return
	}
	p := b.known(w)
	if p == nil {
		if old, ok := b.profiles[w.Host]; ok && old.inc > w.Inc {
			return
		}
		p = b.start(w)
	}
	for i := range v {
		v[i] = (1-forgotten)*v[i]/sum + forgotten*float64(initialPrior[i])
	}
	p.count++
	v = v.widened()
	p.set(v.normalised())
	b.classify(w.Host, p)
	b.noteMove(w.Host, p)
}

// start replaces the profile of a worker by one that is not yet measured.
func (b *Book) start(w Worker) *profile {
	b.Forget(w.Host)
	s, ok := b.services[w.Service]
	if !ok {
		s = &population{name: w.Service, stale: true}
		b.services[w.Service] = s
	}
	p := &profile{inc: w.Inc, service: s}
	b.profiles[w.Host] = p
	s.add()
	return p
}

// set changes a worker's distribution and all that depends only on it.
func (p *profile) set(c cells) {
	p.service.replace(&p.cells, &c)
	p.cells = c
	mean, spread := c.moments()
	p.mean, p.spread = float32(mean), float32(spread)
}
