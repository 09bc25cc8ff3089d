package daemon

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// A waiting gang for which no domain can free enough capacity tries one domain
// after the other. Each move is a record in the log, so there may be at most one a
// minute.
func TestWaitingGangMovesOnceAMinuteAtMost(t *testing.T) {
	const watch = 10 * time.Minute
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders", gpus(3, 16))
		s.setSpace("e11", "camp")
		s.submitAll("e11", 3, 16, time.Hour)
		s.untilAll("e11", 3, wire.Phase_PLACED, 20*time.Second)
		s.mustSubmit("e11", "camp", "waits", 8, time.Minute)
		time.Sleep(watch)
		n := s.moves("waits")
		qt.Assert(s.t, n >= 3, qt.IsTrue, qt.Commentf("it moved %d times and has not tried every domain", n))
		qt.Assert(s.t, n <= int(watch/place.LargeJobWait), qt.IsTrue, qt.Commentf("it moved %d times", n))
	})
}

// moves counts the records that gave a waiting job to another domain.
func (s *site) moves(job fleet.JobID) int {
	n := 0
	reply, err := s.log.Read(s.t.Context(), &wire.ReadAsk{Max: 1 << 20})
	qt.Assert(s.t, err, qt.IsNil)
	for _, e := range reply.Entries {
		if e.GetEntry().GetMove().GetJob() == string(job) {
			n++
		}
	}
	return n
}
