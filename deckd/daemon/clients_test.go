package daemon

import (
	"context"
	"io"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/client"
	"dragonflydeck.example/fleet/wire"
	"dragonflydeck.example/standin/worker"
)

// roundTrip makes a call between two hosts over the simulated network.
func roundTrip[R any](ctx context.Context, s *site, from, to string, call func() (R, error)) (R, error) {
	var none R
	time.Sleep(time.Millisecond)
	s.waitSender(from)
	if err := s.waitReceiver(ctx, to); err != nil {
		return none, err
	}
	if s.blocked(from, to) {
		if to[0] == 'e' && s.get(to) == nil {
			return none, &client.Error{Op: "dial " + to, Kind: client.Unsent, Err: io.EOF}
		}
		<-ctx.Done()
		return none, &client.Error{Op: "call " + to, Kind: client.Unanswered, Err: ctx.Err()}
	}
	r, err := call()
	time.Sleep(time.Millisecond)
	s.waitSender(from)
	if s.blocked(to, from) {
		<-ctx.Done()
		return none, &client.Error{Op: "call " + to, Kind: client.Unanswered, Err: ctx.Err()}
	}
	return r, err
}

// fakeClients are the clients of one daemon of a site.
type fakeClients struct {
	s    *site
	from string
}

func (c *fakeClients) Log() fleet.Log                  { return &fakeLog{c} }
func (c *fakeClients) Roster() fleet.Roster            { return &fakeRoster{c} }
func (c *fakeClients) Worker(addr string) fleet.Worker { return &fakeWorker{c, addr} }
func (c *fakeClients) Runner(addr string) fleet.Runner { return &fakeRunner{c, addr} }
func (c *fakeClients) Peer(addr string) fleet.Peer     { return &fakePeer{c, addr} }
func (c *fakeClients) Desk(addr string) wire.Desk      { return c.s.get(addr).Desk() }

// Retain does nothing, as there are no real connections.
func (c *fakeClients) Retain(map[string]bool) {}

// CloseIdle closes idle connections.
func (c *fakeClients) CloseIdle(addr string) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.s.conns.closeIdle(c.from, addr)
}

type fakeLog struct{ *fakeClients }

func (f *fakeLog) Append(ctx context.Context, q *wire.AppendAsk) (*wire.AppendReply, error) {
	return roundTrip(ctx, f.s, f.from, "log", func() (*wire.AppendReply, error) { return f.s.log.Append(ctx, q) })
}

func (f *fakeLog) Read(ctx context.Context, q *wire.ReadAsk) (*wire.ReadReply, error) {
	return roundTrip(ctx, f.s, f.from, "log", func() (*wire.ReadReply, error) { return f.s.log.Read(ctx, q) })
}

type fakeRoster struct{ *fakeClients }

func (f *fakeRoster) List(ctx context.Context, q *wire.ListAsk) (*wire.ListReply, error) {
	return roundTrip(ctx, f.s, f.from, "list", func() (*wire.ListReply, error) { return f.s.list.List(ctx, q) })
}

type fakeWorker struct {
	*fakeClients
	to string
}

func (f *fakeWorker) worker() *worker.Worker { return f.s.workers[f.to] }

func (f *fakeWorker) observe(step string) {
	if f.s.onOrder != nil {
		f.s.onOrder(f.from, f.to, step)
	}
}

func (f *fakeWorker) Renew(ctx context.Context, q *wire.RenewAsk) (*wire.RenewReply, error) {
	return roundTrip(ctx, f.s, f.from, f.to, func() (*wire.RenewReply, error) { return f.worker().Renew(ctx, q) })
}

func (f *fakeWorker) Reserve(ctx context.Context, q *wire.ReserveAsk) (*wire.OrderReply, error) {
	f.observe("reserve")
	return roundTrip(ctx, f.s, f.from, f.to, func() (*wire.OrderReply, error) { return f.worker().Reserve(ctx, q) })
}

func (f *fakeWorker) Start(ctx context.Context, q *wire.StartAsk) (*wire.OrderReply, error) {
	f.observe("start")
	return roundTrip(ctx, f.s, f.from, f.to, func() (*wire.OrderReply, error) { return f.worker().Start(ctx, q) })
}

func (f *fakeWorker) Stop(ctx context.Context, q *wire.StopAsk) (*wire.OrderReply, error) {
	f.observe("stop")
	return roundTrip(ctx, f.s, f.from, f.to, func() (*wire.OrderReply, error) { return f.worker().Stop(ctx, q) })
}

type fakeRunner struct {
	*fakeClients
	to string
}

func (f *fakeRunner) Run(ctx context.Context, q *wire.RunAsk) (*wire.RunReply, error) {
	defer f.s.endConn(f.s.beginConn(f.from, f.to))
	return roundTrip(ctx, f.s, f.from, f.to, func() (*wire.RunReply, error) { return f.s.runners[f.to].Run(ctx, q) })
}

type fakePeer struct {
	*fakeClients
	to string
}

// peer returns the called daemon, or a deadPeer if it was killed while the call
// was on its way.
func (f *fakePeer) peer() wire.Peer {
	if d := f.s.get(f.to); d != nil {
		return d.Peer()
	}
	return deadPeer{}
}

// deadPeer is a daemon that died before it could answer.
type deadPeer struct{}

var errPeerDied = &client.Error{Op: "call", Kind: client.Unanswered, Err: io.EOF}

func (f *fakePeer) Beat(ctx context.Context, q *wire.BeatAsk) (*wire.BeatReply, error) {
	return roundTrip(ctx, f.s, f.from, f.to, func() (*wire.BeatReply, error) { return f.peer().Beat(ctx, q) })
}

func (f *fakePeer) Relay(ctx context.Context, q *wire.RelayAsk) (*wire.CallReply, error) {
	return roundTrip(ctx, f.s, f.from, f.to, func() (*wire.CallReply, error) { return f.peer().Relay(ctx, q) })
}

func (f *fakePeer) Fetch(ctx context.Context, q *wire.FetchAsk) (*wire.FetchReply, error) {
	return roundTrip(ctx, f.s, f.from, f.to, func() (*wire.FetchReply, error) { return f.peer().Fetch(ctx, q) })
}

func (f *fakePeer) Deliver(ctx context.Context, q *wire.DeliverAsk) (*wire.DeliverReply, error) {
	return roundTrip(ctx, f.s, f.from, f.to, func() (*wire.DeliverReply, error) { return f.peer().Deliver(ctx, q) })
}
