// Package render describes records of the log as numbered events.
package render

import (
	"fmt"
	"strings"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
)

// Event returns the event that describes a record. If the record had no effect,
// refused is the reason.
func Event(s *wire.Stamped, refused error) event.Event {
	e := event.Event{
		At:     time.UnixMilli(s.Entry.GetAt()),
		Host:   fleet.HostID(s.Entry.GetHost()),
		Offset: fleet.Offset(s.Offset),
	}
	e.Code, e.About, e.Text = describe(s.Entry)
	if refused != nil {
		e.Code, e.Text = event.ChangeRefused, refused.Error()
	}
	return e
}

func describe(e *wire.Entry) (event.Code, string, string) {
	switch k := e.GetKind().(type) {
	case *wire.Entry_Space:
		return event.SpaceSet, k.Space.Name, fmt.Sprintf("workspace %s set, based on revision %d: %s", k.Space.Name, k.Space.Rev, shapes(k.Space))
	case *wire.Entry_Drop:
		return event.SpaceDropped, k.Drop.Name, "workspace " + k.Drop.Name + " removed"
	case *wire.Entry_Turn:
		return turn(k.Turn)
	case *wire.Entry_Submit:
		j := k.Submit.Spec
		return event.JobAccepted, j.Id, fmt.Sprintf("job %s of workspace %s with %d tasks waits in failure domain %s", j.Id, j.Space, j.Tasks, k.Submit.Home)
	case *wire.Entry_Cancel:
		return event.JobCancelled, k.Cancel.Job, "cancel: " + k.Cancel.Why
	case *wire.Entry_Claim:
		return event.LeadTaken, k.Claim.Domain, fmt.Sprintf("%s is the lead of %s, the previous term is %d", k.Claim.Host, k.Claim.Domain, k.Claim.Prev)
	case *wire.Entry_Place:
		return event.JobPlaced, k.Place.Job, fmt.Sprintf("attempt %d on %s: %s", k.Place.Attempt, Parts(k.Place.Parts), k.Place.Why)
	case *wire.Entry_Settle:
		return settle(k.Settle)
	case *wire.Entry_Move:
		return event.JobMoved, k.Move.Job, fmt.Sprintf("from %s to %s: %s", k.Move.From, k.Move.To, k.Move.Why)
	case *wire.Entry_Seat:
		return seat(k.Seat)
	case *wire.Entry_Image:
		return event.ImageKept, "log", fmt.Sprintf("piece %d of %d of the state up to record %d", k.Image.Piece+1, k.Image.Pieces, k.Image.Upto)
	}
	return event.ChangeRefused, "log", "record of an unknown kind"
}

func turn(t *wire.Turn) (event.Code, string, string) {
	if t.Out {
		return event.DomainOut, t.Name, fmt.Sprintf("%s taken out of service (%s): %s", t.Name, strings.ToLower(t.Drain.String()), t.Why)
	}
	return event.DomainBack, t.Name, fmt.Sprintf("%s back in service: %s", t.Name, t.Why)
}

func settle(s *wire.Settle) (event.Code, string, string) {
	codes := map[wire.Phase]event.Code{
		wire.Phase_DONE: event.JobDone, wire.Phase_CANCELLED: event.JobCancelled,
		wire.Phase_PARKED: event.JobParked, wire.Phase_FAILED: event.JobParked,
	}
	code, ok := codes[s.Phase]
	if !ok {
		code = event.JobRequeued
	}
	return code, s.Job, fmt.Sprintf("attempt %d: %s; %s of work saved", s.Attempt, s.Why, time.Duration(s.Spent)*time.Millisecond)
}

func seat(s *wire.Seat) (event.Code, string, string) {
	if s.Host == "" {
		return event.SeatGiven, s.Domain, fmt.Sprintf("seat %d of %s is free", s.Seat, s.Domain)
	}
	return event.SeatTaken, s.Domain, fmt.Sprintf("seat %d of %s assigned to %s", s.Seat, s.Domain, s.Host)
}

func shapes(w *wire.Space) string {
	var out []string
	for _, s := range w.Shapes {
		out = append(out, fmt.Sprintf("%d gangs of %d tasks (%s each)", s.Count, s.Tasks, fleet.ResOf(s.Each)))
	}
	if len(out) == 0 {
		return "no guarantee"
	}
	return strings.Join(out, "; ")
}

// Parts returns the workers of a gang with their numbers of tasks, as text.
func Parts(parts []*wire.Part) string {
	var out []string
	for _, p := range parts {
		out = append(out, fmt.Sprintf("%s:%d", p.Worker, p.Tasks))
	}
	return strings.Join(out, " ")
}
