// Package helm is the control of a site: one daemon leads, keeps the record of
// every job in the store, and decides what runs where. Events and the time go
// in, actions come out; it does no I/O and reads no clock. It belongs to one
// goroutine.
package helm

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/queue"
	"dragonflydeck.example/fleet/wire"
)

// Self is the daemon.
type Self struct {
	Host   fleet.HostID
	Addr   string // where its peers reach it
	Domain fleet.DomainID
	Inc    fleet.Incarnation
	Power  fleet.Millicores // that the daemon may use
}

// Limits are the bounds that the platform sets.
type Limits struct {
	Lease  time.Duration // longest lease of a worker
	Stop   time.Duration // a stop takes at most so long
	Gang   time.Duration // a gang must be whole within this
	Drain  time.Duration // a worker that drains stays so long at least
	Status time.Duration // an ended job is told for so long
}

// mode is the daemon's part in the site.
type mode int

const (
	following mode = iota
	claiming       // a claim is on its way
	leading
)

// tendSpan is the span between two looks over all runs and callers for what has
// become due: well below every limit that they wait for.
const superviseInterval = 100 * time.Millisecond

// Helm is the control state of one daemon.
type Helm struct {
	self   Self
	limits Limits
	now    time.Time

	Elect      *elect.Elect
	config     *queue.Config
	domainsOut map[fleet.DomainID]bool
	configEnd  fleet.Offset // end of the operator's records that are known
	entries    map[fleet.HostID]fleet.WorkerEntry

	mode    mode
	leaving bool
	quorum  quorum
	term    fleet.Term
	epoch   int64

	leftTerm     fleet.Term // of the lead that this daemon gave up as it leaves
	leavingUntil time.Time  // that is said until then

	jobs              map[fleet.JobID]*job
	crew              *crew.Crew
	outbox            outbox
	estimateErrors    map[string]*estimateError // by queue
	stepMeans         map[*flow.Step]*stepMean
	beatSentAt        time.Time
	plannedAt         time.Time
	placedAt          time.Time // when something was last placed or waited for room
	domainsCheckedAt  time.Time // when all workers were last looked over for answers that they owe
	unreachable       map[fleet.DomainID]bool
	domainPolledAt    map[fleet.DomainID]time.Time // when workers were last asked for a sign of life
	supervisedAt      time.Time
	changed           bool // something that placement depends on has changed
	endsToAcknowledge bool // workers have listed ends that they may not forget yet

	actions   []Action
	logEvents []event.Event
}

// New returns the control of a daemon that follows.
func New(self Self, limits Limits, now time.Time) *Helm {
	sc := &Helm{
		self: self, limits: limits, Elect: elect.New(elect.Member{Host: self.Host, Inc: self.Inc, Power: self.Power}, now), now: now,
		domainsOut: map[fleet.DomainID]bool{}, entries: map[fleet.HostID]fleet.WorkerEntry{},
	}
	sc.reset()
	return sc
}

func (sc *Helm) reset() {
	sc.jobs = map[fleet.JobID]*job{}
	sc.crew = crew.New(sc.limits.Lease)
	sc.outbox = outbox{}
	sc.estimateErrors = map[string]*estimateError{}
	sc.stepMeans = map[*flow.Step]*stepMean{}
	sc.confirmLead()
	sc.unreachable, sc.domainPolledAt = nil, map[fleet.DomainID]time.Time{}
}

// Step takes events and the time, and returns what is to be done.
func (sc *Helm) Step(now time.Time, events []Event) []Action {
	sc.now = now
	for _, e := range events {
		sc.handle(e)
	}
	sc.campaign()
	if sc.leaving {
		sc.repeatLeavingBeat()
	}
	if sc.mode == leading {
		sc.checkQuorum()
		sc.beat()
		if sc.now.Sub(sc.supervisedAt) >= superviseInterval {
			sc.supervisedAt = sc.now
			sc.expire()
			sc.supervise()
		}
		sc.checkDomains()
		sc.plan()
		sc.lookAtWorkers()
		sc.flush()
	}
	out := sc.actions
	sc.actions = nil
	return out
}

// Notes returns what is to be logged since the last call.
func (sc *Helm) Notes() []event.Event {
	out := sc.logEvents
	sc.logEvents = nil
	return out
}

// Leads reports whether this daemon leads and knows every job.
func (sc *Helm) Leads() bool { return sc.mode == leading }

// Config returns the operator's configuration, nil before the first.
func (sc *Helm) Config() *queue.Config { return sc.config }

func (sc *Helm) emit(a Action) { sc.actions = append(sc.actions, a) }

func (sc *Helm) logf(c event.Code, about, format string, args ...any) {
	sc.logEvents = append(sc.logEvents, event.Event{
		At: sc.now, Code: c, Host: sc.self.Host, About: about, Text: fmt.Sprintf(format, args...),
	})
}

func (sc *Helm) handle(e Event) {
	switch e := e.(type) {
	case Beaten:
		sc.handleBeat(e.Beat)
	case Sighted:
		sc.handlePeerAnswer(e.Reply)
	case Members:
		sc.Elect.Members(e.All)
	case Claimed:
		sc.handleClaimed(e)
	case Probed:
		sc.Elect.Probed(e.Err == nil, sc.now)
	case Appended:
		sc.handleAppended(e)
	case Checked:
		sc.handleChecked(e)
	case Ordered:
		sc.handleConfig(e)
	case Listed:
		sc.updateWorkers(e.Entries)
	case Limited:
		sc.limits = e.Limits
	case Leave:
		sc.leave()
	case HandedIn:
		sc.submit(e)
	case Dropped:
		sc.cancel(e)
	case Started:
		sc.handleStarted(e)
	case Stopped:
		sc.handleStopped(e)
	case Looked:
		sc.handleLooked(e)
	}
}

func (sc *Helm) handleConfig(e Ordered) {
	if e.End <= sc.configEnd {
		return
	}
	sc.configEnd, sc.domainsOut, sc.changed = e.End, e.Out, true
	if e.Config != nil && (sc.config == nil || e.Config.Version > sc.config.Version) {
		sc.config = e.Config
		sc.logf(event.ConfigRead, "config", "version=%d queues=%d workspaces=%d end=%d", e.Config.Version, len(e.Config.Queues), len(e.Config.Spaces), e.End)
	}
}

// Sight returns what the daemon knows about the lead, for its peers.
func (sc *Helm) Sight(now time.Time) *wire.SightReply { return sc.Elect.Sight(now) }
