package daemon

import (
	"context"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/state"
	"dragonflydeck.example/fleet/wire"
	"github.com/twitchtv/twirp"
)

// commit appends a record to the log and waits for its outcome, which follows
// from its place in the log. makeEntry runs on the control goroutine and returns
// the record or an error. If records that this daemon has not read yet could
// make the error wrong, commit reads them and calls makeEntry again.
func (d *desk) commit(ctx context.Context, op string, makeEntry func(*core.Core) (*wire.Entry, error)) error {
	start := time.Now()
	id, outcome, err := d.enqueue(ctx, op, makeEntry)
	if err != nil && maybeStale(err) {
		upToDate := d.catchUp(ctx, start)
		id, outcome, err = d.enqueue(ctx, op, makeEntry)
		if err != nil && maybeStale(err) && !upToDate {
			err = refuse.NotRun(op, twirp.Unavailable, CatchUpTimeout, "the log is too slow to check this against its newest records: %v", err)
		}
	}
	if err != nil {
		return err
	}
	return d.awaitOutcome(ctx, op, id, outcome)
}

// commitOnce is commit with an id chosen by the caller, who may retry: a change
// that already took effect is not checked or written again.
func (d *desk) commitOnce(ctx context.Context, op, id string, makeEntry func(*core.Core) (*wire.Entry, error)) error {
	if d.applied(ctx, id) {
		return nil
	}
	return d.commit(ctx, op, makeEntry)
}

// applied reports whether the change with this id already took effect.
func (d *desk) applied(ctx context.Context, id string) bool {
	if id == "" {
		return false
	}
	applied := false
	err := d.loop.do(ctx, "look up change", func(c *core.Core) {
		found, refused := c.Board.State.Outcome(fleet.EntryID(id))
		applied = found && refused == nil
	})
	return err == nil && applied
}

// enqueue puts a record into the outbox and registers for its outcome.
func (d *desk) enqueue(ctx context.Context, op string, makeEntry func(*core.Core) (*wire.Entry, error)) (fleet.EntryID, <-chan error, error) {
	var refused error
	var id fleet.EntryID
	outcome := make(chan error, 1)
	err := d.loop.do(ctx, op, func(c *core.Core) {
		var e *wire.Entry
		if !c.Board.Log.Loaded {
			refused = notLoaded(op, time.Second)
			return
		}
		if e, refused = makeEntry(c); refused != nil {
			return
		}
		id = fleet.EntryID(e.Id)
		if !c.Board.Append(e) {
			refused = refuse.NotRun(op, twirp.ResourceExhausted, time.Second, "too many records are waiting for the log")
			return
		}
		d.loop.waiters[id] = append(d.loop.waiters[id], outcome)
	})
	if err != nil {
		return "", nil, err
	}
	return id, outcome, refused
}

// maybeStale reports whether records that this daemon has not read yet could
// make an error wrong.
func maybeStale(err error) bool {
	kind := toRefusal("", err).Kind
	return kind == twirp.NotFound || kind == twirp.Aborted
}

// catchUp waits until every record appended before since is applied here. It
// returns false if the log does not answer in time.
func (d *desk) catchUp(ctx context.Context, since time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, CatchUpTimeout)
	defer cancel()
	for {
		upToDate := false
		err := d.loop.do(ctx, "read log", func(c *core.Core) { upToDate = c.Board.Log.SyncedAt.After(since) })
		if err != nil || upToDate {
			return upToDate
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(CatchUpInterval):
		}
	}
}

// awaitOutcome waits for the outcome of a record. On a timeout it withdraws a
// record that was never sent; the outcome of one that was sent stays unknown
// until the log answers.
func (d *desk) awaitOutcome(ctx context.Context, op string, id fleet.EntryID, outcome <-chan error) error {
	timer := time.NewTimer(CommitTimeout)
	defer timer.Stop()
	select {
	case err := <-outcome:
		return outcomeError(op, err)
	case <-ctx.Done():
	case <-timer.C:
	}
	withdrawn := false
	err := d.loop.do(context.WithoutCancel(ctx), op, func(c *core.Core) {
		withdrawn = c.Board.Outbox.Withdraw(id)
		delete(d.loop.waiters, id)
	})
	if err == nil && withdrawn {
		return refuse.NotRun(op, twirp.Unavailable, CommitTimeout, "the log does not answer")
	}
	return refuse.MayHaveRun(op, CommitTimeout, "the log has not confirmed record %s; it may still take effect; retry with the same id", id)
}

// outcomeError converts the state's refusal of a record to one for the caller.
func outcomeError(op string, err error) error {
	if err == nil {
		return nil
	}
	stateErr, ok := err.(*state.Error)
	if !ok {
		return refuse.NotRun(op, twirp.Internal, 0, "%v", err)
	}
	codes := map[state.Kind]twirp.ErrorCode{
		state.Conflict: twirp.Aborted, state.Missing: twirp.NotFound,
		state.Busy: twirp.FailedPrecondition, state.Stale: twirp.FailedPrecondition,
		state.Broken: twirp.InvalidArgument, state.Moved: twirp.Canceled,
	}
	return refuse.NotRun(op, codes[stateErr.Kind], 0, "%s", stateErr.Text)
}
