package speed

import "dragonflydeck.example/fleet"

// gangBuffers are reused between gangs.
type gangBuffers struct {
	seen    map[fleet.HostID]struct{}
	members []Worker
	prior   []cells  // distribution of each member
	below   []vector // cumulative distribution of each member
	before  []vector // product of below over the members before
	like    []vector
}

// load keeps one entry for each worker of a gang.
func (g *gangBuffers) load(b *Book, members []Worker) {
	if g.seen == nil {
		g.seen = map[fleet.HostID]struct{}{}
	}
	clear(g.seen)
	g.members, g.prior = g.members[:0], g.prior[:0]
	g.below, g.before, g.like = g.below[:0], g.before[:0], g.like[:0]
	for _, w := range members {
		if _, ok := g.seen[w.Host]; ok {
			continue
		}
		g.seen[w.Host] = struct{}{}
		c := b.distribution(w)
		g.members = append(g.members, w)
		g.prior = append(g.prior, c)
		g.below = append(g.below, c.cumulative())
	}
}

// ones returns the cumulative distribution of the maximum of no members.
func ones() vector {
	var v vector
	for i := range v {
		v[i] = 1
	}
	return v
}

func (v *vector) multiply(by *vector) {
	for i := range v {
		v[i] *= by[i]
	}
}

// ObserveGang adds the measurement of a gang, which advances at the pace of its
// slowest member: the logarithm of its run time over the expected one, and the
// standard deviation of the error of its queue's estimates. A worker that is
// listed more than once counts once. The percent is the share of the run that the
// measurement covers.
//
// Each member is updated with the likelihood of its own slowdown over the
// distribution of the slowest of the others before the measurement.
func (b *Book) ObserveGang(members []Worker, deviation, errorSpread float64, percent int, run *Counted) {
	if len(members) == 0 || !finite(deviation, errorSpread) || !run.count(percent) {
		return
	}
	g := &b.gang
	g.load(b, members)
	n := newNoise(max(errorSpread, taskError), len(g.members))
	atPoint := n.atPoints(deviation)
	g.likelihoods(&atPoint)
	for i, w := range g.members {
		b.update(w, &g.prior[i], &g.like[i])
	}
}

// likelihoods computes the likelihood of each member's slowdown from the
// likelihood of the slowest member's.
func (g *gangBuffers) likelihoods(slowest *vector) {
	product := ones()
	for i := range g.below {
		g.before = append(g.before, product)
		product.multiply(&g.below[i])
	}
	g.like = append(g.like, g.below...)
	after := ones()
	for i := len(g.below) - 1; i >= 0; i-- {
		others := g.before[i]
		others.multiply(&after)
		g.like[i] = marginal(&others, slowest)
		after.multiply(&g.below[i])
	}
}

// marginal returns the likelihood of a member's slowdown, given the cumulative
// distribution of the slowest of the others: that one determines the gang's pace
// where it is slower than the member.
func marginal(others, slowest *vector) vector {
	var like vector
	beyond := 0.0
	for i := points - 1; i >= 0; i-- {
		like[i] = others[i]*slowest[i] + beyond
		if i > 0 {
			beyond += (others[i] - others[i-1]) * slowest[i]
		}
	}
	return like
}

// Slowest returns the mean of the logarithm of the slowdown of the slowest of some
// workers, all of one service; 0 without workers.
func (b *Book) Slowest(members []Worker) float64 {
	if len(members) == 0 {
		return 0
	}
	g := &b.gang
	g.load(b, members)
	product := ones()
	for i := range g.below {
		product.multiply(&g.below[i])
	}
	mean, below := 0.0, 0.0
	for i, x := range product {
		mean += at(i) * (x - below)
		below = x
	}
	return mean - b.shiftOf(members[0].Service)
}

func (b *Book) shiftOf(service string) float64 {
	if s, ok := b.services[service]; ok {
		return s.shift()
	}
	return 0
}
