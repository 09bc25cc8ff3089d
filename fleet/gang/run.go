package gang

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/wire"
)

// phase is how far an attempt of a gang has come.
type phase int

const (
	placing   phase = iota + 1 // its placement is on the way to the log
	reserving                  // workers set room aside
	starting
	running
	adopting // placed by an earlier lead, workers are asked
	stopping // until no worker holds a part
	settled  // its end is on the way to the log
)

// verdict is what the log is told of the end of an attempt. Without a phase it
// is told nothing.
type verdict struct {
	phase wire.Phase
	why   string
	on    []fleet.HostID // workers that broke the gang
}

// run is one attempt of a gang in the hands of this lead.
type run struct {
	id      fleet.JobID
	spec    *wire.Spec
	attempt fleet.Attempt
	parts   []place.Part
	owned   bool
	spent   time.Duration // work saved
	since   time.Time     // when the phase was entered
	phase   phase
	blind   bool // started before the log had its placement
	save    bool // checkpoint before the stop
	pending map[fleet.HostID]bool
	cleared map[fleet.HostID]bool // these hold no part any more
	again   map[fleet.HostID]time.Time
	saved   map[fleet.HostID]time.Duration
	broke   string // why an order failed
	verdict verdict
}

func (r *run) enter(p phase, now time.Time) {
	r.phase, r.since = p, now
	r.pending = map[fleet.HostID]bool{}
}

func (r *run) placeID(t fleet.Term) fleet.EntryID {
	return fleet.EntryID(fmt.Sprintf("place/%s/%d/%d", r.id, r.attempt, t))
}

func (r *run) settleID(t fleet.Term) fleet.EntryID {
	return fleet.EntryID(fmt.Sprintf("settle/%s/%d/%d", r.id, r.attempt, t))
}

func (r *run) placeEntry(b *board.Board, why string) *wire.Entry {
	p := &wire.Place{
		Job: string(r.id), Attempt: int32(r.attempt), Term: int64(b.Lead.Term),
		Domain: string(b.Self.Domain), Owned: r.owned, Why: why,
	}
	for _, part := range r.parts {
		p.Parts = append(p.Parts, &wire.Part{Worker: string(part.Worker), Tasks: int32(part.Tasks)})
	}
	return &wire.Entry{Id: string(r.placeID(b.Lead.Term)), Kind: &wire.Entry_Place{Place: p}}
}

func (r *run) settleEntry(b *board.Board) *wire.Entry {
	s := &wire.Settle{
		Job: string(r.id), Attempt: int32(r.attempt), Term: int64(b.Lead.Term),
		Phase: r.verdict.phase, Why: r.verdict.why, Spent: r.spent.Milliseconds(),
	}
	for _, w := range r.verdict.on {
		s.Faulty = append(s.Faulty, string(w))
	}
	return &wire.Entry{Id: string(r.settleID(b.Lead.Term)), Kind: &wire.Entry_Settle{Settle: s}}
}

// order gives a step to one worker.
func (r *run) order(b *board.Board, part place.Part, step board.Step) {
	r.pending[part.Worker] = true
	limit := OrderSpan
	if step == board.Save {
		limit = SaveSpan
	}
	b.Do(board.OrderWorker{
		Worker: part.Worker, Addr: addr(b, part.Worker), Step: step, Term: b.Lead.Term,
		Job: r.id, Attempt: r.attempt, Tasks: part.Tasks, Each: fleet.ResOf(r.spec.Each),
		Spent: r.spent, Span: time.Duration(r.spec.Span) * time.Millisecond, Hold: HoldSpan, Limit: limit,
	})
}

func addr(b *board.Board, id fleet.HostID) string {
	if w := b.Workers[id]; w != nil {
		return w.Host.GetAddr()
	}
	return ""
}

// halt begins to stop the gang everywhere. A verdict once given stands, but a
// cancelled job does not go back to the queue.
func (r *run) halt(b *board.Board, save bool, v verdict) {
	if r.phase == settled {
		return
	}
	if r.phase == stopping {
		if v.phase == wire.Phase_CANCELLED {
			r.verdict = v
		}
		return
	}
	started := r.phase == running || r.phase == adopting
	if r.phase == placing && !r.blind {
		r.cleared = all(r.parts)
	} else {
		r.cleared = map[fleet.HostID]bool{}
	}
	r.verdict, r.save = v, save && started
	r.again = map[fleet.HostID]time.Time{}
	r.saved = map[fleet.HostID]time.Duration{}
	r.enter(stopping, b.Now)
}

func all(parts []place.Part) map[fleet.HostID]bool {
	out := map[fleet.HostID]bool{}
	for _, p := range parts {
		out[p.Worker] = true
	}
	return out
}

// ordered takes the end of an order.
func (r *run) ordered(b *board.Board, o board.Ordered) {
	delete(r.pending, o.Order.Worker)
	switch o.Order.Step {
	case board.Reserve, board.Start:
		if o.Err != nil && r.broke == "" {
			r.broke = fmt.Sprintf("%s on %s: %v", o.Order.Step, o.Order.Worker, o.Err)
		}
	case board.Save, board.Stop:
		r.stopped(b, o)
	}
}

func (r *run) stopped(b *board.Board, o board.Ordered) {
	if r.phase != stopping {
		return
	}
	w := o.Order.Worker
	if o.Err == nil {
		r.cleared[w] = true
		r.saved[w] = time.Duration(o.Reply.GetSpent()) * time.Millisecond
		return
	}
	r.again[w] = b.Now.Add(AgainSpan)
	if o.Order.Step == board.Save {
		r.again[w] = b.Now
		r.save = false
	}
}
