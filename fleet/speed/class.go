package speed

import (
	"cmp"
	"math"
	"slices"

	"dragonflydeck.example/fleet"
)

// Class says how fast a worker is among the measured workers of its service.
type Class int8

// The classes of workers.
const (
	Unknown Class = iota // not measured well enough
	Fast
	Middle
	Slow
)

// Bounds of the classes. A worker enters and leaves a class at different bounds,
// so that noise does not move it back and forth.
const (
	enterKnown = 0.25 // spread
	leaveKnown = 0.35
	enterFar   = 0.18 // distance of the mean from 0: a factor of 1.2
	// leaveFar is three standard deviations of the noise of a mean, 0.04, below
	// enterFar: a worker midway between them changes its class every 100 tasks.
	leaveFar = 0.06
)

// String returns the name of the class as used in logs and metrics.
func (c Class) String() string {
	names := [...]string{"unknown", "fast", "middle", "slow"}
	if c < 0 || int(c) >= len(names) {
		return "invalid"
	}
	return names[c]
}

// next returns the class of a worker that has been in a class.
func (c Class) next(mean, spread float64) Class {
	if spread > leaveKnown || (c == Unknown && spread > enterKnown) {
		return Unknown
	}
	if c == Fast && mean < -leaveFar || mean < -enterFar {
		return Fast
	}
	if c == Slow && mean > leaveFar || mean > enterFar {
		return Slow
	}
	return Middle
}

// ClassChange is a change of a worker's class.
type ClassChange struct {
	Host     fleet.HostID
	Service  string
	From, To Class
}

func (p *profile) nextClass() Class {
	return p.class.next(float64(p.mean)-p.service.shift(), float64(p.spread))
}

// classify updates the class of a worker.
func (b *Book) classify(host fleet.HostID, p *profile) {
	to := p.nextClass()
	if to == p.class {
		return
	}
	if _, ok := b.changed[host]; !ok {
		b.changed[host] = p.class
	}
	p.class = to
}

// Class returns the class of a worker.
func (b *Book) Class(w Worker) Class {
	if p := b.known(w); p != nil {
		return p.nextClass()
	}
	return Unknown
}

// Classes returns the number of measured workers of a service by class.
func (b *Book) Classes(service string) map[Class]int {
	counts := map[Class]int{Unknown: 0, Fast: 0, Middle: 0, Slow: 0}
	for _, p := range b.profiles {
		if p.service.name == service {
			counts[p.nextClass()]++
		}
	}
	return counts
}

// TakeClassChanges returns the changes of classes since they were last returned, ordered
// by host. Several changes of one worker are returned as one. Changes of services that
// are not wanted are kept for a later call.
func (b *Book) TakeClassChanges(wanted func(service string) bool) []ClassChange {
	for host, p := range b.profiles {
		b.classify(host, p) // the mean over the workers may have changed
	}
	var out []ClassChange
	for host, from := range b.changed {
		p := b.profiles[host]
		if !wanted(p.service.name) {
			continue
		}
		delete(b.changed, host)
		if p.class != from {
			out = append(out, ClassChange{host, p.service.name, from, p.class})
		}
	}
	slices.SortFunc(out, func(x, y ClassChange) int { return cmp.Compare(x.Host, y.Host) })
	return out
}

// Conditions under which the workers of a service are known to differ.
var (
	differFrom  = math.Log(1.4) // difference between the fastest and the slowest tenth
	differUntil = math.Log(1.3) // below this they are no longer known to differ
)

const (
	// differSpread is the largest spread of the profiles that are compared. If equal
	// workers have that spread, the variance of their means is 0.030, less than the
	// 0.040 that is deducted for errors. With differWorkers, three standard deviations
	// more are 0.053, which leaves 2.56 sqrt(0.013) = 0.30 between the tenths.
	differSpread  = 0.2
	differWorkers = 30 // profiles that are needed

	// tenthsError is the standard error of the difference of two tenths of n values
	// of a normal distribution: sqrt(2) x 1.7, times the deviation over sqrt(n).
	tenthsError = 2.4
)

// Differ reports whether the workers of a service are known to differ: by a factor
// of more than 1.4 between the fastest and the slowest tenth. It is computed again
// when the profiles have been updated as often as there are workers, divided by 8.
func (b *Book) Differ(service string) bool {
	s, ok := b.services[service]
	if !ok {
		return false
	}
	if s.changes > s.measured/8 {
		s.changes = 0
		s.differing = b.differs(s)
	}
	return s.differing
}

func (b *Book) differs(s *population) bool {
	var means, spreads []float64
	for _, p := range b.profiles {
		if p.service == s && p.spread <= differSpread {
			means = append(means, float64(p.mean))
			spreads = append(spreads, float64(p.spread))
		}
	}
	if len(means) < differWorkers {
		return false
	}
	slices.Sort(means) // sums do not depend on the order of the map
	slices.Sort(spreads)
	variance := 0.0
	for _, x := range spreads {
		variance += x * x
	}
	apart := difference(means, variance/float64(len(means)))
	if s.differing {
		return apart > differUntil
	}
	return apart > differFrom
}

// difference returns how far the lowest and the highest tenth of sorted estimates
// are apart at least, given the variance of the estimates' errors: without the part
// that these errors explain, and without two standard errors.
func difference(means []float64, noise float64) float64 {
	tenth := len(means) / 10
	apart := means[len(means)-1-tenth] - means[tenth]
	sum, square := 0.0, 0.0
	for _, x := range means {
		sum += x
		square += x * x
	}
	n := float64(len(means))
	variance := (square - sum*sum/n) / (n - 1)
	if variance <= noise {
		return 0
	}
	return apart*math.Sqrt(1-noise/variance) - 2*tenthsError*math.Sqrt(noise/n)
}
