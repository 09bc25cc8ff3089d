package site

import (
	"context"
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/helm"
	"dragonflydeck.example/fleet/wire"
	"github.com/twitchtv/twirp"
)

// peer is what other daemons ask of this one.
type peer struct{ site *Site }

var _ wire.Site = peer{}

func limit(ms int64) time.Time { return time.Now().Add(time.Duration(ms) * time.Millisecond) }

func (p peer) Hand(_ context.Context, ask *wire.HandAsk) (*wire.HandReply, error) {
	if ask.Flow == nil || len(ask.Flow.Steps) == 0 {
		return nil, twirp.RequiredArgumentError("flow")
	}
	if !p.site.view.Load().here {
		return &wire.HandReply{Verdict: wire.Verdict_ASTRAY}, nil
	}
	if ask.Flow.Service == "" && !p.site.fillBare(ask.Flow) {
		return &wire.HandReply{Verdict: wire.Verdict_REFUSED, Why: fmt.Sprintf("queue %q does not exist", ask.Flow.Queue)}, nil
	}
	return p.site.handHere(ask.Flow, fleet.Term(ask.Term), limit(ask.Limit)), nil
}

func (p peer) Status(_ context.Context, ask *wire.FlowAsk) (*wire.FlowReply, error) {
	return p.site.statusHere(ask, limit(askSpan.Milliseconds())), nil
}

func (p peer) Drop(_ context.Context, ask *wire.FlowAsk) (*wire.FlowReply, error) {
	return p.site.dropHere(ask, limit(ask.Limit)), nil
}

func (p peer) Backlog(_ context.Context, ask *wire.BacklogAsk) (*wire.BacklogReply, error) {
	return p.site.backlogHere(ask, limit(askSpan.Milliseconds())), nil
}

func (p peer) Sight(context.Context, *wire.SightAsk) (*wire.SightReply, error) {
	var r *wire.SightReply
	if !p.site.ask(limit(peerSpan.Milliseconds()), func(h *helm.Helm) { r = h.Sight(time.Now()) }) {
		return nil, twirp.NewError(twirp.Unavailable, "the control loop is busy")
	}
	return r, nil
}

func (p peer) Orders(_ context.Context, ask *wire.OrdersAsk) (*wire.OrdersReply, error) {
	return p.site.orders.reply(fleet.Offset(ask.Since)), nil
}
