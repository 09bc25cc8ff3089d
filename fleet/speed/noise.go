package speed

import "math"

// Errors of measurements, in the logarithm of the run time.
const (
	taskError     = 0.25 // standard deviation among the tasks of one step on equal workers
	outlierShare  = 0.03 // share of tasks that take about seven times as long as the others
	outlierLog    = 1.95 // log 7
	outlierSpread = 0.7  // some outliers are slower by less
	// outlierPeak normalises the density of outliers that are up to 12 times as
	// slow. The density is constant beyond outlierLog, so that an extreme outlier
	// does not make the worker appear slow.
	outlierPeak = 0.7
	// maxOutlierTasks bounds the number of tasks by which the share of outliers
	// grows. With a share near 1, a gang of normal pace would be taken for a lucky
	// gang of fast workers.
	maxOutlierTasks = 8
	// strayDensity bounds the weight of one measurement that is too fast for any
	// worker, such as progress that jumps.
	strayDensity = 1e-4
)

// noise is the distribution of a measurement's error.
type noise struct {
	sigma   float64
	normal  float64 // largest density of measurements that are not outliers
	outlier float64 // largest density of the outliers, which are all on the slow side
}

// newNoise returns the noise of a measurement that is an outlier if one of a
// number of tasks is.
func newNoise(sigma float64, tasks int) noise {
	share := 1 - math.Pow(1-outlierShare, float64(min(tasks, maxOutlierTasks)))
	return noise{
		sigma:   sigma,
		normal:  (1 - share) / (sigma * math.Sqrt(2*math.Pi)),
		outlier: share * outlierPeak,
	}
}

func (n *noise) density(x float64) float64 {
	z := x / n.sigma
	tail := min(x-outlierLog, 0) / outlierSpread
	return strayDensity + n.normal*math.Exp(-z*z/2) + n.outlier*math.Exp(-tail*tail/2)
}

// atPoints returns the likelihood of a measurement for each slowdown of the grid.
func (n *noise) atPoints(deviation float64) vector {
	var v vector
	for i := range v {
		v[i] = n.density(deviation - at(i))
	}
	return v
}

func finite(xs ...float64) bool {
	for _, x := range xs {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return false
		}
	}
	return true
}
