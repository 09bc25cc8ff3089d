// Package gang carries out the planner's decisions. It appends a placement
// record to the log, reserves resources on every worker, starts the gang,
// watches it, stops it and records how it ended. A gang runs on all of its
// workers or is rolled back. The placement record and the workers' reports
// decide which, so a lead that takes over in between reaches the same result.
package gang

import (
	"fmt"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/wire"
)

// Timeouts and intervals of the steps of a gang.
const (
	ReservationTTL     = 6 * time.Second // a worker drops a reservation that was not started by then
	OrderTimeout       = 2 * time.Second // of reserve, start and stop orders
	CheckpointTimeout  = 4 * time.Second // of an order to save a checkpoint and stop
	RetryDelay         = time.Second     // before a failed stop is repeated or a gang that was rolled back is started again
	MaxPlanInterval    = time.Second     // the planner also runs when nothing has changed
	startupTime        = time.Second     // a part that its worker loses sooner after the start may have crashed the worker
	OrphanStopInterval = 3 * time.Second // between two stop orders for the same orphan
)

// Controller is the gang controller. It acts only while its daemon is the lead.
type Controller struct {
	term        fleet.Term
	plan        *place.Planner
	lastPlan    time.Time
	dirty       bool
	draining    bool
	runs        map[fleet.JobID]*run
	orphanStops map[orphan]time.Time
	notBefore   map[fleet.JobID]time.Time // earliest start of the next attempt
	spaceRevs   map[fleet.SpaceID]int64
	nodes       map[fleet.HostID]place.Node
}

// New returns a gang controller.
func New() *Controller { return &Controller{} }

// Step passes new events and state to the planner, advances every gang and
// carries out new placement decisions.
func (c *Controller) Step(b *board.Board) {
	if !b.Lead.Mine {
		c.plan, c.term = nil, 0
		return
	}
	if c.term != b.Lead.Term {
		c.rebuild(b)
	}
	c.syncNodes(b)
	c.syncSpaces(b)
	c.syncGate(b)
	for _, id := range b.Changed {
		c.syncJob(b, id)
	}
	c.handleOrders(b)
	for _, r := range c.sortedRuns() {
		c.advance(b, r)
	}
	c.handleOrphans(b)
	c.applyPlan(b)
}

// rebuild initializes the controller for a new term from the state of the log.
// The workers' reports arrive later.
func (c *Controller) rebuild(b *board.Board) {
	c.term = b.Lead.Term
	c.plan = place.New(place.Defaults())
	c.runs = map[fleet.JobID]*run{}
	c.orphanStops = map[orphan]time.Time{}
	c.notBefore = map[fleet.JobID]time.Time{}
	c.spaceRevs = map[fleet.SpaceID]int64{}
	c.nodes = map[fleet.HostID]place.Node{}
	c.dirty, c.draining = true, false
	c.syncNodes(b)
	c.syncSpaces(b)
	for _, j := range b.State.Live() {
		c.syncJob(b, fleet.JobID(j.Spec.Id))
	}
}

func (c *Controller) sortedRuns() []*run {
	all := make([]*run, 0, len(c.runs))
	for _, r := range c.runs {
		all = append(all, r)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].id < all[b].id })
	return all
}

// applyPlan runs the planner and begins the starts and evictions it decided on.
func (c *Controller) applyPlan(b *board.Board) {
	if !b.Lead.Ready || !c.dirty && b.Now.Sub(c.lastPlan) < MaxPlanInterval {
		return
	}
	c.dirty, c.lastPlan = false, b.Now
	c.syncRemoteUsage(b)
	for _, d := range c.plan.Plan(b.Now) {
		switch d.Kind {
		case place.Start:
			c.start(b, d)
		case place.Evict:
			c.evict(b, d)
		}
	}
}

func (c *Controller) start(b *board.Board, d place.Decision) {
	j := b.State.Jobs[d.Job]
	if j == nil || j.Phase != wire.Phase_QUEUED || c.movePending(b, j) {
		c.returnToPlanner(b, d.Job)
		return
	}
	r := &run{
		id: d.Job, spec: j.Spec, attempt: fleet.Attempt(j.Attempt + 1), parts: d.Parts,
		owned: d.Owned, spent: time.Duration(j.Spent) * time.Millisecond, since: b.Now, phase: placing,
	}
	if !b.Append(r.placeEntry(b, d.Why)) {
		c.returnToPlanner(b, d.Job)
		return
	}
	c.runs[d.Job] = r
}

// returnToPlanner reverts a start decision that was not carried out.
func (c *Controller) returnToPlanner(b *board.Board, id fleet.JobID) {
	c.plan.End(id)
	c.syncJob(b, id)
}

// movePending reports whether a record that moves the job to another failure
// domain is still in the outbox. While the log does not answer, it is not known
// whether the record has taken effect.
func (c *Controller) movePending(b *board.Board, j *wire.Job) bool {
	return b.Outbox.Has(board.MoveID(j))
}

func (c *Controller) evict(b *board.Board, d place.Decision) {
	r := c.runs[d.Job]
	if r == nil {
		c.plan.End(d.Job)
		return
	}
	why := d.Why
	if d.For != "" {
		why = fmt.Sprintf("evicted for %s: %s", d.For, d.Why)
	}
	b.Emit(event.JobEvicted, string(d.Job), why)
	r.beginStop(b, true, verdict{phase: wire.Phase_QUEUED, why: why})
}

// handleOrders passes the results of worker orders to their gangs.
func (c *Controller) handleOrders(b *board.Board) {
	for _, e := range b.Events {
		o, ok := e.(board.OrderEnded)
		if !ok {
			continue
		}
		r := c.runs[o.Order.Job]
		if r != nil && r.attempt == o.Order.Attempt {
			r.orderEnded(b, o)
		}
	}
}

// Why explains why a job waits or runs where it does. It is empty if this
// daemon is not the lead.
func (c *Controller) Why(id fleet.JobID) string {
	if c.plan == nil {
		return ""
	}
	return c.plan.Why(id)
}

// Counts returns how many jobs wait and run in the failure domain, or zeros if
// this daemon is not the lead.
func (c *Controller) Counts() (waiting, running int) {
	if c.plan == nil {
		return 0, 0
	}
	return c.plan.Counts()
}

// Quarantined returns the quarantined workers and when the quarantine of each ends,
// or nil if this daemon is not the lead.
func (c *Controller) Quarantined() map[fleet.HostID]time.Time {
	if c.plan == nil {
		return nil
	}
	return c.plan.Quarantined()
}

// Busy reports whether a gang is being reserved, started or stopped. A daemon
// that shuts down waits for it.
func (c *Controller) Busy() bool {
	if c.plan == nil {
		return false
	}
	for _, r := range c.runs {
		if r.phase == reserving || r.phase == starting || r.phase == stopping {
			return true
		}
	}
	return false
}
