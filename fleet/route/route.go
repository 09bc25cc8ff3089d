// Package route decides which runner answers a request, which requests wait,
// and which are refused early. A Router is told of runners, requests and
// results with the time, and does no I/O.
package route

import (
	"math/rand/v2"
	"time"

	"dragonflydeck.example/fleet"
)

// MaxHops is how often one request is offered to peers.
const MaxHops = 3

// ProbeSpan is how often a peer that had no room is offered a request all the
// same: slots free up far more often than beats come.
const ProbeSpan = 20 * time.Millisecond

// SlotWait is how long a request waits at a daemon that has no slots, as when
// they are just changing hands.
const SlotWait = 2 * time.Second

// Ranks is the number of priorities; rank 0 goes first.
const Ranks = 10

// Rules are the bounds a Router works within.
type Rules struct {
	Queue   int           // requests that may wait
	Retries float64       // retries for each request sent, as a long-run share
	Burst   float64       // retries that may be saved up
	Strikes int           // failures in a row that suspend a runner
	Pause   time.Duration // first suspension
	MaxWait time.Duration // longest suspension
	Slow    float64       // times the median answer time that make a runner slow
	Service time.Duration // answer time assumed before any was seen
}

// Defaults returns the rules the daemon uses.
func Defaults() Rules {
	return Rules{
		Queue: 4096, Retries: 0.1, Burst: 20, Strikes: 3,
		Pause: time.Second, MaxWait: 30 * time.Second, Slow: 3, Service: 50 * time.Millisecond,
	}
}

// RequestID names a request on its way through one daemon.
type RequestID string

// Request is what a decision needs to know of a request.
type Request struct {
	ID     RequestID
	Rank   int
	Until  time.Time // when its caller stops waiting
	Hops   int       // relays behind it
	Guest  bool      // it came from a peer: it runs now or goes back
	Not    fleet.HostID
	Latest time.Time // it waits no longer, zero for no bound but Until
}

// Runner is what the host list and the daemon's share say of a runner.
type Runner struct {
	ID      fleet.HostID
	Slots   int // of this daemon's share
	Leaving bool
}

// Peer is a daemon with free slots of its own.
type Peer struct {
	ID   fleet.HostID
	Room int
	Near bool // of the same failure domain

	probe time.Time     // when it was last offered a request without known room
	pause time.Duration // how long it was left alone last
	until time.Time     // left alone until then
}

// Kind sorts verdicts.
type Kind int

// The kinds of verdict.
const (
	Go     Kind = iota + 1 // send it to Runner
	Wait                   // a Grant follows
	Relay                  // pass it to Peer
	Refuse                 // it does not run; After tells when to come back
)

// Verdict is the decision on one request.
type Verdict struct {
	Kind   Kind
	Runner fleet.HostID
	Peer   fleet.HostID
	After  time.Duration
	Why    string
}

// Grant gives a waiting request its verdict: Go or Refuse.
type Grant struct {
	ID RequestID
	Verdict
}

// Router holds the runners and waiting requests of one daemon. Callers
// serialize its use.
type Router struct {
	rules   Rules
	runners map[fleet.HostID]*runner
	order   []*runner
	peers   []Peer
	queue   queue
	budget  budget
	service ewma
	rng     *rand.Rand
}

// New returns a router without runners. The seed settles ties.
func New(rules Rules, seed uint64) *Router {
	return &Router{
		rules:   rules,
		runners: map[fleet.HostID]*runner{},
		budget:  budget{share: rules.Retries, burst: rules.Burst, have: rules.Burst},
		service: ewma{value: float64(rules.Service)},
		rng:     rand.New(rand.NewPCG(seed, seed)),
	}
}

// Offer decides on a new request.
func (r *Router) Offer(q Request, now time.Time) Verdict {
	r.budget.earn()
	return r.offer(q, now)
}

func (r *Router) offer(q Request, now time.Time) Verdict {
	if r.queue.len() == 0 {
		if v, ok := r.assign(q, now); ok {
			return v
		}
	}
	if q.Guest {
		return Verdict{Kind: Refuse, After: r.expect(q.Rank), Why: "no slot is free here"}
	}
	if v, ok := r.pass(q, now); ok {
		return v
	}
	return r.enqueue(q, now)
}

// Back decides on a request that came back not run, from a peer without room
// or a runner that did not take it. It draws on no budget: nothing was sent.
func (r *Router) Back(q Request, now time.Time) Verdict {
	q.Hops++
	return r.offer(q, now)
}

// Again decides on another try of a repeatable request that failed. Retries
// draw on a budget, so that a wave of failures does not double the load.
func (r *Router) Again(q Request, now time.Time) Verdict {
	if !r.budget.spend() {
		return Verdict{Kind: Refuse, After: r.rules.Pause, Why: "the retry budget is spent"}
	}
	return r.offer(q, now)
}

func (r *Router) enqueue(q Request, now time.Time) Verdict {
	wait := r.expect(q.Rank)
	left := q.Until.Sub(now)
	switch {
	case r.capacity() == 0:
		q.Latest = now.Add(SlotWait) // for slots that may be on their way
	case r.queue.len() >= r.rules.Queue:
		return Verdict{Kind: Refuse, After: max(wait, r.rules.Pause), Why: "the queue is full"}
	case wait+r.margin() > left:
		return Verdict{Kind: Refuse, After: max(wait+r.margin()-left, r.mean()), Why: "the answer would come after the caller's limit"}
	}
	r.queue.push(q)
	return Verdict{Kind: Wait, Why: "every slot is taken"}
}

// expect estimates how long a request of this rank would wait.
func (r *Router) expect(rank int) time.Duration {
	n := r.capacity()
	if n == 0 {
		return 0
	}
	return time.Duration(float64(r.queue.ahead(rank)+1) * r.service.value / float64(n))
}

// margin is the time left in which a request is still worth sending: one that
// is sent later would often end with its outcome unknown.
func (r *Router) margin() time.Duration { return 2 * r.mean() }

func (r *Router) mean() time.Duration { return time.Duration(r.service.value) }

// Sweep gives free slots to waiting requests, and refuses those that cannot be
// answered in time any more.
func (r *Router) Sweep(now time.Time) []Grant {
	var out []Grant
	for _, q := range r.queue.late(now, r.margin()) {
		out = append(out, Grant{q.ID, Verdict{Kind: Refuse, After: r.expect(q.Rank) + r.mean(), Why: "it waited too long for a slot"}})
	}
	for {
		q, ok := r.queue.head()
		if !ok {
			return out
		}
		v, ok := r.assign(q, now)
		if !ok {
			v, ok = r.pass(q, now)
		}
		if !ok {
			return out
		}
		r.queue.pop()
		out = append(out, Grant{q.ID, v})
	}
}

// pass offers a request to a peer.
func (r *Router) pass(q Request, now time.Time) (Verdict, bool) {
	if q.Hops >= MaxHops {
		return Verdict{}, false
	}
	if p := r.peer(now); p != "" {
		return Verdict{Kind: Relay, Peer: p, Why: "no slot is free here, the peer has room"}, true
	}
	if p := r.probe(now); p != "" {
		return Verdict{Kind: Relay, Peer: p, Why: "no slot is free here, the peer may have room by now"}, true
	}
	return Verdict{}, false
}

// Drop forgets a waiting request whose caller gave up.
func (r *Router) Drop(id RequestID) { r.queue.drop(id) }
