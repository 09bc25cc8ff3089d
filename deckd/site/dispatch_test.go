package site

import (
	"context"
	"net"
	"slices"
	"testing"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/platform"
	"dragonflydeck.example/standin/store"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// newStandinStore returns a stand-in for the store and a client of it.
func newStandinStore(t *testing.T) (*store.Store, fleet.Store) {
	t.Helper()
	standin := store.New()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &fasthttp.Server{Handler: standin.Handle}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return standin, platform.NewStore(ln.Addr().String())
}

// newDispatcher returns a dispatcher that uses a stand-in for the store.
func newDispatcher(t *testing.T, host fleet.HostID) (*dispatcher, *store.Store) {
	t.Helper()
	standin, client := newStandinStore(t)
	s := &Site{self: sched.Identity{Host: host, Addr: "127.0.0.1:7000", Inc: 1}, deps: Dependencies{Store: client}}
	return &dispatcher{ctx: context.Background(), site: s}, standin
}

func (d *dispatcher) append(t *testing.T, at fleet.Offset, keys ...string) fleet.Offset {
	t.Helper()
	var records []fleet.Record
	for _, k := range keys {
		records = append(records, fleet.Record{Key: k, Value: []byte("x")})
	}
	end, err := d.site.deps.Store.Append(d.ctx, topicJobs, at, records)
	qt.Assert(t, err, qt.IsNil)
	return end
}

// Of two claims based on the same records only the first succeeds, and the second
// daemon learns of it.
func TestOneOfTwoClaimsIsTaken(t *testing.T) {
	e1, _ := newDispatcher(t, "e1")
	first := e1.claim(sched.Claim{})
	qt.Assert(t, first.Err, qt.IsNil)
	qt.Assert(t, first.Term, qt.Equals, fleet.Term(2))
	e2 := &dispatcher{ctx: e1.ctx, site: &Site{self: sched.Identity{Host: "e2", Inc: 2}, deps: e1.site.deps}}
	second := e2.claim(sched.Claim{})
	qt.Assert(t, second.Err, qt.IsNil)
	qt.Assert(t, second.Lead.Host, qt.Equals, "e1")
	third := e2.claim(sched.Claim{Known: first.Term})
	qt.Assert(t, third.Err, qt.IsNil)
	qt.Assert(t, third.Lead.Host, qt.Equals, "e2")
	qt.Assert(t, third.Lead.Epoch, qt.Equals, int64(2))
	qt.Assert(t, third.Term, qt.Equals, fleet.Term(4))
}

// Found by the soak test, seed 110: an append took effect but its response was lost,
// and the store discarded its history before the check. The lead waited forever.
func TestCheckAfterTheHistoryIsForgotten(t *testing.T) {
	d, standin := newDispatcher(t, "e1")
	claim := d.claim(sched.Claim{})
	d.append(t, claim.End, "flow/a", "track/a")
	standin.Compact(string(topicJobs))
	got := d.check(sched.Check{Batch: 3, At: claim.End})
	qt.Assert(t, got.Err, qt.IsNil)
	qt.Assert(t, got.End, qt.Equals, claim.End+2)
	qt.Assert(t, got.Records, qt.HasLen, 2)

	other := &dispatcher{ctx: d.ctx, site: &Site{self: sched.Identity{Host: "e2", Inc: 2}, deps: d.site.deps}}
	other.claim(sched.Claim{Known: claim.Term})
	standin.Compact(string(topicJobs))
	got = d.check(sched.Check{Batch: 3, At: claim.End})
	qt.Assert(t, got.Err, qt.IsNil)
	qt.Assert(t, slices.ContainsFunc(got.Records, func(r fleet.Record) bool { return r.Key == sched.LeadKey }), qt.IsTrue)
}
