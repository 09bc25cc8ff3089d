// Package event is the catalogue of what the fleet logs and explains. Every
// event has a number that never changes its meaning; docs/EVENTS.md lists them.
package event

import (
	"time"

	"dragonflydeck.example/fleet"
)

// Code numbers a kind of event.
type Code int32

// Level says who needs to see an event.
type Level int

// The levels of events.
const (
	Debug Level = iota + 1
	Info
	Warn
	Error
)

// Event is one thing that happened or was decided.
type Event struct {
	At     time.Time
	Code   Code
	Host   fleet.HostID
	About  string // the job, request, host or failure domain it is about
	Text   string
	Offset fleet.Offset // 0 unless the event is a log record
}
