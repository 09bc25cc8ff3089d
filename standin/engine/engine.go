// Package engine is a stand-in of a worker of the platform: it runs tasks of
// jobs over HTTP under a lease, and tells a ledger what it does.
package engine

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Options are what an engine has and how it behaves.
type Options struct {
	ID     string
	Zone   string
	Rack   string
	Cores  int64 // thousandths of a core
	Mem    int64 // MiB
	Accels int64
	Lease  time.Duration // longest
	Stop   time.Duration // that a stop takes
	Gang   time.Duration // that a member waits for the others
	Ledger *Ledger
}

// run is one run of a task.
type run struct {
	task  string
	no    int64
	need  Need
	begun time.Time
	whole bool      // it works: it stands alone or its gang is whole
	works time.Time // since when
	stop  time.Time // when a stop will have ended it; zero without one
}

// end is one end as it is listed.
type end struct {
	no   int64
	task string
	run  int64
	how  string
	at   time.Time
}

// Engine is the stand-in.
type Engine struct {
	opts Options

	mu     sync.Mutex
	born   time.Time
	fence  int64
	until  time.Time
	lapsed time.Time // newest time at which no lease was in force
	runs   map[string]*run
	closed map[string]int64 // newest run of a task that ended or was stopped
	ends   []end
	last   int64
	mute   bool
	late   bool
	orders int           // starts and stops that have arrived
	left   time.Duration // until it is gone, as it says while it drains; 0 while it does not
	fails  bool
	hangs  bool
	gone   bool
}

// New returns an engine that runs nothing.
func New(o Options) *Engine {
	e := &Engine{opts: o}
	e.reset()
	return e
}

func (e *Engine) reset() {
	e.born, e.fence, e.last, e.ends = time.Now(), 0, 0, nil
	e.runs, e.closed = map[string]*run{}, map[string]int64{}
}

// Crash ends the process of the engine and starts another.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		e.opts.Ledger.ended(e.opts.ID, r, "crashed")
	}
	e.reset()
}

// Mute makes the engine carry out orders without answering.
func (e *Engine) Mute(on bool) { e.set(func() { e.mute = on }) }

// Late makes the engine carry out one start or stop in three seconds later, and
// leave it without an answer.
func (e *Engine) Late(on bool) { e.set(func() { e.late = on }) }

// Drain makes the engine say that it will be gone in some time; 0 that it stays.
func (e *Engine) Drain(left time.Duration) { e.set(func() { e.left = left }) }

// Fail makes everything that runs on the engine fail.
func (e *Engine) Fail(on bool) { e.set(func() { e.fails = on }) }

// Hang makes everything that runs on the engine stand still.
func (e *Engine) Hang(on bool) { e.set(func() { e.hangs = on }) }

func (e *Engine) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// Entry returns the engine's entry in the service discovery.
func (e *Engine) Entry(service, addr string) any {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.left > 0 {
		state = "draining"
	}
	return map[string]any{
		"service": service, "address": addr, "zone": e.opts.Zone, "version": "v1", "slots": 8, "state": state,
		"drainRemainingMs": e.left.Milliseconds(), "coldRemainingMs": 0, "seq": 1, "clockMs": e.clock(), "born": e.born.UnixMilli(),
		"capacity": map[string]int64{"cpu": e.opts.Cores, "memMb": e.opts.Mem, "gpu": e.opts.Accels},
		"labels":   []string{"a", e.opts.Rack},
	}
}

func (e *Engine) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

// Tick lets time pass for what runs.
func (e *Engine) Tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.After(e.until) {
		e.lapsed = now
	}
	for _, r := range e.runs {
		e.pass(r, now)
	}
}

func (e *Engine) pass(r *run, now time.Time) {
	if !r.whole && e.opts.Ledger.whole(r) {
		r.whole, r.works = true, now
	}
	gang := e.opts.Ledger.gangEnd(r)
	switch {
	case gang == endDone:
		e.close(r, endDone)
	case now.After(e.until):
		e.close(r, "lapsed")
	case !r.stop.IsZero():
		if now.After(r.stop) {
			e.close(r, "stopped")
		}
	case gang != "":
		e.close(r, "broken")
	case !r.whole:
		if now.Sub(r.begun) > e.opts.Gang {
			e.close(r, "alone")
		}
	case e.fails:
		e.close(r, "failed")
	case !e.hangs && now.Sub(r.works) >= r.need.Span:
		e.close(r, endDone)
	}
}

func (e *Engine) close(r *run, how string) {
	delete(e.runs, r.task)
	e.closed[r.task] = max(e.closed[r.task], r.no)
	e.last++
	e.ends = append(e.ends, end{e.last, r.task, r.no, how, time.Now()})
	e.opts.Ledger.ended(e.opts.ID, r, how)
}

// order is the body of every order.
type order struct {
	Task         string
	Run          int64
	Spec         string
	UntilMs      int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
}

// Handle answers one order.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	var o order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if meant := string(ctx.Request.Header.Peek("Expect-Instance")); meant != "" && meant != e.opts.ID {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	e.Tick()
	switch string(ctx.Path()) {
	case "/run-start":
		e.carryOut(ctx, o, e.start)
	case "/run-stop":
		e.carryOut(ctx, o, e.halt)
	case "/hold":
		e.hold(ctx, o)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

const (
	lateEach = 3               // one order in so many is late
	lateSpan = 2 * time.Second // by so long
)

// carryOut carries an order out and answers it, or does neither yet if it is late.
func (e *Engine) carryOut(ctx *fasthttp.RequestCtx, o order, do func(order) string) {
	e.mu.Lock()
	e.orders++
	late, born := e.late && e.orders%lateEach == 0, e.born
	e.mu.Unlock()
	if !late {
		e.answer(ctx, do(o))
		return
	}
	time.AfterFunc(lateSpan, func() {
		e.mu.Lock()
		same := e.born.Equal(born)
		e.mu.Unlock()
		if same {
			do(o)
		}
	})
	time.Sleep(muteSpan)
}

func (e *Engine) start(o order) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingToken < e.fence {
		return "fence"
	}
	e.fence = o.FencingToken
	if r := e.runs[o.Task]; r != nil && r.no == o.Run {
		return ""
	}
	if o.Run <= e.closed[o.Task] || e.runs[o.Task] != nil {
		return "old"
	}
	if o.UntilMs <= e.clock() {
		return "late"
	}
	e.extend(o.UntilMs)
	r := &run{task: o.Task, no: o.Run, need: ReadNeed(o.Spec), begun: time.Now()}
	r.whole, r.works = r.need.Gang == 0, r.begun
	e.runs[o.Task] = r
	e.opts.Ledger.began(e, r)
	return ""
}

// extend prolongs the lease, up to its longest.
func (e *Engine) extend(untilMs int64) {
	at := e.born.Add(time.Duration(untilMs) * time.Millisecond)
	if most := time.Now().Add(e.opts.Lease); at.After(most) {
		at = most
	}
	if untilMs > 0 && at.After(e.until) {
		e.until = at
	}
}

func (e *Engine) halt(o order) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingToken < e.fence {
		return "fence"
	}
	e.fence = o.FencingToken
	if r := e.runs[o.Task]; r != nil && r.no <= o.Run && r.stop.IsZero() {
		r.stop = time.Now().Add(e.opts.Stop)
	}
	e.closed[o.Task] = max(e.closed[o.Task], o.Run)
	return ""
}

// muteSpan is how long an order goes without an answer.
const muteSpan = 5 * time.Second

func (e *Engine) answer(ctx *fasthttp.RequestCtx, reason string) {
	e.mu.Lock()
	mute, clock := e.mute, e.clock()
	e.mu.Unlock()
	if mute {
		time.Sleep(muteSpan)
		return
	}
	body := map[string]any{"clockMs": clock}
	if reason != "" {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		body["reason"] = reason
	}
	write(ctx, body)
}

const waitSlice = 10 * time.Millisecond

func (e *Engine) hold(ctx *fasthttp.RequestCtx, o order) {
	e.mu.Lock()
	if o.FencingToken < e.fence {
		e.mu.Unlock()
		e.answer(ctx, "fence")
		return
	}
	e.fence = o.FencingToken
	e.extend(o.UntilMs)
	for len(e.ends) > 0 && e.ends[0].no <= o.LastSeen {
		if f := e.ends[0]; f.how == endDone && f.at.After(e.lapsed) {
			e.opts.Ledger.noted(place{e.opts.ID, f.task, f.run})
		}
		e.ends = e.ends[1:]
	}
	e.mu.Unlock()
	for until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); time.Now().Before(until); {
		e.Tick()
		e.mu.Lock()
		some := len(e.ends) > 0
		e.mu.Unlock()
		if some {
			break
		}
		time.Sleep(waitSlice)
	}
	write(ctx, e.lists())
}

func (e *Engine) lists() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.runs {
		percent := 0
		if r.whole && !e.hangs {
			percent = int(100 * time.Since(r.works) / max(r.need.Span, 1))
		}
		running = append(running, []any{r.task, r.no, "", min(percent, 100), 0})
	}
	for _, f := range e.ends {
		ended = append(ended, []any{f.no, f.task, f.run, f.how, ""})
	}
	return map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli(), "running": running, "finished": ended}
}

func write(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
