package site

import (
	"context"
	"net"
	"testing"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/helm"
	"dragonflydeck.example/platform"
	"dragonflydeck.example/standin/store"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// newCarrier returns a carrier at a stand-in of the store.
func newCarrier(t *testing.T, host fleet.HostID) (*carrier, *store.Store) {
	at := store.New()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &fasthttp.Server{Handler: at.Handle}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	s := &Site{
		self:  helm.Self{Host: host, Addr: "127.0.0.1:7000", Inc: 1},
		edges: Edges{Store: platform.NewStore(platform.NewClient(), ln.Addr().String())},
	}
	return &carrier{ctx: context.Background(), site: s}, at
}

func (c *carrier) append(t *testing.T, at fleet.Offset, keys ...string) fleet.Offset {
	t.Helper()
	var records []fleet.Record
	for _, k := range keys {
		records = append(records, fleet.Record{Key: k, Value: []byte("x")})
	}
	end, err := c.site.edges.Store.Append(c.ctx, topicJobs, at, records)
	qt.Assert(t, err, qt.IsNil)
	return end
}

// Of two claims that rest on the same records one is taken, and the other
// daemon is told of it.
func TestOneOfTwoClaimsIsTaken(t *testing.T) {
	c, _ := newCarrier(t, "e1")
	first := c.claim(0)
	qt.Assert(t, first.Err, qt.IsNil)
	qt.Assert(t, first.Term, qt.Equals, fleet.Term(1))
	d := &carrier{ctx: c.ctx, site: &Site{self: helm.Self{Host: "e2", Inc: 2}, edges: c.site.edges}}
	second := d.claim(0)
	qt.Assert(t, second.Err, qt.IsNil)
	qt.Assert(t, second.Lead.Host, qt.Equals, "e1")
	third := d.claim(first.Term)
	qt.Assert(t, third.Err, qt.IsNil)
	qt.Assert(t, third.Lead.Host, qt.Equals, "e2")
	qt.Assert(t, third.Lead.Epoch, qt.Equals, int64(2))
	qt.Assert(t, third.Term, qt.Equals, fleet.Term(2))
}

// The soak with seed 110 found a lead that waited for ever: its append had taken
// effect without an answer, and the store forgot its history before the check.
func TestCheckAfterTheHistoryIsForgotten(t *testing.T) {
	c, at := newCarrier(t, "e1")
	claim := c.claim(0)
	c.append(t, claim.End, "flow/a", "track/a")
	at.Forget(string(topicJobs))
	got := c.check(helm.Check{Batch: 3, At: claim.End})
	qt.Assert(t, got.Err, qt.IsNil)
	qt.Assert(t, got.End, qt.Equals, claim.End+2)
	qt.Assert(t, got.Records, qt.HasLen, 2)

	other := &carrier{ctx: c.ctx, site: &Site{self: helm.Self{Host: "e2", Inc: 2}, edges: c.site.edges}}
	other.claim(claim.Term)
	at.Forget(string(topicJobs))
	got = c.check(helm.Check{Batch: 3, At: claim.End})
	qt.Assert(t, got.Err, qt.IsNil)
	qt.Assert(t, got.Records[0].Key == helm.LeadKey || got.Records[1].Key == helm.LeadKey || got.Records[2].Key == helm.LeadKey, qt.IsTrue)
}
