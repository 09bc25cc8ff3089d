package speed

import "math"

// The grid over the logarithm of the slowdown.
const (
	points = 15
	lowest = -1.05
	width  = 0.15 // of the cell around each point
)

// cellVariance is the variance of a uniform distribution within a cell.
const cellVariance = width * width / 12

// minSigma is the smallest standard deviation on the grid. With a narrower one,
// the mean would be at one of the points, 0.075 off at worst, and hardly move again.
const minSigma = 0.06

// vector has a value for each point of the grid.
type vector [points]float64

// cells is a distribution over the grid, in the form in which it is kept.
type cells [points]float32

func at(i int) float64 { return lowest + float64(i)*width }

// gaussian returns a discretised normal distribution.
func gaussian(mean, spread float64) cells {
	sigma := math.Sqrt(max(spread*spread-cellVariance, minSigma*minSigma))
	var v vector
	for i := range v {
		z := (at(i) - mean) / sigma
		v[i] = math.Exp(-z * z / 2)
	}
	return v.normalised()
}

func (v *vector) total() float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum
}

func (v *vector) normalised() cells {
	scale := 1 / v.total()
	var c cells
	for i, x := range v {
		c[i] = float32(x * scale)
	}
	return c
}

// moments returns the mean and the standard deviation, with the values spread
// evenly within each cell.
func (c *cells) moments() (mean, spread float64) {
	square := 0.0
	for i, p := range c {
		x := at(i)
		mean += float64(p) * x
		square += float64(p) * x * x
	}
	return mean, math.Sqrt(max(square-mean*mean, 0) + cellVariance)
}

// cumulative returns the probability of each point and all points below it.
func (c *cells) cumulative() vector {
	var v vector
	sum := 0.0
	for i, p := range c {
		sum += float64(p)
		v[i] = sum
	}
	return v
}

// within returns the probability of at most x, linear within each cell.
func (c *cells) within(x float64) float64 {
	place := (x-lowest)/width + 0.5
	if !(place > 0) {
		return 0
	}
	if place >= points {
		return 1
	}
	whole := int(place)
	sum := float32(0)
	for _, p := range c[:whole] {
		sum += p
	}
	return min(float64(sum)+float64(c[whole])*(place-float64(whole)), 1)
}

// widened returns the distribution with at least the standard deviation minSigma
// and about the same mean.
func (v *vector) widened() vector {
	sum, mean, square := v.total(), 0.0, 0.0
	for i, x := range v {
		mean += x / sum * at(i)
		square += x / sum * at(i) * at(i)
	}
	missing := minSigma*minSigma - (square - mean*mean)
	if missing <= 0 {
		return *v
	}
	return v.spread(missing / (2 * width * width))
}

// spread returns the distribution after a share of each point has moved to either
// neighbour. Probability beyond the ends stays at the ends.
func (v *vector) spread(share float64) vector {
	var out vector
	for i, x := range v {
		out[i] += x * (1 - 2*share)
		out[max(i-1, 0)] += x * share
		out[min(i+1, points-1)] += x * share
	}
	return out
}
