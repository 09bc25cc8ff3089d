package daemon

import (
	"context"
	"fmt"
	"strings"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/client"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/route"
	"dragonflydeck.example/fleet/wire"
)

// outcome is the result of one try.
type outcome struct {
	result route.Result
	body   []byte
	err    error
}

// send sends the request to a runner. The slot stays in use until the runner
// answers or the connection ends, even if the caller has disconnected.
func (d *dispatcher) send(ctx context.Context, q *request, id fleet.HostID) <-chan outcome {
	d.mu.Lock()
	addr := d.runners[id]
	p := &pendingAnswer{answer: make(chan *wire.RunReply, 1), deadline: time.Now().Add(board.RequestTimeout)}
	d.pending[q.ID] = p
	d.mu.Unlock()
	outcomes := make(chan outcome, 1)
	d.group.Add(1)
	go func() {
		defer d.group.Done()
		outcomes <- d.callRunner(context.WithoutCancel(ctx), q, id, addr, p)
	}()
	return outcomes
}

// callRunner makes the call and waits for the answer to this request, which may
// arrive on another connection.
func (d *dispatcher) callRunner(ctx context.Context, q *request, id fleet.HostID, addr string, p *pendingAnswer) outcome {
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	start := time.Now()
	reply, err := d.clients.Runner(addr).Run(ctx, &wire.RunAsk{Id: string(q.ID), Body: q.ask.Body, Until: q.Deadline.UnixMilli()})
	res := resultOf(reply, err)
	d.recordResult(id, res, time.Since(start))
	if res != route.Answered {
		return d.failedTry(q, p, res, err)
	}
	d.routeAnswer(ctx, q, reply)
	select {
	case answer := <-p.answer:
		if time.Now().After(q.Deadline) {
			d.logEvent(event.AnswerLate, q.ID, fmt.Sprintf("%s answered after the limit", id))
		}
		return outcome{result: route.Answered, body: answer.Body}
	case <-ctx.Done():
		return outcome{result: route.Broken, err: ctx.Err()}
	}
}

func resultOf(reply *wire.RunReply, err error) route.Result {
	switch {
	case client.NotSent(err):
		return route.Unsent
	case err != nil:
		return route.Broken
	case reply.Busy:
		return route.Busy
	}
	return route.Answered
}

// failedTry returns the outcome of a try whose connection gave no answer. The
// answer may have arrived on another connection.
func (d *dispatcher) failedTry(q *request, p *pendingAnswer, res route.Result, err error) outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case answer := <-p.answer:
		return outcome{result: route.Answered, body: answer.Body}
	default:
	}
	delete(d.pending, q.ID)
	return outcome{result: res, err: err}
}

// routeAnswer passes an answer to the request it belongs to, at this daemon or
// another one.
func (d *dispatcher) routeAnswer(ctx context.Context, q *request, reply *wire.RunReply) {
	id := route.RequestID(reply.Id)
	if id != q.ID {
		d.logEvent(event.AnswerCrossed, q.ID, fmt.Sprintf("the runner sent the answer to %s instead", id))
	}
	host, _, _ := strings.Cut(reply.Id, "/")
	if fleet.HostID(host) == d.self.Host {
		d.deliver(reply)
		return
	}
	d.mu.Lock()
	addr := d.peers[fleet.HostID(host)]
	d.mu.Unlock()
	if addr == "" {
		return
	}
	if _, err := d.clients.Peer(addr).Deliver(ctx, &wire.DeliverAsk{Reply: reply}); err != nil {
		d.logEvent(event.AnswerCrossed, id, fmt.Sprintf("its answer could not be passed to %s: %v", host, err))
	}
}

// deliver passes an answer to the request of this daemon it belongs to.
func (d *dispatcher) deliver(reply *wire.RunReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := route.RequestID(reply.GetId())
	if p, ok := d.pending[id]; ok {
		p.answer <- reply
		delete(d.pending, id)
	}
}

func (d *dispatcher) recordResult(id fleet.HostID, res route.Result, took time.Duration) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	suspended, restored := d.router.Finish(id, res, took, now)
	if suspended {
		d.logEvent(event.RunnerSuspended, route.RequestID(id), "it failed several times in a row or is much slower than the other runners")
	}
	if restored {
		d.logEvent(event.RunnerRestored, route.RequestID(id), "it answers normally again")
	}
	d.applyGrants(d.router.Sweep(now))
}
