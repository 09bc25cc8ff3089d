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

// change has an entry written and waits until the log's order has decided on
// it. Entry returns the record or refuses on the control goroutine. A refusal
// that newer records could make wrong is weighed again when they are known.
func (d *desk) change(ctx context.Context, op string, entry func(*core.Core) (*wire.Entry, error)) error {
	asked := time.Now()
	id, met, err := d.propose(ctx, op, entry)
	if err != nil && stale(err) {
		fresh := d.fresh(ctx, asked)
		id, met, err = d.propose(ctx, op, entry)
		if err != nil && stale(err) && !fresh {
			err = refuse.NotRun(op, twirp.Unavailable, FreshSpan, "the log is too slow to tell whether this still holds: %v", err)
		}
	}
	if err != nil {
		return err
	}
	return d.await(ctx, op, id, met)
}

// changeOnce is change for a caller that names the change, so that it may ask
// again: what took effect before is not weighed anew.
func (d *desk) changeOnce(ctx context.Context, op, id string, entry func(*core.Core) (*wire.Entry, error)) error {
	if d.applied(ctx, id) {
		return nil
	}
	return d.change(ctx, op, entry)
}

// applied reports whether a change that is asked for again took effect before.
func (d *desk) applied(ctx context.Context, id string) bool {
	if id == "" {
		return false
	}
	done := false
	err := d.loop.do(ctx, "look up change", func(c *core.Core) {
		met, refused := c.Board.State.Outcome(fleet.EntryID(id))
		done = met && refused == nil
	})
	return err == nil && done
}

// propose puts an entry into the outbox.
func (d *desk) propose(ctx context.Context, op string, entry func(*core.Core) (*wire.Entry, error)) (fleet.EntryID, <-chan error, error) {
	var refused error
	var id fleet.EntryID
	met := make(chan error, 1)
	err := d.loop.do(ctx, op, func(c *core.Core) {
		var e *wire.Entry
		if !c.Board.Log.Loaded {
			refused = notLoaded(op, time.Second)
			return
		}
		if e, refused = entry(c); refused != nil {
			return
		}
		id = fleet.EntryID(e.Id)
		if !c.Board.Append(e) {
			refused = refuse.NotRun(op, twirp.ResourceExhausted, time.Second, "too many records wait for the log")
			return
		}
		d.loop.waiters[id] = append(d.loop.waiters[id], met)
	})
	if err != nil {
		return "", nil, err
	}
	return id, met, refused
}

// stale reports whether records that this daemon has not read yet could make a
// refusal wrong.
func stale(err error) bool {
	kind := refusal("", err).Kind
	return kind == twirp.NotFound || kind == twirp.Aborted
}

// fresh waits until every record appended before a time is applied here. It
// reports false if the log does not answer in time.
func (d *desk) fresh(ctx context.Context, at time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, FreshSpan)
	defer cancel()
	for {
		known := false
		err := d.loop.do(ctx, "read log", func(c *core.Core) { known = c.Board.Log.Fresh.After(at) })
		if err != nil || known {
			return known
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(FreshStep):
		}
	}
}

// await waits for the outcome of an entry. One that was never sent is taken
// back; of another the outcome is unknown until the log answers.
func (d *desk) await(ctx context.Context, op string, id fleet.EntryID, met <-chan error) error {
	limit := time.NewTimer(ChangeSpan)
	defer limit.Stop()
	select {
	case err := <-met:
		return decided(op, err)
	case <-ctx.Done():
	case <-limit.C:
	}
	withdrawn := false
	err := d.loop.do(context.WithoutCancel(ctx), op, func(c *core.Core) {
		withdrawn = c.Board.Outbox.Withdraw(id)
		delete(d.loop.waiters, id)
	})
	if err == nil && withdrawn {
		return refuse.NotRun(op, twirp.Unavailable, ChangeSpan, "the log does not answer")
	}
	return refuse.Doubt(op, ChangeSpan, "the log has not confirmed record %s; it may still take effect, ask again with the same id", id)
}

// decided turns the fold's refusal of a record into one for the caller.
func decided(op string, err error) error {
	if err == nil {
		return nil
	}
	se, ok := err.(*state.Error)
	if !ok {
		return refuse.NotRun(op, twirp.Internal, 0, "%v", err)
	}
	kinds := map[state.Kind]twirp.ErrorCode{
		state.Conflict: twirp.Aborted, state.Missing: twirp.NotFound,
		state.Busy: twirp.FailedPrecondition, state.Stale: twirp.FailedPrecondition,
		state.Broken: twirp.InvalidArgument, state.Moved: twirp.Canceled,
	}
	return refuse.NotRun(op, kinds[se.Kind], 0, "%s", se.Text)
}
