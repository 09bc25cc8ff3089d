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

// peer serves the other daemons.
type peer struct {
	loop    *control
	traffic *traffic
}

// Beat takes what a peer knows and answers with what this daemon knows.
func (p *peer) Beat(ctx context.Context, ask *wire.BeatAsk) (*wire.BeatReply, error) {
	var reply *wire.BeatReply
	err := p.loop.do(ctx, "beat", func(c *core.Core) {
		reply = gossip.Reply(c.Board, ask)
	})
	if err != nil {
		return nil, twirpOf("beat", err)
	}
	p.loop.Offer(ctx.Done(), board.BeatIn{Ask: ask})
	return reply, nil
}

// Relay answers a request that came in at a peer. Without a hop it is one whose
// ticket this daemon issued; with one it runs here.
func (p *peer) Relay(ctx context.Context, ask *wire.RelayAsk) (*wire.CallReply, error) {
	if ask.Call == nil {
		return nil, twirp.RequiredArgumentError("call")
	}
	reply, err := p.traffic.relayed(ctx, ask)
	if err != nil {
		return nil, twirpOf("relay", err)
	}
	return reply, nil
}

// Fetch hands out newer state.
func (p *peer) Fetch(ctx context.Context, ask *wire.FetchAsk) (*wire.FetchReply, error) {
	var reply *wire.FetchReply
	err := p.loop.do(ctx, "fetch", func(c *core.Core) {
		if c.Board.Log.Loaded {
			reply = gossip.Serve(c.Board, fleet.Offset(ask.From))
		}
	})
	if err != nil {
		return nil, twirpOf("fetch", err)
	}
	if reply == nil {
		return nil, notLoaded("fetch", time.Second).Twirp()
	}
	return reply, nil
}

// Deliver takes an answer that a runner gave to a peer.
func (p *peer) Deliver(_ context.Context, ask *wire.DeliverAsk) (*wire.DeliverReply, error) {
	p.traffic.deliver(ask.Reply)
	return &wire.DeliverReply{}, nil
}
