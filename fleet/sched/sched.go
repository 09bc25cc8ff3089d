// Package sched schedules the jobs of a site. One daemon of the site is the lead: it
// stores a record of every job, decides which worker runs what, and replaces the
// runs that fail or get lost. The other daemons watch its heartbeats and elect a new
// lead when they stop. The package is a deterministic state machine: events and the
// time go in, actions come out. It does no I/O, reads no clock, and must be used by
// one goroutine only.
package sched

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/clock"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
	"dragonflydeck.example/fleet/queue"
	"dragonflydeck.example/fleet/wire"
)

// Identity describes the local daemon.
type Identity struct {
	Host   fleet.HostID
	Addr   string // address for its peers
	Domain fleet.DomainID
	Inc    fleet.Incarnation
	Power  fleet.Millicores // cores that the daemon may use
}

// Limits are set by the platform.
type Limits struct {
	Lease  time.Duration // longest lease of a worker
	Stop   time.Duration // longest duration of a stop
	Gang   time.Duration // all members of a gang must have started within this
	Drain  time.Duration // shortest time between a worker's notice that it drains and its end
	Status time.Duration // how long an ended job's status can be queried
	Record int           // most bytes of a record in the store, 0 if not known
}

// mode is the daemon's role in the site.
type mode int

const (
	following mode = iota
	claiming       // a claim to the lead is in flight
	leading
)

// superviseInterval is the interval between two checks of all runs and waiting
// callers for what is due. It is well below all their time limits.
const superviseInterval = 100 * time.Millisecond

// Scheduler is the scheduling state of one daemon.
type Scheduler struct {
	self   Identity
	limits Limits
	now    time.Time

	Elect      *elect.Elector
	config     *queue.Config
	domainsOut map[fleet.DomainID]bool // taken out of service by the operator
	configEnd  fleet.Offset            // offset up to which the operator's records are known
	list       workerList

	mode    mode
	leaving bool
	quorum  quorum

	succession succession
	rolls      rolls
	watch      watch
	orders     orders
	left       map[fleet.HostID]fleet.Incarnation // newest process of each host that has left
	term       fleet.Term
	epoch      int64

	leadingSince time.Time   // when this daemon became the lead
	clock        clock.Clock // of the site, since then

	leftTerm     fleet.Term // in which this daemon led until it began to shut down
	leavingUntil time.Time  // when it stops announcing that it shuts down

	jobs              map[fleet.JobID]*job
	held              int64           // memory that the jobs are accounted for, in bytes
	memory            fleet.Mebibytes // of the daemon that has least
	pool              *pool.Pool
	outbox            outbox
	statusWaiters     []statusWaiter
	recordedLimits    map[fleet.SpaceID]recordedLimit // in the records of jobs
	waiting           map[fleet.SpaceID]waitCounts    // as of the last plan
	estimateErrors    map[string]*estimateError       // by queue
	stepMeans         map[*flow.Step]*stepMean
	speeds            speeds
	goneSpeeds        []fleet.HostID // workers that are forgotten and whose speed may be stored
	beatSentAt        time.Time
	plannedAt         time.Time
	placedAt          time.Time // when something was last placed or waited for capacity
	domainsCheckedAt  time.Time // when the workers were last checked for overdue answers
	unreachable       map[fleet.DomainID]bool
	domainPolledAt    map[fleet.DomainID]time.Time // when workers were last polled because their domain was silent
	supervisedAt      time.Time
	pollsCheckedAt    time.Time // when the workers were last checked for polls that are due
	changed           bool      // something that placement depends on has changed
	endsToAcknowledge bool      // workers have reported run ends that are not acknowledged yet

	actions   []Action
	logEvents []event.Event
}

// New returns the state of a daemon that is not the lead.
func New(self Identity, limits Limits, now time.Time) *Scheduler {
	sc := &Scheduler{
		self: self, limits: limits, Elect: elect.New(elect.Member{Host: self.Host, Inc: self.Inc, Power: self.Power}, now), now: now,
		domainsOut: map[fleet.DomainID]bool{}, left: map[fleet.HostID]fleet.Incarnation{},
	}
	sc.reset()
	return sc
}

func (sc *Scheduler) reset() {
	sc.jobs, sc.held = map[fleet.JobID]*job{}, 0
	sc.pool = pool.New(sc.limits.Lease)
	sc.outbox = outbox{batchNo: sc.outbox.batchNo} // a late answer to an earlier batch must match no later one
	sc.recordedLimits, sc.waiting = map[fleet.SpaceID]recordedLimit{}, nil
	sc.estimateErrors = map[string]*estimateError{}
	sc.stepMeans = map[*flow.Step]*stepMean{}
	sc.speeds, sc.goneSpeeds = newSpeeds(), nil
	sc.clock = clock.Clock{}
	sc.quorum, sc.succession = quorum{confirmedAt: sc.now}, succession{followers: map[fleet.HostID]bool{}}
	sc.rolls, sc.watch, sc.orders = rolls{}, newWatch(), orders{}
	sc.unreachable, sc.domainPolledAt = nil, map[fleet.DomainID]time.Time{}
}

// Step processes events at the given time and returns the actions to carry out.
func (sc *Scheduler) Step(now time.Time, events []Event) []Action {
	sc.now = now
	for _, e := range events {
		sc.handle(e)
	}
	sc.campaign()
	if sc.leaving {
		sc.repeatLeavingBeat()
	}
	if sc.mode == leading {
		sc.dispatchStarts()
		sc.checkQuorum()
		sc.checkSuccession()
		sc.checkMembers()
		sc.beat()
		if sc.now.Sub(sc.supervisedAt) >= superviseInterval {
			sc.supervisedAt = sc.now
			sc.expire()
			sc.supervise()
		}
		sc.checkDomains()
		sc.plan()
		sc.pollWorkers()
		sc.flush()
	}
	sc.answerStatus()
	out := sc.actions
	sc.actions = nil
	return out
}

// LogEvents returns the log events since the last call.
func (sc *Scheduler) LogEvents() []event.Event {
	out := sc.logEvents
	sc.logEvents = nil
	return out
}

// Leads reports whether this daemon is the lead and has loaded every job.
func (sc *Scheduler) Leads() bool { return sc.mode == leading }

// Config returns the operator's configuration, nil before the first one arrives.
func (sc *Scheduler) Config() *queue.Config { return sc.config }

func (sc *Scheduler) emit(a Action) { sc.actions = append(sc.actions, a) }

func (sc *Scheduler) logf(c event.Code, about, format string, args ...any) {
	sc.logEvents = append(sc.logEvents, event.Event{
		At: sc.now, Code: c, Host: sc.self.Host, About: about, Text: fmt.Sprintf(format, args...),
	})
}

func (sc *Scheduler) handle(e Event) {
	switch e := e.(type) {
	case BeatReceived:
		sc.handleBeat(e.Beat)
	case PeerAnswered:
		sc.handlePeerAnswer(e)
	case Members:
		sc.self.Inc = max(sc.self.Inc, e.Inc)
		sc.Elect.SetMembers(e.All)
		sc.memory, sc.rolls.mayDiffer = e.Memory, true
		for _, p := range e.Left {
			if before, known := sc.left[p.Host]; !known || p.Inc > before {
				sc.left[p.Host] = p.Inc
			}
		}
	case Claimed:
		sc.handleClaimed(e)
	case Probed:
		sc.Elect.NoteProbe(e.Err == nil, sc.now)
	case Appended:
		sc.handleAppended(e)
	case Checked:
		sc.handleChecked(e)
	case ConfigChanged:
		sc.handleConfig(e)
	case WorkersListed:
		sc.handleWorkersListed(e)
	case LimitsChanged:
		sc.limits = e.Limits
		sc.pool.SetMaxLease(e.Limits.Lease, sc.now)
	case Leave:
		sc.leave()
	case JobSubmitted:
		sc.submit(e)
	case CancelRequested:
		sc.cancel(e)
	case StatusAsked:
		sc.askStatus(e)
	case Started:
		sc.handleStarted(e)
	case Stopped:
		sc.handleStopped(e)
	case Polled:
		sc.handlePolled(e)
	}
}

func (sc *Scheduler) handleConfig(e ConfigChanged) {
	if e.End <= sc.configEnd {
		return
	}
	sc.configEnd, sc.domainsOut, sc.changed = e.End, e.OutOfService, true
	if e.Config != nil && (sc.config == nil || e.Config.Version > sc.config.Version) {
		sc.logChangedLimits(sc.config, e.Config)
		sc.config = e.Config
		sc.moveJobs()
		sc.logf(event.ConfigRead, "config", "version=%d queues=%d workspaces=%d end=%d", e.Config.Version, len(e.Config.Queues), len(e.Config.Spaces), e.End)
	}
}

// Sight returns what this daemon knows about the lead, for its peers.
func (sc *Scheduler) Sight(now time.Time) *wire.SightReply { return sc.Elect.Sight(now) }
