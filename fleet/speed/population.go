package speed

// population summarises the measured workers of a service.
type population struct {
	name     string
	sum      vector // sum of the workers' distributions
	measured int

	stale     bool // the prior must be computed again
	ownPrior  cells
	ownShift  float64
	changes   int // updates since differ was computed
	differing bool
}

func (s *population) add() {
	s.measured++
	s.stale = true
}

func (s *population) remove(p *profile) {
	s.replace(&p.cells, &cells{})
	s.measured--
}

func (s *population) replace(before, after *cells) {
	for i := range s.sum {
		s.sum[i] = max(s.sum[i]+float64(after[i])-float64(before[i]), 0)
	}
	s.stale = true
	s.changes++
}

// prior returns the distribution of a worker that is not measured: that of the
// measured workers, widened because few measurements may have narrowed it too much.
func (s *population) prior() cells {
	s.refresh()
	return s.ownPrior
}

// shift returns the mean over the measured workers, as if enoughForMean further
// workers had the mean 0, so that the first workers do not determine the scale.
func (s *population) shift() float64 {
	s.refresh()
	return s.ownShift
}

func (s *population) refresh() {
	if !s.stale {
		return
	}
	s.stale = false
	s.ownShift = 0
	for i, x := range s.sum {
		s.ownShift += x * at(i) / float64(s.measured+enoughForMean)
	}
	if s.measured < enoughForMean {
		s.ownPrior = initialPrior
		return
	}
	v := s.sum.spread(priorShare)
	v = v.spread(priorShare)
	scale := (1 - initialShare) / v.total()
	for i := range v {
		v[i] = v[i]*scale + initialShare*float64(initialPrior[i])
	}
	s.ownPrior = v.normalised()
}
