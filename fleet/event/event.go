// Package event is the catalogue of the events that daemons log and list in
// explanations. The meaning of an event's number never changes. docs/EVENTS.md
// holds the same catalogue.
package event

import (
	"time"

	"dragonflydeck.example/fleet"
)

// Code is the number of an event in the catalogue.
type Code int32

// Level is the severity of an event.
type Level int

// The levels, from least to most severe.
const (
	Debug Level = iota + 1
	Info
	Warn
	Error
)

// Event is one occurrence or decision.
type Event struct {
	At     time.Time
	Code   Code
	Host   fleet.HostID
	About  string // the job, request, host or failure domain concerned
	Text   string
	Offset fleet.Offset // offset of the event's record in the log, 0 if it has none
}
