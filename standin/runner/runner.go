// Package runner stands in for a runner. It runs requests in a limited number of
// slots, and can delay replies, swap the replies of two requests, or lose them.
package runner

import (
	"context"
	"sync"
	"time"

	"dragonflydeck.example/fleet/wire"
	"dragonflydeck.example/standin/fault"
	"github.com/twitchtv/twirp"
)

// The failures that a runner can simulate.
const (
	Late    fault.Name = "late"    // replies take LateDelay longer
	Crossed fault.Name = "crossed" // two requests get each other's reply
	Broken  fault.Name = "broken"  // requests run, but their replies are lost
)

// LateDelay is the extra time that a late reply takes.
const LateDelay = 3 * time.Second

// Runner simulates one runner.
type Runner struct {
	fault.Switch
	slots int

	// RequestTime returns the run time of a request.
	RequestTime func(body []byte) time.Duration
	// Breaks reports whether the runner breaks the connection of a request; nil for none.
	Breaks func(body []byte) bool

	mu      sync.Mutex
	active  int
	peak    int
	runs    map[string]int
	waiting chan *swap // a reply to be swapped with that of the next request
}

type swap struct {
	reply     *wire.RunReply
	peerReply chan *wire.RunReply
}

// New returns an idle runner whose requests take requestTime each.
func New(slots int, requestTime time.Duration) *Runner {
	return &Runner{
		slots: slots, runs: map[string]int{}, waiting: make(chan *swap, 1),
		RequestTime: func([]byte) time.Duration { return requestTime },
	}
}

// Run runs one request and returns its reply.
func (r *Runner) Run(ctx context.Context, ask *wire.RunAsk) (*wire.RunReply, error) {
	if !r.acquireSlot(ask) {
		return &wire.RunReply{Id: ask.Id, Busy: true}, nil
	}
	defer r.releaseSlot()
	duration := r.RequestTime(ask.Body)
	if r.Active(Late) {
		duration += LateDelay
	}
	time.Sleep(duration)
	reply := &wire.RunReply{Id: ask.Id, Body: append([]byte("answer to "), ask.Body...)}
	if r.Active(Broken) || r.Breaks != nil && r.Breaks(ask.Body) {
		return nil, twirp.NewError(twirp.Internal, "the answer was lost")
	}
	if r.Active(Crossed) {
		return r.swapReply(ctx, reply), nil
	}
	return reply, nil
}

func (r *Runner) acquireSlot(ask *wire.RunAsk) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peak = max(r.peak, r.active+1)
	if r.active >= r.slots {
		return false
	}
	r.active++
	r.runs[string(ask.Body)]++
	return true
}

func (r *Runner) releaseSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
}

// swapReply exchanges a reply for that of the next request. It returns the reply
// unchanged if no request comes in time.
func (r *Runner) swapReply(ctx context.Context, reply *wire.RunReply) *wire.RunReply {
	me := &swap{reply: reply, peerReply: make(chan *wire.RunReply, 1)}
	select {
	case o := <-r.waiting:
		o.peerReply <- reply
		return o.reply
	default:
	}
	select {
	case r.waiting <- me:
	default:
		return reply
	}
	return r.awaitSwap(ctx, me)
}

func (r *Runner) awaitSwap(ctx context.Context, me *swap) *wire.RunReply {
	select {
	case got := <-me.peerReply:
		return got
	case <-ctx.Done():
	case <-time.After(LateDelay):
	}
	select {
	case <-r.waiting:
		return me.reply
	case got := <-me.peerReply:
		return got
	}
}

// PeakRequests returns the peak number of concurrent requests, including one that
// was refused because no slot was free.
func (r *Runner) PeakRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peak
}

// Runs returns how many times a request with this body ran.
func (r *Runner) Runs(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[body]
}

// Total returns how many requests ran.
func (r *Runner) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, k := range r.runs {
		n += k
	}
	return n
}
