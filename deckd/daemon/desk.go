package daemon

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/wire"
	"github.com/google/uuid"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

// Spans of changes.
const (
	ChangeSpan = 6 * time.Second // a change waits so long for the log
	FreshSpan  = 6 * time.Second // a refusal waits so long for newer records
	FreshStep  = 20 * time.Millisecond
)

// desk serves callers and operators.
type desk struct {
	loop    *control
	traffic *traffic
	edges   Edges
}

// twirpOf gives an error the form that travels.
func twirpOf(op string, err error) error { return refusal(op, err).Twirp() }

func notLoaded(op string, after time.Duration) *refuse.Error {
	return refuse.NotRun(op, twirp.Unavailable, after, "the state is not loaded yet; ask another host")
}

// Ticket issues a ticket for a request that may not be repeated.
func (d *desk) Ticket(context.Context, *wire.TicketAsk) (*wire.TicketReply, error) {
	reply, err := d.traffic.issue()
	if err != nil {
		return nil, twirpOf("ticket", err)
	}
	return reply, nil
}

// Call answers one request.
func (d *desk) Call(ctx context.Context, ask *wire.CallAsk) (*wire.CallReply, error) {
	reply, err := d.traffic.call(ctx, ask)
	if err != nil {
		return nil, twirpOf("call", err)
	}
	return reply, nil
}

// read runs a function on the loaded state.
func (d *desk) read(ctx context.Context, op string, f func(*core.Core)) error {
	loaded := false
	err := d.loop.do(ctx, op, func(c *core.Core) {
		if loaded = c.Board.Log.Loaded; loaded {
			f(c)
		}
	})
	switch {
	case err != nil:
		return twirpOf(op, err)
	case !loaded:
		return notLoaded(op, time.Second).Twirp()
	}
	return nil
}

func orNew(id string) string {
	if id == "" {
		return uuid.NewString()
	}
	return id
}

// nameOK bounds what callers may name things.
func nameOK(field, name string) error {
	if name == "" || len(name) > 64 || strings.ContainsAny(name, "/ \t\n") {
		return refuse.NotRun("check "+field, twirp.InvalidArgument, 0, "%q must have 1 to 64 characters, no blank and no slash", name)
	}
	return nil
}

// Domains lists the failure domains.
func (d *desk) Domains(ctx context.Context, _ *wire.DomainsAsk) (*wire.DomainsReply, error) {
	reply := &wire.DomainsReply{}
	err := d.read(ctx, "list failure domains", func(c *core.Core) {
		for id := range c.Board.Domains() {
			reply.Domains = append(reply.Domains, domainOf(c, id))
		}
	})
	sort.Slice(reply.Domains, func(a, b int) bool { return reply.Domains[a].Name < reply.Domains[b].Name })
	return reply, err
}

func domainOf(c *core.Core, id fleet.DomainID) *wire.Domain {
	have, ok := c.Board.State.Domains[id]
	if !ok {
		return &wire.Domain{Name: string(id)}
	}
	out := proto.CloneOf(have)
	if t := c.Board.HeldOut(id); t != nil {
		out.Out, out.Drain, out.Why = true, t.Drain, "held: "+t.Why
	}
	return out
}

// Hosts lists entry hosts and backend servers as this daemon sees them.
func (d *desk) Hosts(ctx context.Context, _ *wire.HostsAsk) (*wire.HostsReply, error) {
	reply := &wire.HostsReply{}
	err := d.loop.do(ctx, "list hosts", func(c *core.Core) {
		for id, h := range c.Board.Hosts {
			reply.Hosts = append(reply.Hosts, seen(c, id, h))
		}
	})
	sort.Slice(reply.Hosts, func(a, b int) bool { return reply.Hosts[a].Host.Id < reply.Hosts[b].Host.Id })
	if err != nil {
		return nil, twirpOf("list hosts", err)
	}
	return reply, nil
}

func seen(c *core.Core, id fleet.HostID, h *wire.Host) *wire.Seen {
	s := &wire.Seen{Host: proto.CloneOf(h), State: "listed"}
	if h.Leaving {
		s.State = "leaving"
	}
	if p, ok := c.Board.Members.Get(id); ok {
		s.State = p.Status.String()
		if p.Leaving {
			s.State = "leaving"
		}
	}
	if w := c.Board.Workers[id]; w != nil {
		s.State = workerState(c, id)
		s.Why = fmt.Sprintf("%d gangs reported", len(w.Reports))
	}
	return s
}

func workerState(c *core.Core, id fleet.HostID) string {
	w := c.Board.Workers[id]
	_, aside := c.Gangs.Aside()[id]
	switch {
	case w.Lost:
		return "lost"
	case aside:
		return "aside"
	case w.Host.Leaving:
		return "leaving"
	case !w.Fresh:
		return "not heard"
	}
	return "leased"
}

// Health tells how this daemon stands.
func (d *desk) Health(ctx context.Context, _ *wire.HealthAsk) (*wire.HealthReply, error) {
	var reply *wire.HealthReply
	err := d.loop.do(ctx, "health", func(c *core.Core) { reply = health(c) })
	if err != nil {
		return nil, twirpOf("health", err)
	}
	return reply, nil
}

func health(c *core.Core) *wire.HealthReply {
	b := c.Board
	own := b.State.Domains[b.Self.Domain]
	waiting, running := c.Gangs.Counts()
	return &wire.HealthReply{
		Host: string(b.Self.Host), Domain: string(b.Self.Domain),
		Ready: c.Ready(), Why: shortfall(c),
		Rev: int64(b.State.Next), Age: time.Since(b.Log.Fresh).Milliseconds(),
		Lead: own.GetLead(), Term: own.GetTerm(), Leaving: b.Leaving,
		Queued: int32(waiting), Running: int32(running),
	}
}

// shortfall tells why the daemon is not ready, or else why no task starts here.
func shortfall(c *core.Core) string {
	if why := c.Unready(); why != "" {
		return why
	}
	if !c.Board.Gate.Open {
		return "no task starts here: " + c.Board.Gate.Why
	}
	return ""
}
