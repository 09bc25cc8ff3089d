package sched

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/pool"
	"dragonflydeck.example/fleet/queue"
	"dragonflydeck.example/fleet/voter"
	"dragonflydeck.example/fleet/wire"
)

// Waiter identifies a caller that waits for an answer.
type Waiter uint64

// Event is an input: something that happened outside the scheduler.
type Event any

// Events from other daemons, the store and the platform.
type (
	// BeatReceived is a lead's heartbeat.
	BeatReceived struct{ Beat *wire.Beat }
	// PeerAnswered is the answer of a host to AskPeers. AskedAt is when the peers were asked.
	PeerAnswered struct {
		Host    fleet.HostID
		AskedAt time.Time
		Reply   *wire.SightReply
	}
	// Members are all daemons of the site that are taken for present, including this one, whose
	// incarnation is Inc, and the newest process of each host that has left. Memory is the limit of
	// the daemon that has least, 0 if it is not known.
	Members struct {
		All    []elect.Member
		Inc    fleet.Incarnation
		Left   []voter.Process
		Memory fleet.Mebibytes
	}
	// Probed is the outcome of a Probe; Err is nil if the store answered.
	Probed struct{ Err error }
	// Claimed is the outcome of a Claim: the newest claim in the store, the end of
	// the topic, the newest record of every key up to there, and the voters that were stored
	// with the claim. SentAt is when the call was sent that stored or found the claim.
	Claimed struct {
		Lead    *wire.Lead
		Roll    voter.Roll
		Term    fleet.Term
		End     fleet.Offset
		Records []fleet.Record
		SentAt  time.Time
		Err     error
	}
	// Appended is the outcome of an Append, which was sent at SentAt.
	Appended struct {
		Batch  uint64
		End    fleet.Offset
		SentAt time.Time
		Err    error
	}
	// Checked is the outcome of a Check, which was sent at SentAt: the records from the
	// checked offset on, and the end of the topic. If older records have expired, only the
	// newest record of each key is included.
	Checked struct {
		Batch   uint64
		Records []fleet.Record
		End     fleet.Offset
		SentAt  time.Time
		Err     error
	}
	// ConfigChanged is the operator's configuration and the failure domains that are out
	// of service, as of an offset of the operator's topic.
	ConfigChanged struct {
		Config       *queue.Config
		OutOfService map[fleet.DomainID]bool
		End          fleet.Offset
	}
	// WorkersListed are the workers in the service discovery, complete as of ReadAt,
	// when the newest read of them was sent.
	WorkersListed struct {
		Entries map[fleet.HostID]fleet.WorkerEntry
		ReadAt  time.Time
	}
	// LimitsChanged are changed limits of the platform.
	LimitsChanged struct{ Limits Limits }
	// Leave makes the daemon give up the lead and never claim it again.
	Leave struct{}
)

// Events from callers.
type (
	// JobSubmitted is a job that a caller submits.
	JobSubmitted struct {
		Waiter   Waiter
		Flow     *wire.Flow
		Term     fleet.Term // of the lead that the caller addressed; 0 for any
		Deadline time.Time  // when the caller stops waiting
	}
	// CancelRequested is a caller's request to cancel a job.
	CancelRequested struct {
		Waiter   Waiter
		Ask      *wire.FlowAsk
		Deadline time.Time
	}
	// StatusAsked is a caller's question about a job.
	StatusAsked struct {
		Waiter Waiter
		Ask    *wire.FlowAsk
	}
)

// Events from workers.
type (
	// Started is the outcome of a Start.
	Started struct {
		Endpoint fleet.Endpoint // to which it was sent
		Term     fleet.Term
		SentAt   time.Time
		Key      pool.Key
		Clock    fleet.Ticks
		Err      error
	}
	// Stopped is the outcome of a Stop.
	Stopped struct {
		Endpoint fleet.Endpoint // to which it was sent
		Term     fleet.Term
		SentAt   time.Time
		Key      pool.Key
		Clock    fleet.Ticks
		Err      error
	}
	// Polled is the outcome of a Poll.
	Polled struct {
		Endpoint fleet.Endpoint // to which it was sent
		Term     fleet.Term
		Acked    fleet.EndNo
		At       time.Time     // when the request was sent
		Wait     time.Duration // how long the answer was allowed to wait for the end of a run
		Report   fleet.WorkerReport
		Err      error
	}
)

// Action is an output: something that the caller of Step has to carry out.
type Action any

// Actions of the scheduler.
type (
	// AskPeers asks peers whether they hear the lead: those on the given hosts, or all of
	// them, or at most elect.MaxAsked.
	AskPeers struct {
		All   bool
		Hosts []fleet.HostID
	}
	// MarkLost stores that a process does not answer the lead.
	MarkLost struct{ Process voter.Process }
	// Claim appends a claim to the lead together with its voters, unless the store has a
	// claim newer than the known term.
	Claim struct {
		Known  fleet.Term
		Voters voter.Set
	}
	// Probe makes some read of the store, to see whether it answers.
	Probe struct{}
	// SendBeat sends a heartbeat to all other daemons.
	SendBeat struct{ Beat *wire.Beat }
	// Append adds records on the condition that the topic ends at the given offset.
	Append struct {
		Batch   uint64
		At      fleet.Offset
		Records []fleet.Record
		Timeout time.Duration
	}
	// Check reads the topic from the offset at which a batch was appended. With
	// batch 0, it reads from the end of what is known to be stored.
	Check struct {
		Batch uint64
		At    fleet.Offset
	}
	// Start starts a run on a worker.
	Start struct {
		Endpoint fleet.Endpoint
		Key      pool.Key
		Order    fleet.StartOrder
	}
	// Stop stops a run on a worker.
	Stop struct {
		Endpoint fleet.Endpoint
		Key      pool.Key
		Order    fleet.StopOrder
	}
	// Poll asks a worker for its runs and their ends, and may renew its lease.
	Poll struct {
		Endpoint fleet.Endpoint
		Order    fleet.PollOrder
	}
	// AnswerSubmit answers a caller that submitted a job.
	AnswerSubmit struct {
		Waiter Waiter
		Reply  *wire.HandReply
	}
	// AnswerCancel answers a caller that cancelled a job.
	AnswerCancel struct {
		Waiter Waiter
		Reply  *wire.FlowReply
	}
	// AnswerStatus answers a caller that asked about a job.
	AnswerStatus struct {
		Waiter Waiter
		Reply  *wire.FlowReply
	}
)
