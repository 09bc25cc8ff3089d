package daemon

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/logger"
	"dragonflydeck.example/fleet/member"
	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/route"
	"dragonflydeck.example/fleet/seat"
	"dragonflydeck.example/fleet/ticket"
	"dragonflydeck.example/fleet/wire"
	"github.com/twitchtv/twirp"
)

// Limits of requests.
const (
	MaxBody    = 1 << 20         // bytes
	RetryAfter = 2 * time.Second // sent to a caller whose request did not run or whose outcome is unknown
	// StartTimeout is how long a daemon waits for slots or a peer with free slots
	// before it becomes ready without them.
	StartTimeout = 15 * time.Second
)

// dispatcher sends requests to runners. Its lock is held for decisions only; the
// goroutines of callers wait on channels.
type dispatcher struct {
	self         board.Identity
	clients      Clients
	logger       *logger.Logger
	stats        *stats
	start        time.Time
	whenIsolated string // what to do with requests in an isolated domain: serve or refuse

	mu       sync.Mutex
	router   *route.Router
	tickets  *ticket.Book
	runners  map[fleet.HostID]string // addresses
	peers    map[fleet.HostID]string
	waiters  map[route.RequestID]chan route.Verdict
	pending  map[route.RequestID]*pendingAnswer
	seq      int64
	isolated bool
	group    sync.WaitGroup

	eventsMu sync.Mutex // guards events; locked after mu
	events   *board.Recent
}

// pendingAnswer is the answer to a request that was sent to a runner.
type pendingAnswer struct {
	answer   chan *wire.RunReply
	deadline time.Time
}

func newDispatcher(self board.Identity, clients Clients, l *logger.Logger, s *Settings) *dispatcher {
	rules := route.Defaults()
	rules.Queue = s.Queue
	return &dispatcher{
		self: self, clients: clients, logger: l, start: time.Now(), whenIsolated: s.Isolated, stats: newStats(),
		router:  route.New(rules, uint64(self.Inc)),
		tickets: ticket.New(self.Host, self.Inc),
		runners: map[fleet.HostID]string{}, peers: map[fleet.HostID]string{},
		waiters: map[route.RequestID]chan route.Verdict{},
		pending: map[route.RequestID]*pendingAnswer{},
		events:  board.NewRecent(),
	}
}

// syncBoard exchanges data between the control loop and the dispatcher, on every
// tick.
func (d *dispatcher) syncBoard(b *board.Board) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.SetRunners(d.routeRunners(b))
	d.router.SetPeers(d.routePeers(b))
	d.isolated = isolated(b)
	d.expirePending(now)
	d.applyGrants(d.router.Sweep(now))
	b.FreeSlots = int32(d.router.FreeSlots(now))
	if !d.router.Overcommitted() && b.AppliedShare != b.Share.Version {
		d.closeIdle()
		b.AppliedShare = b.Share.Version
	}
	b.RunnerReachable = b.RunnerReachable || d.router.HasCapacity() || now.Sub(d.start) > StartTimeout
}

// closeIdle closes idle connections to runners. As many connections remain as
// there are requests in flight, which is at most the number of this daemon's
// slots.
func (d *dispatcher) closeIdle() {
	for _, addr := range d.runners {
		d.clients.CloseIdle(addr)
	}
}

// routeRunners returns the runners of this domain with this daemon's share of
// their slots and updates the addresses of the runners.
func (d *dispatcher) routeRunners(b *board.Board) []route.Runner {
	var out []route.Runner
	clear(d.runners)
	for _, h := range b.LocalHosts(wire.Role_RUNNER) {
		id := fleet.HostID(h.Id)
		d.runners[id] = h.Addr
		slots := min(seat.Slots(b.Share, h.Slots), seat.Slots(b.Share, h.Conns))
		out = append(out, route.Runner{ID: id, Slots: int(slots), Leaving: h.Leaving})
	}
	return out
}

// routePeers returns the live peers with their free slots and updates the
// addresses of all entry hosts.
func (d *dispatcher) routePeers(b *board.Board) []route.Peer {
	var out []route.Peer
	clear(d.peers)
	for _, p := range b.Members.Peers() {
		addr := b.AddrOf(p)
		if addr == "" {
			continue
		}
		d.peers[p.ID] = addr
		if p.Status == member.Alive && !p.Leaving {
			out = append(out, route.Peer{ID: p.ID, FreeSlots: int(p.FreeSlots), Near: p.Domain == b.Self.Domain})
		}
	}
	for id, h := range b.Hosts {
		if h.Role == wire.Role_ENTRY {
			d.peers[id] = h.Addr
		}
	}
	return out
}

// isolated reports whether the log does not answer and no daemon of another
// domain is alive.
func isolated(b *board.Board) bool {
	if !b.Log.Down {
		return false
	}
	for _, p := range b.Members.Peers() {
		if p.Domain != b.Self.Domain && p.Status == member.Alive {
			return false
		}
	}
	return true
}

// expirePending drops requests whose answer is overdue.
func (d *dispatcher) expirePending(now time.Time) {
	for id, p := range d.pending {
		if now.After(p.deadline) {
			delete(d.pending, id)
		}
	}
}

func (d *dispatcher) applyGrants(list []route.Grant) {
	for _, g := range list {
		if ch, ok := d.waiters[g.ID]; ok {
			ch <- g.Verdict
			delete(d.waiters, g.ID)
		}
	}
}

// call answers a caller's request.
func (d *dispatcher) call(ctx context.Context, ask *wire.CallAsk) (*wire.CallReply, error) {
	if err := checkCall(ask); err != nil {
		return nil, err
	}
	if d.refusesIsolated() {
		return nil, refuse.NotRun("call", twirp.Unavailable, RetryAfter, "this failure domain is cut off and is configured to refuse requests")
	}
	deadline := time.Now().Add(time.Duration(ask.Limit) * time.Millisecond)
	if ask.Repeat {
		return d.serve(ctx, ask, deadline, false)
	}
	return d.callOnce(ctx, ask, deadline)
}

func (d *dispatcher) refusesIsolated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isolated && d.whenIsolated == "refuse"
}

func checkCall(ask *wire.CallAsk) error {
	switch {
	case ask.Caller == "":
		return invalidField("caller", "must name the caller")
	case ask.Limit < 1 || ask.Limit > board.RequestTimeout.Milliseconds():
		return invalidField("limit", fmt.Sprintf("is %d ms; 1 to %d are allowed", ask.Limit, board.RequestTimeout.Milliseconds()))
	case ask.Rank < 0 || ask.Rank >= route.Ranks:
		return invalidField("rank", fmt.Sprintf("is %d; 0 to %d are allowed", ask.Rank, route.Ranks-1))
	case len(ask.Body) > MaxBody:
		return invalidField("body", fmt.Sprintf("has %d bytes; at most %d are allowed", len(ask.Body), MaxBody))
	case !ask.Repeat && ask.Ticket == "":
		return invalidField("ticket", "is needed by a request that must not be repeated")
	}
	return nil
}

func invalidField(field, text string) error {
	return refuse.NotRun("check request", twirp.InvalidArgument, 0, "%s %s", field, text)
}

// handleRelay answers a request that a peer received.
func (d *dispatcher) handleRelay(ctx context.Context, ask *wire.RelayAsk) (*wire.CallReply, error) {
	if err := checkCall(ask.Call); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(time.Duration(ask.Call.Limit) * time.Millisecond)
	if ask.Hops == 0 && !ask.Call.Repeat {
		return d.callOnce(ctx, ask.Call, deadline)
	}
	reply, err := d.serve(ctx, ask.Call, deadline, true)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	reply.Room = int32(d.router.FreeSlots(time.Now()))
	return reply, nil
}

func (d *dispatcher) issueTicket() (*wire.TicketReply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, expires, err := d.tickets.Issue(time.Now())
	if err != nil {
		return nil, refuse.NotRun("issue ticket", twirp.ResourceExhausted, time.Minute, "%v", err)
	}
	return &wire.TicketReply{Ticket: string(id), Until: expires.UnixMilli()}, nil
}

func (d *dispatcher) nextID() route.RequestID {
	d.seq++
	return route.RequestID(string(d.self.Host) + "/" + strconv.FormatInt(int64(d.self.Inc), 36) + "/" + strconv.FormatInt(d.seq, 36))
}

// logEvent logs an event of a request and keeps it for explanations.
func (d *dispatcher) logEvent(code event.Code, about route.RequestID, text string) {
	e := event.Event{At: time.Now(), Code: code, Host: d.self.Host, About: string(about), Text: text}
	d.eventsMu.Lock()
	d.events.AddEvent(e)
	d.eventsMu.Unlock()
	d.logger.Write(e)
}

// recentEvents returns the events that are kept of a request.
func (d *dispatcher) recentEvents(about string) []event.Event {
	d.eventsMu.Lock()
	defer d.eventsMu.Unlock()
	return d.events.Events(about)
}

// inFlight returns the number of requests that wait or are on runners.
func (d *dispatcher) inFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, n := d.router.Busy("")
	return n
}

// toRefusal returns the refusal in an error, or converts the error to one.
func toRefusal(op string, err error) *refuse.Error {
	var r *refuse.Error
	if errors.As(err, &r) {
		return r
	}
	return refuse.From(op, err)
}
