package gang

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/wire"
)

// phase is how far an attempt has progressed. An attempt of an earlier lead
// begins at adopting.
type phase int

const (
	placing   phase = iota + 1 // the placement record is not in the log yet
	reserving                  // workers reserve resources
	starting
	running
	adopting // placed by an earlier lead; waits for the workers' reports
	stopping // until no worker runs or reserves a part
	settling // the settle record is not in the log yet
)

// verdict is how an attempt ended, as written to its settle record. No record
// is written if the phase is unset.
type verdict struct {
	phase  wire.Phase
	why    string
	faulty []fleet.HostID // workers on which a part failed
}

// run is an attempt of a gang that this lead manages.
type run struct {
	id         fleet.JobID
	spec       *wire.Spec
	attempt    fleet.Attempt
	parts      []place.Part
	owned      bool
	spent      time.Duration // work covered by checkpoints
	since      time.Time     // start of the phase
	phase      phase
	unrecorded bool // started before its placement record was in the log
	checkpoint bool // save a checkpoint before stopping
	pending    map[fleet.HostID]bool
	startedAt  time.Time                  // when all parts had started; zero for an attempt of an earlier lead
	seenAt     map[fleet.HostID]time.Time // when the workers were last asked that reported their parts as running
	released   map[fleet.HostID]bool      // workers that no longer hold a part
	retryAt    map[fleet.HostID]time.Time
	saved      map[fleet.HostID]time.Duration
	failure    string // first order that failed, and why
	verdict    verdict
}

func (r *run) enter(p phase, now time.Time) {
	r.phase, r.since = p, now
	r.pending = map[fleet.HostID]bool{}
}

// noteSeen notes that a worker that was asked at the given time reports its part as running.
func (r *run) noteSeen(id fleet.HostID, at time.Time) {
	if r.seenAt == nil {
		r.seenAt = map[fleet.HostID]time.Time{}
	}
	r.seenAt[id] = at
}

// mayHaveCrashed reports whether a part that its worker has lost was last seen so soon after
// its start that it may have crashed the worker.
func (r *run) mayHaveCrashed(id fleet.HostID) bool {
	return !r.startedAt.IsZero() && r.seenAt[id].Sub(r.startedAt) <= startupTime
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
	for _, w := range r.verdict.faulty {
		s.Faulty = append(s.Faulty, string(w))
	}
	return &wire.Entry{Id: string(r.settleID(b.Lead.Term)), Kind: &wire.Entry_Settle{Settle: s}}
}

// order sends the order for a step to one worker.
func (r *run) order(b *board.Board, part place.Part, step board.Step) {
	r.pending[part.Worker] = true
	limit := OrderTimeout
	if step == board.Save {
		limit = CheckpointTimeout
	}
	b.Do(board.OrderWorker{
		Worker: part.Worker, Addr: workerAddr(b, part.Worker), Step: step, Term: b.Lead.Term,
		Job: r.id, Attempt: r.attempt, Tasks: part.Tasks, Each: fleet.ResOf(r.spec.Each),
		Spent: r.spent, Span: time.Duration(r.spec.Span) * time.Millisecond, Hold: ReservationTTL, Limit: limit,
	})
}

func workerAddr(b *board.Board, id fleet.HostID) string {
	if w := b.Workers[id]; w != nil {
		return w.Host.GetAddr()
	}
	return ""
}

// beginStop begins to stop the gang on all workers. If it is stopping already,
// the first verdict remains, except that a cancellation replaces it: a
// cancelled job must not be queued again.
func (r *run) beginStop(b *board.Board, save bool, v verdict) {
	if r.phase == settling {
		return
	}
	if r.phase == stopping {
		if v.phase == wire.Phase_CANCELLED {
			r.verdict = v
		}
		return
	}
	started := r.phase == running || r.phase == adopting
	if r.phase == placing && !r.unrecorded {
		r.released = workersOf(r.parts)
	} else {
		r.released = map[fleet.HostID]bool{}
	}
	r.verdict, r.checkpoint = v, save && started
	r.retryAt = map[fleet.HostID]time.Time{}
	r.saved = map[fleet.HostID]time.Duration{}
	r.enter(stopping, b.Now)
}

func workersOf(parts []place.Part) map[fleet.HostID]bool {
	out := map[fleet.HostID]bool{}
	for _, p := range parts {
		out[p.Worker] = true
	}
	return out
}

// orderEnded handles the result of an order.
func (r *run) orderEnded(b *board.Board, o board.OrderEnded) {
	delete(r.pending, o.Order.Worker)
	switch o.Order.Step {
	case board.Reserve, board.Start:
		if o.Err != nil && r.failure == "" {
			r.failure = fmt.Sprintf("%s on %s: %v", o.Order.Step, o.Order.Worker, o.Err)
		}
	case board.Save, board.Stop:
		r.stopEnded(b, o)
	}
}

func (r *run) stopEnded(b *board.Board, o board.OrderEnded) {
	if r.phase != stopping {
		return
	}
	w := o.Order.Worker
	if o.Err == nil {
		r.released[w] = true
		r.saved[w] = time.Duration(o.Reply.GetSpent()) * time.Millisecond
		return
	}
	r.retryAt[w] = b.Now.Add(RetryDelay)
	if o.Order.Step == board.Save {
		r.retryAt[w] = b.Now
		r.checkpoint = false
	}
}
