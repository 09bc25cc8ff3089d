package main

import (
	"context"
	"strings"

	"dragonflydeck.example/fleet/link"
	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/wire"
	"github.com/twitchtv/twirp"
)

// ask calls the first entry host that can be reached. A call is passed to the
// next host only if no byte of it was sent.
func ask[Q, R any](a *app, op string, q Q, call func(wire.Desk, context.Context, Q) (R, error)) (R, error) {
	return askWith(a, pool, op, q, call)
}

// pool keeps the connections of this process.
var pool = link.NewPool()

func askWith[Q, R any](a *app, p *link.Pool, op string, q Q, call func(wire.Desk, context.Context, Q) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.Limit)
	defer cancel()
	var none R
	var err error
	for _, addr := range strings.Split(a.settings.Addr, ",") {
		var r R
		r, err = call(p.Desk(strings.TrimSpace(addr)), ctx, q)
		if err == nil {
			return r, nil
		}
		if !link.NotSent(err) {
			return none, refuse.From(op, err)
		}
	}
	return none, refuse.NotRun(op, twirp.Unavailable, 0, "no entry host can be reached: %v", err)
}
