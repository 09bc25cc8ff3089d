// Package engine stands in for a worker of the platform. It takes orders over
// HTTP, runs tasks under a lease, and reports each start and end to an auditor.
package engine

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Options set the identity, capacity and timing of an engine.
type Options struct {
	ID          string
	Zone        string
	Rack        string
	Room        Room
	Speed       float64       // divides the run time of tasks; 0 is 1
	MaxLease    time.Duration // maximum time from now to the end of the lease
	StopTime    time.Duration // how long a stop takes
	GangTimeout time.Duration // how long a member waits for the rest of its gang
	DrainTime   time.Duration // no start may come later than this after its notice that it leaves was stored
	ShrinkTime  time.Duration // no start may exceed a smaller capacity later than this after it was stored
	Auditor     *Auditor
}

// run is one run of a task.
type run struct {
	task         string
	number       int64
	need         Need
	resumed      int64         // percent of its work that was done at its start
	span         time.Duration // run time on this engine
	begun        time.Time
	working      bool // it has no gang, or its gang is complete
	workingSince time.Time
	stopAt       time.Time // when an ordered stop takes effect; zero if none
}

// endRecord is the end of a run, listed until the lead acknowledges it.
type endRecord struct {
	seq     int64
	task    string
	run     int64
	outcome string
	saved   string // newest checkpoint
	at      time.Time
}

// Engine simulates one worker.
type Engine struct {
	opts Options

	mu           sync.Mutex
	born         time.Time
	token        int64
	leaseEnd     time.Time
	lastLapsed   time.Time // latest time known without a lease in force
	runs         map[string]*run
	lastClosed   map[string]int64 // by task, the newest run that ended or was stopped
	ends         []endRecord
	lastSeq      int64
	lastDone     time.Time // when a run on it ended last with success
	dropsReplies bool
	delaysOrders bool
	orders       int           // starts and stops received
	drainLeft    time.Duration // announced time until shutdown; 0 if not draining
	noticeAt     time.Time     // when the store accepted its notice; zero if not draining
	linkCut      bool          // no order reaches it in time
	linkCutUntil time.Time     // orders that were held up may arrive until then
	failsRuns    bool
	hangsRuns    bool
	room         Room      // present capacity
	roomStoredAt time.Time // when the store accepted an entry that shows it; zero before
	upAt         time.Time // when a process is back after a crash by a task
}

// New returns an engine that runs nothing.
func New(o Options) *Engine {
	o.Speed = cmp.Or(o.Speed, 1)
	e := &Engine{opts: o, room: o.Room}
	e.reset()
	return e
}

func (e *Engine) reset() {
	e.born, e.token, e.lastSeq, e.ends = time.Now(), 0, 0, nil
	e.runs, e.lastClosed = map[string]*run{}, map[string]int64{}
}

// Crash ends all runs and starts the engine anew, without its state.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	for _, r := range e.runs {
		e.opts.Auditor.runEnded(e.opts.ID, r, "crashed")
	}
	e.reset()
}

// DropReplies makes the engine carry out starts and stops without answering them.
func (e *Engine) DropReplies(on bool) { e.set(func() { e.dropsReplies = on }) }

// DelayOrders makes the engine carry out every third start or stop with a delay of
// orderDelay, without answering it.
func (e *Engine) DelayOrders(on bool) { e.set(func() { e.delaysOrders = on }) }

// Drain makes the engine announce that it shuts down after some time. 0 revokes
// this.
func (e *Engine) Drain(left time.Duration) {
	e.set(func() { e.drainLeft, e.noticeAt = left, time.Time{} })
}

// heldUpTime is how long after the end of a link's failure a start may still be late.
const heldUpTime = 3 * time.Second

// CutLink tells the engine that its link fails, so that starts may arrive late.
func (e *Engine) CutLink(on bool) {
	e.set(func() { e.linkCut, e.linkCutUntil = on, time.Now().Add(heldUpTime) })
}

// NoteStored tells the engine that the store has accepted an entry of it.
func (e *Engine) NoteStored(entry Entry) {
	e.set(func() {
		e.noteRoomStored(entry)
		if entry["state"] == stateDraining && e.drainLeft > 0 && e.noticeAt.IsZero() {
			e.noticeAt = time.Now()
		}
	})
}

// FailRuns makes all runs on the engine fail.
func (e *Engine) FailRuns(on bool) { e.set(func() { e.failsRuns = on }) }

// HangRuns makes all runs on the engine stop making progress.
func (e *Engine) HangRuns(on bool) { e.set(func() { e.hangsRuns = on }) }

func (e *Engine) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// Entry is an entry for the service discovery.
type Entry map[string]any

const stateDraining = "draining"

// Entry returns the engine's entry for the service discovery.
func (e *Engine) Entry(service, addr string) Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.drainLeft > 0 {
		state = stateDraining
	}
	return Entry{
		"service": service, "address": addr, "zone": e.opts.Zone, "version": "v1", "slots": 8, "state": state,
		"drainRemainingMs": e.drainLeft.Milliseconds(), "coldRemainingMs": 0, "seq": 1, "clockMs": e.clock(), "born": e.born.UnixMilli(),
		"capacity": map[string]int64{"cpu": e.room.Cores, "memMb": e.room.Mem, "gpu": e.room.Accels},
		"labels":   []string{"a", e.opts.Rack},
	}
}

func (e *Engine) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

// Tick advances all runs to the current time.
func (e *Engine) Tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.After(e.leaseEnd) {
		e.lastLapsed = now
	}
	for _, r := range e.runs {
		e.advance(r, now)
	}
}

func (e *Engine) advance(r *run, now time.Time) {
	if !r.working && e.opts.Auditor.gangComplete(r) {
		r.working, r.workingSince = true, now
	}
	gangOutcome := e.opts.Auditor.gangOutcome(r)
	switch {
	case gangOutcome == outcomeDone:
		e.closeRun(r, outcomeDone)
	case now.After(e.leaseEnd):
		e.closeRun(r, "lapsed")
	case !r.stopAt.IsZero():
		if now.After(r.stopAt) {
			e.closeRun(r, "stopped")
		}
	case gangOutcome != "":
		e.closeRun(r, "broken")
	case !r.working:
		if now.Sub(r.begun) > e.opts.GangTimeout {
			e.closeRun(r, "alone")
		}
	case e.failsRuns:
		e.closeRun(r, "failed")
	case !e.hangsRuns && now.Sub(r.workingSince) >= e.opts.Auditor.span(r):
		e.closeRun(r, outcomeDone)
	}
}

func (e *Engine) closeRun(r *run, outcome string) {
	delete(e.runs, r.task)
	e.lastClosed[r.task] = max(e.lastClosed[r.task], r.number)
	e.lastSeq++
	now := time.Now()
	e.ends = append(e.ends, endRecord{e.lastSeq, r.task, r.number, outcome, r.saved(e.percent(r)), now})
	if outcome == outcomeDone {
		e.lastDone = now
	}
	e.opts.Auditor.runEnded(e.opts.ID, r, outcome)
}

// LastDone returns when a run on the engine ended last with success.
func (e *Engine) LastDone() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastDone
}

// order is the body of every call; each call uses some of the fields.
type order struct {
	Task         string
	Run          int64
	Spec         string
	Checkpoint   string
	UntilMs      int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64

	late bool // the engine has delayed it
}

// Handle serves one call.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	var o order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if expected := string(ctx.Request.Header.Peek("Expect-Instance")); expected != "" && expected != e.opts.ID {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	e.Tick()
	if e.Down() {
		breakOff(ctx)
		return
	}
	switch string(ctx.Path()) {
	case "/run-start":
		e.execute(ctx, o, e.start)
	case "/run-stop":
		e.execute(ctx, o, e.stop)
	case "/hold":
		e.renewLease(ctx, o)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

const (
	delayEvery = 3 // one order in this many is delayed
	orderDelay = 2 * time.Second
)

// execute carries out an order and answers it. A delayed order is carried out
// later, unless the engine crashed in between, and gets no answer.
func (e *Engine) execute(ctx *fasthttp.RequestCtx, o order, do func(order) string) {
	e.mu.Lock()
	e.orders++
	late, born := e.delaysOrders && e.orders%delayEvery == 0, e.born
	e.mu.Unlock()
	if !late {
		e.reply(ctx, do(o))
		return
	}
	time.AfterFunc(orderDelay, func() {
		if e.lives(born) {
			o.late = true
			do(o)
		}
	})
	time.Sleep(noReplyTime)
}

// lives reports whether the process that began at the given time has not been replaced.
func (e *Engine) lives(born time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.born.Equal(born)
}

func (e *Engine) start(o order) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingToken < e.token {
		return "fence"
	}
	e.token = o.FencingToken
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.Run <= e.lastClosed[o.Task] || e.runs[o.Task] != nil {
		return "old"
	}
	if o.UntilMs <= e.clock() {
		return "late"
	}
	e.extendLease(o.UntilMs)
	if !e.upAt.IsZero() {
		return "late" // the process is gone since the order arrived
	}
	r := &run{task: o.Task, number: o.Run, need: ReadNeed(o.Spec), begun: time.Now()}
	r.resumed, _ = strconv.ParseInt(o.Checkpoint, 10, 64)
	r.span = time.Duration(float64(r.need.Span) / e.opts.Speed * float64(100-r.resumed) / 100)
	r.working, r.workingSince = r.need.Gang == 0, r.begun
	e.runs[o.Task] = r
	e.opts.Auditor.runStarted(e, r)
	e.checkNotice(r, o.late)
	e.checkRoom(r, o.late)
	if r.need.Deadly && strings.HasSuffix(r.task, deadlyIndex) {
		time.AfterFunc(crashDelay, func() { e.crashBy(r) })
	}
	return ""
}

// checkNotice checks that a run does not start too long after the engine's notice that it
// leaves. Orders that the engine or its link delayed are not counted.
func (e *Engine) checkNotice(r *run, late bool) {
	if e.noticeAt.IsZero() || late || e.isHeldUp(r) {
		return
	}
	if after := r.begun.Sub(e.noticeAt); after > e.opts.DrainTime {
		e.opts.Auditor.startedAfterNotice(e.opts.ID, r, after)
	}
}

// isHeldUp reports whether the start of a run may have been held up on its way.
func (e *Engine) isHeldUp(r *run) bool { return e.linkCut || r.begun.Before(e.linkCutUntil) }

// extendLease extends the lease to a time, at most opts.MaxLease from now.
func (e *Engine) extendLease(untilMs int64) {
	at := e.born.Add(time.Duration(untilMs) * time.Millisecond)
	if limit := time.Now().Add(e.opts.MaxLease); at.After(limit) {
		at = limit
	}
	if untilMs > 0 && at.After(e.leaseEnd) {
		e.leaseEnd = at
	}
}

func (e *Engine) stop(o order) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingToken < e.token {
		return "fence"
	}
	e.token = o.FencingToken
	if r := e.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(e.opts.StopTime)
	}
	e.lastClosed[o.Task] = max(e.lastClosed[o.Task], o.Run)
	return ""
}

// noReplyTime is how long a call without an answer is held open.
const noReplyTime = 5 * time.Second

func (e *Engine) reply(ctx *fasthttp.RequestCtx, reason string) {
	e.mu.Lock()
	drop, clock := e.dropsReplies, e.clock()
	e.mu.Unlock()
	if drop {
		time.Sleep(noReplyTime)
		return
	}
	body := map[string]any{"clockMs": clock}
	if reason != "" {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		body["reason"] = reason
	}
	writeJSON(ctx, body)
}

const pollInterval = 10 * time.Millisecond

func (e *Engine) renewLease(ctx *fasthttp.RequestCtx, o order) {
	e.mu.Lock()
	if o.FencingToken < e.token {
		e.mu.Unlock()
		e.reply(ctx, "fence")
		return
	}
	e.token = o.FencingToken
	born := e.born
	e.extendLease(o.UntilMs)
	for len(e.ends) > 0 && e.ends[0].seq <= o.LastSeen {
		if first := e.ends[0]; first.outcome == outcomeDone && first.at.After(e.lastLapsed) {
			e.opts.Auditor.endAcknowledged(runKey{e.opts.ID, first.task, first.run})
		}
		e.ends = e.ends[1:]
	}
	e.mu.Unlock()
	for deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); time.Now().Before(deadline) && e.lives(born); {
		e.Tick()
		e.mu.Lock()
		hasEnds := len(e.ends) > 0
		e.mu.Unlock()
		if hasEnds {
			break
		}
		time.Sleep(pollInterval)
	}
	if !e.lives(born) {
		breakOff(ctx)
		return
	}
	writeJSON(ctx, e.report())
}

// percent returns how much of its work a run has done.
func (e *Engine) percent(r *run) int64 {
	if !r.working || e.hangsRuns {
		return r.resumed
	}
	worked := int64(time.Since(r.workingSince)) * (100 - r.resumed) / max(int64(e.opts.Auditor.span(r)), 1)
	return min(r.resumed+worked, 100)
}

// savePercent is how much work lies between two checkpoints.
const savePercent = 20

// saved returns the newest checkpoint of a run that has done a part of its work: the percent
// done then.
func (r *run) saved(percent int64) string {
	if !r.need.Saves || percent < savePercent {
		return ""
	}
	return strconv.FormatInt(percent-percent%savePercent, 10)
}

func (e *Engine) report() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.runs {
		percent := e.percent(r)
		running = append(running, []any{r.task, r.number, r.saved(percent), percent, 0})
	}
	for _, rec := range e.ends {
		ended = append(ended, []any{rec.seq, rec.task, rec.run, rec.outcome, rec.saved})
	}
	return map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli(), "running": running, "finished": ended}
}

func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
