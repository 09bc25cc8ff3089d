package daemon

import (
	"context"
	"sync"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/lines"
	"dragonflydeck.example/fleet/loop"
	"dragonflydeck.example/fleet/wire"
)

// Limits of calls.
const (
	ReadMax    = 512             // records in one read
	ReadSlack  = 4 * time.Second // a log may be slow without being down
	AppendSpan = 5 * time.Second
	ListSpan   = 2 * time.Second
	BeatSpan   = time.Second
	FetchSpan  = 5 * time.Second
	RenewSlack = 2 * time.Second
)

// exec carries the actions of the core out, each in a goroutine that reports
// its end as an event to the control loop.
type exec struct {
	edges  Edges
	events chan board.Event
	lines  *lines.Lines
	group  sync.WaitGroup
}

func newExec(edges Edges, l *lines.Lines) *exec {
	return &exec{edges: edges, events: make(chan board.Event, loop.EventQueue), lines: l}
}

func (x *exec) do(ctx context.Context, actions []board.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case board.Note:
			x.lines.Write(a.Event)
		case board.ReadLog:
			x.run(ctx, a.Wait+ReadSlack, func(ctx context.Context) board.Event { return x.read(ctx, a) })
		case board.AppendLog:
			x.run(ctx, AppendSpan, func(ctx context.Context) board.Event { return x.append(ctx, a) })
		case board.ListHosts:
			x.run(ctx, ListSpan, func(ctx context.Context) board.Event { return x.list(ctx, a) })
		case board.RenewWorker:
			limit := time.Duration(a.Ask.Wait)*time.Millisecond + RenewSlack
			x.run(ctx, limit, func(ctx context.Context) board.Event { return x.renew(ctx, a) })
		case board.OrderWorker:
			x.run(ctx, a.Limit, func(ctx context.Context) board.Event { return x.order(ctx, a) })
		case board.SendBeat:
			x.run(ctx, BeatSpan, func(ctx context.Context) board.Event { return x.beat(ctx, a) })
		case board.FetchState:
			x.run(ctx, FetchSpan, func(ctx context.Context) board.Event { return x.fetch(ctx, a) })
		}
	}
}

// run makes one call in its own goroutine, whose end is the event.
func (x *exec) run(ctx context.Context, limit time.Duration, call func(context.Context) board.Event) {
	x.group.Add(1)
	go func() {
		defer x.group.Done()
		bounded, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		e := call(bounded)
		select {
		case x.events <- e:
		case <-ctx.Done():
		}
	}()
}

func (x *exec) read(ctx context.Context, a board.ReadLog) board.Event {
	asked := time.Now()
	r, err := x.edges.Log().Read(ctx, &wire.ReadAsk{From: int64(a.From), Max: ReadMax, Wait: a.Wait.Milliseconds()})
	return board.LogRead{Asked: asked, From: a.From, Reply: r, Err: err}
}

func (x *exec) append(ctx context.Context, a board.AppendLog) board.Event {
	_, err := x.edges.Log().Append(ctx, &wire.AppendAsk{Entries: a.Entries})
	return board.Appended{Err: err}
}

func (x *exec) list(ctx context.Context, a board.ListHosts) board.Event {
	r, err := x.edges.Roster().List(ctx, &wire.ListAsk{Seen: a.Seen})
	if err == nil && len(r.Hosts) > 0 {
		used := map[string]bool{}
		for _, h := range r.Hosts {
			used[h.Addr] = true
		}
		x.edges.Keep(used)
	}
	return board.Listed{Reply: r, Err: err}
}

func (x *exec) renew(ctx context.Context, a board.RenewWorker) board.Event {
	asked := time.Now()
	r, err := x.edges.Worker(a.Addr).Renew(ctx, a.Ask)
	return board.Renewed{
		Worker: a.Worker, Term: fleet.Term(a.Ask.Term), Asked: asked,
		Held: a.Ask.Lease > 0, Reply: r, Err: err,
	}
}

func (x *exec) order(ctx context.Context, a board.OrderWorker) board.Event {
	r, err := x.send(ctx, a)
	return board.Ordered{Order: a, Reply: r, Err: err}
}

func (x *exec) send(ctx context.Context, a board.OrderWorker) (*wire.OrderReply, error) {
	w := x.edges.Worker(a.Addr)
	term, job, attempt := int64(a.Term), string(a.Job), int32(a.Attempt)
	switch a.Step {
	case board.Reserve:
		return w.Reserve(ctx, &wire.ReserveAsk{
			Term: term, Job: job, Attempt: attempt, Tasks: int32(a.Tasks),
			Each: a.Each.Wire(), Hold: a.Hold.Milliseconds(),
		})
	case board.Start:
		return w.Start(ctx, &wire.StartAsk{
			Term: term, Job: job, Attempt: attempt,
			Spent: a.Spent.Milliseconds(), Span: a.Span.Milliseconds(),
		})
	}
	return w.Stop(ctx, &wire.StopAsk{Term: term, Job: job, Attempt: attempt, Save: a.Step == board.Save})
}

func (x *exec) beat(ctx context.Context, a board.SendBeat) board.Event {
	asked := time.Now()
	r, err := x.edges.Peer(a.Addr).Beat(ctx, a.Ask)
	return board.BeatBack{Peer: a.Peer, Asked: asked, Reply: r, Err: err}
}

func (x *exec) fetch(ctx context.Context, a board.FetchState) board.Event {
	r, err := x.edges.Peer(a.Addr).Fetch(ctx, &wire.FetchAsk{From: int64(a.From)})
	return board.Fetched{Reply: r, Err: err}
}
