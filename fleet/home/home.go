package home

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/wire"
)

// Limits of moves.
const (
	// RoundInterval is the time between rounds of moves.
	RoundInterval = 2 * time.Second
	// EvacuationInterval is the time between rounds while the daemon's own
	// failure domain is out of service.
	EvacuationInterval = 200 * time.Millisecond
	// MaxMovesPerRound limits how many jobs a round moves.
	MaxMovesPerRound = 32
)

// Controller moves jobs and guarantees between failure domains.
type Controller struct {
	lastRound time.Time
}

// New returns the controller of moves.
func New() *Controller { return &Controller{} }

// Step moves waiting jobs to failure domains with free capacity. On the
// coordinating lead it also moves guarantees and lost jobs away from domains
// that are out of service.
func (c *Controller) Step(b *board.Board) {
	if b.Now.Sub(c.lastRound) < roundInterval(b) || !b.Lead.Mine || b.Log.Down || b.Leaving {
		return
	}
	c.lastRound = b.Now
	if b.Lead.Ready {
		c.moveWaiting(b)
	}
	if c.coordinates(b) {
		c.rehome(b)
		c.evacuateLost(b)
	}
}

func roundInterval(b *board.Board) time.Duration {
	if b.State.OutOfService(b.Self.Domain) {
		return EvacuationInterval
	}
	return RoundInterval
}

// moveWaiting moves jobs that wait in this failure domain to domains with free
// capacity.
func (c *Controller) moveWaiting(b *board.Board) {
	loads := NewLoads(b)
	moved := 0
	out := b.State.OutOfService(b.Self.Domain)
	for _, j := range b.State.Live() {
		if moved == MaxMovesPerRound {
			return
		}
		if j.Phase != wire.Phase_QUEUED || j.Home != string(b.Self.Domain) {
			continue
		}
		if !out && b.Now.Sub(time.UnixMilli(j.Since)) < place.MinHomeWait {
			continue // too early to move; saves computing the loads for this job
		}
		if c.move(b, loads, j) {
			moved++
		}
	}
}

func (c *Controller) move(b *board.Board, loads *Loads, j *wire.Job) bool {
	need := fleet.ResOf(j.Spec.Each).Times(int(j.Spec.Tasks))
	domains := loads.ForJob(j.Spec)
	from := fleet.DomainID(j.Home)
	to := place.Move(place.HomeWait{
		Need: need, Home: from,
		Waited: b.Now.Sub(time.UnixMilli(j.Since)), Age: b.Now.Sub(time.UnixMilli(j.Begun)),
	}, domains)
	if to == "" {
		return false
	}
	loads.domains[to].Queued = loads.domains[to].Queued.Add(need)
	if d := loads.domains[from]; d != nil {
		d.Queued = d.Queued.Sub(need)
	}
	return b.Append(&wire.Entry{Id: string(board.MoveID(j)), Kind: &wire.Entry_Move{Move: &wire.Move{
		Job: j.Spec.Id, Attempt: j.Attempt, From: j.Home, To: string(to),
		Term: int64(b.State.Term(from)), Why: "it may start sooner there, or its own failure domain is out of service",
	}}})
}

// coordinates reports whether this daemon leads the first failure domain, by
// name, that is in service and has a lead. That lead also handles what belongs
// to no single domain.
func (c *Controller) coordinates(b *board.Board) bool {
	for id := range b.Domains() {
		if id < b.Self.Domain && !b.State.OutOfService(id) && b.State.Domains[id].GetLead() != "" {
			return false
		}
	}
	return !b.State.OutOfService(b.Self.Domain)
}

func (c *Controller) rehome(b *board.Board) {
	for _, w := range b.State.Spaces {
		to := Rehome(b, w)
		if to == nil {
			continue
		}
		id := fmt.Sprintf("rehome/%s/%d", w.Name, b.State.Config)
		b.Append(&wire.Entry{Id: id, Kind: &wire.Entry_Space{Space: &wire.Space{
			Name: w.Name, Shapes: w.Shapes, Quota: w.Quota, Homes: to, Rev: w.Rev, Seen: int64(b.State.Config),
		}}})
		return // the next workspace is assigned once this change is in the state
	}
}

// evacuateLost queues the placed jobs again and moves the waiting jobs of failure
// domains that operators declared lost.
func (c *Controller) evacuateLost(b *board.Board) {
	loads := NewLoads(b)
	moved := 0
	for _, j := range b.State.Live() {
		d := b.State.Domains[fleet.DomainID(j.Home)]
		if moved == MaxMovesPerRound || !d.GetOut() || d.Drain != wire.Drain_LOST {
			continue
		}
		if j.Phase == wire.Phase_QUEUED {
			if c.move(b, loads, j) {
				moved++ // one that fits nowhere takes no move from those that do
			}
			continue
		}
		id := fmt.Sprintf("lost/%s/%d/%d", j.Spec.Id, j.Attempt, d.Rev)
		b.Append(&wire.Entry{Id: id, Kind: &wire.Entry_Settle{Settle: &wire.Settle{
			Job: j.Spec.Id, Attempt: j.Attempt, Term: d.Term, Phase: wire.Phase_QUEUED,
			Why: j.Home + " was declared lost", Spent: j.Spent,
		}}})
		moved++
	}
}
