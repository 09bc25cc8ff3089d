package daemon

import (
	"context"
	"fmt"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/gossip"
	"dragonflydeck.example/fleet/home"
	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/wire"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

// Bounds of a workspace.
const (
	MaxShapes = 16
	MaxCount  = 1024
	// SpaceTries is how often a guarantee is weighed while others change.
	SpaceTries = 8
)

// SetSpace creates or changes a workspace, if its guarantee fits beside all
// others and nobody changed it since base.
func (d *desk) SetSpace(ctx context.Context, ask *wire.SpaceAsk) (*wire.SpaceReply, error) {
	w := proto.CloneOf(ask.GetSpace())
	if w == nil {
		return nil, twirp.RequiredArgumentError("space")
	}
	if err := checkSpace(w); err != nil {
		return nil, twirpOf("set workspace", err)
	}
	if err := d.setSpace(ctx, w, ask); err != nil {
		return nil, twirpOf("set workspace", err)
	}
	reply := &wire.SpaceReply{}
	err := d.read(ctx, "set workspace", func(c *core.Core) {
		reply.Space = proto.CloneOf(c.Board.State.Spaces[fleet.SpaceID(w.Name)])
	})
	return reply, err
}

// setSpace weighs the guarantee anew as long as other changes come in between.
func (d *desk) setSpace(ctx context.Context, w *wire.Space, ask *wire.SpaceAsk) error {
	var err error
	id := orNew(ask.Id)
	for try := range SpaceTries {
		at := fmt.Sprintf("%s/%d", id, try)
		if d.applied(ctx, at) {
			return nil
		}
		err = d.change(ctx, "set workspace", func(c *core.Core) (*wire.Entry, error) {
			return spaceEntry(c, w, ask.Base, at)
		})
		if err == nil || refusal("", err).Kind != twirp.Canceled {
			return err
		}
	}
	return refuse.NotRun("set workspace", twirp.Unavailable, time.Second, "the configuration changed %d times meanwhile", SpaceTries)
}

func checkSpace(w *wire.Space) error {
	if err := nameOK("workspace", w.Name); err != nil {
		return err
	}
	if len(w.Shapes) > MaxShapes {
		return refuse.NotRun("check workspace", twirp.InvalidArgument, 0, "%d shapes; at most %d are allowed", len(w.Shapes), MaxShapes)
	}
	for _, s := range w.Shapes {
		each := fleet.ResOf(s.Each)
		if s.Count < 1 || s.Count > MaxCount || s.Tasks < 1 || s.Tasks > MaxGang || each.Zero() || each.Negative() {
			return refuse.NotRun("check workspace", twirp.InvalidArgument, 0, "a shape of %d gangs of %d tasks with %s is not possible", s.Count, s.Tasks, each)
		}
	}
	if fleet.ResOf(w.Quota).Negative() {
		return refuse.NotRun("check workspace", twirp.InvalidArgument, 0, "the quota is below zero")
	}
	return nil
}

func spaceEntry(c *core.Core, w *wire.Space, base int64, id string) (*wire.Entry, error) {
	if have := c.Board.State.Spaces[fleet.SpaceID(w.Name)].GetRev(); have != base {
		return nil, refuse.NotRun("set workspace", twirp.Aborted, 0, "%s is at revision %d, not %d", w.Name, have, base)
	}
	homes, err := home.Admit(c.Board, w)
	if err != nil {
		return nil, refuse.NotRun("set workspace", twirp.FailedPrecondition, 0, "%v", err)
	}
	set := &wire.Space{Name: w.Name, Shapes: w.Shapes, Quota: w.Quota, Homes: homes, Rev: base, Seen: int64(c.Board.State.Config)}
	return &wire.Entry{Id: id, Kind: &wire.Entry_Space{Space: set}}, nil
}

// DropSpace removes a workspace without live jobs.
func (d *desk) DropSpace(ctx context.Context, ask *wire.DropAsk) (*wire.DropReply, error) {
	if err := nameOK("workspace", ask.Name); err != nil {
		return nil, twirpOf("remove workspace", err)
	}
	err := d.changeOnce(ctx, "remove workspace", ask.Id, func(*core.Core) (*wire.Entry, error) {
		return &wire.Entry{Id: orNew(ask.Id), Kind: &wire.Entry_Drop{Drop: &wire.Drop{Name: ask.Name, Base: ask.Base}}}, nil
	})
	if err != nil {
		return nil, twirpOf("remove workspace", err)
	}
	reply := &wire.DropReply{}
	err = d.read(ctx, "remove workspace", func(c *core.Core) { reply.Rev = int64(c.Board.State.Next) })
	return reply, err
}

// Spaces lists the workspaces.
func (d *desk) Spaces(ctx context.Context, _ *wire.SpacesAsk) (*wire.SpacesReply, error) {
	reply := &wire.SpacesReply{}
	err := d.read(ctx, "list workspaces", func(c *core.Core) {
		for _, w := range c.Board.State.Spaces {
			reply.Spaces = append(reply.Spaces, proto.CloneOf(w))
		}
	})
	sort.Slice(reply.Spaces, func(a, b int) bool { return reply.Spaces[a].Name < reply.Spaces[b].Name })
	return reply, err
}

// TurnDomain takes a failure domain out or brings it back. While the log does
// not answer, an order to take one out is held by this daemon and passed to
// those it reaches, which obey it at once.
func (d *desk) TurnDomain(ctx context.Context, ask *wire.TurnAsk) (*wire.TurnReply, error) {
	if err := nameOK("failure domain", ask.Name); err != nil {
		return nil, twirpOf("turn failure domain", err)
	}
	e := &wire.Entry{Id: orNew(ask.Id), Kind: &wire.Entry_Turn{Turn: &wire.Turn{
		Name: ask.Name, Out: ask.Out, Drain: ask.Drain, Base: ask.Base, Why: ask.Why,
	}}}
	err := d.changeOnce(ctx, "turn failure domain", ask.Id, func(c *core.Core) (*wire.Entry, error) { return turnEntry(c, e) })
	r := (*refuse.Error)(nil)
	if err != nil {
		r = refusal("turn failure domain", err)
	}
	if r != nil && (!ask.Out || r.Kind != twirp.Unavailable) {
		return nil, r.Twirp()
	}
	if r != nil {
		d.hold(ctx, e)
	}
	reply := &wire.TurnReply{Kept: r == nil, Held: r != nil}
	err = d.read(ctx, "turn failure domain", func(c *core.Core) {
		reply.Domain = domainOf(c, fleet.DomainID(ask.Name))
	})
	return reply, err
}

func turnEntry(c *core.Core, e *wire.Entry) (*wire.Entry, error) {
	t := e.GetTurn()
	if !c.Board.Domains()[fleet.DomainID(t.Name)] {
		return nil, refuse.NotRun("turn failure domain", twirp.NotFound, 0, "no failure domain %s", t.Name)
	}
	if have := c.Board.State.Domains[fleet.DomainID(t.Name)].GetRev(); have != t.Base {
		return nil, refuse.NotRun("turn failure domain", twirp.Aborted, 0, "%s is at revision %d, not %d", t.Name, have, t.Base)
	}
	if c.Board.Log.Blind {
		return nil, refuse.NotRun("turn failure domain", twirp.Unavailable, ChangeSpan, "the log does not answer")
	}
	return e, nil
}

func (d *desk) hold(ctx context.Context, e *wire.Entry) {
	_ = d.loop.do(ctx, "hold failure domain", func(c *core.Core) {
		e.Host, e.At = string(c.Board.Self.Host), time.Now().UnixMilli()
		if met, _ := c.Board.State.Outcome(fleet.EntryID(e.Id)); !met {
			gossip.Hold(c.Board, proto.CloneOf(e))
		}
	})
}

// describe puts the guarantee of a workspace and its homes into words.
func describe(w *wire.Space) string {
	text := fmt.Sprintf("revision %d", w.Rev)
	for _, h := range w.Homes {
		s := w.Shapes[h.Shape]
		text += fmt.Sprintf("; %d gangs of %d tasks in %s", h.Count, s.Tasks, h.Domain)
	}
	return text
}
