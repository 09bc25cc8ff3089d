// Package route decides which runner serves a request, which requests wait and
// which are refused early. A Router does no I/O: its callers pass in runners,
// requests, results and the current time.
package route

import (
	"math/rand/v2"
	"time"

	"dragonflydeck.example/fleet"
)

// MaxHops is how many times a request may be offered to peers.
const MaxHops = 3

// ProbeInterval is the shortest time between two requests offered to a peer whose
// last report showed no free slot. Slots free up far more often than heartbeats
// arrive.
const ProbeInterval = 20 * time.Millisecond

// SlotWait is how long a request waits at a daemon that has no slots, which
// happens while slots are transferred between daemons.
const SlotWait = 2 * time.Second

// Ranks is the number of priorities; rank 0 goes first.
const Ranks = 10

// Rules are the parameters of a Router.
type Rules struct {
	Queue          int           // most requests that may wait
	Retries        float64       // retries allowed per request, on average
	Burst          float64       // most retries that may accumulate
	MaxFailures    int           // consecutive failures that suspend a runner
	MinBackoff     time.Duration // first suspension of a runner or backoff from a peer
	MaxBackoff     time.Duration // longest suspension or backoff
	SlowFactor     float64       // a runner is slow above this multiple of the median answer time
	AssumedService time.Duration // answer time assumed before the first answer
}

// Defaults returns the rules the daemon uses.
func Defaults() Rules {
	return Rules{
		Queue: 4096, Retries: 0.1, Burst: 20, MaxFailures: 3,
		MinBackoff: time.Second, MaxBackoff: 30 * time.Second, SlowFactor: 3, AssumedService: 50 * time.Millisecond,
	}
}

// RequestID identifies a request within one daemon.
type RequestID string

// Request holds what a routing decision needs to know about a request.
type Request struct {
	ID        RequestID
	Rank      int
	Deadline  time.Time    // when its caller stops waiting
	Hops      int          // how many times it was offered to a peer
	Relayed   bool         // it came from a peer: it is sent at once or refused
	Exclude   fleet.HostID // a runner that must not get it, empty for none
	WaitUntil time.Time    // end of its wait for a slot, zero if only Deadline bounds it
}

// Runner is a runner in the host list, with this daemon's share of its slots.
type Runner struct {
	ID      fleet.HostID
	Slots   int // in this daemon's share
	Leaving bool
}

// Peer is another daemon, to which requests can be relayed.
type Peer struct {
	ID        fleet.HostID
	FreeSlots int
	Near      bool // in the same failure domain

	probedAt     time.Time     // when it was last offered a request without known free slots
	backoff      time.Duration // length of the last backoff, 0 after an answer
	backoffUntil time.Time     // it gets no requests before
}

// Kind is the kind of a verdict.
type Kind int

// The kinds of verdict.
const (
	Go     Kind = iota + 1 // send it to Runner
	Wait                   // keep it queued; a Grant follows
	Relay                  // pass it to Peer
	Refuse                 // do not run it; RetryAfter tells when to retry
)

// Verdict is the decision on one request.
type Verdict struct {
	Kind       Kind
	Runner     fleet.HostID
	Peer       fleet.HostID
	RetryAfter time.Duration
	Why        string
}

// Grant is the verdict on a request that waited: Go, Relay or Refuse.
type Grant struct {
	ID RequestID
	Verdict
}

// Router tracks the runners and the waiting requests of one daemon. Callers
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

// New returns a router without runners. The seed is for its random choices.
func New(rules Rules, seed uint64) *Router {
	return &Router{
		rules:   rules,
		runners: map[fleet.HostID]*runner{},
		budget:  budget{ratio: rules.Retries, limit: rules.Burst, tokens: rules.Burst},
		service: ewma{value: float64(rules.AssumedService)},
		rng:     rand.New(rand.NewPCG(seed, seed)),
	}
}

// Offer decides on a new request.
func (r *Router) Offer(q Request, now time.Time) Verdict {
	r.budget.deposit()
	return r.offer(q, now)
}

func (r *Router) offer(q Request, now time.Time) Verdict {
	if r.queue.len() == 0 {
		if v, ok := r.assign(q, now); ok {
			return v
		}
	}
	if q.Relayed {
		return Verdict{Kind: Refuse, RetryAfter: r.estimateWait(q.Rank), Why: "no free slot on this daemon"}
	}
	if v, ok := r.offerToPeer(q, now); ok {
		return v
	}
	return r.enqueue(q, now)
}

// Reoffer decides on a request that a peer without free slots or a runner returned
// without running it. It does not use the retry budget, as no work was done.
func (r *Router) Reoffer(q Request, now time.Time) Verdict {
	q.Hops++
	return r.offer(q, now)
}

// Retry decides on the retry of a repeatable request that failed. Retries use a
// budget, so that a wave of failures does not double the load.
func (r *Router) Retry(q Request, now time.Time) Verdict {
	if !r.budget.withdraw() {
		return Verdict{Kind: Refuse, RetryAfter: r.rules.MinBackoff, Why: "the retry budget is exhausted"}
	}
	return r.offer(q, now)
}

func (r *Router) enqueue(q Request, now time.Time) Verdict {
	wait := r.estimateWait(q.Rank)
	left := q.Deadline.Sub(now)
	switch {
	case r.capacity() == 0:
		q.WaitUntil = now.Add(SlotWait) // slots may be about to be transferred here
	case r.queue.len() >= r.rules.Queue:
		return Verdict{Kind: Refuse, RetryAfter: max(wait, r.rules.MinBackoff), Why: "the queue is full"}
	case wait+r.margin() > left:
		return Verdict{Kind: Refuse, RetryAfter: max(wait+r.margin()-left, r.meanService()), Why: "the answer would arrive after the caller's time limit"}
	}
	r.queue.push(q)
	return Verdict{Kind: Wait, Why: "all slots are busy"}
}

// estimateWait estimates how long a new request of this rank would wait.
func (r *Router) estimateWait(rank int) time.Duration {
	n := r.capacity()
	if n == 0 {
		return 0
	}
	return time.Duration(float64(r.queue.countAhead(rank)+1) * r.service.value / float64(n))
}

// margin is the least time before its deadline at which a request is still sent.
// The outcome of one that is sent later would often be unknown.
func (r *Router) margin() time.Duration { return 2 * r.meanService() }

func (r *Router) meanService() time.Duration { return time.Duration(r.service.value) }

// Sweep assigns free slots to waiting requests and refuses those that cannot be
// answered in time any more.
func (r *Router) Sweep(now time.Time) []Grant {
	var out []Grant
	for _, q := range r.queue.removeLate(now, r.margin()) {
		out = append(out, Grant{q.ID, Verdict{Kind: Refuse, RetryAfter: r.estimateWait(q.Rank) + r.meanService(), Why: "timed out waiting for a free slot"}})
	}
	for {
		q, ok := r.queue.head()
		if !ok {
			return out
		}
		v, ok := r.assign(q, now)
		if !ok {
			v, ok = r.offerToPeer(q, now)
		}
		if !ok {
			return out
		}
		r.queue.pop()
		out = append(out, Grant{q.ID, v})
	}
}

// offerToPeer relays a request to a peer, if one may have a free slot.
func (r *Router) offerToPeer(q Request, now time.Time) (Verdict, bool) {
	if q.Hops >= MaxHops {
		return Verdict{}, false
	}
	if p := r.pickPeer(now); p != "" {
		return Verdict{Kind: Relay, Peer: p, Why: "no free slot on this daemon, the peer has one"}, true
	}
	if p := r.pickProbe(now); p != "" {
		return Verdict{Kind: Relay, Peer: p, Why: "no free slot on this daemon, the peer may have one by now"}, true
	}
	return Verdict{}, false
}

// Drop removes a waiting request whose caller gave up.
func (r *Router) Drop(id RequestID) { r.queue.remove(id) }
