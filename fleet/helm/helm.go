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
	follows mode = iota
	claims       // a claim is on its way
	leads
)

// tendSpan is the span between two looks over all runs and callers for what has
// become due: well below every limit that they wait for.
const tendSpan = 100 * time.Millisecond

// Helm is the control state of one daemon.
type Helm struct {
	self   Self
	limits Limits
	now    time.Time

	Elect  *elect.Elect
	config *queue.Config
	out    map[fleet.DomainID]bool
	orders fleet.Offset // end of the operator's records that are known
	listed map[fleet.HostID]fleet.WorkerEntry

	mode    mode
	leaving bool
	quorum  quorum
	term    fleet.Term
	epoch   int64

	lastTerm  fleet.Term // of the lead that this daemon gave up as it leaves
	lastUntil time.Time  // that is said until then

	jobs    map[fleet.JobID]*job
	crew    *crew.Crew
	box     box
	guesses map[string]*guess // by queue
	peers   map[*flow.Step]*peers
	beaten  time.Time
	planned time.Time
	placed  time.Time // when something was last placed or waited for room
	reached time.Time // when all workers were last looked over for answers that they owe
	muted   map[fleet.DomainID]bool
	pulsed  map[fleet.DomainID]time.Time // when workers were last asked for a sign of life
	tended  time.Time
	changed bool // something that placement depends on has changed
	ends    bool // workers have listed ends that they may not forget yet

	actions []Action
	notes   []event.Event
}

// New returns the control of a daemon that follows.
func New(self Self, limits Limits, now time.Time) *Helm {
	h := &Helm{
		self: self, limits: limits, Elect: elect.New(elect.Member{Host: self.Host, Inc: self.Inc, Power: self.Power}, now), now: now,
		out: map[fleet.DomainID]bool{}, listed: map[fleet.HostID]fleet.WorkerEntry{},
	}
	h.reset()
	return h
}

func (h *Helm) reset() {
	h.jobs = map[fleet.JobID]*job{}
	h.crew = crew.New(h.limits.Lease)
	h.box = box{}
	h.guesses = map[string]*guess{}
	h.peers = map[*flow.Step]*peers{}
	h.confirm()
	h.muted, h.pulsed = nil, map[fleet.DomainID]time.Time{}
}

// Step takes events and the time, and returns what is to be done.
func (h *Helm) Step(now time.Time, events []Event) []Action {
	h.now = now
	for _, e := range events {
		h.take(e)
	}
	h.stand()
	if h.leaving {
		h.farewell()
	}
	if h.mode == leads {
		h.reachPeers()
		h.beat()
		if h.now.Sub(h.tended) >= tendSpan {
			h.tended = h.now
			h.expire()
			h.tend()
		}
		h.reach()
		h.plan()
		h.looks()
		h.flush()
	}
	out := h.actions
	h.actions = nil
	return out
}

// Notes returns what is to be logged since the last call.
func (h *Helm) Notes() []event.Event {
	out := h.notes
	h.notes = nil
	return out
}

// Leads reports whether this daemon leads and knows every job.
func (h *Helm) Leads() bool { return h.mode == leads }

// Config returns the operator's configuration, nil before the first.
func (h *Helm) Config() *queue.Config { return h.config }

func (h *Helm) do(a Action) { h.actions = append(h.actions, a) }

func (h *Helm) note(c event.Code, about, format string, args ...any) {
	h.notes = append(h.notes, event.Event{
		At: h.now, Code: c, Host: h.self.Host, About: about, Text: fmt.Sprintf(format, args...),
	})
}

func (h *Helm) take(e Event) {
	switch e := e.(type) {
	case Beaten:
		h.hear(e.Beat)
	case Sighted:
		h.sighted(e.Reply)
	case Members:
		h.Elect.Members(e.All)
	case Claimed:
		h.claimed(e)
	case Probed:
		h.Elect.Probed(e.Err == nil, h.now)
	case Appended:
		h.appended(e)
	case Checked:
		h.checked(e)
	case Ordered:
		h.ordered(e)
	case Listed:
		h.list(e.Entries)
	case Limited:
		h.limits = e.Limits
	case Leave:
		h.leave()
	case HandedIn:
		h.handIn(e)
	case Dropped:
		h.drop(e)
	case Started:
		h.started(e)
	case Stopped:
		h.stopped(e)
	case Looked:
		h.looked(e)
	}
}

func (h *Helm) ordered(e Ordered) {
	if e.End <= h.orders {
		return
	}
	h.orders, h.out, h.changed = e.End, e.Out, true
	if e.Config != nil && (h.config == nil || e.Config.Version > h.config.Version) {
		h.config = e.Config
		h.note(event.ConfigRead, "config", "version=%d queues=%d workspaces=%d end=%d", e.Config.Version, len(e.Config.Queues), len(e.Config.Spaces), e.End)
	}
}

// Sight returns what the daemon knows about the lead, for its peers.
func (h *Helm) Sight(now time.Time) *wire.SightReply { return h.Elect.Sight(now) }
