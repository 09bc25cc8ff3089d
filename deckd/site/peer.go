package site

import (
	"context"
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	"github.com/twitchtv/twirp"
)

// siteServer answers the RPCs that other daemons of the site make.
type siteServer struct{ site *Site }

var _ wire.Site = siteServer{}

var errLoopBusy = twirp.NewError(twirp.Unavailable, "the control loop is busy")

// deadlineIn returns the time that is ms milliseconds from now.
func deadlineIn(ms int64) time.Time { return time.Now().Add(time.Duration(ms) * time.Millisecond) }

func (s siteServer) Hand(_ context.Context, ask *wire.HandAsk) (*wire.HandReply, error) {
	if ask.Flow == nil || len(ask.Flow.Steps) == 0 {
		return nil, twirp.RequiredArgumentError("flow")
	}
	if !s.site.view.Load().leading {
		return &wire.HandReply{Verdict: wire.Verdict_ASTRAY}, nil
	}
	if ask.Flow.Service == "" && !s.site.applyQueueByName(ask.Flow) {
		return &wire.HandReply{Verdict: wire.Verdict_REFUSED, Why: fmt.Sprintf("queue %q does not exist", ask.Flow.Queue)}, nil
	}
	return s.site.submitLocally(ask.Flow, fleet.Term(ask.Term), deadlineIn(ask.Limit)), nil
}

func (s siteServer) Status(_ context.Context, ask *wire.FlowAsk) (*wire.FlowReply, error) {
	return s.site.statusLocally(ask, deadlineIn(queryTimeout.Milliseconds())), nil
}

func (s siteServer) Drop(_ context.Context, ask *wire.FlowAsk) (*wire.FlowReply, error) {
	return s.site.cancelLocally(ask, deadlineIn(ask.Limit)), nil
}

func (s siteServer) Backlog(_ context.Context, ask *wire.BacklogAsk) (*wire.BacklogReply, error) {
	return s.site.backlogLocally(ask, deadlineIn(queryTimeout.Milliseconds())), nil
}

// onLoop returns what a function returns that runs on the control loop.
func onLoop[T any](s *Site, limit time.Duration, f func(*sched.Scheduler) *T) (*T, error) {
	var r *T
	if !s.runOnLoop(deadlineIn(limit.Milliseconds()), func(sc *sched.Scheduler) { r = f(sc) }) {
		return nil, errLoopBusy
	}
	return r, nil
}

func (s siteServer) Spaces(_ context.Context, ask *wire.SpaceUseAsk) (*wire.SpaceUseReply, error) {
	return onLoop(s.site, queryTimeout, func(sc *sched.Scheduler) *wire.SpaceUseReply { return sc.SpaceUse(fleet.SpaceID(ask.Name)) })
}

func (s siteServer) Workers(_ context.Context, ask *wire.WorkerSpeedAsk) (*wire.WorkerSpeedReply, error) {
	return onLoop(s.site, queryTimeout, func(sc *sched.Scheduler) *wire.WorkerSpeedReply { return sc.WorkerSpeeds(fleet.DomainID(ask.Domain)) })
}

func (s siteServer) Sight(context.Context, *wire.SightAsk) (*wire.SightReply, error) {
	return onLoop(s.site, peerTimeout, func(sc *sched.Scheduler) *wire.SightReply {
		r := sc.Sight(time.Now())
		r.Left = s.site.leaving.Load()
		return r
	})
}

func (s siteServer) Depart(_ context.Context, ask *wire.DepartAsk) (*wire.DepartReply, error) {
	m := ask.Member
	if m.GetHost() == "" || m.GetAddr() == "" || !m.GetLeft() {
		return nil, twirp.InvalidArgumentError("member", "must name a host and an address, and say that it has left")
	}
	if fleet.HostID(m.Host) != s.site.self.Host {
		s.site.members.update(m)
		s.site.postMembers()
	}
	return &wire.DepartReply{}, nil
}

func (s siteServer) Orders(_ context.Context, ask *wire.OrdersAsk) (*wire.OrdersReply, error) {
	return s.site.operator.reply(fleet.Offset(ask.Since)), nil
}
