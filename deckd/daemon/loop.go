package daemon

import (
	"context"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/loop"
	"dragonflydeck.example/fleet/refuse"
	"github.com/twitchtv/twirp"
)

// TickSpan is the pause between two ticks of the control loop.
const TickSpan = 100 * time.Millisecond

// control is the control thread, which alone touches the core.
type control struct {
	*loop.Loop[*core.Core, board.Event]

	core    *core.Core
	waiters map[fleet.EntryID][]chan<- error
	exec    *exec
	traffic *traffic
}

func newControl(ctx context.Context, c *core.Core, ticks <-chan time.Time, e *exec, t *traffic) *control {
	l := &control{core: c, exec: e, traffic: t, waiters: map[fleet.EntryID][]chan<- error{}}
	l.Loop = loop.New(c, ticks, e.events, func(batch []board.Event, ticked bool) {
		if ticked {
			l.traffic.sync(l.core.Board)
		}
		l.exec.do(ctx, l.core.Step(time.Now(), batch))
		l.wake()
	})
	return l
}

// wake tells those who wait for an entry what became of it.
func (l *control) wake() {
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
func (l *control) do(ctx context.Context, op string, f func(*core.Core)) error {
	switch l.Do(ctx.Done(), f) {
	case loop.Late:
		return refuse.NotRun(op, twirp.DeadlineExceeded, time.Second, "the control loop is busy")
	case loop.Closed:
		return refuse.NotRun(op, twirp.Unavailable, time.Second, "the daemon stops; ask another host")
	case loop.Ended:
		return refuse.Doubt(op, time.Second, "the daemon stopped")
	}
	return nil
}
