package sched

import (
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/pool"
	"dragonflydeck.example/fleet/voter"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

// Limits of appends to the store.
const (
	maxBatchBytes    = 512 << 10               // of accepted jobs, a quarter of the platform's limit for one call
	maxTrackBytes    = 1 << 20                 // of the progress of jobs, half of that limit; a further record still fits
	appendRetry      = 100 * time.Millisecond  // delay before a failed append is sent again
	minAppendTimeout = 500 * time.Millisecond  // without an answer by then, the store is read to see whether the append took effect
	minStuckAfter    = 600 * time.Millisecond  // an append normally takes milliseconds; after this long the store counts as unavailable
	slowStoreFactor  = 3                       // timeout relative to the duration of the last call, so that a slow store is not taken for an unavailable one
	maxAppendTimeout = 1500 * time.Millisecond // half of the callers' time limit
	checkRetry       = 250 * time.Millisecond  // longer than a read of a slow store takes; a second read is then sent, as the first may hang on a dead connection
)

// outbox holds what must be stored before it takes effect. Only one batch is in
// flight; what arrives meanwhile goes into the next one, so that a burst needs few
// appends.
type outbox struct {
	end      fleet.Offset
	callTook time.Duration // duration of the call that showed that the last batch is stored: its append, or a read
	batchNo  uint64
	inFlight *batch
	accepted []*job
	cancels  []pendingCancel
	dirty    []*job
	starts   []pendingStart
	stored   []pendingStart // their placements are stored; sent once the list of workers is current
	deletes  []fleet.JobID  // ended jobs whose records are to be deleted
}

// pendingCancel is a caller whose cancellation has not been stored yet.
type pendingCancel struct {
	job      *job
	waiter   Waiter
	deadline time.Time
}

// pendingStart is a start that is sent once the placement of its task is stored.
type pendingStart struct {
	host fleet.HostID
	run  *pool.Run
}

// batch is an append in flight.
type batch struct {
	records   []fleet.Record
	offset    fleet.Offset
	firstTry  time.Time // when it was first sent
	retryAt   time.Time // earliest time of the next attempt; zero while an attempt is in flight
	uncertain bool      // the store is being read to see whether it took effect
	failures  int       // attempts and reads that failed
	doubtful  bool      // an attempt got no answer, so it may have taken effect, or may still do so
	checkedAt time.Time // when that read was last sent
	accepted  []*job
	cancels   []pendingCancel
	ended     []*job // whose ends it holds
	reported  []jobEnds
	starts    []pendingStart
	speeds    []*wire.Speed
	roll      *voter.Roll  // its record of the voters; nil if it has none
	ends      []workerEnds // that may be acknowledged once the batch is stored
}

// jobEnds are ends of a job's runs that a batch holds.
type jobEnds struct {
	job *job
	reportedEnds
}

// workerEnds are the run ends that a process of a worker has reported. A later process numbers its
// ends from the beginning.
type workerEnds struct {
	worker *pool.Worker
	inc    fleet.Incarnation
	newest fleet.EndNo
}

// stuck reports whether the store seems to be unavailable.
func (b *outbox) stuck(now time.Time) bool {
	return b.inFlight != nil && now.Sub(b.inFlight.firstTry) > b.appendTimeout(minStuckAfter)
}

// When calls to the store that fail, rather than remain without an answer, show that the store
// is unavailable to this daemon.
const (
	failingAfter = 250 * time.Millisecond // longer than a moment of overload
	minFailures  = 2                      // a single call may fail with its connection
)

// blind reports whether the store seems to be unavailable to this daemon: it does not answer, or
// calls to it fail again and again.
func (b *outbox) blind(now time.Time) bool {
	s := b.inFlight
	return b.stuck(now) || s != nil && s.failures >= minFailures && now.Sub(s.firstTry) >= failingAfter
}

// appendTimeout returns how long an append may take: least, or longer while the
// store is slow. A store that is a hundred times slower than usual but still accepts
// every append must not count as unavailable.
func (b *outbox) appendTimeout(least time.Duration) time.Duration {
	return max(least, min(slowStoreFactor*b.callTook, maxAppendTimeout))
}

// markDirty queues a job's progress for the next batch.
func (b *outbox) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		b.dirty = append(b.dirty, j)
	}
}

// flush sends the next batch, or continues with the one in flight.
func (sc *Scheduler) flush() {
	b := &sc.outbox
	if b.inFlight != nil {
		sc.resumeBatch(b.inFlight)
		return
	}
	if len(b.accepted)+len(b.cancels)+len(b.dirty)+len(b.deletes) == 0 && !sc.rollDue() {
		sc.acknowledgeEnds()
		return
	}
	b.batchNo++
	b.inFlight = sc.buildBatch()
	sc.sendBatch(b.inFlight)
}

// undone reports whether the batch is certainly not stored and no attempt to store it
// is in flight.
func (s *batch) undone() bool { return !s.doubtful && !s.retryAt.IsZero() }

// resumeBatch sends a batch again, or repeats the read that tells whether it took
// effect.
func (sc *Scheduler) resumeBatch(s *batch) {
	switch {
	case s.uncertain && sc.now.Sub(s.checkedAt) >= checkRetry:
		sc.checkBatch(s)
	case !s.retryAt.IsZero() && !sc.now.Before(s.retryAt):
		s.retryAt = time.Time{}
		sc.sendBatch(s)
	}
}

func (sc *Scheduler) sendBatch(s *batch) {
	sc.emit(Append{sc.outbox.batchNo, s.offset, s.records, sc.outbox.appendTimeout(minAppendTimeout)})
}

// checkBatch reads the store to see whether a batch took effect.
func (sc *Scheduler) checkBatch(s *batch) {
	s.uncertain, s.checkedAt = true, sc.now
	sc.emit(Check{sc.outbox.batchNo, s.offset})
}

// acknowledgeEnds lets workers discard the run ends that require nothing to be
// stored.
func (sc *Scheduler) acknowledgeEnds() {
	if !sc.endsToAcknowledge {
		return
	}
	sc.endsToAcknowledge = false
	for _, w := range sc.pool.Workers {
		w.EndsStored = max(w.EndsStored, w.EndsSeen)
	}
}

func (sc *Scheduler) buildBatch() *batch {
	b := &sc.outbox
	s := &batch{offset: b.end, firstTry: sc.now}
	// Deletions come first, as a job may be submitted anew under the id of a forgotten one.
	for _, id := range b.deletes {
		s.records = append(s.records, fleet.Record{Key: flowKey + string(id)}, fleet.Record{Key: trackKey + string(id)})
	}
	size := 0
	n := 0
	for _, j := range b.accepted {
		if size > maxBatchBytes {
			break
		}
		size += s.addRecord(flowKey+string(j.ID), j.Spec)
		n++
	}
	s.accepted, b.accepted = b.accepted[:n:n], b.accepted[n:]
	var later []*job
	trackBytes := 0
	for _, j := range b.dirty {
		switch {
		case sc.jobs[j.ID] != j:
		case slices.Contains(b.accepted, j):
			later = append(later, j) // its progress must not be stored before the job itself
		case trackBytes > maxTrackBytes:
			later = append(later, j)
		default:
			j.dirty, j.lastBatch, j.madeAt = false, b.batchNo, sc.clock.Read(sc.now)
			trackBytes += s.addRecord(trackKey+string(j.ID), sc.trackOf(j))
			if j.HasEnded() {
				s.ended = append(s.ended, j)
			}
			if j.unstoredEnds.count > 0 {
				s.reported = append(s.reported, jobEnds{j, j.unstoredEnds})
				j.unstoredEnds = reportedEnds{}
			}
		}
	}
	sc.addSpeedRecords(s)
	sc.addRoll(s)
	cancels, starts := b.cancels, b.starts
	b.cancels, b.starts, b.dirty, b.deletes = nil, nil, later, nil
	for _, d := range cancels {
		if slices.Contains(later, d.job) {
			b.cancels = append(b.cancels, d)
			continue
		}
		s.cancels = append(s.cancels, d)
	}
	for _, o := range starts {
		if j := sc.jobs[o.run.Task.Job]; j != nil && j.dirty {
			b.starts = append(b.starts, o)
			continue
		}
		s.starts = append(s.starts, o)
	}
	if trackBytes > maxTrackBytes {
		return s // it may lack reported ends, so that none may be acknowledged yet
	}
	for _, w := range sc.pool.Sorted() {
		if w.EndsSeen > w.EndsStored {
			s.ends = append(s.ends, workerEnds{w, w.Inc, w.EndsSeen})
		}
	}
	return s
}

func (s *batch) addRecord(key string, m proto.Message) int {
	value, err := proto.Marshal(m)
	if err != nil {
		// Cannot fail: every string of a message was checked when it was decoded.
		panic(err)
	}
	s.records = append(s.records, fleet.Record{Key: key, Value: value})
	return len(value)
}

func (sc *Scheduler) handleAppended(e Appended) {
	b := &sc.outbox
	if b.inFlight == nil || e.Batch != b.batchNo {
		return
	}
	if e.Err == nil {
		sc.commit(e.End, e.SentAt)
		return
	}
	if b.inFlight.uncertain {
		return // answer to an earlier attempt; the read in progress shows more
	}
	switch fleet.KindOf(e.Err) {
	case fleet.Moved:
		sc.checkBatch(b.inFlight)
	case fleet.OutcomeUnknown:
		// A read is more conclusive than another append, whose answer may be lost
		// too.
		sc.noteFailure("append", e.Err)
		b.inFlight.doubtful = true
		sc.checkBatch(b.inFlight)
	default:
		sc.noteFailure("append", e.Err)
		sc.retryUndone(b.inFlight)
	}
}

// retryUndone sends an append again that was certainly not done. If the store has
// rejected it for long, the jobs that it would accept are refused instead.
func (sc *Scheduler) retryUndone(s *batch) {
	s.retryAt = sc.now.Add(appendRetry)
	if s.doubtful || !sc.outbox.stuck(sc.now) {
		return
	}
	sc.refuseJobs(s.accepted)
	for _, j := range s.accepted {
		s.removeRecords(j.ID)
	}
	s.accepted = nil
	if len(s.records) == 0 {
		s.retryAt = time.Time{}
		sc.checkBatch(s) // nothing is left to append; a read tells when the store is back
	}
}

// removeRecords removes the records of a job that is not to be stored. Deletions of a former job of
// its id stay.
func (s *batch) removeRecords(id fleet.JobID) {
	s.records = slices.DeleteFunc(s.records, func(r fleet.Record) bool {
		return len(r.Value) > 0 && (r.Key == flowKey+string(id) || r.Key == trackKey+string(id))
	})
}

// noteFailure counts and logs a call for the batch in flight that failed.
func (sc *Scheduler) noteFailure(op string, err error) {
	s := sc.outbox.inFlight
	s.failures++
	sc.logf(event.StoreFailed, string(sc.self.Host), "%s at=%d since=%s: %v", op, s.offset, sc.now.Sub(s.firstTry), err)
}

// handleChecked determines whether an append without an answer took effect. Another
// daemon always appends its claim first, so anything else after the batch's offset
// is this lead's own append.
func (sc *Scheduler) handleChecked(e Checked) {
	b := &sc.outbox
	if sc.mode == leading && e.Batch == 0 {
		sc.handleLeadCheck(e)
		return
	}
	if b.inFlight == nil || e.Batch != b.batchNo || !b.inFlight.uncertain {
		return
	}
	if e.Err != nil {
		sc.noteFailure("check", e.Err)
		return
	}
	switch end := b.inFlight.offset + fleet.Offset(len(b.inFlight.records)); {
	case containsClaim(e.Records):
		sc.stepDown("another daemon has appended", 0)
	case e.End >= end:
		sc.commit(end, e.SentAt)
	default:
		// It has not taken effect, but still may until something else is appended.
		b.inFlight.uncertain, b.inFlight.retryAt = false, sc.now
		sc.confirmLead(e.SentAt)
	}
}

// commit applies the effects of the batch that is now stored, as the store answered to a call
// that was sent at the given time.
func (sc *Scheduler) commit(end fleet.Offset, sentAt time.Time) {
	b := &sc.outbox
	s := b.inFlight
	b.inFlight, b.end, b.callTook = nil, end, sc.now.Sub(sentAt)
	sc.confirmLead(sentAt)
	sc.changed = true
	sc.noteRollStored(s.roll)
	for _, j := range s.accepted {
		j.stored = true
		sc.logf(event.JobAccepted, string(j.ID), "queue=%s space=%s steps=%d end=%d", j.Spec.Queue, j.Spec.Space, len(j.Spec.Steps), end)
		sc.answerSubmit(j, &wire.HandReply{Verdict: wire.Verdict_OK})
	}
	for _, j := range s.ended {
		sc.noteEndStored(j)
	}
	for _, r := range s.reported {
		sc.logf(event.EndsStored, string(r.job.ID), "ends=%d end=%d after=%s ended=%t", r.count, end, sc.now.Sub(r.since), r.job.endStored)
	}
	for _, d := range s.cancels {
		sc.noteTold(d.job)
		sc.emit(AnswerCancel{d.waiter, &wire.FlowReply{Verdict: wire.Verdict_OK, Stage: d.job.Stage()}})
	}
	for _, e := range s.ends {
		if e.worker.Inc == e.inc {
			e.worker.EndsStored = max(e.worker.EndsStored, e.newest)
		}
	}
	sc.speeds.book.Stored(s.speeds)
	b.stored = append(b.stored, s.starts...)
}

// noteEndStored notes that the store holds the end of a job. A record that was made long before,
// as in an outage, is made anew: the next lead takes the age of the status from it.
func (sc *Scheduler) noteEndStored(j *job) {
	if !j.endStored {
		j.endStored, j.endStoredAt = true, sc.now
	}
	if sc.statusAge(j) > statusMargin {
		sc.outbox.markDirty(j)
	}
}

// dispatchStarts sends the starts whose placements are stored. Those whose workers or
// workspaces take no more starts are withdrawn first, so that no member of their gangs starts either.
// A start grants a lease, so that none is sent while the lead is not confirmed.
func (sc *Scheduler) dispatchStarts() {
	b := &sc.outbox
	if len(b.stored) == 0 || !sc.listIsCurrent() || !sc.isConfirmed() {
		return
	}
	starts := b.stored
	b.stored = nil
	for _, st := range starts {
		if w := sc.workerOf(st); w != nil && !sc.takesStarts(w) {
			sc.stopRun(w, st.run, "its worker takes no more starts")
		}
	}
	sc.withdrawCapped(starts)
	for _, st := range starts {
		if w := sc.workerOf(st); w != nil {
			sc.dispatchStart(w, st)
		}
	}
}

// workerOf returns the worker of a start, or nil if the run was withdrawn meanwhile.
func (sc *Scheduler) workerOf(st pendingStart) *pool.Worker {
	w, ok := sc.pool.Workers[st.host]
	if !ok || w.Runs[key(st.run)] != st.run || st.run.Phase != pool.Sent {
		return nil
	}
	return w
}

// takesStarts reports whether starts that are placed on a worker may be sent to it. This
// may have changed since the worker was chosen, as storing the placement takes time.
func (sc *Scheduler) takesStarts(w *pool.Worker) bool {
	return w.Ready() && !sc.domainsOut[w.Domain] && !w.Free().Negative()
}

func (sc *Scheduler) dispatchStart(w *pool.Worker, st pendingStart) {
	st.run.Since, st.run.SentAt, st.run.Dispatched = sc.now, sc.now, true
	sc.sendStart(w, st.run)
}

// sendStart sends the start of a run. It is idempotent: the worker carries it out
// once.
func (sc *Scheduler) sendStart(w *pool.Worker, r *pool.Run) {
	j := sc.jobs[r.Task.Job]
	if r.Sends == 0 {
		r.Saved = j.Step(r.Task).CheckpointOf(r.Task.Index)
	}
	r.Sends++
	sc.orders.starts++
	w.ExpectAnswer(0, sc.now)
	sc.emit(Start{
		Endpoint: w.Endpoint, Key: key(r),
		Order: fleet.StartOrder{
			Task: r.Task, Run: r.No, Spec: j.Spec.Spec, Saved: r.Saved,
			LeaseUntil: w.GrantLease(sc.limits.Lease, sc.now), Term: sc.term,
		},
	})
}

// failWaiters answers all waiting callers when this daemon steps down. Jobs that
// were not sent to the store are not accepted; the outcome of the others is unknown.
func (b *outbox) failWaiters(sc *Scheduler) {
	for _, j := range b.accepted {
		sc.answerSubmit(j, &wire.HandReply{Verdict: wire.Verdict_ASTRAY})
	}
	for _, d := range b.cancels {
		sc.emit(AnswerCancel{d.waiter, &wire.FlowReply{Verdict: wire.Verdict_ASTRAY}})
	}
	if b.inFlight == nil {
		return
	}
	for _, j := range b.inFlight.accepted {
		if b.inFlight.undone() {
			sc.answerSubmit(j, &wire.HandReply{Verdict: wire.Verdict_ASTRAY})
			continue
		}
		sc.answerSubmit(j, &wire.HandReply{Verdict: wire.Verdict_UNKNOWN, Why: "the lead changed while the job was being stored"})
	}
	for _, d := range b.inFlight.cancels {
		sc.emit(AnswerCancel{d.waiter, &wire.FlowReply{Verdict: wire.Verdict_UNKNOWN}})
	}
}
