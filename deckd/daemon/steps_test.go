package daemon

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// atEachStep disrupts the lead at the 1st to 4th order of each kind while it starts
// the gang j on four workers, and then checks the result from the other host.
func atEachStep(t *testing.T, disrupt func(s *site, lead string), check func(s *site, lead, at string)) {
	for _, step := range []string{"reserve", "start"} {
		for nth := 1; nth <= 4; nth++ {
			t.Run(fmt.Sprint(step, nth), func(t *testing.T) {
				withSite(t, plan{domains: 1, entries: 2, workers: 4}, func(s *site) {
					s.setSpace("e11", "orders")
					lead := s.leadOf("e11", "d1")
					at := s.other(lead, "d1")
					s.onOrder = s.atStep(step, nth, func() { disrupt(s, lead) })
					s.mustSubmit(at, "orders", "j", 16, 20*time.Second)
					check(s, lead, at)
				})
			})
		}
	}
}

// atStep returns a hook that calls do once, at the nth order of a kind.
func (s *site) atStep(step string, nth int, do func()) func(from, to, step string) {
	var once sync.Once
	seen := 0
	return func(_, _, got string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if got == step {
			seen++
		}
		if seen == nth && got == step {
			once.Do(func() { go do() })
		}
	}
}

// The lead dies after it recorded a placement and before its first order arrives.
// The next lead must not continue that attempt, as an order may still be on its
// way. The job gets one new attempt, and no task of the first ever starts.
func TestLeadKilledBetweenPlacementAndFirstOrder(t *testing.T) {
	withSite(t, plan{domains: 1, entries: 2, workers: 4}, func(s *site) {
		s.setSpace("e11", "orders")
		lead := s.leadOf("e11", "d1")
		at := s.other(lead, "d1")
		var once sync.Once
		s.onOrder = func(from, to, _ string) {
			if from != lead {
				return
			}
			once.Do(func() { go s.kill(lead) })
			s.cutLink(from, to, true)
		}
		s.mustSubmit(at, "orders", "j", 16, 20*time.Second)
		s.untilPhase(at, "j", wire.Phase_DONE, 5*time.Minute)
		qt.Assert(s.t, s.job(at, "j").Attempt, qt.Equals, int32(2))
		for _, w := range s.workers {
			for _, st := range w.Stints() {
				qt.Assert(s.t, st.Attempt, qt.Equals, int32(2))
			}
		}
	})
}
