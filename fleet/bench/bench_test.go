package bench

import (
	"flag"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	full = flag.Bool("full", false, "measure every size and print the figures")
	only = flag.String("size", "", "measure only the size of this name")
	seed = flag.Uint64("seed", 1, "seed of the traces")
)

var order = []string{
	"completion.mean", "completion.p99", "largewait", "fragment", "domainwork", "reclaim", "moves", "decide", "violations",
}

// TestPlacement checks the planner's guarantees on the traces. With -full it also
// prints its figures next to those of the naive baseline.
func TestPlacement(t *testing.T) {
	sizes := []size{acampa}
	if *full {
		sizes = []size{altamaha, acampa, twoyear}
	}
	for _, s := range sizes {
		if *only != "" && s.name != *only {
			continue
		}
		tr := newTrace(s, *seed)
		a := newSimulation(tr, newPlanners(tr), true)
		a.runAll()
		if *full {
			b := newSimulation(tr, newNaive(tr), false)
			b.runAll()
			show(s.name, order, a.figures(), b.figures())
		}
		qt.Check(t, a.violations, qt.HasLen, 0)
		qt.Check(t, a.unfinished, qt.Equals, 0)
		qt.Check(t, a.reclaim <= maxReclaim, qt.IsTrue, qt.Commentf("%s: reclaim took %s", s.name, a.reclaim))
	}
}

func show(name string, figures []string, ours, naive map[string]float64) {
	for _, f := range figures {
		ratio := "-"
		if naive[f] != 0 {
			ratio = fmt.Sprintf("%.3f", ours[f]/naive[f])
		}
		fmt.Printf("bench: %s %s ours=%.3f naive=%.3f ratio=%s\n", name, f, ours[f], naive[f], ratio)
	}
}
