package main

import (
	"context"
	"strings"

	"dragonflydeck.example/fleet/client"
	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/wire"
	"github.com/twitchtv/twirp"
)

// callDesk calls the first reachable entry host. It tries the next host only if no
// byte of the call was sent.
func callDesk[Q, R any](a *app, op string, q Q, call func(wire.Desk, context.Context, Q) (R, error)) (R, error) {
	return callDeskWith(a, connPool, op, q, call)
}

// connPool holds the connections of this process.
var connPool = client.NewPool()

func callDeskWith[Q, R any](a *app, p *client.Pool, op string, q Q, call func(wire.Desk, context.Context, Q) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.Limit)
	defer cancel()
	var zero R
	var err error
	for _, addr := range strings.Split(a.settings.Addr, ",") {
		var r R
		r, err = call(p.Desk(strings.TrimSpace(addr)), ctx, q)
		if err == nil {
			return r, nil
		}
		if !client.NotSent(err) {
			return zero, refuse.From(op, err)
		}
	}
	return zero, refuse.NotRun(op, twirp.Unavailable, 0, "no entry host can be reached: %v", err)
}
