package helm

import (
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

// Bounds of appends.
const (
	maxBatchBytes    = 512 << 10               // a quarter of the platform's limit for one call
	appendRetry      = 100 * time.Millisecond  // between two tries of an append
	minAppendTimeout = 500 * time.Millisecond  // an append without an answer is looked up after
	minStuckAfter    = 600 * time.Millisecond  // an append of a few milliseconds that takes so long shows that the store is away
	slowStoreFactor  = 3                       // times what the last append took, a store that is slow is waited for
	maxAppendTimeout = 1500 * time.Millisecond // half of the time that callers have
	checkRetry       = 250 * time.Millisecond  // a read that takes longer than a slow store's is asked again beside the first: it may hang on a dead connection
)

// box holds what must be stored before it takes effect. One batch is on its way
// at a time; whatever comes meanwhile goes with the next, so that a burst costs
// few appends.
type outbox struct {
	end        fleet.Offset
	appendTook time.Duration // by the last append, until it was known to be stored
	batchNo    uint64
	inFlight   *batch
	accepted   []*job
	cancels    []pendingCancel
	dirty      []*job
	starts     []pendingStart
	deletes    []fleet.JobID // records to drop
}

// held is a caller whose cancellation is to be stored.
type pendingCancel struct {
	job    *job
	waiter Waiter
	until  time.Time
}

// order is a start that waits until it is stored where the task will run.
type pendingStart struct {
	host fleet.HostID
	run  *crew.Run
}

// batch is an append on its way.
type batch struct {
	records   []fleet.Record
	offset    fleet.Offset
	firstTry  time.Time // first tried
	retryAt   time.Time // tried again not before; zero while a try is out
	uncertain bool      // whether it took effect is being looked up
	checkedAt time.Time // the newest lookup was sent
	accepted  []*job
	cancels   []pendingCancel
	starts    []pendingStart
	ends      map[fleet.HostID]fleet.EndNo
}

// stuck reports whether the store seems to be away.
func (b *outbox) stuck(now time.Time) bool {
	return b.inFlight != nil && now.Sub(b.inFlight.firstTry) > b.appendTimeout(minStuckAfter)
}

// patience returns how long an append may take: some span, or longer while the
// store is slow. It answers a store that takes a hundred times longer than it
// should, but takes all that it is given.
func (b *outbox) appendTimeout(least time.Duration) time.Duration {
	return max(least, min(slowStoreFactor*b.appendTook, maxAppendTimeout))
}

// mark notes that a job's progress must be stored.
func (b *outbox) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		b.dirty = append(b.dirty, j)
	}
}

// flush sends the next batch.
func (sc *Helm) flush() {
	b := &sc.outbox
	if b.inFlight != nil {
		sc.resumeBatch(b.inFlight)
		return
	}
	if len(b.accepted)+len(b.cancels)+len(b.dirty)+len(b.deletes) == 0 {
		sc.acknowledgeEnds()
		return
	}
	b.batchNo++
	b.inFlight = sc.buildBatch()
	sc.sendBatch(b.inFlight)
}

// pursue tries a batch again, or looks again whether it took effect.
func (sc *Helm) resumeBatch(s *batch) {
	switch {
	case s.uncertain && sc.now.Sub(s.checkedAt) >= checkRetry:
		sc.checkBatch(s)
	case !s.retryAt.IsZero() && !sc.now.Before(s.retryAt):
		s.retryAt = time.Time{}
		sc.sendBatch(s)
	}
}

func (sc *Helm) sendBatch(s *batch) {
	sc.emit(Append{sc.outbox.batchNo, s.offset, s.records, sc.outbox.appendTimeout(minAppendTimeout)})
}

// check looks up whether a batch took effect.
func (sc *Helm) checkBatch(s *batch) {
	s.uncertain, s.checkedAt = true, sc.now
	sc.emit(Check{sc.outbox.batchNo, s.offset})
}

// release lets workers forget the ends that nothing has to be stored for.
func (sc *Helm) acknowledgeEnds() {
	if !sc.endsToAcknowledge {
		return
	}
	sc.endsToAcknowledge = false
	for _, w := range sc.crew.Workers {
		w.Taken = max(w.Taken, w.Seen)
	}
}

func (sc *Helm) buildBatch() *batch {
	b := &sc.outbox
	s := &batch{offset: b.end, firstTry: sc.now, ends: map[fleet.HostID]fleet.EndNo{}}
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
	for _, j := range b.dirty {
		switch {
		case sc.jobs[j.ID] != j:
		case slices.Contains(b.accepted, j):
			later = append(later, j) // not before the job itself
		default:
			j.dirty, j.lastBatch = false, b.batchNo
			s.addRecord(trackKey+string(j.ID), j.Track())
		}
	}
	for _, id := range b.deletes {
		s.records = append(s.records, fleet.Record{Key: flowKey + string(id)}, fleet.Record{Key: trackKey + string(id)})
	}
	starts := b.starts
	s.cancels = b.cancels
	b.cancels, b.starts, b.dirty, b.deletes = nil, nil, later, nil
	for _, o := range starts {
		if j := sc.jobs[o.run.Task.Job]; j != nil && j.dirty {
			b.starts = append(b.starts, o)
			continue
		}
		s.starts = append(s.starts, o)
	}
	for _, w := range sc.crew.Workers {
		if w.Seen > w.Taken {
			s.ends[w.Place.Host] = w.Seen
		}
	}
	return s
}

func (s *batch) addRecord(key string, m proto.Message) int {
	value, err := proto.Marshal(m)
	if err != nil {
		// Every string of a message was checked when it was decoded.
		panic(err)
	}
	s.records = append(s.records, fleet.Record{Key: key, Value: value})
	return len(value)
}

func (sc *Helm) handleAppended(e Appended) {
	b := &sc.outbox
	if b.inFlight == nil || e.Batch != b.batchNo {
		return
	}
	if e.Err == nil {
		sc.commit(e.End)
		return
	}
	if b.inFlight.uncertain {
		return // an answer to an earlier try; the lookup tells more
	}
	switch fleet.KindOf(e.Err) {
	case fleet.Moved:
		sc.checkBatch(b.inFlight)
	case fleet.Doubt:
		// A read tells sooner than another append, whose answer may be lost too.
		sc.logRetry("append", e.Err)
		sc.checkBatch(b.inFlight)
	default:
		sc.scheduleRetry(e.Err)
	}
}

// retry tries the append again after a while.
func (sc *Helm) scheduleRetry(err error) {
	sc.logRetry("append", err)
	sc.outbox.inFlight.retryAt = sc.now.Add(appendRetry)
}

func (sc *Helm) logRetry(op string, err error) {
	s := sc.outbox.inFlight
	sc.logf(event.StoreFailed, string(sc.self.Host), "%s at=%d since=%s: %v", op, s.offset, sc.now.Sub(s.firstTry), err)
}

// checked tells an append of ours whose answer was lost from the claim of
// another lead: whoever else appends has claimed before.
func (sc *Helm) handleChecked(e Checked) {
	b := &sc.outbox
	if sc.mode == leading && e.Batch == 0 {
		sc.handleLeadCheck(e)
		return
	}
	if b.inFlight == nil || e.Batch != b.batchNo || !b.inFlight.uncertain {
		return
	}
	if e.Err != nil {
		sc.logRetry("check", e.Err)
		return
	}
	switch end := b.inFlight.offset + fleet.Offset(len(b.inFlight.records)); {
	case containsClaim(e.Records):
		sc.stepDown("another daemon has appended", 0)
	case e.End >= end:
		sc.commit(end)
	default:
		// It has not taken effect, and may still do so as long as nothing else does.
		b.inFlight.uncertain, b.inFlight.retryAt = false, sc.now
		sc.confirmLead()
	}
}

// commit lets what is now stored take effect.
func (sc *Helm) commit(end fleet.Offset) {
	b := &sc.outbox
	s := b.inFlight
	b.inFlight, b.end, b.appendTook = nil, end, sc.now.Sub(s.firstTry)
	sc.confirmLead()
	sc.changed = true
	for _, j := range s.accepted {
		j.stored = true
		sc.logf(event.JobAccepted, string(j.ID), "queue=%s space=%s steps=%d end=%d", j.Spec.Queue, j.Spec.Space, len(j.Spec.Steps), end)
		sc.answerSubmit(j, &wire.HandReply{Verdict: wire.Verdict_OK})
	}
	for _, d := range s.cancels {
		sc.emit(AnswerDrop{d.waiter, &wire.FlowReply{Verdict: wire.Verdict_OK, Stage: d.job.Stage()}})
	}
	for host, no := range s.ends {
		if w, ok := sc.crew.Workers[host]; ok && w.Seen >= no {
			w.Taken = max(w.Taken, no)
		}
	}
	for _, st := range s.starts {
		sc.dispatchStart(st)
	}
}

// send gives a start to its worker, unless it was called off meanwhile.
func (sc *Helm) dispatchStart(st pendingStart) {
	w, ok := sc.crew.Workers[st.host]
	if !ok || w.Runs[crew.Key{Task: st.run.Task, No: st.run.No}] != st.run || st.run.Phase != crew.Sent {
		return
	}
	st.run.Since, st.run.Left = sc.now, true
	sc.sendStart(w, st.run)
}

// sendStart sends the start of a run, which a worker carries out once however
// often it arrives.
func (sc *Helm) sendStart(w *crew.Worker, r *crew.Run) {
	j := sc.jobs[r.Task.Job]
	if r.Sends == 0 {
		r.Saved = j.Step(r.Task).SavedOf(r.Task.Index)
	}
	r.Sends++
	w.Await(0, sc.now)
	sc.emit(Start{
		Place: w.Place, Key: key(r),
		Order: fleet.StartOrder{
			Task: r.Task, Run: r.No, Spec: j.Spec.Spec, Saved: r.Saved,
			Until: w.Lease(sc.limits.Lease, sc.now), Term: sc.term,
		},
	})
}

// abandon answers every caller that waits when the lead is given up. What was
// not sent to the store is not accepted; what was may be.
func (b *outbox) failWaiters(sc *Helm) {
	for _, j := range b.accepted {
		sc.answerSubmit(j, &wire.HandReply{Verdict: wire.Verdict_ASTRAY})
	}
	for _, d := range b.cancels {
		sc.emit(AnswerDrop{d.waiter, &wire.FlowReply{Verdict: wire.Verdict_ASTRAY}})
	}
	if b.inFlight == nil {
		return
	}
	for _, j := range b.inFlight.accepted {
		sc.answerSubmit(j, &wire.HandReply{Verdict: wire.Verdict_UNKNOWN, Why: "the lead changed while the job was being stored"})
	}
	for _, d := range b.inFlight.cancels {
		sc.emit(AnswerDrop{d.waiter, &wire.FlowReply{Verdict: wire.Verdict_UNKNOWN}})
	}
}
