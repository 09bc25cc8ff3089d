package site

import (
	"context"
	"time"

	"dragonflydeck.example/fleet/helm"
	"dragonflydeck.example/fleet/lines"
)

// Bounds of the control loop.
const (
	tickSpan   = 50 * time.Millisecond // a third of the span between two beats
	eventQueue = 4096
	callQueue  = 1024
	eventBatch = 256
)

// loop is the control goroutine: it alone touches the helm.
type loop struct {
	helm   *helm.Helm
	events chan helm.Event
	calls  chan func(*helm.Helm)
	ticks  <-chan time.Time
	lines  *lines.Lines
	carry  func([]helm.Action)
	after  func(*helm.Helm) // after each step
	ended  chan struct{}
}

func newLoop(h *helm.Helm, ticks <-chan time.Time, l *lines.Lines) *loop {
	return &loop{
		helm: h, ticks: ticks, lines: l,
		events: make(chan helm.Event, eventQueue),
		calls:  make(chan func(*helm.Helm), callQueue),
		ended:  make(chan struct{}),
	}
}

// run steps the helm on every event until the context ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.ended)
	for {
		var batch []helm.Event
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			batch = l.more(e)
		case f := <-l.calls:
			f(l.helm)
			continue
		case <-l.ticks:
		}
		actions := l.helm.Step(time.Now(), batch)
		for _, e := range l.helm.Notes() {
			l.lines.Write(e)
		}
		l.after(l.helm)
		l.carry(actions)
	}
}

// more takes the events that are there already, up to a bound.
func (l *loop) more(first helm.Event) []helm.Event {
	batch := []helm.Event{first}
	for len(batch) < eventBatch {
		select {
		case e := <-l.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// post gives the control loop an event.
func (l *loop) post(e helm.Event) {
	select {
	case l.events <- e:
	case <-l.ended:
	}
}

// ask runs a function on the control goroutine. It reports false if that did
// not happen in time.
func (l *loop) ask(until time.Time, f func(*helm.Helm)) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	done := make(chan struct{})
	call := func(h *helm.Helm) {
		f(h)
		close(done)
	}
	select {
	case l.calls <- call:
	case <-l.ended:
		return false
	case <-timer.C:
		return false
	}
	select {
	case <-done:
		return true
	case <-l.ended:
		return false
	}
}
