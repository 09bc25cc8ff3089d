package assign

import (
	"cmp"
	"math"
	"slices"

	"dragonflydeck.example/fleet"
)

// Profile is the distribution of a worker's persistent slowdown: run time on the worker
// over run time on a worker of speed 1.
type Profile interface {
	// Mean returns the mean of the logarithm of the slowdown.
	Mean() float64
	// Spread returns its standard deviation.
	Spread() float64
	// ChanceWithin returns the probability that the logarithm of the slowdown is at most log.
	ChanceWithin(log float64) float64
}

// Profiles tells the persistent slowdowns of the workers.
type Profiles interface {
	// Profile returns the profile of a worker, which is the prior for one that was never
	// measured. It is not nil.
	Profile(host fleet.HostID) Profile
	// Differ reports whether the workers of a service are known to differ so much that
	// placement must consider it.
	Differ(service string) bool
}

// chanceClass is a class of the probability that a unit ends in time.
type chanceClass int

// The classes of chances, the best first.
const (
	sure chanceClass = iota
	likely
	unlikely
	late
	chanceClasses
)

// thresholds are the least chances of all classes but the last.
type thresholds [chanceClasses - 1]float64

var leastChance = thresholds{sure: 0.9, likely: 0.6, unlikely: 0.3}

func (t *thresholds) class(chance float64) chanceClass {
	for class, least := range t {
		if chance >= least {
			return chanceClass(class)
		}
	}
	return late
}

// Resolution of the slack, so that a worker's chance is computed at most once per step
// and plan. Slack is rounded down, which makes chances too low by at most a twentieth of
// the run time. Profiles extend to 1.05 on both sides.
const (
	stepsPerLog = 20
	maxStep     = 24 // slack of 1.2
	slackSteps  = 2*maxStep + 1
)

// slackStep returns the index of a slack in the table of chances. The logarithm of a time
// that has passed is not a number and counts as the least slack.
func slackStep(slack float64) int {
	if math.IsNaN(slack) {
		return 0
	}
	return int(math.Floor(max(-maxStep, min(slack*stepsPerLog, maxStep)))) + maxStep
}

// Speed classes are coarse, so that most workers of a class rank equal and the fullest of
// them is taken. With this width, speeds of 0.6, 1 and 1.6, and of 0.8, 1 and 1.25, are
// near the centers of different classes.
const (
	speedClassWidth = 0.25 // of the logarithm of the slowdown
	maxSpeedClass   = 4    // slowest class; the fastest is its negative
	speedClasses    = 2*maxSpeedClass + 2
	unmeasured      = maxSpeedClass + 1 // class of a worker whose speed is not known
)

// knownSpread is the spread of a profile below which the speed class of a worker is known.
const knownSpread = 0.25

// ranksPerPace is the number of ranks by slack among workers of one pace.
const ranksPerPace = rank(chanceClasses) * speedClasses

// speedGrade is what placement knows about the persistent speed of a worker.
type speedGrade struct {
	profile  Profile
	class    int // of its mean slowdown, the slowest highest
	known    bool
	computed uint64
	chances  [slackSteps]float64 // by slack step, where the bit in computed is set
}

// grade returns the speed grade of a worker, or nil if its service's workers do not differ.
func (s *Site) grade(service string, host fleet.HostID) *speedGrade {
	if s.Profiles == nil || !s.Profiles.Differ(service) {
		return nil
	}
	p := s.Profiles.Profile(host)
	class := math.Round(p.Mean() / speedClassWidth)
	return &speedGrade{profile: p, class: int(max(-maxSpeedClass, min(class, maxSpeedClass))), known: p.Spread() <= knownSpread}
}

// chance returns the probability that the worker ends a unit of the given slack in time.
func (g *speedGrade) chance(step int) float64 {
	if g.computed&(1<<step) == 0 {
		g.computed |= 1 << step
		g.chances[step] = g.profile.ChanceWithin(float64(step-maxStep) / stepsPerLog)
	}
	return g.chances[step]
}

// demand is what a unit asks of the speed of each of its workers.
type demand struct {
	step   int
	least  thresholds
	urgent bool
}

// demandOf returns the demand of a unit whose workers run at most perWorker tasks each. A
// gang is in time only if all of its workers are, so each needs the root of the chance
// that is asked of the gang.
func demandOf(u Unit, perWorker int) demand {
	d := demand{slackStep(u.Slack), leastChance, u.Urgent}
	if !u.Step.Spec.Gang || perWorker >= len(u.Indexes) {
		return d
	}
	workers := math.Ceil(float64(len(u.Indexes)) / float64(perWorker))
	for class := range d.least {
		d.least[class] = math.Pow(d.least[class], 1/workers)
	}
	return d
}

func (d *demand) class(g *speedGrade) chanceClass { return d.least.class(g.chance(d.step)) }

// rank returns the rank of a worker among those of the same pace. Work with slack takes
// workers whose speed is not known yet, so that it is measured before urgent work needs
// them, and then the slowest that are almost certain to be in time, so that faster ones
// stay free. In all other cases the fastest come first.
func (d *demand) rank(g *speedGrade) rank {
	class, speed := d.class(g), g.class
	if class == sure && !d.urgent {
		speed = -speed
		if !g.known {
			speed = -unmeasured
		}
	}
	return rank(class)*speedClasses + rank(speed+unmeasured)
}

// rankBySlack refines the ranks of the candidates by the unit's chance to be in time, if
// the workers of its service differ.
func rankBySlack(u Unit, cands []candidate) []candidate {
	if len(cands) == 0 || cands[0].grade == nil {
		return cands
	}
	perWorker := 0
	for _, c := range cands {
		perWorker = max(perWorker, c.count)
	}
	d := demandOf(u, perWorker)
	for i := range cands {
		c := &cands[i]
		c.rank = c.rank*ranksPerPace + d.rank(c.grade)
	}
	return cands
}

// needed returns a copy of the candidates, without those whose rank is certainly too high
// to get a task. Where workers differ there are many ranks, and sorting all candidates
// would take most of the time of a placement.
func needed(u Unit, cands []candidate) []candidate {
	if len(cands) == 0 || cands[0].grade == nil {
		return slices.Clone(cands)
	}
	var counts [(lastRank + 1) * ranksPerPace]int
	for _, c := range cands {
		counts[c.rank] += c.count
	}
	last, left := rank(0), len(u.Indexes)
	for last < rank(len(counts)) && left > 0 {
		left -= counts[last]
		last++
	}
	var out []candidate
	for _, c := range cands {
		if c.rank < last {
			out = append(out, c)
		}
	}
	return out
}

// rackScore orders the racks with room for a gang. The lowest is the best.
type rackScore struct {
	pace   rank        // of the last worker that the gang would need
	class  chanceClass // of the chance that the whole gang is in time
	speed  int         // slowest needed class; for a gang with slack that is in time, the negated mean
	chance int         // negated chance in tenths, if the gang may be late
	left   int64       // free accelerators
}

func (r rackScore) less(o rackScore) bool {
	return cmp.Or(cmp.Compare(r.pace, o.pace), cmp.Compare(r.class, o.class), cmp.Compare(r.speed, o.speed),
		cmp.Compare(r.chance, o.chance), cmp.Compare(r.left, o.left)) < 0
}

// scoreRack returns the score of a rack with room for the gang.
func (s *Site) scoreRack(u Unit, group []candidate) rackScore {
	if group[0].grade == nil {
		return rackScore{pace: worstRank(u, group), left: freeAccels(group)}
	}
	score := rackScore{speed: -maxSpeedClass, left: freeAccels(group)}
	chance, total := 1.0, 0
	group = inOrder(u, group)
	for left, step := len(u.Indexes), slackStep(u.Slack); left > 0; group = group[1:] {
		c := group[0]
		n := min(c.count, left)
		left -= n
		chance *= c.grade.chance(step)
		total += n * c.grade.class
		score.pace, score.speed = c.rank/ranksPerPace, max(score.speed, c.grade.class)
	}
	score.class = leastChance.class(chance)
	switch {
	case score.class != sure:
		score.chance = -int(10 * chance)
	case !u.Urgent:
		score.speed = -int(math.Round(float64(total) / float64(len(u.Indexes))))
	}
	return score
}
