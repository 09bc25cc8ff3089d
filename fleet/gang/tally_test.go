package gang

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// Guards against stopping a healthy gang because of an outdated report. A
// report that was requested before the gang's start and shows the part as held
// must not count the part as missing.
func TestReportFromBeforeTheStartIsInconclusive(t *testing.T) {
	start := time.Unix(1000, 0)
	b := board.New(board.Identity{Host: "e1", Domain: "d1"})
	r := &run{id: "j", attempt: 1, since: start, parts: []place.Part{{Worker: "w1", Tasks: 2}}}
	for _, c := range []struct {
		name    string
		asked   time.Time
		run     wire.Run
		missing int
		silent  int
		live    int
	}{
		{"held, asked before", start.Add(-time.Second), wire.Run_HELD, 0, 1, 0},
		{"held, asked after", start.Add(time.Second), wire.Run_HELD, 1, 0, 0},
		{"running, asked before", start.Add(-time.Second), wire.Run_RUNNING, 0, 0, 1},
		{"stopped, asked after", start.Add(time.Second), wire.Run_STOPPED, 1, 0, 0},
	} {
		b.Workers["w1"] = &board.Worker{
			Reported: true, AskedAt: c.asked,
			Reports: []*wire.Report{{Job: "j", Attempt: 1, Tasks: 2, Run: c.run}},
		}
		got := New().tally(b, r)
		qt.Check(t, got.missing, qt.HasLen, c.missing, qt.Commentf(c.name))
		qt.Check(t, got.silent, qt.Equals, c.silent, qt.Commentf(c.name))
		qt.Check(t, got.live, qt.Equals, c.live, qt.Commentf(c.name))
	}
}
