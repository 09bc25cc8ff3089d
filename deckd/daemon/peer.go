package daemon

import (
	"context"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/gossip"
	"dragonflydeck.example/fleet/wire"
	"github.com/twitchtv/twirp"
)

// peer implements the service for other daemons.
type peer struct {
	loop       *controlLoop
	dispatcher *dispatcher
}

// Beat handles a peer's heartbeat and answers with this daemon's view.
func (p *peer) Beat(ctx context.Context, ask *wire.BeatAsk) (*wire.BeatReply, error) {
	var reply *wire.BeatReply
	err := p.loop.do(ctx, "beat", func(c *core.Core) {
		reply = gossip.BeatReply(c.Board, ask)
	})
	if err != nil {
		return nil, toTwirp("beat", err)
	}
	p.loop.Offer(ctx.Done(), board.BeatReceived{Ask: ask})
	return reply, nil
}

// Relay answers a request that a peer received. With zero hops this daemon
// issued its ticket; otherwise the request is to run here.
func (p *peer) Relay(ctx context.Context, ask *wire.RelayAsk) (*wire.CallReply, error) {
	if ask.Call == nil {
		return nil, twirp.RequiredArgumentError("call")
	}
	reply, err := p.dispatcher.handleRelay(ctx, ask)
	if err != nil {
		return nil, toTwirp("relay", err)
	}
	return reply, nil
}

// Fetch returns newer state to a peer.
func (p *peer) Fetch(ctx context.Context, ask *wire.FetchAsk) (*wire.FetchReply, error) {
	var reply *wire.FetchReply
	err := p.loop.do(ctx, "fetch", func(c *core.Core) {
		if c.Board.Log.Loaded {
			reply = gossip.StateReply(c.Board, fleet.Offset(ask.From))
		}
	})
	if err != nil {
		return nil, toTwirp("fetch", err)
	}
	if reply == nil {
		return nil, notLoaded("fetch", time.Second).Twirp()
	}
	return reply, nil
}

// Deliver accepts an answer that a runner sent to a peer by mistake.
func (p *peer) Deliver(_ context.Context, ask *wire.DeliverAsk) (*wire.DeliverReply, error) {
	p.dispatcher.deliver(ask.Reply)
	return &wire.DeliverReply{}, nil
}
