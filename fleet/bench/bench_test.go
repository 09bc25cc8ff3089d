package bench

import (
	"flag"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	full = flag.Bool("full", false, "measure every size and print the figures")
	only = flag.String("size", "", "measure this size only")
	seed = flag.Uint64("seed", 1, "seed of the traces")
)

var order = []string{
	"completion.mean", "completion.p99", "largewait", "fragment", "domainwork", "reclaim", "moves", "decide", "violations",
}

// TestPlacement holds the planner's promises on the traces; with -full it
// prints the figures beside the naive version's.
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
		a := newRun(tr, newOurs(tr), true)
		a.all()
		if *full {
			b := newRun(tr, newNaive(tr), false)
			b.all()
			show(s.name, order, a.figures(), b.figures())
		}
		qt.Check(t, a.violations, qt.HasLen, 0)
		qt.Check(t, a.left, qt.Equals, 0)
		qt.Check(t, a.reclaim <= reclaimBy, qt.IsTrue, qt.Commentf("%s: reclaim took %s", s.name, a.reclaim))
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
