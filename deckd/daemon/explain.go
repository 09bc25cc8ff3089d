package daemon

import (
	"context"
	"sort"
	"strings"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/note"
	"dragonflydeck.example/fleet/wire"
)

// Bounds of explanations.
const (
	MaxNotes    = 1000
	HistorySpan = 5 * time.Second
)

// Explain tells the chain of decisions about a job, request, host, workspace
// or failure domain: from the log, from this daemon, for a job also from the
// daemon that leads its domain, and for a request from the one it came in at.
func (d *desk) Explain(ctx context.Context, ask *wire.ExplainAsk) (*wire.ExplainReply, error) {
	var own []event.Event
	var lead string // address of the daemon that knows more
	err := d.read(ctx, "explain", func(c *core.Core) {
		own = append(recorded(c.Board, ask.Name), c.Board.Recent.Events(ask.Name)...)
		own = append(own, standing(c, ask.Name)...)
		lead = knower(c, ask.Name)
	})
	if err != nil {
		return nil, err
	}
	own = append(own, d.traffic.explain(ask.Name)...)
	reply := &wire.ExplainReply{Notes: notes(own)}
	if lead != "" && !ask.Passed {
		reply.Notes = merge(reply.Notes, d.askKnower(ctx, lead, ask))
	}
	return reply, nil
}

// recorded returns what the log's newest records say of a name.
func recorded(b *board.Board, name string) []event.Event {
	var out []event.Event
	for _, s := range b.Recent.Records() {
		_, refused := b.State.Outcome(fleet.EntryID(s.Entry.Id))
		if e := note.Of(s, refused); e.About == name {
			out = append(out, e)
		}
	}
	return out
}

// standing tells how things are now.
func standing(c *core.Core, name string) []event.Event {
	b := c.Board
	at := func(code event.Code, text string) event.Event {
		return event.Event{At: time.Now(), Code: code, Host: b.Self.Host, About: name, Text: "now: " + text}
	}
	var out []event.Event
	if j := b.State.Jobs[fleet.JobID(name)]; j != nil {
		text := strings.ToLower(j.Phase.String()) + " at " + j.Home
		if len(j.Parts) > 0 {
			text += " on " + note.Parts(j.Parts)
		}
		if why := c.Gangs.Why(fleet.JobID(name)); why != "" {
			text += ": " + why
		} else if j.Why != "" {
			text += ": " + j.Why
		}
		out = append(out, at(event.JobAccepted, text))
	}
	if w := b.State.Spaces[fleet.SpaceID(name)]; w != nil {
		out = append(out, at(event.SpaceSet, describe(w)))
	}
	if fleet.DomainID(name) == b.Self.Domain && !b.Gate.Open {
		out = append(out, at(event.GateClosed, b.Gate.Why))
	}
	return out
}

// knower returns the address of the daemon that knows more of a name: the lead
// of a job's domain, or the host that a request's id begins with.
func knower(c *core.Core, name string) string {
	id := fleet.HostID("")
	if j := c.Board.State.Jobs[fleet.JobID(name)]; j != nil {
		id = fleet.HostID(c.Board.State.Domains[fleet.DomainID(j.Home)].GetLead())
	} else if host, _, ok := strings.Cut(name, "/"); ok {
		id = fleet.HostID(host)
	}
	if id == c.Board.Self.Host || id == "" {
		return ""
	}
	p, ok := c.Board.Members.Get(id)
	if !ok {
		return ""
	}
	return c.Board.AddrOf(p)
}

func (d *desk) askKnower(ctx context.Context, addr string, ask *wire.ExplainAsk) []*wire.Note {
	ctx, cancel := context.WithTimeout(ctx, BeatSpan)
	defer cancel()
	reply, err := d.edges.Desk(addr).Explain(ctx, &wire.ExplainAsk{Name: ask.Name, Passed: true})
	if err != nil {
		return nil
	}
	return reply.Notes
}

// merge joins two chains without what both know.
func merge(a, b []*wire.Note) []*wire.Note {
	have := map[string]bool{}
	for _, n := range a {
		have[key(n)] = true
	}
	for _, n := range b {
		if !have[key(n)] {
			a = append(a, n)
		}
	}
	sort.SliceStable(a, func(x, y int) bool { return a[x].At < a[y].At })
	return a
}

func key(n *wire.Note) string {
	if n.Offset > 0 {
		return "log" + n.About + n.Text
	}
	return n.Host + n.Text
}

// History tells what the log says of a name, or of everything, as far back as
// the log keeps it.
func (d *desk) History(ctx context.Context, ask *wire.HistoryAsk) (*wire.HistoryReply, error) {
	most := int(ask.Max)
	if most < 1 || most > MaxNotes {
		most = MaxNotes
	}
	records := d.fromLog(ctx)
	var events []event.Event
	err := d.read(ctx, "history", func(c *core.Core) {
		if records == nil {
			records = c.Board.Recent.Records()
		}
		for _, s := range records {
			_, refused := c.Board.State.Outcome(fleet.EntryID(s.Entry.GetId()))
			if e := note.Of(s, refused); ask.Name == "" || e.About == ask.Name {
				events = append(events, e)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	if len(events) > most {
		events = events[len(events)-most:]
	}
	return &wire.HistoryReply{Notes: notes(events)}, nil
}

// fromLog reads all records that the log keeps, or none if it fails.
func (d *desk) fromLog(ctx context.Context) []*wire.Stamped {
	ctx, cancel := context.WithTimeout(ctx, HistorySpan)
	defer cancel()
	var all []*wire.Stamped
	for next := int64(1); ; {
		r, err := d.edges.Log().Read(ctx, &wire.ReadAsk{From: next, Max: ReadMax})
		if err != nil {
			return nil
		}
		all = append(all, r.Entries...)
		if len(r.Entries) == 0 {
			return all
		}
		next = r.Entries[len(r.Entries)-1].Offset + 1
	}
}

func notes(events []event.Event) []*wire.Note {
	sort.SliceStable(events, func(a, b int) bool { return events[a].At.Before(events[b].At) })
	var out []*wire.Note
	for _, e := range events {
		out = append(out, &wire.Note{
			At: e.At.UnixMilli(), Code: int32(e.Code), Host: string(e.Host),
			About: e.About, Text: e.Text, Offset: int64(e.Offset),
		})
	}
	return out
}
