package daemon

import (
	"context"
	"sync"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/logger"
	"dragonflydeck.example/fleet/loop"
	"dragonflydeck.example/fleet/wire"
)

// Limits of calls. A slack is added to the time for which the call itself asks
// the other side to wait.
const (
	MaxReadRecords = 512             // records in one read
	ReadSlack      = 4 * time.Second // a slow log must not be taken for one that is down
	AppendTimeout  = 5 * time.Second
	ListTimeout    = 2 * time.Second
	BeatTimeout    = time.Second
	FetchTimeout   = 5 * time.Second
	RenewSlack     = 2 * time.Second
)

// executor carries out the actions of the core. Each call runs in a goroutine,
// which reports the result as an event to the control loop.
type executor struct {
	clients Clients
	events  chan board.Event
	logger  *logger.Logger
	group   sync.WaitGroup
}

func newExecutor(clients Clients, l *logger.Logger) *executor {
	return &executor{clients: clients, events: make(chan board.Event, loop.EventQueue), logger: l}
}

func (x *executor) execute(ctx context.Context, actions []board.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case board.LogEvent:
			x.logger.Write(a.Event)
		case board.ReadLog:
			x.run(ctx, a.Wait+ReadSlack, func(ctx context.Context) board.Event { return x.read(ctx, a) })
		case board.AppendLog:
			x.run(ctx, AppendTimeout, func(ctx context.Context) board.Event { return x.append(ctx, a) })
		case board.ListHosts:
			x.run(ctx, ListTimeout, func(ctx context.Context) board.Event { return x.list(ctx, a) })
		case board.RenewWorker:
			limit := time.Duration(a.Ask.Wait)*time.Millisecond + RenewSlack
			x.run(ctx, limit, func(ctx context.Context) board.Event { return x.renew(ctx, a) })
		case board.OrderWorker:
			x.run(ctx, a.Limit, func(ctx context.Context) board.Event { return x.order(ctx, a) })
		case board.SendBeat:
			x.run(ctx, BeatTimeout, func(ctx context.Context) board.Event { return x.beat(ctx, a) })
		case board.FetchState:
			x.run(ctx, FetchTimeout, func(ctx context.Context) board.Event { return x.fetch(ctx, a) })
		}
	}
}

// run makes a call in its own goroutine and queues the event that it returns.
func (x *executor) run(ctx context.Context, limit time.Duration, call func(context.Context) board.Event) {
	x.group.Add(1)
	go func() {
		defer x.group.Done()
		callCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		e := call(callCtx)
		select {
		case x.events <- e:
		case <-ctx.Done():
		}
	}()
}

func (x *executor) read(ctx context.Context, a board.ReadLog) board.Event {
	asked := time.Now()
	r, err := x.clients.Log().Read(ctx, &wire.ReadAsk{From: int64(a.From), Max: MaxReadRecords, Wait: a.Wait.Milliseconds()})
	return board.LogRead{AskedAt: asked, From: a.From, Reply: r, Err: err}
}

func (x *executor) append(ctx context.Context, a board.AppendLog) board.Event {
	_, err := x.clients.Log().Append(ctx, &wire.AppendAsk{Entries: a.Entries})
	return board.Appended{Err: err}
}

func (x *executor) list(ctx context.Context, a board.ListHosts) board.Event {
	r, err := x.clients.Roster().List(ctx, &wire.ListAsk{Seen: a.Seen})
	if err == nil && len(r.Hosts) > 0 {
		used := map[string]bool{}
		for _, h := range r.Hosts {
			used[h.Addr] = true
		}
		x.clients.Retain(used)
	}
	return board.Listed{Reply: r, Err: err}
}

func (x *executor) renew(ctx context.Context, a board.RenewWorker) board.Event {
	asked := time.Now()
	r, err := x.clients.Worker(a.Addr).Renew(ctx, a.Ask)
	return board.Renewed{
		Worker: a.Worker, Term: fleet.Term(a.Ask.Term), AskedAt: asked,
		LeaseGranted: a.Ask.Lease > 0, Reply: r, Err: err,
	}
}

func (x *executor) order(ctx context.Context, a board.OrderWorker) board.Event {
	r, err := x.send(ctx, a)
	return board.OrderEnded{Order: a, Reply: r, Err: err}
}

func (x *executor) send(ctx context.Context, a board.OrderWorker) (*wire.OrderReply, error) {
	w := x.clients.Worker(a.Addr)
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

func (x *executor) beat(ctx context.Context, a board.SendBeat) board.Event {
	asked := time.Now()
	r, err := x.clients.Peer(a.Addr).Beat(ctx, a.Ask)
	return board.BeatReplied{Peer: a.Peer, AskedAt: asked, Reply: r, Err: err}
}

func (x *executor) fetch(ctx context.Context, a board.FetchState) board.Event {
	r, err := x.clients.Peer(a.Addr).Fetch(ctx, &wire.FetchAsk{From: int64(a.From)})
	return board.Fetched{Reply: r, Err: err}
}
