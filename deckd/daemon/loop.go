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

// TickInterval is the time between two ticks of the control loop.
const TickInterval = 100 * time.Millisecond

// controlLoop is the only goroutine that accesses the core.
type controlLoop struct {
	*loop.Loop[*core.Core, board.Event]

	core       *core.Core
	waiters    map[fleet.EntryID][]chan<- error
	exec       *executor
	dispatcher *dispatcher
}

func newControlLoop(ctx context.Context, c *core.Core, ticks <-chan time.Time, e *executor, d *dispatcher) *controlLoop {
	l := &controlLoop{core: c, exec: e, dispatcher: d, waiters: map[fleet.EntryID][]chan<- error{}}
	l.Loop = loop.New(c, ticks, e.events, func(batch []board.Event, ticked bool) {
		if ticked {
			l.dispatcher.syncBoard(l.core.Board)
		}
		l.exec.execute(ctx, l.core.Step(time.Now(), batch))
		l.notifyWaiters()
	})
	return l
}

// notifyWaiters reports the outcomes of records to those who wait for them.
func (l *controlLoop) notifyWaiters() {
	for id, list := range l.waiters {
		found, err := l.core.Board.State.Outcome(id)
		if !found {
			continue
		}
		for _, waiter := range list {
			waiter <- err
		}
		delete(l.waiters, id)
	}
}

// do runs a function on the control goroutine and waits until it returns.
func (l *controlLoop) do(ctx context.Context, op string, f func(*core.Core)) error {
	switch l.Do(ctx.Done(), f) {
	case loop.Late:
		return refuse.NotRun(op, twirp.DeadlineExceeded, time.Second, "the control loop is busy")
	case loop.Closed:
		return refuse.NotRun(op, twirp.Unavailable, time.Second, "the daemon is stopping; ask another host")
	case loop.Ended:
		return refuse.MayHaveRun(op, time.Second, "the daemon stopped before the operation ended")
	}
	return nil
}
