package sched

import (
	"fmt"

	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

// Memory that accepted work takes on a lead, in bytes. It covers the state, the records while they are
// read or written, and what the garbage collector has not freed yet.
const (
	jobBytes   = 6 << 10
	taskBytes  = 768 // with its run
	specCopies = 4   // of a job's record
)

// budgetShare is the share of the smallest daemon's memory that accepted work may take: any daemon may
// have to lead. The others are for calls, the garbage collector, and the program itself.
const budgetShare = 0.25

// overdueShare is the share of that beyond which rounds of a job wait for the one before, so that new
// jobs are still accepted.
const overdueShare = 0.5

// Limits of records in the store.
const (
	pieceBytes  = 128 // upper bound on the stored progress of a task with a checkpoint of usual length
	recordSlack = 512 // for a record's key and fixed fields
)

// budget returns how much memory accepted work may take, 0 if the daemons' memory is not known.
func (sc *Scheduler) budget() int64 { return int64(budgetShare * float64(sc.memory) * (1 << 20)) }

// recordTasks returns for how many tasks a record holds the progress, 0 if records have no known limit.
func (sc *Scheduler) recordTasks() int { return max(sc.limits.Record-recordSlack, 0) / pieceBytes }

// footprintOf returns the memory that a job takes with the state of a number of tasks.
func footprintOf(j *job, tasks int) int64 {
	return jobBytes + specCopies*int64(j.specBytes) + taskBytes*int64(tasks)
}

// account updates the memory that a job is accounted for. One round of a job that has not ended always
// counts, so that each accepted job can go on.
func (sc *Scheduler) account(j *job) {
	tasks := j.Tasks()
	if !j.HasEnded() {
		tasks = max(tasks, j.RoundTasks())
	}
	after := footprintOf(j, tasks)
	sc.held += after - j.footprint
	j.footprint = after
}

// removeJob removes a job.
func (sc *Scheduler) removeJob(j *job) {
	delete(sc.jobs, j.ID)
	sc.held -= j.footprint
	j.footprint = 0
	sc.forgetRounds(j, j.Rounds)
}

// refusedBySize returns why a job cannot be held, or an empty string. Load pattern: jobs of any shape, many of them, with
// many rounds, wide steps or long texts. What is accepted must fit into the memory of whichever daemon leads next, and
// into the records of the store.
func (sc *Scheduler) refusedBySize(j *job) string {
	if limit := sc.limits.Record - recordSlack; sc.limits.Record > 0 && j.specBytes > limit {
		return fmt.Sprintf("the job takes %d bytes, and a record of the store holds %d", j.specBytes, limit)
	}
	if limit := sc.recordTasks(); limit > 0 && j.RoundTasks() > limit {
		return fmt.Sprintf("a round of the job has %d tasks, and a record of the store holds the progress of %d", j.RoundTasks(), limit)
	}
	need, budget := footprintOf(j, j.RoundTasks()), sc.budget()
	switch {
	case budget == 0 || sc.held+need <= budget:
		return ""
	case need > budget:
		return fmt.Sprintf("the job takes %d KiB of memory, and the daemons of the site hold %d KiB of accepted work", need>>10, budget>>10)
	}
	return fmt.Sprintf("the job takes %d KiB of memory, and accepted work already takes %d KiB of the %d KiB that the daemons of the site hold", need>>10, sc.held>>10, budget>>10)
}

// turnRounds closes the rounds of a job that repeats that have ended, and lets those that are due begin to count.
// Beyond the first, they wait while the memory or the record has no room.
func (sc *Scheduler) turnRounds(j *job) {
	if !j.Repeats() {
		return
	}
	closed := j.Close()
	sc.forgetRounds(j, closed)
	opened := j.OpenDue(sc.now, func() bool { return len(j.Rounds) == 0 || sc.hasRoomFor(j) })
	if opened || len(closed) > 0 {
		sc.account(j)
	}
}

// hasRoomFor reports whether there is room for one more round of a job.
func (sc *Scheduler) hasRoomFor(j *job) bool {
	sc.account(j)
	n, limit, budget := j.RoundTasks(), sc.recordTasks(), sc.budget()
	return (limit == 0 || j.Tasks()+n <= limit) && (budget == 0 || sc.held+taskBytes*int64(n) <= int64(overdueShare*float64(budget)))
}

// clearEnded frees the state of a job's tasks once its end is stored and none is on a worker.
func (sc *Scheduler) clearEnded(j *job) {
	if !j.endStored || len(j.Rounds) == 0 || sc.unstored(j) {
		return
	}
	if closed := j.Clear(); closed != nil {
		sc.forgetRounds(j, closed)
		sc.account(j)
	}
}

// trackOf returns the record of a job's progress. Of one that has grown beyond what the store takes, by checkpoints
// of unusual length, those are left out that do not fit: their tasks start from the beginning if they are lost.
func (sc *Scheduler) trackOf(j *job) *wire.Track {
	t := j.Track(sc.limited(), j.madeAt)
	limit := sc.limits.Record - recordSlack
	if sc.limits.Record == 0 || j.Tasks()*pieceBytes <= limit && !longCheckpoints(t) || proto.Size(t) <= limit {
		return t
	}
	cut := 0
	for i := len(t.Pieces) - 1; i >= 0 && proto.Size(t) > limit; i-- {
		if t.Pieces[i].Saved != "" {
			t.Pieces[i].Saved = ""
			cut++
		}
	}
	sc.logf(event.RecordCut, string(j.ID), "tasks=%d checkpoints=%d limit=%d", j.Tasks(), cut, limit)
	return t
}

// usualCheckpoint is the length of a checkpoint that pieceBytes allows for.
const usualCheckpoint = 32

func longCheckpoints(t *wire.Track) bool {
	for _, p := range t.Pieces {
		if len(p.Saved) > usualCheckpoint {
			return true
		}
	}
	return false
}
