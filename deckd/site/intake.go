package site

import (
	"context"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/client"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
)

// Timeouts of callers' calls.
const (
	leadTimeout    = 1500 * time.Millisecond // most replacements of a lead take less
	leadRetryAfter = 1 * time.Second         // sent to refused callers as Retry-After
	tryInterval    = 60 * time.Millisecond   // between two attempts to reach the lead
	queryTimeout   = 1 * time.Second         // for the lead to answer a query
)

// Authorize finds the queue that a call is for and checks whether its key may use it.
func (s *Site) Authorize(host, path, key string) (fleet.Caller, fleet.Access) {
	c := s.operator.config.Load()
	if c == nil {
		return fleet.Caller{}, fleet.NoConfig
	}
	q, rest := c.Match(host, path)
	if q == nil {
		s.logRefused(path, "no queue has this host and path", c.Version)
		return fleet.Caller{}, fleet.NoQueue
	}
	space, known := c.SpaceOf(key)
	if !known && !q.Open {
		s.logRefused(path, "the key is not known", c.Version)
		return fleet.Caller{}, fleet.UnknownKey
	}
	return fleet.Caller{Queue: q.Name, Space: space, Mark: c.Mark(key), Path: rest}, fleet.Granted
}

// logRefused logs a call that the configuration does not allow.
func (s *Site) logRefused(path, why string, version int64) {
	s.log(event.CallRefused, path, "version=%d: %s", version, why)
}

// MaxBody returns the maximum size of a request body in bytes, 0 if unknown.
func (s *Site) MaxBody() int {
	if c := s.operator.config.Load(); c != nil {
		return c.MaxBody
	}
	return 0
}

// Ready reports whether callers should be sent to this daemon.
func (s *Site) Ready() bool {
	return s.operator.config.Load() != nil && s.leadHeard.Load() && !s.leaving.Load()
}

// Submit submits a job to the lead.
func (s *Site) Submit(c fleet.Caller, f *wire.Flow, until time.Time) *wire.HandReply {
	started := time.Now()
	s.applyQueue(c, f)
	r := s.submitWithRetries(f, until)
	s.recordAnswer("hand", f.Id, r.Verdict, started, r.Why)
	return r
}

// recordAnswer logs the answer to a call about a job and records it in the metrics.
func (s *Site) recordAnswer(call, id string, v wire.Verdict, started time.Time, why string) {
	took := time.Since(started)
	callSeconds(call).UpdateDuration(started)
	callCount(call, v).Inc()
	s.log(event.CallAnswered, id, "call=%s verdict=%s lead=%s here=%t took=%s %s", call, v, s.leadAddr(), s.view.Load().leading, took, why)
}

// submitWithRetries submits a job until a lead gives a final answer. Submitting it
// again to another lead is safe, because jobs are deduplicated by id.
func (s *Site) submitWithRetries(f *wire.Flow, until time.Time) *wire.HandReply {
	now := time.Now()
	fw := forwarding{started: now, until: until}
	for {
		v := s.view.Load()
		switch fw.decide(*v, now) {
		case sendToLead:
			if r, sent := s.submitToLead(*v, f, until); fw.record(*v, r, sent) {
				return r
			}
		case refuse:
			return &wire.HandReply{Verdict: wire.Verdict_REFUSED, Retry: leadRetryAfter.Milliseconds(), Why: "the site has no reachable lead"}
		case answerUnknown:
			return &wire.HandReply{Verdict: wire.Verdict_UNKNOWN, Why: "the lead of the site did not answer"}
		}
		time.Sleep(tryInterval)
		now = time.Now()
	}
}

// applyQueue sets the fields of a job that come from the current configuration of
// its queue and workspace.
func (s *Site) applyQueue(c fleet.Caller, f *wire.Flow) {
	f.Queue, f.Space, f.Mark, f.Domain = c.Queue, string(c.Space), uint64(c.Mark), string(s.self.Domain)
	config := s.operator.config.Load()
	if limit, ok := config.Limit(c.Space); ok && config.Limited() {
		f.Cap, f.Weight = limit.Cap.Wire(), limit.Weight
	}
	if q := config.Queue(c.Queue); q != nil {
		f.Service, f.Attempts, f.Priority = q.Service, int32(q.Attempts), int32(q.Priority)
		f.Slowdown, f.Target = q.Slowdown, q.Target.Milliseconds()
		f.Address, f.Open = q.Address(), q.Open
	}
}

// applyQueueByName does the same for a job that names its queue itself, as those
// submitted by the operator's command line do. It returns false if there is no
// such queue.
func (s *Site) applyQueueByName(f *wire.Flow) bool {
	if s.operator.config.Load().Queue(f.Queue) == nil {
		return false
	}
	s.applyQueue(fleet.Caller{Queue: f.Queue, Space: fleet.SpaceID(f.Space), Mark: fleet.KeyMark(f.Mark)}, f)
	return true
}

// submitToLead submits a job to the lead once. If there is no reply, sent reports
// whether the lead may have received the job.
func (s *Site) submitToLead(v leadView, f *wire.Flow, until time.Time) (r *wire.HandReply, sent bool) {
	if v.leading {
		return s.submitLocally(f, v.term, until), false
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
		ctx, cancel := context.WithDeadline(context.Background(), earliest(until, leadTimeout))
		defer cancel()
		r, err := s.pool.Site(v.addr).Hand(ctx, &wire.HandAsk{Flow: f, Limit: time.Until(until).Milliseconds(), Term: int64(v.term)})
		done <- outcome{r, err}
	}()
	ticker := time.NewTicker(tryInterval)
	defer ticker.Stop()
	for {
		select {
		case o := <-done:
			if o.err != nil {
				s.logCallFailure("submit job "+f.Id+" to the lead", v.addr, o.err)
				return nil, !client.NotSent(o.err)
			}
			return o.reply, false
		case <-ticker.C:
			if s.view.Load().term > v.term {
				return nil, true // the next lead can tell whether the job was accepted
			}
		}
	}
}

// submitLocally submits a job to this daemon's own control loop.
func (s *Site) submitLocally(f *wire.Flow, term fleet.Term, until time.Time) *wire.HandReply {
	id, answer := s.submitWaiters.add()
	s.loop.Post(sched.JobSubmitted{Waiter: id, Flow: f, Term: term, Deadline: until})
	return awaitAnswer(s.submitWaiters, id, answer, until, &wire.HandReply{Verdict: wire.Verdict_UNKNOWN, Why: "the job was not stored in time"})
}

// awaitAnswer returns a waiter's answer, or none if there is no answer in time.
func awaitAnswer[T any](w *waiters[T], id sched.Waiter, answer <-chan T, until time.Time, none T) T {
	timer := time.NewTimer(time.Until(until) + answerSlack)
	defer timer.Stop()
	select {
	case a := <-answer:
		return a
	case <-timer.C:
		w.remove(id)
		return none
	}
}

// answerSlack is extra waiting time, so that the control loop's own answer at the
// deadline arrives first.
const answerSlack = 60 * time.Millisecond

// Status asks the lead for the state of a job.
func (s *Site) Status(c fleet.Caller, id fleet.JobID, until time.Time) *wire.FlowReply {
	ask := &wire.FlowAsk{Id: string(id), Queue: c.Queue, Space: string(c.Space), Mark: uint64(c.Mark)}
	return s.askLeadWithRetries(until, func() *wire.FlowReply { return s.statusLocally(ask, until) },
		func(ctx context.Context, lead wire.Site) (*wire.FlowReply, error) { return lead.Status(ctx, ask) })
}

// Cancel asks the lead to cancel a job.
func (s *Site) Cancel(c fleet.Caller, id fleet.JobID, until time.Time) *wire.FlowReply {
	ask := &wire.FlowAsk{Id: string(id), Queue: c.Queue, Space: string(c.Space), Mark: uint64(c.Mark), Limit: time.Until(until).Milliseconds()}
	started := time.Now()
	r := s.askLeadWithRetries(until, func() *wire.FlowReply { return s.cancelLocally(ask, until) },
		func(ctx context.Context, lead wire.Site) (*wire.FlowReply, error) { return lead.Drop(ctx, ask) })
	s.recordAnswer("drop", ask.Id, r.Verdict, started, "")
	return r
}

// askLeadWithRetries queries the lead until it answers, the time is up or this
// daemon is isolated.
func (s *Site) askLeadWithRetries(until time.Time, local func() *wire.FlowReply, remote func(context.Context, wire.Site) (*wire.FlowReply, error)) *wire.FlowReply {
	by := earliest(until, leadTimeout)
	for {
		r := askLead(s, until, local, remote)
		if r != nil && r.Verdict != wire.Verdict_ASTRAY {
			return r
		}
		if time.Now().After(by) || s.view.Load().isolated {
			return &wire.FlowReply{Verdict: wire.Verdict_UNKNOWN}
		}
		time.Sleep(tryInterval)
	}
}

// askLead queries the lead once: with local if this daemon is the lead, and with
// remote otherwise. It returns nil if there is no answer.
func askLead[T any](s *Site, until time.Time, local func() *T, remote func(context.Context, wire.Site) (*T, error)) *T {
	v := s.view.Load()
	if v.leading {
		return local()
	}
	if v.addr == "" || !v.responsive {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), earliest(until, queryTimeout))
	defer cancel()
	r, err := remote(ctx, s.pool.Site(v.addr))
	if err != nil {
		s.logCallFailure("ask the lead", v.addr, err)
		return nil
	}
	return r
}

func (s *Site) statusLocally(ask *wire.FlowAsk, until time.Time) *wire.FlowReply {
	id, answer := s.statusWaiters.add()
	s.loop.Post(sched.StatusAsked{Waiter: id, Ask: ask})
	return awaitAnswer(s.statusWaiters, id, answer, until, &wire.FlowReply{Verdict: wire.Verdict_UNKNOWN})
}

func (s *Site) cancelLocally(ask *wire.FlowAsk, until time.Time) *wire.FlowReply {
	id, answer := s.cancelWaiters.add()
	s.loop.Post(sched.CancelRequested{Waiter: id, Ask: ask, Deadline: until})
	return awaitAnswer(s.cancelWaiters, id, answer, until, &wire.FlowReply{Verdict: wire.Verdict_UNKNOWN})
}

// Backlog asks the lead how many jobs wait in a queue.
func (s *Site) Backlog(c fleet.Caller, until time.Time) *wire.BacklogReply {
	ask := &wire.BacklogAsk{Queue: c.Queue}
	r := askLead(s, until, func() *wire.BacklogReply { return s.backlogLocally(ask, until) },
		func(ctx context.Context, lead wire.Site) (*wire.BacklogReply, error) { return lead.Backlog(ctx, ask) })
	if r == nil {
		return &wire.BacklogReply{Verdict: wire.Verdict_UNKNOWN}
	}
	return r
}

func (s *Site) backlogLocally(ask *wire.BacklogAsk, until time.Time) *wire.BacklogReply {
	var r *wire.BacklogReply
	if !s.runOnLoop(until, func(sc *sched.Scheduler) { r = sc.Backlog(ask) }) {
		return &wire.BacklogReply{Verdict: wire.Verdict_UNKNOWN}
	}
	return r
}

// earliest returns the earlier of until and the time that is timeout from now.
func earliest(until time.Time, timeout time.Duration) time.Time {
	if by := time.Now().Add(timeout); by.Before(until) {
		return by
	}
	return until
}
