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

// orphan identifies a part that a worker reports and no attempt of this lead
// covers.
type orphan struct {
	worker  fleet.HostID
	job     fleet.JobID
	attempt fleet.Attempt
}

// handleOrphans looks for gangs that workers report and this lead does not
// know. It adopts complete ones that an earlier lead started while the log was
// down. All others are stopped on their workers, which also makes the workers
// forget parts that have ended.
func (c *Controller) handleOrphans(b *board.Board) {
	if !b.Lead.Ready {
		return
	}
	found := map[orphan][]place.Part{}
	for id, w := range b.Workers {
		for _, rep := range w.Reports {
			if !c.isOrphan(w, rep) {
				continue
			}
			key := orphan{job: fleet.JobID(rep.Job), attempt: fleet.Attempt(rep.Attempt)}
			found[key] = append(found[key], place.Part{Worker: id, Tasks: int(rep.Tasks)})
		}
	}
	for key, list := range found {
		sort.Slice(list, func(x, y int) bool { return list[x].Worker < list[y].Worker })
		if !c.adoptOrphan(b, key, list) {
			c.stopOrphan(b, key, list)
		}
	}
}

func (c *Controller) isOrphan(w *board.Worker, rep *wire.Report) bool {
	r := c.runs[fleet.JobID(rep.Job)]
	if r == nil {
		return true
	}
	return r.attempt > fleet.Attempt(rep.Attempt) && w.AskedAt.After(r.since)
}

// adoptOrphan takes over a gang of which all parts run or have ended, but whose
// placement record never reached the log.
func (c *Controller) adoptOrphan(b *board.Board, key orphan, list []place.Part) bool {
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
	r := &run{id: key.job, spec: j.Spec, attempt: key.attempt, parts: list, since: b.Now, phase: running, unrecorded: true}
	if !b.Append(r.placeEntry(b, "found running on all of its workers by a new lead")) {
		return false
	}
	c.runs[key.job] = r
	c.plan.Remove(key.job)
	c.plan.Restore(Job(j), list, false, b.Now)
	b.Emit(event.JobAdopted, string(key.job), fmt.Sprintf("attempt %d runs on all of its workers without a placement record", key.attempt))
	return true
}

// stopOrphan orders workers to stop a part, if it runs, and to forget it.
func (c *Controller) stopOrphan(b *board.Board, key orphan, list []place.Part) {
	for _, p := range list {
		at := orphan{worker: p.Worker, job: key.job, attempt: key.attempt}
		if last, ok := c.orphanStops[at]; ok && b.Now.Sub(last) < OrphanStopInterval {
			continue
		}
		c.orphanStops[at] = b.Now
		w := b.Workers[p.Worker]
		if w.Report(key.job, key.attempt).Run == wire.Run_RUNNING {
			b.Emit(event.JobOrphan, string(key.job), fmt.Sprintf("stopping attempt %d on %s, which this lead does not know", key.attempt, p.Worker))
		}
		b.Do(board.OrderWorker{
			Worker: p.Worker, Addr: w.Host.Addr, Step: board.Stop, Term: b.Lead.Term,
			Job: key.job, Attempt: key.attempt, Limit: OrderTimeout,
		})
	}
	for at, last := range c.orphanStops {
		if b.Now.Sub(last) > 10*OrphanStopInterval {
			delete(c.orphanStops, at)
		}
	}
}
