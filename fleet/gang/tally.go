package gang

import (
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/wire"
)

// tally summarizes the workers' reports of an attempt.
type tally struct {
	ended   int
	live    int
	missing []fleet.HostID // workers that certainly do not run their part
	crashed []fleet.HostID // those of them that lost it soon after it started
	silent  int            // parts without a conclusive report since the phase began
	broken  []fleet.HostID
	why     string
}

func (c *Controller) tally(b *board.Board, r *run) tally {
	var t tally
	for _, p := range r.parts {
		w := b.Workers[p.Worker]
		if w == nil || w.Lost {
			t.lose(r, p.Worker)
			continue
		}
		rep := w.Report(r.id, r.attempt)
		if !w.Reported || !w.AskedAt.After(r.since) && mayPredateStart(rep) {
			t.silent++
			continue
		}
		if rep == nil {
			t.lose(r, p.Worker)
			continue
		}
		t.count(p.Worker, rep)
		if rep.Run == wire.Run_RUNNING {
			r.noteSeen(p.Worker, w.AskedAt)
		}
	}
	return t
}

// lose counts a part that its worker does not know any more.
func (t *tally) lose(r *run, id fleet.HostID) {
	t.missing = append(t.missing, id)
	if r.mayHaveCrashed(id) {
		t.crashed = append(t.crashed, id)
	}
}

// mayPredateStart reports whether a report may describe the time before the worker
// started its part.
func mayPredateStart(rep *wire.Report) bool { return rep == nil || rep.Run == wire.Run_HELD }

func (t *tally) count(id fleet.HostID, rep *wire.Report) {
	switch {
	case rep.Run == wire.Run_STOPPED || rep.Run == wire.Run_HELD:
		t.missing = append(t.missing, id)
	case rep.Run == wire.Run_ENDED:
		t.ended++
	case rep.Run == wire.Run_BROKEN:
		t.broken = append(t.broken, id)
		t.why = rep.Why
	default:
		t.live++
	}
}
