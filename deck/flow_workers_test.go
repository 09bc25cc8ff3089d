package main

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// speedLead answers as the lead of a site whose workers differ.
type speedLead struct {
	fakeLead
	workers []*wire.WorkerSpeed
}

func (f *speedLead) Workers(_ context.Context, ask *wire.WorkerSpeedAsk) (*wire.WorkerSpeedReply, error) {
	r := &wire.WorkerSpeedReply{Verdict: f.verdict}
	for _, w := range f.workers {
		if ask.Domain == "" || ask.Domain == w.Domain {
			r.Workers = append(r.Workers, w)
		}
	}
	return r, nil
}

func newSpeedLead(t *testing.T, verdict wire.Verdict, wrap func(http.Handler) http.Handler) *speedLead {
	f := &speedLead{fakeLead: fakeLead{verdict: verdict}, workers: []*wire.WorkerSpeed{
		{Host: "w1", Domain: "d2", Service: "render", Slowdown: 0.6214, Spread: 0.0713, Transient: 1, Count: 52},
		{Host: "w2", Domain: "d1", Service: "render", Slowdown: 1.667, Spread: 0.08, Transient: 8.04, Count: 9},
		{Host: "w3", Domain: "d1", Service: "", Slowdown: 1, Spread: 0.4, Transient: 1},
	}}
	serveHandler(t, &f.fakeLead, wrap(wire.NewSiteServer(f)))
	return f
}

// Operators read the table and scripts read the JSON.
func TestFlowWorkersShowsSpeeds(t *testing.T) {
	f := newSpeedLead(t, wire.Verdict_OK, unchanged)
	all, status := runDeck(f.addr, "flow", "workers")
	qt.Assert(t, status, qt.Equals, exitOK, qt.Commentf(all))
	one, status := runDeck(f.addr, "flow", "workers", "d1")
	qt.Assert(t, status, qt.Equals, exitOK)
	asJSON, status := runDeck(f.addr, "--json", "flow", "workers", "d2")
	qt.Assert(t, status, qt.Equals, exitOK)
	asJSON = strings.ReplaceAll(asJSON, " ", "") // the encoder varies its spaces at random
	golden(t, "flow-workers", all+one+asJSON)
}

// A mistyped name must not look like a failure domain without workers.
func TestFlowWorkersNamesTheKnownDomains(t *testing.T) {
	f := newSpeedLead(t, wire.Verdict_OK, unchanged)
	out, status := runDeck(f.addr, "flow", "workers", "d3")
	qt.Check(t, status, qt.Equals, exitFailed)
	qt.Check(t, out, qt.Equals, "deck: domain \"d3\" has no workers; known: d1, d2\n")
}

// Each failure is one line that says what to do, and nothing is printed as if it were a result.
func TestFlowWorkersFailures(t *testing.T) {
	astray := newSpeedLead(t, wire.Verdict_ASTRAY, unchanged)
	old := newSpeedLead(t, wire.Verdict_OK, withoutWorkers)
	gone := newSpeedLead(t, wire.Verdict_OK, unchanged)
	asked := gone.addr
	gone.addr = "127.0.0.1:1"
	for _, c := range []struct{ name, addr, want string }{
		{"lead changed", astray.addr, "the lead has changed and nothing was done; retry"},
		{"old daemon", old.addr, "the daemon of the lead e-a-1 is older than this command and does not know the call"},
		{"lead unreachable", asked, "the lead e-a-1 cannot be reached"},
		{"no daemon", "127.0.0.1:1", "no daemon can be reached"},
	} {
		out, status := runDeck(c.addr, "flow", "workers")
		qt.Check(t, status, qt.Equals, exitNotRun, qt.Commentf("%s: %s", c.name, out))
		qt.Check(t, out, qt.Contains, c.want, qt.Commentf(c.name))
		qt.Check(t, strings.Count(out, "\n"), qt.Equals, 1, qt.Commentf("%s: %s", c.name, out))
	}
}

// withoutWorkers makes a server answer as one that does not have the method Workers.
func withoutWorkers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path = strings.TrimSuffix(r.URL.Path, "Workers")
		h.ServeHTTP(w, r)
	})
}
