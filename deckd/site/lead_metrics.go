package site

import (
	"io"
	"time"

	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/speed"
	"dragonflydeck.example/fleet/wire"
)

// leadMetricsTimeout is how long the metrics page waits for the control loop. A plan of a large
// site takes tens of milliseconds.
const leadMetricsTimeout = 200 * time.Millisecond

// leadMetrics is the part of the metrics page that only the lead's control loop knows.
type leadMetrics struct {
	spaces *wire.SpaceUseReply
	speeds map[string]map[speed.Class]int // workers by class, of services whose workers differ
}

// writeLeadMetrics writes what workspaces use and wait for, and how many workers are in each class
// of speed. It writes nothing if this daemon is not the lead, or if its control loop does not
// answer in time.
func (s *Site) writeLeadMetrics(w io.Writer) {
	if !s.view.Load().leading {
		return
	}
	m := s.leadMetrics(leadMetricsTimeout)
	for _, u := range m.spaces.GetSpaces() {
		writeSpaceUse(w, u)
	}
	writeSpeedClasses(w, m.speeds)
}

// leadMetrics asks the control loop. The result is empty if the loop does not answer in time. A
// call that is queued on the loop cannot be taken back, so the wait for it is bounded here.
func (s *Site) leadMetrics(timeout time.Duration) leadMetrics {
	done := make(chan leadMetrics, 1)
	go s.runOnLoop(time.Now().Add(timeout), func(sc *sched.Scheduler) {
		done <- leadMetrics{sc.SpaceUse(""), sc.SpeedClasses()}
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case m := <-done:
		return m
	case <-timer.C:
		return leadMetrics{}
	}
}
