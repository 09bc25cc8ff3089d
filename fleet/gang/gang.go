// Package gang carries the planner's decisions out: it has a placement written
// to the log, reserves on every worker, starts, watches, stops and settles. A
// gang runs whole or is undone; which of the two, the placement record and the
// workers' reports decide, also for a lead that takes over in between.
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

// Spans of the steps of a gang.
const (
	HoldSpan   = 6 * time.Second // a reservation lapses by itself after this
	OrderSpan  = 2 * time.Second // limit of reserve, start and stop
	SaveSpan   = 4 * time.Second // limit of a checkpoint
	AgainSpan  = time.Second     // pause before a stop is ordered again
	PlanSpan   = time.Second     // longest time between two plans
	OrphanSpan = 3 * time.Second // pause between two stops of an unknown gang
)

// Control is the controller of gangs.
type Control struct {
	term    fleet.Term
	plan    *place.Planner
	planned time.Time
	dirty   bool
	drained bool
	runs    map[fleet.JobID]*run
	orphans map[orphan]time.Time
	after   map[fleet.JobID]time.Time // earliest next attempt
	revs    map[fleet.SpaceID]int64
	nodes   map[fleet.HostID]place.Node
}

// New returns the controller.
func New() *Control { return &Control{} }

// Step takes what happened and drives every gang one step on.
func (c *Control) Step(b *board.Board) {
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
	for _, id := range b.Touched {
		c.syncJob(b, id)
	}
	c.take(b)
	for _, r := range c.inOrder() {
		c.drive(b, r)
	}
	c.strays(b)
	c.decide(b)
}

// rebuild starts from what the log says; workers' reports follow.
func (c *Control) rebuild(b *board.Board) {
	c.term = b.Lead.Term
	c.plan = place.New(place.Defaults())
	c.runs = map[fleet.JobID]*run{}
	c.orphans = map[orphan]time.Time{}
	c.after = map[fleet.JobID]time.Time{}
	c.revs = map[fleet.SpaceID]int64{}
	c.nodes = map[fleet.HostID]place.Node{}
	c.dirty, c.drained = true, false
	c.syncNodes(b)
	c.syncSpaces(b)
	for _, j := range b.State.Live() {
		c.syncJob(b, fleet.JobID(j.Spec.Id))
	}
}

func (c *Control) inOrder() []*run {
	all := make([]*run, 0, len(c.runs))
	for _, r := range c.runs {
		all = append(all, r)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].id < all[b].id })
	return all
}

// decide asks the planner and begins what it wants.
func (c *Control) decide(b *board.Board) {
	if !b.Lead.Ready || !c.dirty && b.Now.Sub(c.planned) < PlanSpan {
		return
	}
	c.dirty, c.planned = false, b.Now
	c.syncBeyond(b)
	for _, d := range c.plan.Plan(b.Now) {
		switch d.Kind {
		case place.Start:
			c.start(b, d)
		case place.Evict:
			c.evict(b, d)
		}
	}
}

func (c *Control) start(b *board.Board, d place.Decision) {
	j := b.State.Jobs[d.Job]
	if j == nil || j.Phase != wire.Phase_QUEUED || c.blindRisk(b, j) {
		c.unstart(b, d.Job)
		return
	}
	r := &run{
		id: d.Job, spec: j.Spec, attempt: fleet.Attempt(j.Attempt + 1), parts: d.Parts,
		owned: d.Owned, spent: time.Duration(j.Spent) * time.Millisecond, since: b.Now, phase: placing,
	}
	if !b.Append(r.placeEntry(b, d.Why)) {
		c.unstart(b, d.Job)
		return
	}
	c.runs[d.Job] = r
}

// unstart gives a decided start back to the planner.
func (c *Control) unstart(b *board.Board, id fleet.JobID) {
	c.plan.End(id)
	c.syncJob(b, id)
}

// blindRisk reports whether a job may have been given away by a record whose
// fate is not known while the log does not answer.
func (c *Control) blindRisk(b *board.Board, j *wire.Job) bool {
	return b.Outbox.Has(board.MoveID(j))
}

func (c *Control) evict(b *board.Board, d place.Decision) {
	r := c.runs[d.Job]
	if r == nil {
		c.plan.End(d.Job)
		return
	}
	why := d.Why
	if d.For != "" {
		why = fmt.Sprintf("evicted for %s: %s", d.For, d.Why)
	}
	b.Note(event.JobEvicted, string(d.Job), why)
	r.halt(b, true, verdict{phase: wire.Phase_QUEUED, why: why})
}

// take hands the ends of orders to their gangs.
func (c *Control) take(b *board.Board) {
	for _, e := range b.Events {
		o, ok := e.(board.Ordered)
		if !ok {
			continue
		}
		r := c.runs[o.Order.Job]
		if r != nil && r.attempt == o.Order.Attempt {
			r.ordered(b, o)
		}
	}
}

// Why tells why a job waits or runs where it does, if this daemon leads it.
func (c *Control) Why(id fleet.JobID) string {
	if c.plan == nil {
		return ""
	}
	return c.plan.Why(id)
}

// Counts returns how many jobs wait and run in the domain that this daemon
// leads.
func (c *Control) Counts() (waiting, running int) {
	if c.plan == nil {
		return 0, 0
	}
	return c.plan.Counts()
}

// Aside names the workers set aside and when each is probed.
func (c *Control) Aside() map[fleet.HostID]time.Time {
	if c.plan == nil {
		return nil
	}
	return c.plan.Aside()
}

// Busy reports whether a gang is between placement and running, so that a
// daemon that leaves does not break it off.
func (c *Control) Busy() bool {
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
