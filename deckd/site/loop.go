package site

import (
	"time"

	"dragonflydeck.example/fleet/helm"
	"dragonflydeck.example/fleet/loop"
)

// tickSpan is a third of the span between two beats.
const tickSpan = 50 * time.Millisecond

// control is the control thread of a daemon of a site.
type control = loop.Loop[*helm.Helm, helm.Event]

// newLoop returns the loop around a helm.
func (s *Site) newLoop(h *helm.Helm) *control {
	step := func(batch []helm.Event, _ bool) {
		actions := h.Step(time.Now(), batch)
		for _, e := range h.Notes() {
			s.lines.Write(e)
		}
		s.mirror(h)
		s.carrier.carry(actions)
	}
	return loop.New(h, s.timer.Every(tickSpan), make(chan helm.Event, loop.EventQueue), step)
}

// ask runs a function on the control thread. It reports false if that did not
// happen in time.
func (s *Site) ask(until time.Time, f func(*helm.Helm)) bool {
	giveUp := make(chan struct{})
	timer := time.AfterFunc(time.Until(until), func() { close(giveUp) })
	defer timer.Stop()
	return s.loop.Do(giveUp, f) == loop.Done
}
