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

// callOnce answers a request that must run at most once. The daemon that issued
// the ticket runs the request when the ticket is first used; a repeat gets the
// same answer.
func (d *dispatcher) callOnce(ctx context.Context, ask *wire.CallAsk, deadline time.Time) (*wire.CallReply, error) {
	name, err := ticket.Parse(ticket.ID(ask.Ticket))
	if err != nil {
		return nil, refuse.NotRun("read ticket", twirp.InvalidArgument, 0, "%v", err)
	}
	if name.Host != d.self.Host {
		return d.relayToIssuer(ctx, ask, name, deadline)
	}
	if name.Inc != d.self.Inc {
		return nil, refuse.MayHaveRun("use ticket", 0, "the process that issued it is gone, so it is unknown whether the ticket was used")
	}
	return d.useTicket(ctx, ask, deadline)
}

func (d *dispatcher) useTicket(ctx context.Context, ask *wire.CallAsk, deadline time.Time) (*wire.CallReply, error) {
	id := ticket.ID(ask.Ticket)
	d.mu.Lock()
	first, done, err := d.tickets.Use(id, time.Now())
	d.mu.Unlock()
	if err != nil {
		return nil, refuse.MayHaveRun("use ticket", 0, "%v", err)
	}
	if first {
		d.group.Add(1)
		go d.runOnce(context.WithoutCancel(ctx), ask, deadline)
	}
	return d.awaitResult(ctx, id, done, deadline)
}

// runOnce runs the request of a ticket to its end, even if its caller stops
// waiting, and keeps the answer for repeats.
func (d *dispatcher) runOnce(ctx context.Context, ask *wire.CallAsk, deadline time.Time) {
	defer d.group.Done()
	reply, err := d.serve(ctx, ask, deadline, false)
	id := ticket.ID(ask.Ticket)
	res := ticket.Result{Body: reply.GetBody(), Runner: fleet.HostID(reply.GetRunner()), Err: err}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil && toRefusal("call", err).Ran == refuse.No {
		d.tickets.Release(id, res)
		return
	}
	d.tickets.Complete(id, res)
}

// awaitResult waits for the answer to the request of a ticket, at most until the
// caller's limit.
func (d *dispatcher) awaitResult(ctx context.Context, id ticket.ID, done <-chan struct{}, deadline time.Time) (*wire.CallReply, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-done:
	case <-ctx.Done():
		return nil, refuse.MayHaveRun("call", RetryAfter, "the caller disconnected; retry with the same ticket")
	case <-timer.C:
		return nil, refuse.MayHaveRun("call", RetryAfter, "no answer within the limit; retry with the same ticket")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	res, ok := d.tickets.Result(id)
	switch {
	case !ok:
		return nil, refuse.MayHaveRun("call", 0, "the ticket expired")
	case res.Err != nil:
		return nil, res.Err
	}
	return &wire.CallReply{Id: string(id), Body: res.Body, Runner: string(res.Runner)}, nil
}

// relayToIssuer passes a request to the daemon that issued its ticket. If the
// issuer cannot be reached, the outcome is unknown, as an earlier use of the
// ticket may have run.
func (d *dispatcher) relayToIssuer(ctx context.Context, ask *wire.CallAsk, name ticket.Name, deadline time.Time) (*wire.CallReply, error) {
	d.mu.Lock()
	addr := d.peers[name.Host]
	d.mu.Unlock()
	if addr == "" {
		return nil, refuse.MayHaveRun("use ticket", RetryAfter, "no address is known for its issuer %s", name.Host)
	}
	d.logEvent(event.RequestRelayed, route.RequestID(ask.Ticket), "to "+string(name.Host)+", which issued its ticket")
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	reply, err := d.clients.Peer(addr).Relay(ctx, &wire.RelayAsk{Call: withLimit(ask, deadline)})
	if err == nil {
		return reply, nil
	}
	if r := refuse.From("use ticket", err); refusedByPeer(err) {
		return nil, r
	}
	return nil, refuse.MayHaveRun("use ticket", RetryAfter, "its issuer %s does not answer: %v", name.Host, err)
}

// refusedByPeer reports whether an error is the peer's own refusal and not a
// failure to reach it.
func refusedByPeer(err error) bool {
	te, ok := err.(twirp.Error)
	return ok && te.Meta("ran") != ""
}

func withLimit(ask *wire.CallAsk, deadline time.Time) *wire.CallAsk {
	return &wire.CallAsk{
		Caller: ask.Caller, Ticket: ask.Ticket, Repeat: ask.Repeat, Rank: ask.Rank, Body: ask.Body,
		Limit: max(time.Until(deadline).Milliseconds(), 1),
	}
}
