package site

import (
	"time"

	"dragonflydeck.example/fleet/loop"
	"dragonflydeck.example/fleet/sched"
)

// tickInterval is a third of the interval between two heartbeats.
const tickInterval = 50 * time.Millisecond

// controlLoop is the goroutine that owns the control state of a site daemon.
type controlLoop = loop.Loop[*sched.Scheduler, sched.Event]

// newLoop returns the control loop that steps the scheduler. Each step logs the
// events, publishes the new state and dispatches the actions that it produced.
func (s *Site) newLoop(sc *sched.Scheduler) *controlLoop {
	step := func(batch []sched.Event, _ bool) {
		actions := sc.Step(time.Now(), batch)
		for _, e := range sc.LogEvents() {
			s.logger.Write(e)
		}
		s.publishView(sc)
		s.dispatcher.dispatch(actions)
	}
	return loop.New(sc, s.timer.Every(tickInterval), make(chan sched.Event, loop.EventQueue), step)
}

// runOnLoop runs a function on the control loop. It returns false if the loop had not
// accepted it by the deadline; once it has, the call waits for it to run.
func (s *Site) runOnLoop(until time.Time, f func(*sched.Scheduler)) bool {
	giveUp := make(chan struct{})
	timer := time.AfterFunc(time.Until(until), func() { close(giveUp) })
	defer timer.Stop()
	return s.loop.Do(giveUp, f) == loop.Done
}
