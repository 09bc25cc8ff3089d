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

// Timeouts of changes.
const (
	CommitTimeout   = 6 * time.Second // for the log to decide on a change
	CatchUpTimeout  = 6 * time.Second // for newer records before a change is refused
	CatchUpInterval = 20 * time.Millisecond
)

// desk implements the service for callers and operators.
type desk struct {
	loop       *controlLoop
	dispatcher *dispatcher
	clients    Clients
}

// toTwirp converts an error to the form in which it is sent.
func toTwirp(op string, err error) error { return toRefusal(op, err).Twirp() }

func notLoaded(op string, after time.Duration) *refuse.Error {
	return refuse.NotRun(op, twirp.Unavailable, after, "the state is not loaded yet; ask another host")
}

// Ticket issues a ticket for a request that must run at most once.
func (d *desk) Ticket(context.Context, *wire.TicketAsk) (*wire.TicketReply, error) {
	reply, err := d.dispatcher.issueTicket()
	if err != nil {
		return nil, toTwirp("ticket", err)
	}
	return reply, nil
}

// Call runs one request and returns its answer.
func (d *desk) Call(ctx context.Context, ask *wire.CallAsk) (*wire.CallReply, error) {
	reply, err := d.dispatcher.call(ctx, ask)
	if err != nil {
		return nil, toTwirp("call", err)
	}
	return reply, nil
}

// read runs a function on the control goroutine if the state is loaded.
func (d *desk) read(ctx context.Context, op string, f func(*core.Core)) error {
	loaded := false
	err := d.loop.do(ctx, op, func(c *core.Core) {
		if loaded = c.Board.Log.Loaded; loaded {
			f(c)
		}
	})
	switch {
	case err != nil:
		return toTwirp(op, err)
	case !loaded:
		return notLoaded(op, time.Second).Twirp()
	}
	return nil
}

func idOrNew(id string) string {
	if id == "" {
		return uuid.NewString()
	}
	return id
}

// checkName checks a name chosen by a caller.
func checkName(field, name string) error {
	if name == "" || len(name) > 64 || strings.ContainsAny(name, "/ \t\n") {
		return refuse.NotRun("check "+field, twirp.InvalidArgument, 0, "%q must have 1 to 64 characters and contain no space, no tab, no newline and no slash", name)
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
	domain, ok := c.Board.State.Domains[id]
	if !ok {
		return &wire.Domain{Name: string(id)}
	}
	out := proto.CloneOf(domain)
	if turn := c.Board.HeldOut(id); turn != nil {
		out.Out, out.Drain, out.Why = true, turn.Drain, "held: "+turn.Why
	}
	return out
}

// Hosts lists entry hosts and backend servers with their state as seen by this
// daemon.
func (d *desk) Hosts(ctx context.Context, _ *wire.HostsAsk) (*wire.HostsReply, error) {
	reply := &wire.HostsReply{}
	err := d.loop.do(ctx, "list hosts", func(c *core.Core) {
		for id, h := range c.Board.Hosts {
			reply.Hosts = append(reply.Hosts, hostStatus(c, id, h))
		}
	})
	sort.Slice(reply.Hosts, func(a, b int) bool { return reply.Hosts[a].Host.Id < reply.Hosts[b].Host.Id })
	if err != nil {
		return nil, toTwirp("list hosts", err)
	}
	return reply, nil
}

func hostStatus(c *core.Core, id fleet.HostID, h *wire.Host) *wire.Seen {
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
	_, quarantined := c.Gangs.Quarantined()[id]
	switch {
	case w.Lost:
		return "lost"
	case quarantined:
		return "aside"
	case w.Host.Leaving:
		return "leaving"
	case !w.Reported:
		return "not heard"
	}
	return "leased"
}

// Health returns the state of this daemon.
func (d *desk) Health(ctx context.Context, _ *wire.HealthAsk) (*wire.HealthReply, error) {
	var reply *wire.HealthReply
	err := d.loop.do(ctx, "health", func(c *core.Core) { reply = health(c) })
	if err != nil {
		return nil, toTwirp("health", err)
	}
	return reply, nil
}

func health(c *core.Core) *wire.HealthReply {
	b := c.Board
	own := b.State.Domains[b.Self.Domain]
	waiting, running := c.Gangs.Counts()
	return &wire.HealthReply{
		Host: string(b.Self.Host), Domain: string(b.Self.Domain),
		Ready: c.Ready(), Why: healthReason(c),
		Rev: int64(b.State.Next), Age: time.Since(b.Log.SyncedAt).Milliseconds(),
		Lead: own.GetLead(), Term: own.GetTerm(), Leaving: b.Leaving,
		Queued: int32(waiting), Running: int32(running),
	}
}

// healthReason returns why the daemon is not ready, or why no task starts in its
// failure domain, or an empty string.
func healthReason(c *core.Core) string {
	if why := c.UnreadyReason(); why != "" {
		return why
	}
	if !c.Board.Gate.Open {
		return "no task starts in this failure domain: " + c.Board.Gate.Why
	}
	return ""
}
