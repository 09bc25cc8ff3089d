package clock_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet/clock"
	"pgregory.net/rapid"
)

func Example() {
	noon := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	first := clock.Continue(0, noon)
	ended := first.Read(noon.Add(30 * time.Second)) // stored by the first lead

	earlier := noon.Add(-time.Hour) // the next lead's time of day
	next := clock.Continue(ended, earlier)
	fmt.Println(earlier.Add(time.Minute).Sub(next.Time(ended)).Round(time.Second))
	// Output: 1m0s
}

// Whatever the times of day of successive leads, the time between two readings is never longer
// than the real time between them, and it is exact under one lead.
func TestClockNeverRunsFasterThanRealTime(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		type stored struct {
			at      time.Duration
			reading clock.Reading
		}
		zero := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
		var records []stored
		var newest clock.Reading
		elapsed := time.Duration(0)
		pass := func(what string) {
			elapsed += time.Duration(rapid.IntRange(0, 100_000).Draw(r, what)) * time.Millisecond
		}
		for range rapid.IntRange(1, 6).Draw(r, "leads") {
			pass("gap")
			offset := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(r, "offset"))
			local := func() time.Time { return zero.Add(elapsed + offset) }
			c := clock.Continue(newest, local())
			from := len(records)
			for range rapid.IntRange(0, 5).Draw(r, "records") {
				pass("work")
				now := stored{elapsed, c.Read(local())}
				for i, before := range records {
					passed := time.Duration(now.reading-before.reading) * time.Millisecond
					if passed > now.at-before.at {
						r.Fatalf("%s passed by the clock, %s in fact", passed, now.at-before.at)
					}
					if i >= from && passed != now.at-before.at {
						r.Fatalf("%s passed by the clock of one lead, %s in fact", passed, now.at-before.at)
					}
				}
				if got := c.Time(now.reading); !got.Equal(local()) {
					r.Fatalf("reading of %s is of %s", local(), got)
				}
				records, newest = append(records, now), max(newest, now.reading)
			}
		}
	})
}

// A lead sends its first heartbeat before it has read the store.
func TestZeroClockShowsNoReading(t *testing.T) {
	if r := (clock.Clock{}).Read(time.Now()); r != 0 {
		t.Fatalf("the zero clock reads %d", r)
	}
}
