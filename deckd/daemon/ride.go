package daemon

import (
	"context"
	"fmt"
	"strings"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/link"
	"dragonflydeck.example/fleet/route"
	"dragonflydeck.example/fleet/wire"
)

// outcome is how one try ended.
type outcome struct {
	result route.Result
	body   []byte
	err    error
}

// send puts the request on a runner. The slot stays taken until the runner has
// answered or its connection ended, also when the caller has gone.
func (t *traffic) send(ctx context.Context, q *request, id fleet.HostID) <-chan outcome {
	t.mu.Lock()
	addr := t.runners[id]
	o := &owed{answer: make(chan *wire.RunReply, 1), until: time.Now().Add(board.RequestSpan)}
	t.owed[q.ID] = o
	t.mu.Unlock()
	got := make(chan outcome, 1)
	t.group.Add(1)
	go func() {
		defer t.group.Done()
		got <- t.ride(context.WithoutCancel(ctx), q, id, addr, o)
	}()
	return got
}

// ride makes the call and finds the request's own answer, which may come on
// another connection.
func (t *traffic) ride(ctx context.Context, q *request, id fleet.HostID, addr string, o *owed) outcome {
	ctx, cancel := context.WithDeadline(ctx, o.until)
	defer cancel()
	begun := time.Now()
	reply, err := t.edges.Runner(addr).Run(ctx, &wire.RunAsk{Id: string(q.ID), Body: q.ask.Body, Until: q.Until.UnixMilli()})
	res := resultOf(reply, err)
	t.finish(id, res, time.Since(begun))
	if res != route.Answered {
		return t.failed(q, o, res, err)
	}
	t.sort(ctx, q, reply)
	select {
	case own := <-o.answer:
		if time.Now().After(q.Until) {
			t.note(event.AnswerLate, q.ID, fmt.Sprintf("%s answered after the limit", id))
		}
		return outcome{result: route.Answered, body: own.Body}
	case <-ctx.Done():
		return outcome{result: route.Broken, err: ctx.Err()}
	}
}

func resultOf(reply *wire.RunReply, err error) route.Result {
	switch {
	case link.NotSent(err):
		return route.Unsent
	case err != nil:
		return route.Broken
	case reply.Busy:
		return route.Busy
	}
	return route.Answered
}

// failed ends a try whose connection gave no answer. Its own answer may have
// come by another one.
func (t *traffic) failed(q *request, o *owed, res route.Result, err error) outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case own := <-o.answer:
		return outcome{result: route.Answered, body: own.Body}
	default:
	}
	delete(t.owed, q.ID)
	return outcome{result: res, err: err}
}

// sort gives an answer to the request it belongs to, here or at another daemon.
func (t *traffic) sort(ctx context.Context, q *request, reply *wire.RunReply) {
	id := route.RequestID(reply.Id)
	if id != q.ID {
		t.note(event.AnswerCrossed, q.ID, fmt.Sprintf("the answer to %s came instead", id))
	}
	host, _, _ := strings.Cut(reply.Id, "/")
	if fleet.HostID(host) == t.self.Host {
		t.deliver(reply)
		return
	}
	t.mu.Lock()
	addr := t.peers[fleet.HostID(host)]
	t.mu.Unlock()
	if addr == "" {
		return
	}
	if _, err := t.edges.Peer(addr).Deliver(ctx, &wire.DeliverAsk{Reply: reply}); err != nil {
		t.note(event.AnswerCrossed, id, fmt.Sprintf("it could not be passed to %s: %v", host, err))
	}
}

// deliver gives an answer to the request of this daemon that it belongs to.
func (t *traffic) deliver(reply *wire.RunReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := route.RequestID(reply.GetId())
	if o, ok := t.owed[id]; ok {
		o.answer <- reply
		delete(t.owed, id)
	}
}

func (t *traffic) finish(id fleet.HostID, res route.Result, took time.Duration) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	suspended, restored := t.router.Finish(id, res, took, now)
	if suspended {
		t.note(event.RunnerSuspended, route.RequestID(id), "it failed in a row, or is far slower than the rest")
	}
	if restored {
		t.note(event.RunnerRestored, route.RequestID(id), "it answers well again")
	}
	t.grant(t.router.Sweep(now))
}
