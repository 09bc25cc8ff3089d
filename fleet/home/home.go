package home

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/wire"
)

// Bounds of moves.
const (
	RoundSpan = 2 * time.Second
	// HurrySpan is the time between rounds while the domain is out.
	HurrySpan = 200 * time.Millisecond
	// MaxMoves is how many jobs one round gives away.
	MaxMoves = 32
)

// Control is the controller of homes.
type Control struct {
	last time.Time // when the last round was
}

// New returns the controller.
func New() *Control { return &Control{} }

// Step gives waiting jobs to domains with room and moves guarantees out of
// domains that are out.
func (c *Control) Step(b *board.Board) {
	if b.Now.Sub(c.last) < span(b) || !b.Lead.Mine || b.Log.Blind || b.Leaving {
		return
	}
	c.last = b.Now
	if b.Lead.Ready {
		c.give(b)
	}
	if c.steward(b) {
		c.rehome(b)
		c.takeLost(b)
	}
}

func span(b *board.Board) time.Duration {
	if b.State.Out(b.Self.Domain) {
		return HurrySpan
	}
	return RoundSpan
}

// give moves jobs that wait here to where there is room now.
func (c *Control) give(b *board.Board) {
	atlas := NewAtlas(b)
	moved := 0
	out := b.State.Out(b.Self.Domain)
	for _, j := range b.State.Live() {
		if moved == MaxMoves {
			return
		}
		if j.Phase != wire.Phase_QUEUED || j.Home != string(b.Self.Domain) {
			continue
		}
		if !out && b.Now.Sub(time.UnixMilli(j.Since)) < place.StaySpan {
			continue // without the cost of a look at the load
		}
		if c.move(b, atlas, j) {
			moved++
		}
	}
}

func (c *Control) move(b *board.Board, atlas *Atlas, j *wire.Job) bool {
	need := fleet.ResOf(j.Spec.Each).Times(int(j.Spec.Tasks))
	views := atlas.For(j.Spec)
	from := fleet.DomainID(j.Home)
	to := place.Move(place.Stay{
		Need: need, Home: from,
		Here: b.Now.Sub(time.UnixMilli(j.Since)), Age: b.Now.Sub(time.UnixMilli(j.Begun)),
	}, views)
	if to == "" {
		return false
	}
	atlas.views[to].Queued = atlas.views[to].Queued.Add(need)
	if v := atlas.views[from]; v != nil {
		v.Queued = v.Queued.Sub(need)
	}
	return b.Append(&wire.Entry{Id: string(board.MoveID(j)), Kind: &wire.Entry_Move{Move: &wire.Move{
		Job: j.Spec.Id, Attempt: j.Attempt, From: j.Home, To: string(to),
		Term: int64(b.State.Term(from)), Why: "it may start there sooner, or its own domain is out",
	}}})
}

// steward reports whether this daemon leads the first domain in service, and
// so looks after what no other lead does.
func (c *Control) steward(b *board.Board) bool {
	for id := range b.Domains() {
		if id < b.Self.Domain && !b.State.Out(id) && b.State.Domains[id].GetLead() != "" {
			return false
		}
	}
	return !b.State.Out(b.Self.Domain)
}

func (c *Control) rehome(b *board.Board) {
	for _, w := range b.State.Spaces {
		to := Rehome(b, w)
		if to == nil {
			continue
		}
		id := fmt.Sprintf("rehome/%s/%d", w.Name, b.State.Config)
		b.Append(&wire.Entry{Id: id, Kind: &wire.Entry_Space{Space: &wire.Space{
			Name: w.Name, Shapes: w.Shapes, Quota: w.Quota, Homes: to, Rev: w.Rev, Seen: int64(b.State.Config),
		}}})
		return // the next one is weighed with this one in force
	}
}

// takeLost requeues and moves the jobs of domains that operators gave up.
func (c *Control) takeLost(b *board.Board) {
	atlas := NewAtlas(b)
	moved := 0
	for _, j := range b.State.Live() {
		d := b.State.Domains[fleet.DomainID(j.Home)]
		if moved == MaxMoves || !d.GetOut() || d.Drain != wire.Drain_LOST {
			continue
		}
		if j.Phase == wire.Phase_QUEUED {
			c.move(b, atlas, j)
			moved++
			continue
		}
		id := fmt.Sprintf("lost/%s/%d/%d", j.Spec.Id, j.Attempt, d.Rev)
		b.Append(&wire.Entry{Id: id, Kind: &wire.Entry_Settle{Settle: &wire.Settle{
			Job: j.Spec.Id, Attempt: j.Attempt, Term: d.Term, Phase: wire.Phase_QUEUED,
			Why: j.Home + " is lost", Spent: j.Spent,
		}}})
		moved++
	}
}
