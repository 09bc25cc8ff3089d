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
	batchBytes = 512 << 10               // a quarter of the platform's limit for one call
	retrySpan  = 100 * time.Millisecond  // between two tries of an append
	appendSpan = 500 * time.Millisecond  // an append without an answer is looked up after
	stuckSpan  = 600 * time.Millisecond  // an append of a few milliseconds that takes so long shows that the store is away
	slowFactor = 3                       // times what the last append took, a store that is slow is waited for
	slowMost   = 1500 * time.Millisecond // half of the time that callers have
	checkSpan  = 250 * time.Millisecond  // a read that takes longer than a slow store's is asked again beside the first: it may hang on a dead connection
)

// box holds what must be stored before it takes effect. One batch is on its way
// at a time; whatever comes meanwhile goes with the next, so that a burst costs
// few appends.
type box struct {
	end     fleet.Offset
	took    time.Duration // by the last append, until it was known to be stored
	serial  uint64
	sent    *batch
	accepts []*job
	drops   []held
	dirty   []*job
	starts  []order
	dead    []fleet.JobID // records to drop
}

// held is a caller whose cancellation is to be stored.
type held struct {
	job    *job
	waiter Waiter
	until  time.Time
}

// order is a start that waits until it is stored where the task will run.
type order struct {
	host fleet.HostID
	run  *crew.Run
}

// batch is an append on its way.
type batch struct {
	records []fleet.Record
	at      fleet.Offset
	first   time.Time // first tried
	retry   time.Time // tried again not before; zero while a try is out
	doubt   bool      // whether it took effect is being looked up
	asked   time.Time // the newest lookup was sent
	accepts []*job
	drops   []held
	starts  []order
	seen    map[fleet.HostID]fleet.EndNo
}

// stuck reports whether the store seems to be away.
func (b *box) stuck(now time.Time) bool {
	return b.sent != nil && now.Sub(b.sent.first) > b.patience(stuckSpan)
}

// patience returns how long an append may take: some span, or longer while the
// store is slow. It answers a store that takes a hundred times longer than it
// should, but takes all that it is given.
func (b *box) patience(least time.Duration) time.Duration {
	return max(least, min(slowFactor*b.took, slowMost))
}

// mark notes that a job's progress must be stored.
func (b *box) mark(j *job) {
	if !j.dirty {
		j.dirty = true
		b.dirty = append(b.dirty, j)
	}
}

// flush sends the next batch.
func (h *Helm) flush() {
	b := &h.box
	if b.sent != nil {
		h.pursue(b.sent)
		return
	}
	if len(b.accepts)+len(b.drops)+len(b.dirty)+len(b.dead) == 0 {
		h.release()
		return
	}
	b.serial++
	b.sent = h.gather()
	h.append(b.sent)
}

// pursue tries a batch again, or looks again whether it took effect.
func (h *Helm) pursue(s *batch) {
	switch {
	case s.doubt && h.now.Sub(s.asked) >= checkSpan:
		h.check(s)
	case !s.retry.IsZero() && !h.now.Before(s.retry):
		s.retry = time.Time{}
		h.append(s)
	}
}

func (h *Helm) append(s *batch) {
	h.do(Append{h.box.serial, s.at, s.records, h.box.patience(appendSpan)})
}

// check looks up whether a batch took effect.
func (h *Helm) check(s *batch) {
	s.doubt, s.asked = true, h.now
	h.do(Check{h.box.serial, s.at})
}

// release lets workers forget the ends that nothing has to be stored for.
func (h *Helm) release() {
	if !h.ends {
		return
	}
	h.ends = false
	for _, w := range h.crew.Workers {
		w.Taken = max(w.Taken, w.Seen)
	}
}

func (h *Helm) gather() *batch {
	b := &h.box
	s := &batch{at: b.end, first: h.now, seen: map[fleet.HostID]fleet.EndNo{}}
	size := 0
	n := 0
	for _, j := range b.accepts {
		if size > batchBytes {
			break
		}
		size += s.put(flowKey+string(j.ID), j.Spec)
		n++
	}
	s.accepts, b.accepts = b.accepts[:n:n], b.accepts[n:]
	var later []*job
	for _, j := range b.dirty {
		switch {
		case h.jobs[j.ID] != j:
		case slices.Contains(b.accepts, j):
			later = append(later, j) // not before the job itself
		default:
			j.dirty, j.batch = false, b.serial
			s.put(trackKey+string(j.ID), j.Track())
		}
	}
	for _, id := range b.dead {
		s.records = append(s.records, fleet.Record{Key: flowKey + string(id)}, fleet.Record{Key: trackKey + string(id)})
	}
	starts := b.starts
	s.drops = b.drops
	b.drops, b.starts, b.dirty, b.dead = nil, nil, later, nil
	for _, o := range starts {
		if j := h.jobs[o.run.Task.Job]; j != nil && j.dirty {
			b.starts = append(b.starts, o)
			continue
		}
		s.starts = append(s.starts, o)
	}
	for _, w := range h.crew.Workers {
		if w.Seen > w.Taken {
			s.seen[w.Place.Host] = w.Seen
		}
	}
	return s
}

func (s *batch) put(key string, m proto.Message) int {
	value, err := proto.Marshal(m)
	if err != nil {
		// Every string of a message was checked when it was decoded.
		panic(err)
	}
	s.records = append(s.records, fleet.Record{Key: key, Value: value})
	return len(value)
}

func (h *Helm) appended(e Appended) {
	b := &h.box
	if b.sent == nil || e.Batch != b.serial {
		return
	}
	if e.Err == nil {
		h.commit(e.End)
		return
	}
	if b.sent.doubt {
		return // an answer to an earlier try; the lookup tells more
	}
	switch fleet.KindOf(e.Err) {
	case fleet.Moved:
		h.check(b.sent)
	case fleet.Doubt:
		// A read tells sooner than another append, whose answer may be lost too.
		h.noteRetry("append", e.Err)
		h.check(b.sent)
	default:
		h.retry(e.Err)
	}
}

// retry tries the append again after a while.
func (h *Helm) retry(err error) {
	h.noteRetry("append", err)
	h.box.sent.retry = h.now.Add(retrySpan)
}

func (h *Helm) noteRetry(op string, err error) {
	s := h.box.sent
	h.note(event.StoreFailed, string(h.self.Host), "%s at=%d since=%s: %v", op, s.at, h.now.Sub(s.first), err)
}

// checked tells an append of ours whose answer was lost from the claim of
// another lead: whoever else appends has claimed before.
func (h *Helm) checked(e Checked) {
	b := &h.box
	if h.mode == leads && e.Batch == 0 {
		h.assured(e)
		return
	}
	if b.sent == nil || e.Batch != b.serial || !b.sent.doubt {
		return
	}
	if e.Err != nil {
		h.noteRetry("check", e.Err)
		return
	}
	switch end := b.sent.at + fleet.Offset(len(b.sent.records)); {
	case claimed(e.Records):
		h.yield("another daemon has appended", 0)
	case e.End >= end:
		h.commit(end)
	default:
		// It has not taken effect, and may still do so as long as nothing else does.
		b.sent.doubt, b.sent.retry = false, h.now
		h.confirm()
	}
}

// commit lets what is now stored take effect.
func (h *Helm) commit(end fleet.Offset) {
	b := &h.box
	s := b.sent
	b.sent, b.end, b.took = nil, end, h.now.Sub(s.first)
	h.confirm()
	h.changed = true
	for _, j := range s.accepts {
		j.stored = true
		h.note(event.JobAccepted, string(j.ID), "queue=%s space=%s steps=%d end=%d", j.Spec.Queue, j.Spec.Space, len(j.Spec.Steps), end)
		h.answerHand(j, &wire.HandReply{Verdict: wire.Verdict_OK})
	}
	for _, d := range s.drops {
		h.do(AnswerDrop{d.waiter, &wire.FlowReply{Verdict: wire.Verdict_OK, Stage: d.job.Stage()}})
	}
	for host, no := range s.seen {
		if w, ok := h.crew.Workers[host]; ok && w.Seen >= no {
			w.Taken = max(w.Taken, no)
		}
	}
	for _, st := range s.starts {
		h.send(st)
	}
}

// send gives a start to its worker, unless it was called off meanwhile.
func (h *Helm) send(st order) {
	w, ok := h.crew.Workers[st.host]
	if !ok || w.Runs[crew.Key{Task: st.run.Task, No: st.run.No}] != st.run || st.run.Phase != crew.Sent {
		return
	}
	st.run.Since, st.run.Left = h.now, true
	h.sendStart(w, st.run)
}

// sendStart sends the start of a run, which a worker carries out once however
// often it arrives.
func (h *Helm) sendStart(w *crew.Worker, r *crew.Run) {
	j := h.jobs[r.Task.Job]
	if r.Sends == 0 {
		r.Saved = j.Step(r.Task).SavedOf(r.Task.Index)
	}
	r.Sends++
	w.Await(0, h.now)
	h.do(Start{
		Place: w.Place, Key: key(r),
		Order: fleet.StartOrder{
			Task: r.Task, Run: r.No, Spec: j.Spec.Spec, Saved: r.Saved,
			Until: w.Lease(h.limits.Lease, h.now), Term: h.term,
		},
	})
}

// abandon answers every caller that waits when the lead is given up. What was
// not sent to the store is not accepted; what was may be.
func (b *box) abandon(h *Helm) {
	for _, j := range b.accepts {
		h.answerHand(j, &wire.HandReply{Verdict: wire.Verdict_ASTRAY})
	}
	for _, d := range b.drops {
		h.do(AnswerDrop{d.waiter, &wire.FlowReply{Verdict: wire.Verdict_ASTRAY}})
	}
	if b.sent == nil {
		return
	}
	for _, j := range b.sent.accepts {
		h.answerHand(j, &wire.HandReply{Verdict: wire.Verdict_UNKNOWN, Why: "the lead changed while the job was being stored"})
	}
	for _, d := range b.sent.drops {
		h.do(AnswerDrop{d.waiter, &wire.FlowReply{Verdict: wire.Verdict_UNKNOWN}})
	}
}
