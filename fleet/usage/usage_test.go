package usage_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet/usage"
	qt "github.com/frankban/quicktest"
)

// Time in which the thread does not run, as while other processes have the
// processor, must not count.
func TestTimeAsleepDoesNotCount(t *testing.T) {
	took := usage.Of(func() { time.Sleep(200 * time.Millisecond) })
	qt.Assert(t, took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", took))
}

// Work counts, also in the goroutine that measures it.
func TestWorkCounts(t *testing.T) {
	n := 0
	took := usage.Of(func() {
		for end := time.Now().Add(50 * time.Millisecond); time.Now().Before(end); {
			n++
		}
	})
	qt.Assert(t, took > 0, qt.IsTrue, qt.Commentf("%d rounds took no time", n))
}
