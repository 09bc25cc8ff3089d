package daemon

import (
	"context"
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/link"
	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/route"
	"dragonflydeck.example/fleet/wire"
	"github.com/twitchtv/twirp"
)

// request is one request on its way through this daemon.
type request struct {
	route.Request
	ask   *wire.CallAsk
	begun time.Time
	tries int
	doubt bool // a try may have run
}

// serve takes a request through the router's verdicts to its answer or final
// refusal.
func (t *traffic) serve(ctx context.Context, ask *wire.CallAsk, until time.Time, guest bool) (*wire.CallReply, error) {
	q := &request{ask: ask, begun: time.Now()}
	t.mu.Lock()
	q.Request = route.Request{ID: t.nextID(), Rank: int(ask.Rank), Until: until, Guest: guest}
	v := t.router.Offer(q.Request, q.begun)
	wait := t.enlist(q, v)
	t.mu.Unlock()
	reply, err := t.follow(ctx, q, v, wait)
	if err != nil {
		r := q.truth(refusal("call", err))
		r.Text = fmt.Sprintf("%s (request %s)", r.Text, q.ID)
		t.stats.ended(r, time.Since(q.begun))
		t.note(refusedCode(r), q.ID, r.Error())
		return nil, r
	}
	t.stats.ended(nil, time.Since(q.begun))
	t.note(event.RequestAnswered, q.ID, fmt.Sprintf("by %s in %s for %s", reply.Runner, time.Since(q.begun).Round(time.Millisecond), ask.Caller))
	return reply, nil
}

// truth makes a refusal say that a request may have run, if a try may have.
func (q *request) truth(r *refuse.Error) *refuse.Error {
	if !q.doubt || r.Ran != refuse.No {
		return r
	}
	return &refuse.Error{Op: r.Op, Kind: r.Kind, Ran: refuse.Unknown, After: r.After, Text: r.Text + "; an earlier try may have run"}
}

func refusedCode(r *refuse.Error) event.Code {
	if r.Ran == refuse.Unknown {
		return event.RequestUnknown
	}
	return event.RequestRefused
}

// enlist makes the channel on which a waiting request gets its verdict. The
// lock is held.
func (t *traffic) enlist(q *request, v route.Verdict) chan route.Verdict {
	if v.Kind != route.Wait {
		return nil
	}
	ch := make(chan route.Verdict, 1)
	t.waiting[q.ID] = ch
	return ch
}

// follow carries verdicts out until one is final.
func (t *traffic) follow(ctx context.Context, q *request, v route.Verdict, wait chan route.Verdict) (*wire.CallReply, error) {
	for {
		switch v.Kind {
		case route.Refuse:
			return nil, refuse.NotRun("call", twirp.ResourceExhausted, v.After, "%s", v.Why)
		case route.Wait:
			var err error
			if v, err = t.wait(ctx, q, wait); err != nil {
				return nil, err
			}
			continue
		case route.Relay:
			reply, next, err := t.relay(ctx, q, v)
			if next == nil {
				return reply, err
			}
			v, wait = t.again(q, next)
			continue
		}
		reply, next, err := t.try(ctx, q, v)
		if next == nil {
			return reply, err
		}
		v, wait = t.again(q, next)
	}
}

// verdictFunc asks the router what becomes of a request that came back.
type verdictFunc func(*route.Router, route.Request, time.Time) route.Verdict

func (t *traffic) again(q *request, ask verdictFunc) (route.Verdict, chan route.Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := ask(t.router, q.Request, time.Now())
	return v, t.enlist(q, v)
}

// wait waits for a verdict, at most until the caller's limit.
func (t *traffic) wait(ctx context.Context, q *request, ch chan route.Verdict) (route.Verdict, error) {
	limit := time.NewTimer(time.Until(q.Until))
	defer limit.Stop()
	var why string
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		why = "its caller went away while it waited"
	case <-limit.C:
		why = "it waited until its caller's limit"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case v := <-ch: // granted meanwhile
		return v, nil
	default:
	}
	delete(t.waiting, q.ID)
	t.router.Drop(q.ID)
	return route.Verdict{}, refuse.NotRun("call", twirp.DeadlineExceeded, OpenSpan, "%s", why)
}

// relay has a peer run the request. Next asks for another try, if there is to
// be one; else the answer or the refusal is final.
func (t *traffic) relay(ctx context.Context, q *request, v route.Verdict) (*wire.CallReply, verdictFunc, error) {
	t.mu.Lock()
	addr := t.peers[v.Peer]
	t.mu.Unlock()
	t.note(event.RequestRelayed, q.ID, fmt.Sprintf("to %s: %s", v.Peer, v.Why))
	until := q.relayUntil()
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	reply, err := t.edges.Peer(addr).Relay(ctx, &wire.RelayAsk{Call: withLimit(q.ask, until), Hops: 1})
	t.learnPeer(v.Peer, reply, err)
	if err == nil {
		return reply, nil, nil
	}
	r := refuse.From("relay", err)
	if link.NotSent(err) || r.Ran == refuse.No {
		return nil, (*route.Router).Back, nil
	}
	q.doubt = true
	if q.ask.Repeat && time.Now().Before(q.Until) {
		t.note(event.RequestRetried, q.ID, fmt.Sprintf("%s failed: %v", v.Peer, err))
		return nil, (*route.Router).Again, nil
	}
	return nil, nil, r
}

// relayUntil is how long a peer is waited for. A repeatable request is left
// time for another try.
func (q *request) relayUntil() time.Time {
	if !q.ask.Repeat {
		return q.patience()
	}
	now := time.Now()
	return now.Add(q.Until.Sub(now) / 2)
}

// learnPeer keeps what the end of a relay tells of the peer.
func (t *traffic) learnPeer(id fleet.HostID, reply *wire.CallReply, err error) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil && !said(err) {
		t.router.PeerFailed(id, now)
		return
	}
	t.router.PeerRoom(id, int(reply.GetRoom()))
	t.grant(t.router.Sweep(now))
}

// try sends the request to a runner. Next asks for another try, if there is to
// be one; else the answer or the refusal is final.
func (t *traffic) try(ctx context.Context, q *request, v route.Verdict) (*wire.CallReply, verdictFunc, error) {
	q.tries++
	t.note(event.RequestRouted, q.ID, fmt.Sprintf("try %d to %s: %s", q.tries, v.Runner, v.Why))
	got := t.send(ctx, q, v.Runner)
	limit := time.NewTimer(time.Until(q.patience()))
	defer limit.Stop()
	select {
	case r := <-got:
		return t.judge(q, v.Runner, r)
	case <-limit.C:
		return nil, nil, refuse.Doubt("call", OpenSpan, "no answer from %s within the limit", v.Runner)
	case <-ctx.Done():
		return nil, nil, refuse.Doubt("call", OpenSpan, "the caller went away")
	}
}

// patience is until when an answer is waited for. That of a request with a
// ticket is kept for repeats, also when its caller has stopped waiting.
func (q *request) patience() time.Time {
	if q.ask.Repeat {
		return q.Until
	}
	return q.begun.Add(board.RequestSpan)
}

// judge decides what follows from a try.
func (t *traffic) judge(q *request, on fleet.HostID, r outcome) (*wire.CallReply, verdictFunc, error) {
	q.Not = on
	switch r.result {
	case route.Answered:
		return &wire.CallReply{Id: string(q.ID), Body: r.body, Runner: string(on)}, nil, nil
	case route.Busy, route.Unsent:
		t.note(event.RequestRetried, q.ID, fmt.Sprintf("%s did not take it: %v", on, r.err))
		return nil, (*route.Router).Back, nil
	}
	q.doubt = true
	if q.ask.Repeat {
		t.note(event.RequestRetried, q.ID, fmt.Sprintf("%s failed: %v", on, r.err))
		return nil, (*route.Router).Again, nil
	}
	return nil, nil, refuse.Doubt("call", 0, "%s failed with the answer owed: %v", on, r.err)
}
