package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// fakeLead answers as the lead of a site.
type fakeLead struct {
	wire.Site
	addr    string
	verdict wire.Verdict
	spaces  []*wire.SpaceUse
}

func (f *fakeLead) Sight(context.Context, *wire.SightAsk) (*wire.SightReply, error) {
	return &wire.SightReply{Host: "e-a-1", Addr: f.addr}, nil
}

func (f *fakeLead) Spaces(_ context.Context, ask *wire.SpaceUseAsk) (*wire.SpaceUseReply, error) {
	r := &wire.SpaceUseReply{Verdict: f.verdict}
	for _, s := range f.spaces {
		if ask.Name == "" || ask.Name == s.Name {
			r.Spaces = append(r.Spaces, s)
		}
	}
	return r, nil
}

// serveLead serves a fake lead through a handler that may change requests.
func serveLead(t *testing.T, f *fakeLead, wrap func(http.Handler) http.Handler) {
	serveHandler(t, f, wrap(wire.NewSiteServer(f)))
}

// serveHandler serves a handler and makes it the lead's address.
func serveHandler(t *testing.T, f *fakeLead, h http.Handler) {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	f.addr = strings.TrimPrefix(server.URL, "http://")
}

func unchanged(h http.Handler) http.Handler { return h }

// runDeck runs a command against a fake lead and returns its output and exit status.
func runDeck(addr string, args ...string) (string, int) {
	out := &bytes.Buffer{}
	status := Main(append([]string{"--addr", addr, "--limit", "2s"}, args...), out, out)
	return out.String(), status
}

func newSpaceUses() []*wire.SpaceUse {
	return []*wire.SpaceUse{
		{
			Name: "orders", Used: &wire.Res{Cores: 12_000, Mem: 16_384, Accels: 16}, Cap: &wire.Res{Accels: 16},
			Weight: 2.5, Share: 5.0 / 7, Capped: 3, Deferred: 2,
		},
		{Name: "reports", Used: &wire.Res{Cores: 9000}, Cap: &wire.Res{Cores: 64_000, Mem: 131_072}, Share: 2.0 / 7, Crowded: 1, Absent: true},
		{Name: "spare", Share: 1},
	}
}

// Operators read the table and scripts read the JSON.
func TestFlowSpacesShowsUseCapShareAndWaits(t *testing.T) {
	f := &fakeLead{verdict: wire.Verdict_OK, spaces: newSpaceUses()}
	serveLead(t, f, unchanged)
	all, status := runDeck(f.addr, "flow", "spaces")
	qt.Assert(t, status, qt.Equals, exitOK, qt.Commentf(all))
	one, status := runDeck(f.addr, "flow", "spaces", "reports")
	qt.Assert(t, status, qt.Equals, exitOK)
	asJSON, status := runDeck(f.addr, "--json", "flow", "spaces", "orders")
	qt.Assert(t, status, qt.Equals, exitOK)
	asJSON = strings.ReplaceAll(asJSON, " ", "") // the encoder varies its spaces at random
	golden(t, "flow-spaces", all+one+asJSON)
}

// A mistyped name must not look like a workspace without work.
func TestFlowSpacesNamesTheKnownOnes(t *testing.T) {
	f := &fakeLead{verdict: wire.Verdict_OK, spaces: newSpaceUses()}
	serveLead(t, f, unchanged)
	out, status := runDeck(f.addr, "flow", "spaces", "order")
	qt.Check(t, status, qt.Equals, exitFailed)
	qt.Check(t, out, qt.Equals, "deck: workspace \"order\" does not exist; known: orders, reports, spare\n")
}

// Each failure is one line that says what to do, and nothing is printed as if it were a result.
func TestFlowSpacesFailures(t *testing.T) {
	astray := &fakeLead{verdict: wire.Verdict_ASTRAY}
	serveLead(t, astray, unchanged)
	old := &fakeLead{verdict: wire.Verdict_OK, spaces: newSpaceUses()}
	serveLead(t, old, withoutSpaces)
	gone := &fakeLead{}
	serveLead(t, gone, unchanged)
	asked := gone.addr
	gone.addr = "127.0.0.1:1"
	leadless := &fakeLead{}
	serveLead(t, leadless, unchanged)
	noLead := leadless.addr
	leadless.addr = ""
	for _, c := range []struct {
		name, addr, want string
	}{
		{"lead changed", astray.addr, "the lead has changed and nothing was done; retry"},
		{"old daemon", old.addr, "the daemon of the lead e-a-1 is older than this command and does not know the call"},
		{"lead unreachable", asked, "the lead e-a-1 cannot be reached"},
		{"no lead", noLead, "the site has no lead"},
		{"no daemon", "127.0.0.1:1", "no daemon can be reached"},
	} {
		out, status := runDeck(c.addr, "flow", "spaces")
		qt.Check(t, status, qt.Equals, exitNotRun, qt.Commentf("%s: %s", c.name, out))
		qt.Check(t, out, qt.Contains, c.want, qt.Commentf(c.name))
		qt.Check(t, strings.Count(out, "\n"), qt.Equals, 1, qt.Commentf("%s: %s", c.name, out))
	}
}

// withoutSpaces makes a server answer as one that does not have the method Spaces.
func withoutSpaces(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path = strings.TrimSuffix(r.URL.Path, "Spaces")
		h.ServeHTTP(w, r)
	})
}
