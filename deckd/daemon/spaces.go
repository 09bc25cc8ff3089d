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

// Limits of a workspace.
const (
	MaxShapes     = 16
	MaxShapeCount = 1024
	// SetSpaceTries is how many times SetSpace tries, as concurrent changes can
	// invalidate its check of the guarantee.
	SetSpaceTries = 8
)

// SetSpace creates or changes a workspace, if its guarantee fits together with
// all others and the workspace is still at revision base.
func (d *desk) SetSpace(ctx context.Context, ask *wire.SpaceAsk) (*wire.SpaceReply, error) {
	space := proto.CloneOf(ask.GetSpace())
	if space == nil {
		return nil, twirp.RequiredArgumentError("space")
	}
	if err := checkSpace(space); err != nil {
		return nil, toTwirp("set workspace", err)
	}
	if err := d.setSpace(ctx, space, ask); err != nil {
		return nil, toTwirp("set workspace", err)
	}
	reply := &wire.SpaceReply{}
	err := d.read(ctx, "set workspace", func(c *core.Core) {
		reply.Space = proto.CloneOf(c.Board.State.Spaces[fleet.SpaceID(space.Name)])
	})
	return reply, err
}

// setSpace checks the guarantee again as long as concurrent changes invalidate
// the result.
func (d *desk) setSpace(ctx context.Context, space *wire.Space, ask *wire.SpaceAsk) error {
	var err error
	id := idOrNew(ask.Id)
	for try := range SetSpaceTries {
		entryID := fmt.Sprintf("%s/%d", id, try)
		if d.applied(ctx, entryID) {
			return nil
		}
		err = d.commit(ctx, "set workspace", func(c *core.Core) (*wire.Entry, error) {
			return spaceEntry(c, space, ask.Base, entryID)
		})
		if err == nil || toRefusal("", err).Kind != twirp.Canceled {
			return err
		}
	}
	return refuse.NotRun("set workspace", twirp.Unavailable, time.Second, "the configuration changed %d times in the meantime", SetSpaceTries)
}

func checkSpace(space *wire.Space) error {
	if err := checkName("workspace", space.Name); err != nil {
		return err
	}
	if len(space.Shapes) > MaxShapes {
		return refuse.NotRun("check workspace", twirp.InvalidArgument, 0, "%d shapes; at most %d are allowed", len(space.Shapes), MaxShapes)
	}
	for _, s := range space.Shapes {
		each := fleet.ResOf(s.Each)
		if s.Count < 1 || s.Count > MaxShapeCount || s.Tasks < 1 || s.Tasks > MaxGangTasks || each.Zero() || each.Negative() {
			return refuse.NotRun("check workspace", twirp.InvalidArgument, 0, "a shape of %d gangs of %d tasks with %s is not allowed", s.Count, s.Tasks, each)
		}
	}
	if fleet.ResOf(space.Quota).Negative() {
		return refuse.NotRun("check workspace", twirp.InvalidArgument, 0, "the quota must not be negative")
	}
	return nil
}

func spaceEntry(c *core.Core, space *wire.Space, base int64, id string) (*wire.Entry, error) {
	if have := c.Board.State.Spaces[fleet.SpaceID(space.Name)].GetRev(); have != base {
		return nil, refuse.NotRun("set workspace", twirp.Aborted, 0, "%s is at revision %d, not %d", space.Name, have, base)
	}
	homes, err := home.Admit(c.Board, space)
	if err != nil {
		return nil, refuse.NotRun("set workspace", twirp.FailedPrecondition, 0, "%v", err)
	}
	record := &wire.Space{Name: space.Name, Shapes: space.Shapes, Quota: space.Quota, Homes: homes, Rev: base, Seen: int64(c.Board.State.Config)}
	return &wire.Entry{Id: id, Kind: &wire.Entry_Space{Space: record}}, nil
}

// DropSpace removes a workspace that has no unfinished jobs.
func (d *desk) DropSpace(ctx context.Context, ask *wire.DropAsk) (*wire.DropReply, error) {
	if err := checkName("workspace", ask.Name); err != nil {
		return nil, toTwirp("remove workspace", err)
	}
	err := d.commitOnce(ctx, "remove workspace", ask.Id, func(*core.Core) (*wire.Entry, error) {
		return &wire.Entry{Id: idOrNew(ask.Id), Kind: &wire.Entry_Drop{Drop: &wire.Drop{Name: ask.Name, Base: ask.Base}}}, nil
	})
	if err != nil {
		return nil, toTwirp("remove workspace", err)
	}
	reply := &wire.DropReply{}
	err = d.read(ctx, "remove workspace", func(c *core.Core) { reply.Rev = int64(c.Board.State.Next) })
	return reply, err
}

// Spaces lists the workspaces.
func (d *desk) Spaces(ctx context.Context, _ *wire.SpacesAsk) (*wire.SpacesReply, error) {
	reply := &wire.SpacesReply{}
	err := d.read(ctx, "list workspaces", func(c *core.Core) {
		for _, space := range c.Board.State.Spaces {
			reply.Spaces = append(reply.Spaces, proto.CloneOf(space))
		}
	})
	sort.Slice(reply.Spaces, func(a, b int) bool { return reply.Spaces[a].Name < reply.Spaces[b].Name })
	return reply, err
}

// TurnDomain takes a failure domain out of service or brings it back. While the
// log does not answer, this daemon holds an order to take a domain out and
// passes it to the daemons it reaches, which follow it at once.
func (d *desk) TurnDomain(ctx context.Context, ask *wire.TurnAsk) (*wire.TurnReply, error) {
	if err := checkName("failure domain", ask.Name); err != nil {
		return nil, toTwirp("change failure domain", err)
	}
	e := &wire.Entry{Id: idOrNew(ask.Id), Kind: &wire.Entry_Turn{Turn: &wire.Turn{
		Name: ask.Name, Out: ask.Out, Drain: ask.Drain, Base: ask.Base, Why: ask.Why,
	}}}
	err := d.commitOnce(ctx, "change failure domain", ask.Id, func(c *core.Core) (*wire.Entry, error) { return turnEntry(c, e) })
	refused := (*refuse.Error)(nil)
	if err != nil {
		refused = toRefusal("change failure domain", err)
	}
	if refused != nil && (!ask.Out || refused.Kind != twirp.Unavailable) {
		return nil, refused.Twirp()
	}
	if refused != nil {
		d.holdOrder(ctx, e)
	}
	reply := &wire.TurnReply{Kept: refused == nil, Held: refused != nil}
	err = d.read(ctx, "change failure domain", func(c *core.Core) {
		reply.Domain = domainOf(c, fleet.DomainID(ask.Name))
	})
	return reply, err
}

func turnEntry(c *core.Core, e *wire.Entry) (*wire.Entry, error) {
	turn := e.GetTurn()
	if !c.Board.Domains()[fleet.DomainID(turn.Name)] {
		return nil, refuse.NotRun("change failure domain", twirp.NotFound, 0, "no failure domain %s", turn.Name)
	}
	if have := c.Board.State.Domains[fleet.DomainID(turn.Name)].GetRev(); have != turn.Base {
		return nil, refuse.NotRun("change failure domain", twirp.Aborted, 0, "%s is at revision %d, not %d", turn.Name, have, turn.Base)
	}
	if c.Board.Log.Down {
		return nil, refuse.NotRun("change failure domain", twirp.Unavailable, CommitTimeout, "the log does not answer")
	}
	return e, nil
}

func (d *desk) holdOrder(ctx context.Context, e *wire.Entry) {
	_ = d.loop.do(ctx, "hold order", func(c *core.Core) {
		e.Host, e.At = string(c.Board.Self.Host), time.Now().UnixMilli()
		if found, _ := c.Board.State.Outcome(fleet.EntryID(e.Id)); !found {
			gossip.Hold(c.Board, proto.CloneOf(e))
		}
	})
}

// describeSpace describes the guarantee of a workspace and its home domains.
func describeSpace(space *wire.Space) string {
	text := fmt.Sprintf("revision %d", space.Rev)
	for _, h := range space.Homes {
		s := space.Shapes[h.Shape]
		text += fmt.Sprintf("; %d gangs of %d tasks in %s", h.Count, s.Tasks, h.Domain)
	}
	return text
}
