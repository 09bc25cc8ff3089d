package sched

import (
	"slices"
	"strings"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
)

// Copies of ends that the store does not hold yet.
const (
	copyAfter    = 150 * time.Millisecond // an end that is not stored by then is copied; even a slow store mostly takes less
	copyInterval = 200 * time.Millisecond // between two rounds of copies
	copyRefresh  = 20 * time.Second       // an end that is still not stored is copied again, as peers may have been replaced
	maxCopied    = 512                    // ends in one round
	maxKeptEnds  = 8192                   // ends that a daemon keeps for others
)

// endCopies are the copies that the lead has other daemons keep of ends. Load pattern: the
// store is away for seconds while urgent jobs end. Their callers are told once every other
// daemon keeps the end: whoever leads next then knows of it, also if this lead and the worker
// are lost before the end is stored.
type endCopies struct {
	unstored []*job // completed, and possibly not stored yet
	round    uint64
	sentAt   time.Time // when the newest round was sent
	jobs     []*job    // in the newest round
	answers  int       // of peers that keep its ends
}

// keptEnds are the completed jobs of which this daemon knows for the next lead, and when it
// was last told.
type keptEnds map[fleet.JobID]time.Time

// keep adds ends, and drops those that are older than maxAge. It reports false if there are too many.
func (k keptEnds) keep(jobs []string, maxAge time.Duration, now time.Time) bool {
	for id, at := range k {
		if now.Sub(at) > maxAge {
			delete(k, id)
		}
	}
	if len(k)+len(jobs) > maxKeptEnds {
		return false
	}
	for _, id := range jobs {
		k[fleet.JobID(id)] = now
	}
	return true
}

func (k keptEnds) ids() []string {
	var out []string
	for id := range k {
		out = append(out, string(id))
	}
	slices.Sort(out)
	return out
}

// KeepEnds keeps the ends that a lead asks this daemon to keep, and returns all that it keeps to a
// daemon that asks for them. Those of a lead that has been replaced are not kept, as the next one may
// have begun without them.
func (sc *Scheduler) KeepEnds(ask *wire.EndsAsk) *wire.EndsReply {
	known := sc.Elect.Lead().Term
	r := &wire.EndsReply{Term: int64(known)}
	switch {
	case ask.Term == 0:
		r.Jobs = sc.kept.ids()
	case fleet.Term(ask.Term) >= known:
		r.Kept = sc.kept.keep(ask.Jobs, sc.limits.Status, sc.now)
	}
	return r
}

// noteCompleted notes a job that has completed and is to be stored.
func (sc *Scheduler) noteCompleted(j *job) {
	if j.Stage() == wire.Stage_COMPLETED {
		sc.copies.unstored = append(sc.copies.unstored, j)
	}
}

// copyEnds has the other daemons keep the ends that are not stored in time.
func (sc *Scheduler) copyEnds() {
	c := &sc.copies
	if len(c.unstored) == 0 || !sc.Elect.HasOthers() || !c.sentAt.IsZero() && sc.now.Sub(c.sentAt) < copyInterval {
		return
	}
	c.unstored = slices.DeleteFunc(c.unstored, func(j *job) bool { return sc.jobs[j.ID] != j || !sc.unstored(j) })
	var due []*job
	for _, j := range c.unstored {
		if sc.copyDue(j) && len(due) < maxCopied {
			due = append(due, j)
		}
	}
	if len(due) == 0 {
		return
	}
	c.round++
	c.sentAt, c.jobs, c.answers = sc.now, due, 0
	sc.emit(AskEnds{Round: c.round, Ask: &wire.EndsAsk{Term: int64(sc.term), Jobs: jobIDs(due)}})
}

func (sc *Scheduler) copyDue(j *job) bool {
	if !j.copiedAt.IsZero() {
		return sc.now.Sub(j.copiedAt) >= copyRefresh
	}
	return sc.outbox.stuck(sc.now) || sc.now.Sub(j.Ended) >= copyAfter
}

func jobIDs(jobs []*job) []string {
	var out []string
	for _, j := range jobs {
		out = append(out, string(j.ID))
	}
	return out
}

// handleEnds processes a peer's answer to AskEnds: that it keeps this lead's ends, or the ends
// that it keeps of a former lead.
func (sc *Scheduler) handleEnds(e EndsAnswered) {
	if e.Round == 0 {
		sc.kept.keep(e.Reply.Jobs, sc.limits.Status, sc.now)
		sc.gathering.answers++
		sc.adoptEnds()
		return
	}
	c := &sc.copies
	if sc.mode != leading || e.Round != c.round {
		return
	}
	if fleet.Term(e.Reply.Term) > sc.term {
		sc.stepDown("a peer knows a newer lead", fleet.Term(e.Reply.Term))
		return
	}
	if !e.Reply.Kept {
		return
	}
	if c.answers++; !sc.Elect.Everyone(c.answers) {
		return
	}
	sc.kept.keep(jobIDs(c.jobs), sc.limits.Status, sc.now)
	for _, j := range c.jobs {
		j.copiedAt = sc.now
	}
	sc.logf(event.EndsCopied, string(sc.self.Host), "term=%d peers=%d after=%s jobs=%s", sc.term, c.answers, age(sc.now, c.sentAt), strings.Join(jobIDs(c.jobs), ","))
}

// gathering is the search for ends that other daemons keep.
type gathering struct {
	askedAt time.Time
	answers int
}

// gatherEnds asks other daemons for the ends that they keep: when this daemon starts, so that
// it knows them if the others are replaced next, and when it takes the lead.
func (sc *Scheduler) gatherEnds() {
	sc.gathering = gathering{askedAt: sc.now}
	sc.emit(AskEnds{Ask: &wire.EndsAsk{}})
}

// endsGathered reports whether the ends that others keep are known, as far as they answer. Until
// then, nothing is started again that ran under a former lead.
func (sc *Scheduler) endsGathered() bool {
	g := sc.gathering
	return sc.now.Sub(g.askedAt) >= elect.AskTimeout || sc.Elect.AllAsked(g.answers)
}

// adoptEnds completes the jobs whose callers may have been told by a former lead.
func (sc *Scheduler) adoptEnds() {
	if sc.mode != leading {
		return
	}
	for id := range sc.kept {
		j, ok := sc.jobs[id]
		if !ok || j.HasEnded() {
			continue
		}
		sc.logf(event.EndsAdopted, string(id), "queue=%s term=%d", j.Spec.Queue, sc.term)
		j.Complete(sc.now)
		sc.noteCompleted(j)
		sc.outbox.markDirty(j)
		sc.changed = true
	}
}
