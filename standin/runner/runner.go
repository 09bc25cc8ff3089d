// Package runner stands in for a runner: it answers requests in its slots, and
// late, crossed or not at all when told so.
package runner

import (
	"context"
	"sync"
	"time"

	"dragonflydeck.example/fleet/wire"
	"dragonflydeck.example/standin/fault"
	"github.com/twitchtv/twirp"
)

// The failures that a runner can show.
const (
	Late    fault.Name = "late"    // answers take LateSpan longer
	Crossed fault.Name = "crossed" // two requests get each other's answer
	Broken  fault.Name = "broken"  // requests run, their answers are lost
)

// LateSpan is how much longer a late answer takes.
const LateSpan = 3 * time.Second

// Runner is the stand-in.
type Runner struct {
	fault.Switch
	slots int

	// Took gives how long a request takes.
	Took func(body []byte) time.Duration

	mu    sync.Mutex
	busy  int
	most  int
	runs  map[string]int
	other chan *swap // a request that waits to be crossed
}

type swap struct {
	mine  *wire.RunReply
	other chan *wire.RunReply
}

// New returns an idle runner whose requests take so long.
func New(slots int, took time.Duration) *Runner {
	return &Runner{
		slots: slots, runs: map[string]int{}, other: make(chan *swap, 1),
		Took: func([]byte) time.Duration { return took },
	}
}

// Run answers one request.
func (r *Runner) Run(ctx context.Context, ask *wire.RunAsk) (*wire.RunReply, error) {
	if !r.enter(ask) {
		return &wire.RunReply{Id: ask.Id, Busy: true}, nil
	}
	defer r.leave()
	span := r.Took(ask.Body)
	if r.Is(Late) {
		span += LateSpan
	}
	time.Sleep(span)
	reply := &wire.RunReply{Id: ask.Id, Body: append([]byte("answer to "), ask.Body...)}
	if r.Is(Broken) {
		return nil, twirp.NewError(twirp.Internal, "the answer was lost")
	}
	if r.Is(Crossed) {
		return r.cross(ctx, reply), nil
	}
	return reply, nil
}

func (r *Runner) enter(ask *wire.RunAsk) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.most = max(r.most, r.busy+1)
	if r.busy >= r.slots {
		return false
	}
	r.busy++
	r.runs[string(ask.Body)]++
	return true
}

func (r *Runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
}

// cross swaps an answer with the next request's, or keeps it if none comes.
func (r *Runner) cross(ctx context.Context, reply *wire.RunReply) *wire.RunReply {
	me := &swap{mine: reply, other: make(chan *wire.RunReply, 1)}
	select {
	case o := <-r.other:
		o.other <- reply
		return o.mine
	default:
	}
	select {
	case r.other <- me:
	default:
		return reply
	}
	return r.await(ctx, me)
}

func (r *Runner) await(ctx context.Context, me *swap) *wire.RunReply {
	select {
	case got := <-me.other:
		return got
	case <-ctx.Done():
	case <-time.After(LateSpan):
	}
	select {
	case <-r.other:
		return me.mine
	case got := <-me.other:
		return got
	}
}

// Most returns the largest number of requests that were on the runner at once,
// those refused for want of a slot included.
func (r *Runner) Most() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.most
}

// Runs returns how often a request with this body ran.
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
