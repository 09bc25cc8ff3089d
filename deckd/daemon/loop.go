package daemon

import (
	"context"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/refuse"
	"github.com/twitchtv/twirp"
)

// Bounds of the control loop.
const (
	TickSpan   = 100 * time.Millisecond
	EventQueue = 4096
	CallQueue  = 1024
	EventBatch = 256
)

// loop is the control goroutine: it alone touches the core.
type loop struct {
	core    *core.Core
	events  chan board.Event
	calls   chan func(*core.Core)
	ticks   <-chan time.Time
	waiters map[fleet.EntryID][]chan<- error
	exec    *exec
	traffic *traffic
	ended   chan struct{}
}

func newLoop(c *core.Core, ticks <-chan time.Time, e *exec, t *traffic) *loop {
	return &loop{
		core: c, ticks: ticks, exec: e, traffic: t,
		events:  e.events,
		calls:   make(chan func(*core.Core), CallQueue),
		waiters: map[fleet.EntryID][]chan<- error{},
		ended:   make(chan struct{}),
	}
}

// run steps the core on every event until the context ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.ended)
	for {
		var batch []board.Event
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			batch = l.more(e)
		case f := <-l.calls:
			f(l.core)
		case <-l.ticks:
			l.traffic.sync(l.core.Board)
		}
		l.exec.do(ctx, l.core.Step(time.Now(), batch))
		l.wake()
	}
}

// more takes the events that are there already, up to a bound.
func (l *loop) more(first board.Event) []board.Event {
	batch := []board.Event{first}
	for len(batch) < EventBatch {
		select {
		case e := <-l.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// wake tells those who wait for an entry what became of it.
func (l *loop) wake() {
	for id, list := range l.waiters {
		met, err := l.core.Board.State.Outcome(id)
		if !met {
			continue
		}
		for _, w := range list {
			w <- err
		}
		delete(l.waiters, id)
	}
}

// do runs a function on the control goroutine and waits for it.
func (l *loop) do(ctx context.Context, op string, f func(*core.Core)) error {
	done := make(chan struct{})
	call := func(c *core.Core) {
		f(c)
		close(done)
	}
	select {
	case l.calls <- call:
	case <-l.ended:
		return stopping(op)
	case <-ctx.Done():
		return refuse.NotRun(op, twirp.DeadlineExceeded, time.Second, "the control loop is busy")
	}
	select {
	case <-done:
		return nil
	case <-l.ended:
		return refuse.Doubt(op, time.Second, "the daemon stopped")
	}
}

func stopping(op string) error {
	return refuse.NotRun(op, twirp.Unavailable, time.Second, "the daemon stops; ask another host")
}
