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
	"dragonflydeck.example/fleet/lines"
	"dragonflydeck.example/fleet/member"
	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/route"
	"dragonflydeck.example/fleet/seat"
	"dragonflydeck.example/fleet/ticket"
	"dragonflydeck.example/fleet/wire"
	"github.com/twitchtv/twirp"
)

// Bounds of requests.
const (
	MaxRequest = 1 << 20 // bytes of a body
	OpenSpan   = 2 * time.Second
	// StartSpan is how long a daemon waits for slots or a peer with room before
	// it is ready without.
	StartSpan = 15 * time.Second
)

// traffic takes requests to runners. Its lock is held for decisions only; the
// goroutines of callers wait on channels.
type traffic struct {
	self  board.Self
	edges Edges
	lines *lines.Lines
	stats *stats
	began time.Time
	cut   string // what an isolated domain does with requests

	mu       sync.Mutex
	router   *route.Router
	book     *ticket.Book
	runners  map[fleet.HostID]string // addresses
	peers    map[fleet.HostID]string
	waiting  map[route.RequestID]chan route.Verdict
	owed     map[route.RequestID]*owed
	seq      int64
	isolated bool
	group    sync.WaitGroup

	told  sync.Mutex // guards chain, taken last
	chain *board.Recent
}

// owed is a request that was sent and whose answer has not come.
type owed struct {
	answer chan *wire.RunReply
	until  time.Time
}

func newTraffic(self board.Self, edges Edges, l *lines.Lines, s *Settings) *traffic {
	rules := route.Defaults()
	rules.Queue = s.Queue
	return &traffic{
		self: self, edges: edges, lines: l, began: time.Now(), cut: s.Isolated, stats: newStats(),
		router:  route.New(rules, uint64(self.Inc)),
		book:    ticket.New(self.Host, self.Inc),
		runners: map[fleet.HostID]string{}, peers: map[fleet.HostID]string{},
		waiting: map[route.RequestID]chan route.Verdict{},
		owed:    map[route.RequestID]*owed{},
		chain:   board.NewRecent(),
	}
}

// sync exchanges what control and traffic tell each other, on every tick.
func (t *traffic) sync(b *board.Board) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Set(t.shares(b))
	t.router.SetPeers(t.rooms(b))
	t.isolated = isolated(b)
	t.expire(now)
	t.grant(t.router.Sweep(now))
	b.Room = int32(t.router.Room(now))
	if !t.router.Over() && b.Settled != b.Share.Version {
		t.rest()
		b.Settled = b.Share.Version
	}
	b.Reach = b.Reach || t.router.Reaches() || now.Sub(t.began) > StartSpan
}

// rest closes idle connections to runners, so that as many are left as there are
// requests in flight, which is no more than this daemon's slots.
func (t *traffic) rest() {
	for _, addr := range t.runners {
		t.edges.Rest(addr)
	}
}

// shares works out this daemon's slots of every runner of its domain.
func (t *traffic) shares(b *board.Board) []route.Runner {
	var out []route.Runner
	clear(t.runners)
	for _, h := range b.Own(wire.Role_RUNNER) {
		id := fleet.HostID(h.Id)
		t.runners[id] = h.Addr
		slots := min(seat.Slots(b.Share, h.Slots), seat.Slots(b.Share, h.Conns))
		out = append(out, route.Runner{ID: id, Slots: int(slots), Leaving: h.Leaving})
	}
	return out
}

func (t *traffic) rooms(b *board.Board) []route.Peer {
	var out []route.Peer
	clear(t.peers)
	for _, p := range b.Members.All() {
		addr := b.AddrOf(p)
		if addr == "" {
			continue
		}
		t.peers[p.ID] = addr
		if p.Status == member.Alive && !p.Leaving {
			out = append(out, route.Peer{ID: p.ID, Room: int(p.Room), Near: p.Domain == b.Self.Domain})
		}
	}
	for id, h := range b.Hosts {
		if h.Role == wire.Role_ENTRY {
			t.peers[id] = h.Addr
		}
	}
	return out
}

// isolated reports whether neither the log nor a daemon of another domain has
// been heard for a while.
func isolated(b *board.Board) bool {
	if !b.Log.Blind {
		return false
	}
	for _, p := range b.Members.All() {
		if p.Domain != b.Self.Domain && p.Status == member.Alive {
			return false
		}
	}
	return true
}

// expire forgets requests whose answer will not come any more.
func (t *traffic) expire(now time.Time) {
	for id, o := range t.owed {
		if now.After(o.until) {
			delete(t.owed, id)
		}
	}
}

func (t *traffic) grant(list []route.Grant) {
	for _, g := range list {
		if ch, ok := t.waiting[g.ID]; ok {
			ch <- g.Verdict
			delete(t.waiting, g.ID)
		}
	}
}

// call answers a caller's request.
func (t *traffic) call(ctx context.Context, ask *wire.CallAsk) (*wire.CallReply, error) {
	if err := checkCall(ask); err != nil {
		return nil, err
	}
	if t.refuses() {
		return nil, refuse.NotRun("call", twirp.Unavailable, OpenSpan, "this failure domain is cut off and is set to refuse requests")
	}
	until := time.Now().Add(time.Duration(ask.Limit) * time.Millisecond)
	if ask.Repeat {
		return t.serve(ctx, ask, until, false)
	}
	return t.once(ctx, ask, until)
}

func (t *traffic) refuses() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isolated && t.cut == "refuse"
}

func checkCall(ask *wire.CallAsk) error {
	switch {
	case ask.Caller == "":
		return wrong("caller", "must name the caller")
	case ask.Limit < 1 || ask.Limit > board.RequestSpan.Milliseconds():
		return wrong("limit", fmt.Sprintf("is %d ms; 1 to %d are allowed", ask.Limit, board.RequestSpan.Milliseconds()))
	case ask.Rank < 0 || ask.Rank >= route.Ranks:
		return wrong("rank", fmt.Sprintf("is %d; 0 to %d are allowed", ask.Rank, route.Ranks-1))
	case len(ask.Body) > MaxRequest:
		return wrong("body", fmt.Sprintf("has %d bytes; at most %d are allowed", len(ask.Body), MaxRequest))
	case !ask.Repeat && ask.Ticket == "":
		return wrong("ticket", "is needed by a request that may not be repeated")
	}
	return nil
}

func wrong(field, text string) error {
	return refuse.NotRun("check request", twirp.InvalidArgument, 0, "%s %s", field, text)
}

// relayed answers a request that came in at a peer.
func (t *traffic) relayed(ctx context.Context, ask *wire.RelayAsk) (*wire.CallReply, error) {
	if err := checkCall(ask.Call); err != nil {
		return nil, err
	}
	until := time.Now().Add(time.Duration(ask.Call.Limit) * time.Millisecond)
	if ask.Hops == 0 && !ask.Call.Repeat {
		return t.once(ctx, ask.Call, until)
	}
	reply, err := t.serve(ctx, ask.Call, until, true)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	reply.Room = int32(t.router.Room(time.Now()))
	return reply, nil
}

func (t *traffic) issue() (*wire.TicketReply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id, until, err := t.book.Issue(time.Now())
	if err != nil {
		return nil, refuse.NotRun("issue ticket", twirp.ResourceExhausted, time.Minute, "%v", err)
	}
	return &wire.TicketReply{Ticket: string(id), Until: until.UnixMilli()}, nil
}

func (t *traffic) nextID() route.RequestID {
	t.seq++
	return route.RequestID(string(t.self.Host) + "/" + strconv.FormatInt(int64(t.self.Inc), 36) + "/" + strconv.FormatInt(t.seq, 36))
}

// note logs an event of a request and keeps it for explanations.
func (t *traffic) note(code event.Code, about route.RequestID, text string) {
	e := event.Event{At: time.Now(), Code: code, Host: t.self.Host, About: string(about), Text: text}
	t.told.Lock()
	t.chain.Add(e)
	t.told.Unlock()
	t.lines.Write(e)
}

// explain returns what is kept of a request.
func (t *traffic) explain(about string) []event.Event {
	t.told.Lock()
	defer t.told.Unlock()
	return t.chain.Events(about)
}

// inFlight counts the requests that are waiting or on runners.
func (t *traffic) inFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, n := t.router.Busy("")
	return n
}

// refusal returns the refusal in an error.
func refusal(op string, err error) *refuse.Error {
	var r *refuse.Error
	if errors.As(err, &r) {
		return r
	}
	return refuse.From(op, err)
}
