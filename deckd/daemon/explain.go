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
	"dragonflydeck.example/fleet/render"
	"dragonflydeck.example/fleet/wire"
)

// Limits of explanations.
const (
	MaxNotes       = 1000
	HistoryTimeout = 5 * time.Second
)

// Explain returns the decisions about a job, request, host, workspace or failure
// domain, taken from the log and from the events of this daemon. For a job it
// adds the events of the lead of the job's domain, for a request those of the
// daemon that received it.
func (d *desk) Explain(ctx context.Context, ask *wire.ExplainAsk) (*wire.ExplainReply, error) {
	var events []event.Event
	var owner string // address of the daemon that has more events
	err := d.read(ctx, "explain", func(c *core.Core) {
		events = append(eventsFromLog(c.Board, ask.Name), c.Board.Recent.Events(ask.Name)...)
		events = append(events, currentState(c, ask.Name)...)
		owner = ownerAddr(c, ask.Name)
	})
	if err != nil {
		return nil, err
	}
	events = append(events, d.dispatcher.recentEvents(ask.Name)...)
	reply := &wire.ExplainReply{Notes: toNotes(events)}
	if owner != "" && !ask.Passed {
		reply.Notes = mergeNotes(reply.Notes, d.askOwner(ctx, owner, ask))
	}
	return reply, nil
}

// eventsFromLog returns the events that the newest records of the log hold about
// a name.
func eventsFromLog(b *board.Board, name string) []event.Event {
	var out []event.Event
	for _, s := range b.Recent.Records() {
		_, refused := b.State.Outcome(fleet.EntryID(s.Entry.Id))
		if e := render.Event(s, refused); e.About == name {
			out = append(out, e)
		}
	}
	return out
}

// currentState describes the current state of a name as events.
func currentState(c *core.Core, name string) []event.Event {
	b := c.Board
	at := func(code event.Code, text string) event.Event {
		return event.Event{At: time.Now(), Code: code, Host: b.Self.Host, About: name, Text: "now: " + text}
	}
	var out []event.Event
	if job := b.State.Jobs[fleet.JobID(name)]; job != nil {
		text := strings.ToLower(job.Phase.String()) + " at " + job.Home
		if len(job.Parts) > 0 {
			text += " on " + render.Parts(job.Parts)
		}
		if why := c.Gangs.Why(fleet.JobID(name)); why != "" {
			text += ": " + why
		} else if job.Why != "" {
			text += ": " + job.Why
		}
		out = append(out, at(event.JobAccepted, text))
	}
	if space := b.State.Spaces[fleet.SpaceID(name)]; space != nil {
		out = append(out, at(event.SpaceSet, describeSpace(space)))
	}
	if fleet.DomainID(name) == b.Self.Domain && !b.Gate.Open {
		out = append(out, at(event.GateClosed, b.Gate.Why))
	}
	return out
}

// ownerAddr returns the address of the daemon that has more events about a name:
// the lead of a job's domain, or the host with which a request's id begins. It
// is empty if that is this daemon or unknown.
func ownerAddr(c *core.Core, name string) string {
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

func (d *desk) askOwner(ctx context.Context, addr string, ask *wire.ExplainAsk) []*wire.Note {
	ctx, cancel := context.WithTimeout(ctx, BeatTimeout)
	defer cancel()
	reply, err := d.clients.Desk(addr).Explain(ctx, &wire.ExplainAsk{Name: ask.Name, Passed: true})
	if err != nil {
		return nil
	}
	return reply.Notes
}

// mergeNotes merges two lists by time and drops duplicates.
func mergeNotes(a, b []*wire.Note) []*wire.Note {
	have := map[string]bool{}
	for _, n := range a {
		have[noteKey(n)] = true
	}
	for _, n := range b {
		if !have[noteKey(n)] {
			a = append(a, n)
		}
	}
	sort.SliceStable(a, func(x, y int) bool { return a[x].At < a[y].At })
	return a
}

func noteKey(n *wire.Note) string {
	if n.Offset > 0 {
		return "log" + n.About + n.Text
	}
	return n.Host + n.Text
}

// History returns the newest events that the log holds about a name, or about
// everything, as far back as the log keeps records.
func (d *desk) History(ctx context.Context, ask *wire.HistoryAsk) (*wire.HistoryReply, error) {
	limit := int(ask.Max)
	if limit < 1 || limit > MaxNotes {
		limit = MaxNotes
	}
	records := d.readLog(ctx)
	var events []event.Event
	err := d.read(ctx, "history", func(c *core.Core) {
		if records == nil {
			records = c.Board.Recent.Records()
		}
		for _, s := range records {
			_, refused := c.Board.State.Outcome(fleet.EntryID(s.Entry.GetId()))
			if e := render.Event(s, refused); ask.Name == "" || e.About == ask.Name {
				events = append(events, e)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	if len(events) > limit {
		events = events[len(events)-limit:]
	}
	return &wire.HistoryReply{Notes: toNotes(events)}, nil
}

// readLog reads all records that the log keeps. It returns nil if a read fails.
func (d *desk) readLog(ctx context.Context) []*wire.Stamped {
	ctx, cancel := context.WithTimeout(ctx, HistoryTimeout)
	defer cancel()
	var all []*wire.Stamped
	for next := int64(1); ; {
		r, err := d.clients.Log().Read(ctx, &wire.ReadAsk{From: next, Max: MaxReadRecords})
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

func toNotes(events []event.Event) []*wire.Note {
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
