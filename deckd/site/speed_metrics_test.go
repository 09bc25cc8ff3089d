package site

import (
	"strings"
	"testing"
	"time"

	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/speed"
	qt "github.com/frankban/quicktest"
)

// A dashboard adds the classes up, so the empty ones must be there too, in a fixed order.
func TestSpeedClassesAreWrittenInOrder(t *testing.T) {
	var w strings.Builder
	writeSpeedClasses(&w, map[string]map[speed.Class]int{
		"render": {speed.Slow: 3, speed.Unknown: 0, speed.Fast: 12, speed.Middle: 5},
		"desk":   {speed.Slow: 1},
	})
	qt.Assert(t, w.String(), qt.Equals, `deckd_worker_speed_classes{service="desk",class="slow"} 1
deckd_worker_speed_classes{service="render",class="unknown"} 0
deckd_worker_speed_classes{service="render",class="fast"} 12
deckd_worker_speed_classes{service="render",class="middle"} 5
deckd_worker_speed_classes{service="render",class="slow"} 3
`)
}

// Only the lead knows the classes, and of workers that are not known to differ there are none.
func TestSpeedMetricsAreLeftOut(t *testing.T) {
	lead := newSiteWithLoop(newLeadingScheduler(t, testSelf))
	follower := newSiteWithLoop(sched.New(testSelf, sched.Limits{}, time.Now()))
	for _, s := range []*Site{lead, follower} {
		go s.loop.Run(t.Context())
		_, page := s.metrics()
		qt.Check(t, strings.Contains(page, "deckd_worker_speed_classes"), qt.IsFalse)
	}
}
