package daemon

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// atEachStep strikes the lead at the 1st to 4th order of each kind while it
// brings up a gang j of four workers, and then checks from the other host.
func atEachStep(t *testing.T, strike func(s *site, lead string), check func(s *site, lead, at string)) {
	for _, step := range []string{"reserve", "start"} {
		for nth := 1; nth <= 4; nth++ {
			t.Run(fmt.Sprint(step, nth), func(t *testing.T) {
				inSite(t, plan{domains: 1, entries: 2, workers: 4}, func(s *site) {
					s.space("e11", "orders")
					lead := s.leadOf("e11", "d1")
					at := s.other(lead, "d1")
					s.onOrder = s.atStep(step, nth, func() { strike(s, lead) })
					s.mustSubmit(at, "orders", "j", 16, 20*time.Second)
					check(s, lead, at)
				})
			})
		}
	}
}

// atStep does something once, at the nth order of a kind.
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
