package helm

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/queue"
	"dragonflydeck.example/fleet/wire"
)

// Waiter names a caller that waits for an answer.
type Waiter uint64

// Event is something that happened outside.
type Event any

// Events of the fleet and of the store.
type (
	// Beaten is a beat of a lead.
	Beaten struct{ Beat *wire.Beat }
	// Sighted is a peer's answer to whether it hears the lead.
	Sighted struct{ Reply *wire.SightReply }
	// Members are the daemons of the site, this one among them.
	Members struct{ All []elect.Member }
	// Probed tells whether the store answers this daemon.
	Probed struct{ Err error }
	// Claimed is the outcome of a claim: the newest claim in the store, where
	// the topic ends, and the newest record of every key up to there.
	Claimed struct {
		Lead    *wire.Lead
		Term    fleet.Term
		End     fleet.Offset
		Records []fleet.Record
		Err     error
	}
	// Appended is the outcome of an append.
	Appended struct {
		Batch uint64
		End   fleet.Offset
		Err   error
	}
	// Checked are the records found from where an append was tried on, or of
	// each key the newest of them if older ones are gone, and where the topic
	// ends.
	Checked struct {
		Batch   uint64
		Records []fleet.Record
		End     fleet.Offset
		Err     error
	}
	// Ordered is the operator's configuration and the failure domains that
	// are taken out, up to an offset.
	Ordered struct {
		Config *queue.Config
		Out    map[fleet.DomainID]bool
		End    fleet.Offset
	}
	// Listed are the workers that the service discovery names.
	Listed struct {
		Entries map[fleet.HostID]fleet.WorkerEntry
	}
	// Limited are bounds of the platform that have changed.
	Limited struct{ Limits Limits }
	// Leave asks the daemon to give up the lead for good.
	Leave struct{}
)

// Events of callers.
type (
	// HandedIn is a job that a caller submits.
	HandedIn struct {
		Waiter Waiter
		Flow   *wire.Flow
		Term   fleet.Term // of the lead that is meant; 0 for any
		Until  time.Time  // the caller waits no longer
	}
	// Dropped is a caller's wish to cancel a job.
	Dropped struct {
		Waiter Waiter
		Ask    *wire.FlowAsk
		Until  time.Time
	}
)

// Events of workers. At is when the order was sent.
type (
	// Started is the outcome of a start.
	Started struct {
		Host  fleet.HostID
		Key   crew.Key
		Clock fleet.Ticks
		Err   error
	}
	// Stopped is the outcome of a stop.
	Stopped struct {
		Host  fleet.HostID
		Key   crew.Key
		Clock fleet.Ticks
		Err   error
	}
	// Looked is the outcome of a look.
	Looked struct {
		Host  fleet.HostID
		Place fleet.Place
		Term  fleet.Term
		Taken fleet.EndNo
		At    time.Time
		Sight fleet.Sight
		Err   error
	}
)

// Action is something to be done outside.
type Action any

// Actions of a daemon.
type (
	// AskPeers asks peers whether they hear the lead: up to elect.AskMost, or all.
	AskPeers struct{ All bool }
	// Claim appends a claim to lead, unless the newest one is newer than the
	// term known.
	Claim struct{ Known fleet.Term }
	// Probe reads anything from the store.
	Probe struct{}
	// SendBeat sends a beat to every other daemon.
	SendBeat struct{ Beat *wire.Beat }
	// Append adds records where the topic is expected to end.
	Append struct {
		Batch   uint64
		At      fleet.Offset
		Records []fleet.Record
		Span    time.Duration // it is waited for so long
	}
	// Check reads what lies where an append was tried, or behind the newest one,
	// for batch 0.
	Check struct {
		Batch uint64
		At    fleet.Offset
	}
	// Start begins a run.
	Start struct {
		Place fleet.Place
		Key   crew.Key
		Order fleet.StartOrder
	}
	// Stop ends a run.
	Stop struct {
		Place fleet.Place
		Key   crew.Key
		Order fleet.StopOrder
	}
	// Look extends a lease and asks what runs.
	Look struct {
		Place fleet.Place
		Order fleet.LookOrder
	}
	// AnswerHand tells a caller what became of a submitted job.
	AnswerHand struct {
		Waiter Waiter
		Reply  *wire.HandReply
	}
	// AnswerDrop tells a caller what became of a cancellation.
	AnswerDrop struct {
		Waiter Waiter
		Reply  *wire.FlowReply
	}
)
