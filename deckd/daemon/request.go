package daemon

import (
	"context"
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/client"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/route"
	"dragonflydeck.example/fleet/wire"
	"github.com/twitchtv/twirp"
)

// request is a request that this daemon is processing.
type request struct {
	route.Request
	ask       *wire.CallAsk
	start     time.Time
	tries     int
	brokenOff int // tries that ended without an answer, each of which may have run the request
}

// maxBrokenOff is after how many tries without an answer a repeatable request is given
// up, as it may be the request that breaks the runners.
const maxBrokenOff = 2

// mayRepeat counts a try without an answer, and reports whether another one may follow. A
// peer leaves that to the daemon that relayed the request.
func (q *request) mayRepeat() bool {
	q.brokenOff++
	return q.ask.Repeat && !q.Relayed && q.brokenOff < maxBrokenOff
}

// serve processes a request until it is answered or finally refused.
func (d *dispatcher) serve(ctx context.Context, ask *wire.CallAsk, deadline time.Time, relayed bool) (*wire.CallReply, error) {
	q := &request{ask: ask, start: time.Now()}
	d.mu.Lock()
	q.Request = route.Request{ID: d.nextID(), Rank: int(ask.Rank), Deadline: deadline, Relayed: relayed}
	v := d.router.Offer(q.Request, q.start)
	verdicts := d.addWaiter(q, v)
	d.mu.Unlock()
	reply, err := d.process(ctx, q, v, verdicts)
	if err != nil {
		r := q.markUnknown(toRefusal("call", err))
		r.Text = fmt.Sprintf("%s (request %s)", r.Text, q.ID)
		d.stats.record(r, time.Since(q.start))
		d.logEvent(refusedCode(r), q.ID, r.Error())
		return nil, r
	}
	d.stats.record(nil, time.Since(q.start))
	d.logEvent(event.RequestAnswered, q.ID, fmt.Sprintf("by %s in %s for %s", reply.Runner, time.Since(q.start).Round(time.Millisecond), ask.Caller))
	return reply, nil
}

// markUnknown returns the refusal with its outcome set to unknown if a try may
// have run the request.
func (q *request) markUnknown(r *refuse.Error) *refuse.Error {
	if q.brokenOff == 0 || r.Ran != refuse.No {
		return r
	}
	return &refuse.Error{Op: r.Op, Kind: r.Kind, Ran: refuse.Unknown, RetryAfter: r.RetryAfter, Text: r.Text + "; an earlier try may have run"}
}

func refusedCode(r *refuse.Error) event.Code {
	if r.Ran == refuse.Unknown {
		return event.RequestUnknown
	}
	return event.RequestRefused
}

// addWaiter returns the channel on which a waiting request receives its verdict,
// or nil if the request does not wait. The caller holds the lock.
func (d *dispatcher) addWaiter(q *request, v route.Verdict) chan route.Verdict {
	if v.Kind != route.Wait {
		return nil
	}
	ch := make(chan route.Verdict, 1)
	d.waiters[q.ID] = ch
	return ch
}

// process carries out verdicts until one is final.
func (d *dispatcher) process(ctx context.Context, q *request, v route.Verdict, verdicts chan route.Verdict) (*wire.CallReply, error) {
	for {
		switch v.Kind {
		case route.Refuse:
			return nil, refuse.NotRun("call", twirp.ResourceExhausted, v.RetryAfter, "%s", v.Why)
		case route.Wait:
			var err error
			if v, err = d.awaitVerdict(ctx, q, verdicts); err != nil {
				return nil, err
			}
			continue
		case route.Relay:
			reply, next, err := d.relay(ctx, q, v)
			if next == nil {
				return reply, err
			}
			v, verdicts = d.decide(q, next)
			continue
		}
		reply, next, err := d.tryRunner(ctx, q, v)
		if next == nil {
			return reply, err
		}
		v, verdicts = d.decide(q, next)
	}
}

// verdictFunc asks the router for a new verdict on a request that came back.
type verdictFunc func(*route.Router, route.Request, time.Time) route.Verdict

func (d *dispatcher) decide(q *request, ask verdictFunc) (route.Verdict, chan route.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := ask(d.router, q.Request, time.Now())
	return v, d.addWaiter(q, v)
}

// awaitVerdict waits for a verdict, at most until the caller's limit.
func (d *dispatcher) awaitVerdict(ctx context.Context, q *request, ch chan route.Verdict) (route.Verdict, error) {
	timer := time.NewTimer(time.Until(q.Deadline))
	defer timer.Stop()
	var reason string
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		reason = "the caller disconnected while the request was waiting"
	case <-timer.C:
		reason = "the request waited until its caller's limit"
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case v := <-ch: // granted in the meantime
		return v, nil
	default:
	}
	delete(d.waiters, q.ID)
	d.router.Drop(q.ID)
	return route.Verdict{}, refuse.NotRun("call", twirp.DeadlineExceeded, RetryAfter, "%s", reason)
}

// relay passes the request to a peer. If the function it returns is not nil, it
// decides on another try; otherwise the answer or the error is final.
func (d *dispatcher) relay(ctx context.Context, q *request, v route.Verdict) (*wire.CallReply, verdictFunc, error) {
	d.mu.Lock()
	addr := d.peers[v.Peer]
	d.mu.Unlock()
	d.logEvent(event.RequestRelayed, q.ID, fmt.Sprintf("to %s: %s", v.Peer, v.Why))
	deadline := q.relayDeadline()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	reply, err := d.clients.Peer(addr).Relay(ctx, &wire.RelayAsk{Call: withLimit(q.ask, deadline), Hops: 1})
	d.updatePeer(v.Peer, reply, err)
	if err == nil {
		return reply, nil, nil
	}
	r := refuse.From("relay", err)
	if client.NotSent(err) || r.Ran == refuse.No {
		return nil, (*route.Router).Reoffer, nil
	}
	if q.mayRepeat() && time.Now().Before(q.Deadline) {
		d.logEvent(event.RequestRetried, q.ID, fmt.Sprintf("%s failed: %v", v.Peer, err))
		return nil, (*route.Router).Retry, nil
	}
	return nil, nil, r
}

// relayDeadline returns until when to wait for a peer. A repeatable request
// keeps half of its remaining time for another try.
func (q *request) relayDeadline() time.Time {
	if !q.ask.Repeat {
		return q.answerDeadline()
	}
	now := time.Now()
	return now.Add(q.Deadline.Sub(now) / 2)
}

// updatePeer tells the router what the result of a relay says about the peer.
func (d *dispatcher) updatePeer(id fleet.HostID, reply *wire.CallReply, err error) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil && !refusedByPeer(err) {
		d.router.PeerFailed(id, now)
		return
	}
	d.router.SetPeerSlots(id, int(reply.GetRoom()))
	d.applyGrants(d.router.Sweep(now))
}

// tryRunner sends the request to a runner. If the function it returns is not
// nil, it decides on another try; otherwise the answer or the error is final.
func (d *dispatcher) tryRunner(ctx context.Context, q *request, v route.Verdict) (*wire.CallReply, verdictFunc, error) {
	q.tries++
	d.logEvent(event.RequestRouted, q.ID, fmt.Sprintf("try %d to %s: %s", q.tries, v.Runner, v.Why))
	outcomes := d.send(ctx, q, v.Runner)
	timer := time.NewTimer(time.Until(q.answerDeadline()))
	defer timer.Stop()
	select {
	case o := <-outcomes:
		return d.afterTry(q, v.Runner, o)
	case <-timer.C:
		return nil, nil, refuse.MayHaveRun("call", RetryAfter, "no answer from %s within the limit", v.Runner)
	case <-ctx.Done():
		return nil, nil, refuse.MayHaveRun("call", RetryAfter, "the caller disconnected")
	}
}

// answerDeadline returns until when to wait for an answer. The answer to a
// request with a ticket is kept for repeats, so it is awaited even after the
// caller's limit.
func (q *request) answerDeadline() time.Time {
	if q.ask.Repeat {
		return q.Deadline
	}
	return q.start.Add(board.RequestTimeout)
}

// afterTry decides what follows from the outcome of a try.
func (d *dispatcher) afterTry(q *request, runner fleet.HostID, o outcome) (*wire.CallReply, verdictFunc, error) {
	q.Exclude = runner
	switch o.result {
	case route.Answered:
		return &wire.CallReply{Id: string(q.ID), Body: o.body, Runner: string(runner)}, nil, nil
	case route.Busy, route.Unsent:
		d.logEvent(event.RequestRetried, q.ID, fmt.Sprintf("%s did not accept it: %v", runner, o.err))
		return nil, (*route.Router).Reoffer, nil
	}
	if q.mayRepeat() {
		d.logEvent(event.RequestRetried, q.ID, fmt.Sprintf("%s failed: %v", runner, o.err))
		return nil, (*route.Router).Retry, nil
	}
	return nil, nil, refuse.MayHaveRun("call", 0, "%s failed before it answered: %v", runner, o.err)
}
