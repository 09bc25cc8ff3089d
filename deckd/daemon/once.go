package daemon

import (
	"context"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/route"
	"dragonflydeck.example/fleet/ticket"
	"dragonflydeck.example/fleet/wire"
	"github.com/twitchtv/twirp"
)

// once answers a request that may not be repeated: at the issuer of its ticket,
// and there for the first that brings it. Repeats get the same answer.
func (t *traffic) once(ctx context.Context, ask *wire.CallAsk, until time.Time) (*wire.CallReply, error) {
	name, err := ticket.Parse(ticket.ID(ask.Ticket))
	if err != nil {
		return nil, refuse.NotRun("read ticket", twirp.InvalidArgument, 0, "%v", err)
	}
	if name.Host != t.self.Host {
		return t.toIssuer(ctx, ask, name, until)
	}
	if name.Inc != t.self.Inc {
		return nil, refuse.Doubt("use ticket", 0, "the process that issued it is gone, and with it the knowledge whether it was used")
	}
	return t.use(ctx, ask, until)
}

func (t *traffic) use(ctx context.Context, ask *wire.CallAsk, until time.Time) (*wire.CallReply, error) {
	id := ticket.ID(ask.Ticket)
	t.mu.Lock()
	first, done, err := t.book.Use(id, time.Now())
	t.mu.Unlock()
	if err != nil {
		return nil, refuse.Doubt("use ticket", 0, "%v", err)
	}
	if first {
		t.group.Add(1)
		go t.runOnce(context.WithoutCancel(ctx), ask, until)
	}
	return t.await(ctx, id, done, until)
}

// runOnce runs the request of a ticket to its end, whether its caller waits or
// not, and keeps the answer for repeats.
func (t *traffic) runOnce(ctx context.Context, ask *wire.CallAsk, until time.Time) {
	defer t.group.Done()
	reply, err := t.serve(ctx, ask, until, false)
	id := ticket.ID(ask.Ticket)
	res := ticket.Result{Body: reply.GetBody(), Runner: fleet.HostID(reply.GetRunner()), Err: err}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil && refusal("call", err).Ran == refuse.No {
		t.book.Free(id, res)
		return
	}
	t.book.End(id, res)
}

// await waits for the answer that belongs to a ticket. A caller's limit ends
// the wait at once.
func (t *traffic) await(ctx context.Context, id ticket.ID, done <-chan struct{}, until time.Time) (*wire.CallReply, error) {
	limit := time.NewTimer(time.Until(until))
	defer limit.Stop()
	select {
	case <-done:
	case <-ctx.Done():
		return nil, refuse.Doubt("call", OpenSpan, "the caller went away; ask again with the same ticket")
	case <-limit.C:
		return nil, refuse.Doubt("call", OpenSpan, "no answer within the limit; ask again with the same ticket")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	res, ok := t.book.Result(id)
	switch {
	case !ok:
		return nil, refuse.Doubt("call", 0, "the ticket expired")
	case res.Err != nil:
		return nil, res.Err
	}
	return &wire.CallReply{Id: string(id), Body: res.Body, Runner: string(res.Runner)}, nil
}

// toIssuer passes a request to the daemon that issued its ticket. Where that
// one can't be reached, an earlier use of the ticket may have run.
func (t *traffic) toIssuer(ctx context.Context, ask *wire.CallAsk, name ticket.Name, until time.Time) (*wire.CallReply, error) {
	t.mu.Lock()
	addr := t.peers[name.Host]
	t.mu.Unlock()
	if addr == "" {
		return nil, refuse.Doubt("use ticket", OpenSpan, "its issuer %s is not known here", name.Host)
	}
	t.note(event.RequestRelayed, route.RequestID(ask.Ticket), "to "+string(name.Host)+", which issued its ticket")
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	reply, err := t.edges.Peer(addr).Relay(ctx, &wire.RelayAsk{Call: withLimit(ask, until)})
	if err == nil {
		return reply, nil
	}
	if r := refuse.From("use ticket", err); said(err) {
		return nil, r
	}
	return nil, refuse.Doubt("use ticket", OpenSpan, "its issuer %s does not answer: %v", name.Host, err)
}

// said reports whether an error is a peer's own refusal and not that of the way
// to it.
func said(err error) bool {
	te, ok := err.(twirp.Error)
	return ok && te.Meta("ran") != ""
}

func withLimit(ask *wire.CallAsk, until time.Time) *wire.CallAsk {
	return &wire.CallAsk{
		Caller: ask.Caller, Ticket: ask.Ticket, Repeat: ask.Repeat, Rank: ask.Rank, Body: ask.Body,
		Limit: max(time.Until(until).Milliseconds(), 1),
	}
}
