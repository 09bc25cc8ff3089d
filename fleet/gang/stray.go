package gang

import (
	"fmt"
	"sort"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/wire"
)

// orphan names a part on a worker that no attempt in hand accounts for.
type orphan struct {
	worker  fleet.HostID
	job     fleet.JobID
	attempt fleet.Attempt
}

// strays looks for gangs that workers report and this lead does not know: whole
// ones that an earlier lead started while the log was down are kept, ended ones
// forgotten, the rest stopped.
func (c *Control) strays(b *board.Board) {
	if !b.Lead.Ready {
		return
	}
	found := map[orphan][]place.Part{}
	for id, w := range b.Workers {
		for _, rep := range w.Reports {
			if !c.stray(w, rep) {
				continue
			}
			key := orphan{job: fleet.JobID(rep.Job), attempt: fleet.Attempt(rep.Attempt)}
			found[key] = append(found[key], place.Part{Worker: id, Tasks: int(rep.Tasks)})
		}
	}
	for key, list := range found {
		sort.Slice(list, func(x, y int) bool { return list[x].Worker < list[y].Worker })
		if !c.adoptStray(b, key, list) {
			c.clearStray(b, key, list)
		}
	}
}

func (c *Control) stray(w *board.Worker, rep *wire.Report) bool {
	r := c.runs[fleet.JobID(rep.Job)]
	if r == nil {
		return true
	}
	return r.attempt > fleet.Attempt(rep.Attempt) && w.Asked.After(r.since)
}

// adoptStray takes over a whole gang whose placement the log never got.
func (c *Control) adoptStray(b *board.Board, key orphan, list []place.Part) bool {
	j := b.State.Jobs[key.job]
	if j.GetPhase() != wire.Phase_QUEUED || j.Home != string(b.Self.Domain) || fleet.Attempt(j.Attempt)+1 != key.attempt {
		return false
	}
	tasks := 0
	for _, p := range list {
		rep := b.Workers[p.Worker].Report(key.job, key.attempt)
		if rep.Run != wire.Run_RUNNING && rep.Run != wire.Run_ENDED {
			return false
		}
		tasks += p.Tasks
	}
	if tasks != int(j.Spec.Tasks) {
		return false
	}
	r := &run{id: key.job, spec: j.Spec, attempt: key.attempt, parts: list, since: b.Now, phase: running, blind: true}
	if !b.Append(r.placeEntry(b, "found running whole by a new lead")) {
		return false
	}
	c.runs[key.job] = r
	c.plan.Remove(key.job)
	c.plan.Restore(Job(j), list, false, b.Now)
	b.Note(event.JobAdopted, string(key.job), fmt.Sprintf("attempt %d ran whole without a record", key.attempt))
	return true
}

// clearStray lets workers forget a part, and stops it if it runs.
func (c *Control) clearStray(b *board.Board, key orphan, list []place.Part) {
	for _, p := range list {
		at := orphan{worker: p.Worker, job: key.job, attempt: key.attempt}
		if last, ok := c.orphans[at]; ok && b.Now.Sub(last) < OrphanSpan {
			continue
		}
		c.orphans[at] = b.Now
		w := b.Workers[p.Worker]
		if w.Report(key.job, key.attempt).Run == wire.Run_RUNNING {
			b.Note(event.JobOrphan, string(key.job), fmt.Sprintf("attempt %d on %s is stopped", key.attempt, p.Worker))
		}
		b.Do(board.OrderWorker{
			Worker: p.Worker, Addr: w.Host.Addr, Step: board.Stop, Term: b.Lead.Term,
			Job: key.job, Attempt: key.attempt, Limit: OrderSpan,
		})
	}
	for at, last := range c.orphans {
		if b.Now.Sub(last) > 10*OrphanSpan {
			delete(c.orphans, at)
		}
	}
}
