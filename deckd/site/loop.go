package site

import (
	"time"

	"dragonflydeck.example/fleet/helm"
	"dragonflydeck.example/fleet/loop"
)

// tickInterval is a third of the interval between two heartbeats.
const tickInterval = 50 * time.Millisecond

// controlLoop is the goroutine that owns the control state of a site daemon.
type controlLoop = loop.Loop[*helm.Scheduler, helm.Event]

// newLoop returns the control loop that steps h. Each step logs the events,
// publishes the new state and dispatches the actions that it produced.
func (s *Site) newLoop(h *helm.Scheduler) *controlLoop {
	step := func(batch []helm.Event, _ bool) {
		actions := h.Step(time.Now(), batch)
		for _, e := range h.LogEvents() {
			s.logger.Write(e)
		}
		s.publishView(h)
		s.dispatcher.dispatch(actions)
	}
	return loop.New(h, s.timer.Every(tickInterval), make(chan helm.Event, loop.EventQueue), step)
}

// runOnLoop runs a function on the control loop. It returns false if the loop
// did not get to it by the deadline.
func (s *Site) runOnLoop(until time.Time, f func(*helm.Scheduler)) bool {
	giveUp := make(chan struct{})
	timer := time.AfterFunc(time.Until(until), func() { close(giveUp) })
	defer timer.Stop()
	return s.loop.Do(giveUp, f) == loop.Done
}
