package site

import (
	"context"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/helm"
	"dragonflydeck.example/fleet/link"
	"dragonflydeck.example/fleet/wire"
)

// Spans of callers' calls.
const (
	leadWait  = 1500 * time.Millisecond // a lead is mostly replaced within this
	leadRetry = 1 * time.Second         // callers come back after this
	againSpan = 60 * time.Millisecond   // between two tries to reach the lead
	askSpan   = 1 * time.Second         // for the lead to answer a question
)

// Enter decides which queue a call is for and whether its key may use it.
func (s *Site) Enter(host, path, key string) (fleet.Caller, fleet.Access) {
	c := s.orders.config.Load()
	if c == nil {
		return fleet.Caller{}, fleet.NoConfig
	}
	q, rest := c.Match(host, path)
	if q == nil {
		s.turned(path, "no queue has this host and path", c.Version)
		return fleet.Caller{}, fleet.NoQueue
	}
	space, known := c.Holder(key)
	if !known && !q.Open {
		s.turned(path, "the key is not known", c.Version)
		return fleet.Caller{}, fleet.UnknownKey
	}
	return fleet.Caller{Queue: q.Name, Space: space, Rest: rest}, fleet.Granted
}

// turned tells of a call that the configuration does not allow.
func (s *Site) turned(path, why string, version int64) {
	s.tell(event.CallRefused, path, "version=%d: %s", version, why)
}

// BodyMost returns the most bytes that a body may have.
func (s *Site) BodyMost() int {
	if c := s.orders.config.Load(); c != nil {
		return c.MaxBody
	}
	return 0
}

// Ready reports whether callers are served well here.
func (s *Site) Ready() bool {
	return s.orders.config.Load() != nil && s.heard.Load() && !s.leaving.Load()
}

// Hand submits a job at the lead.
func (s *Site) Hand(c fleet.Caller, f *wire.Flow, until time.Time) *wire.HandReply {
	begun := time.Now()
	s.fill(c, f)
	r := s.handUntil(f, until)
	s.told("hand", f.Id, r.Verdict, begun, r.Why)
	return r
}

// told logs and counts the answer to a call about a job.
func (s *Site) told(call, id string, v wire.Verdict, begun time.Time, why string) {
	took := time.Since(begun)
	callSeconds(call).UpdateDuration(begun)
	callCount(call, v).Inc()
	s.tell(event.CallAnswered, id, "call=%s verdict=%s lead=%s here=%t took=%s %s", call, v, s.leadAddr(), s.view.Load().here, took, why)
}

// handUntil hands a job in until a lead has answered. It may be handed in again
// at another lead, as its id makes it one job.
func (s *Site) handUntil(f *wire.Flow, until time.Time) *wire.HandReply {
	now := time.Now()
	p := passing{begun: now, until: until}
	for {
		v := s.view.Load()
		switch p.next(*v, now) {
		case passOn:
			if r, sent := s.handOnce(*v, f, until); p.took(*v, r, sent) {
				return r
			}
		case turnDown:
			return &wire.HandReply{Verdict: wire.Verdict_REFUSED, Retry: leadRetry.Milliseconds(), Why: "no lead of the site is heard"}
		case giveUp:
			return &wire.HandReply{Verdict: wire.Verdict_UNKNOWN, Why: "the lead of the site did not answer"}
		}
		time.Sleep(againSpan)
		now = time.Now()
	}
}

// fill writes into a job what its queue asks for now.
func (s *Site) fill(c fleet.Caller, f *wire.Flow) {
	f.Queue, f.Space, f.Domain = c.Queue, string(c.Space), string(s.self.Domain)
	if q := s.orders.config.Load().Queue(c.Queue); q != nil {
		f.Service, f.Attempts, f.Priority = q.Service, int32(q.Attempts), int32(q.Priority)
		f.Slowdown, f.Target = q.Slowdown, q.Target.Milliseconds()
	}
}

// fillBare fills a job that an operator's tool hands in. It reports whether
// there is such a queue.
func (s *Site) fillBare(f *wire.Flow) bool {
	if s.orders.config.Load().Queue(f.Queue) == nil {
		return false
	}
	s.fill(fleet.Caller{Queue: f.Queue, Space: fleet.SpaceID(f.Space)}, f)
	return true
}

// handOnce hands a job in at the lead. Sent tells, without an answer, whether
// the lead may have it.
func (s *Site) handOnce(v view, f *wire.Flow, until time.Time) (r *wire.HandReply, sent bool) {
	if v.here {
		return s.handHere(f, v.term, until), false
	}
	if v.addr == "" {
		return nil, false
	}
	type outcome struct {
		reply *wire.HandReply
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), earlier(until, leadWait))
		defer cancel()
		r, err := s.pool.Site(v.addr).Hand(ctx, &wire.HandAsk{Flow: f, Limit: time.Until(until).Milliseconds(), Term: int64(v.term)})
		done <- outcome{r, err}
	}()
	again := time.NewTicker(againSpan)
	defer again.Stop()
	for {
		select {
		case o := <-done:
			if o.err != nil {
				s.tellCall("hand job "+f.Id+" in", v.addr, o.err)
				return nil, !link.NotSent(o.err)
			}
			return o.reply, false
		case <-again.C:
			if s.view.Load().term > v.term {
				return nil, true // the next lead tells what became of the job
			}
		}
	}
}

// handHere hands a job in at this daemon's own helm.
func (s *Site) handHere(f *wire.Flow, term fleet.Term, until time.Time) *wire.HandReply {
	id, answer := s.hands.add()
	s.loop.Post(helm.HandedIn{Waiter: id, Flow: f, Term: term, Until: until})
	return wait(s.hands, id, answer, until, &wire.HandReply{Verdict: wire.Verdict_UNKNOWN, Why: "the job was not stored in time"})
}

// wait returns a waiter's answer, or another one if there is none in time.
func wait[T any](w *waits[T], id helm.Waiter, answer <-chan T, until time.Time, none T) T {
	timer := time.NewTimer(time.Until(until) + answerSlack)
	defer timer.Stop()
	select {
	case a := <-answer:
		return a
	case <-timer.C:
		w.drop(id)
		return none
	}
}

// answerSlack lets the helm answer a waiter at its limit first.
const answerSlack = 60 * time.Millisecond

// Status asks the lead how far a job has come.
func (s *Site) Status(c fleet.Caller, id fleet.JobID, until time.Time) *wire.FlowReply {
	ask := &wire.FlowAsk{Id: string(id), Queue: c.Queue, Space: string(c.Space)}
	return s.atLead(until, func() *wire.FlowReply { return s.statusHere(ask, until) },
		func(ctx context.Context, lead wire.Site) (*wire.FlowReply, error) { return lead.Status(ctx, ask) })
}

// Drop cancels a job at the lead.
func (s *Site) Drop(c fleet.Caller, id fleet.JobID, until time.Time) *wire.FlowReply {
	ask := &wire.FlowAsk{Id: string(id), Queue: c.Queue, Space: string(c.Space), Limit: time.Until(until).Milliseconds()}
	begun := time.Now()
	r := s.atLead(until, func() *wire.FlowReply { return s.dropHere(ask, until) },
		func(ctx context.Context, lead wire.Site) (*wire.FlowReply, error) { return lead.Drop(ctx, ask) })
	s.told("drop", ask.Id, r.Verdict, begun, "")
	return r
}

// atLead asks the lead until it answers or the time is over.
func (s *Site) atLead(until time.Time, here func() *wire.FlowReply, there func(context.Context, wire.Site) (*wire.FlowReply, error)) *wire.FlowReply {
	by := earlier(until, leadWait)
	for {
		r := leadOnce(s, until, here, there)
		if r != nil && r.Verdict != wire.Verdict_ASTRAY {
			return r
		}
		if time.Now().After(by) || s.view.Load().lone {
			return &wire.FlowReply{Verdict: wire.Verdict_UNKNOWN}
		}
		time.Sleep(againSpan)
	}
}

// leadOnce asks the lead once; nil if there is no answer.
func leadOnce[T any](s *Site, until time.Time, here func() *T, there func(context.Context, wire.Site) (*T, error)) *T {
	v := s.view.Load()
	if v.here {
		return here()
	}
	if v.addr == "" || !v.fresh {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), earlier(until, askSpan))
	defer cancel()
	r, err := there(ctx, s.pool.Site(v.addr))
	if err != nil {
		s.tellCall("ask the lead", v.addr, err)
		return nil
	}
	return r
}

func (s *Site) statusHere(ask *wire.FlowAsk, until time.Time) *wire.FlowReply {
	var r *wire.FlowReply
	if !s.ask(until, func(h *helm.Helm) { r = h.Status(ask) }) {
		return &wire.FlowReply{Verdict: wire.Verdict_UNKNOWN}
	}
	return r
}

func (s *Site) dropHere(ask *wire.FlowAsk, until time.Time) *wire.FlowReply {
	id, answer := s.drops.add()
	s.loop.Post(helm.Dropped{Waiter: id, Ask: ask, Until: until})
	return wait(s.drops, id, answer, until, &wire.FlowReply{Verdict: wire.Verdict_UNKNOWN})
}

// Backlog asks the lead how many jobs of a queue wait.
func (s *Site) Backlog(c fleet.Caller, until time.Time) *wire.BacklogReply {
	ask := &wire.BacklogAsk{Queue: c.Queue}
	r := leadOnce(s, until, func() *wire.BacklogReply { return s.backlogHere(ask, until) },
		func(ctx context.Context, lead wire.Site) (*wire.BacklogReply, error) { return lead.Backlog(ctx, ask) })
	if r == nil {
		return &wire.BacklogReply{Verdict: wire.Verdict_UNKNOWN}
	}
	return r
}

func (s *Site) backlogHere(ask *wire.BacklogAsk, until time.Time) *wire.BacklogReply {
	var r *wire.BacklogReply
	if !s.ask(until, func(h *helm.Helm) { r = h.Backlog(ask) }) {
		return &wire.BacklogReply{Verdict: wire.Verdict_UNKNOWN}
	}
	return r
}

func earlier(until time.Time, span time.Duration) time.Time {
	if by := time.Now().Add(span); by.Before(until) {
		return by
	}
	return until
}
