// Package worker stands in for a worker: it runs tasks under a lease, refuses
// old terms, checkpoints, stops, and reports usage late.
package worker

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
	"dragonflydeck.example/standin/fault"
	"github.com/twitchtv/twirp"
)

// The failures that a worker can show.
const (
	FailAll  fault.Name = "failall"  // every gang breaks soon after its start
	NoStart  fault.Name = "nostart"  // reservations are taken, starts fail
	SlowSave fault.Name = "slowsave" // a checkpoint takes SlowSaveSpan
)

// Spans of the stand-in.
const (
	SaveSpan     = 200 * time.Millisecond
	SlowSaveSpan = 10 * time.Second
	BreakSpan    = 300 * time.Millisecond
	UsageLag     = 5 * time.Second
)

// key names an attempt of a job.
type key struct {
	job     string
	attempt int32
}

type gang struct {
	tasks int32
	each  fleet.Res
	run   wire.Run
	hold  time.Time // a reservation lapses then
	began time.Time
	base  time.Duration // work of earlier attempts
	saved time.Duration
	why   string
	timer *time.Timer
}

// Stint is a stretch of time in which a part of a gang ran.
type Stint struct {
	Job     string
	Attempt int32
	From    time.Time
	To      time.Time // zero while it runs
	Whole   bool      // it ran to its end
}

// Worker is the stand-in.
type Worker struct {
	fault.Switch
	id    string
	total fleet.Res

	// Real gives the true run time of a job that declared another.
	Real func(job string, declared time.Duration) time.Duration

	mu      sync.Mutex
	term    int64
	lease   *time.Timer
	renewal int // counts the renewals
	gangs   map[key]*gang
	over    map[key]bool // stopped for good
	version int64
	changed chan struct{}
	stints  []*Stint
}

// New returns an idle worker.
func New(id string, total fleet.Res) *Worker {
	return &Worker{
		id: id, total: total,
		Real:  func(_ string, d time.Duration) time.Duration { return d },
		gangs: map[key]*gang{}, over: map[key]bool{},
		version: 1, changed: make(chan struct{}),
	}
}

// fence refuses an older term and remembers a newer one.
func (w *Worker) fence(term int64) error {
	if term < w.term {
		return twirp.NewError(twirp.FailedPrecondition, fmt.Sprintf("term %d is older than %d", term, w.term)).WithMeta("kind", "term")
	}
	w.term = term
	return nil
}

func (w *Worker) touch() {
	w.version++
	close(w.changed)
	w.changed = make(chan struct{})
}

// Renew extends the lease and reports, once there is something newer to tell.
func (w *Worker) Renew(ctx context.Context, ask *wire.RenewAsk) (*wire.RenewReply, error) {
	w.mu.Lock()
	if err := w.fence(ask.Term); err != nil {
		w.mu.Unlock()
		return nil, err
	}
	if ask.Lease > 0 {
		w.extend(time.Duration(ask.Lease) * time.Millisecond)
	}
	changed, newer := w.changed, w.version != ask.Seen
	w.mu.Unlock()
	if !newer {
		wait(ctx, changed, time.Duration(ask.Wait)*time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.version == ask.Seen {
		return &wire.RenewReply{Version: w.version}, nil
	}
	return &wire.RenewReply{Version: w.version, Gangs: w.reports()}, nil
}

func wait(ctx context.Context, changed <-chan struct{}, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-changed:
	case <-time.After(span):
	}
}

func (w *Worker) extend(span time.Duration) {
	if w.lease != nil {
		w.lease.Stop()
	}
	w.renewal++
	n := w.renewal
	w.lease = time.AfterFunc(span, func() { w.lapse(n) })
}

// lapse stops everything when the lease of a renewal ran out.
func (w *Worker) lapse(renewal int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.renewal != renewal {
		return
	}
	for k, g := range w.gangs {
		if g.run == wire.Run_RUNNING || g.run == wire.Run_HELD {
			w.end(k, g, wire.Run_STOPPED, "the lease lapsed")
		}
	}
	w.touch()
}

func (w *Worker) reports() []*wire.Report {
	var out []*wire.Report
	for k, g := range w.gangs {
		out = append(out, &wire.Report{
			Job: k.job, Attempt: k.attempt, Tasks: g.tasks, Run: g.run,
			Spent: g.saved.Milliseconds(), Usage: g.usage(), Why: g.why,
		})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Job < out[b].Job })
	return out
}

// usage lags behind the start of a gang.
func (g *gang) usage() *wire.Res {
	if g.run != wire.Run_RUNNING || time.Since(g.began) < UsageLag {
		return &wire.Res{}
	}
	return g.each.Wire()
}

// Reserve sets room aside for a while.
func (w *Worker) Reserve(_ context.Context, ask *wire.ReserveAsk) (*wire.OrderReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := key{ask.Job, ask.Attempt}
	if err := w.admit(ask.Term, k); err != nil {
		return nil, err
	}
	if _, ok := w.gangs[k]; ok {
		return &wire.OrderReply{}, nil
	}
	need := fleet.ResOf(ask.Each).Times(int(ask.Tasks))
	if free := w.free(); !need.Fits(free) {
		return nil, twirp.NewError(twirp.ResourceExhausted, "no room: lacks "+need.Lacks(free))
	}
	w.gangs[k] = &gang{
		tasks: ask.Tasks, each: fleet.ResOf(ask.Each), run: wire.Run_HELD,
		hold: time.Now().Add(time.Duration(ask.Hold) * time.Millisecond),
	}
	w.touch()
	return &wire.OrderReply{}, nil
}

func (w *Worker) admit(term int64, k key) error {
	if err := w.fence(term); err != nil {
		return err
	}
	if w.over[k] {
		return twirp.NewError(twirp.FailedPrecondition, "that attempt was stopped")
	}
	return nil
}

func (w *Worker) free() fleet.Res {
	free := w.total
	for k, g := range w.gangs {
		if g.run == wire.Run_HELD && time.Now().After(g.hold) {
			delete(w.gangs, k)
			continue
		}
		if g.run == wire.Run_HELD || g.run == wire.Run_RUNNING {
			free = free.Sub(g.each.Times(int(g.tasks)))
		}
	}
	return free
}

// Start runs what was reserved.
func (w *Worker) Start(_ context.Context, ask *wire.StartAsk) (*wire.OrderReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := key{ask.Job, ask.Attempt}
	if err := w.admit(ask.Term, k); err != nil {
		return nil, err
	}
	g, ok := w.gangs[k]
	if !ok || g.run == wire.Run_HELD && time.Now().After(g.hold) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "nothing is reserved")
	}
	if w.Is(NoStart) {
		return nil, twirp.NewError(twirp.Internal, "the worker cannot start tasks")
	}
	if g.run != wire.Run_HELD {
		return &wire.OrderReply{}, nil
	}
	w.begin(k, g, ask)
	return &wire.OrderReply{}, nil
}

func (w *Worker) begin(k key, g *gang, ask *wire.StartAsk) {
	g.run, g.began = wire.Run_RUNNING, time.Now()
	g.base = time.Duration(ask.Spent) * time.Millisecond
	g.saved = g.base
	w.stints = append(w.stints, &Stint{Job: k.job, Attempt: k.attempt, From: g.began})
	span, run, why := w.Real(k.job, time.Duration(ask.Span)*time.Millisecond)-g.base, wire.Run_ENDED, ""
	if w.Is(FailAll) {
		span, run, why = BreakSpan, wire.Run_BROKEN, "the task exited with an error"
	}
	g.timer = time.AfterFunc(span, func() { w.finish(k, g, run, why) })
	w.touch()
}

func (w *Worker) finish(k key, g *gang, run wire.Run, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gangs[k] != g || g.run != wire.Run_RUNNING {
		return
	}
	w.end(k, g, run, why)
	w.touch()
}

// end takes a gang off its processors; it is reported until stopped.
func (w *Worker) end(k key, g *gang, run wire.Run, why string) {
	if g.timer != nil {
		g.timer.Stop()
	}
	if g.run == wire.Run_RUNNING {
		w.close(k, run == wire.Run_ENDED)
	}
	g.run, g.why = run, why
}

func (w *Worker) close(k key, whole bool) {
	for _, s := range w.stints {
		if s.Job == k.job && s.Attempt == k.attempt && s.To.IsZero() {
			s.To, s.Whole = time.Now(), whole
		}
	}
}

// Stop ends a gang for good, after a checkpoint if asked to.
func (w *Worker) Stop(ctx context.Context, ask *wire.StopAsk) (*wire.OrderReply, error) {
	k := key{ask.Job, ask.Attempt}
	if err := w.saveFirst(ctx, k, ask); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fence(ask.Term); err != nil {
		return nil, err
	}
	w.over[k] = true
	g, ok := w.gangs[k]
	if !ok {
		return &wire.OrderReply{}, nil
	}
	w.end(k, g, wire.Run_STOPPED, "stopped by order")
	delete(w.gangs, k)
	w.touch()
	return &wire.OrderReply{Spent: g.saved.Milliseconds()}, nil
}

func (w *Worker) saveFirst(ctx context.Context, k key, ask *wire.StopAsk) error {
	w.mu.Lock()
	err := w.fence(ask.Term)
	g, ok := w.gangs[k]
	runs := ok && g.run == wire.Run_RUNNING
	w.mu.Unlock()
	if err != nil || !ask.Save || !runs {
		return err
	}
	span := SaveSpan
	if w.Is(SlowSave) {
		span = SlowSaveSpan
	}
	select {
	case <-ctx.Done():
		return twirp.NewError(twirp.DeadlineExceeded, "the checkpoint took too long")
	case <-time.After(span):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	g.saved = g.base + time.Since(g.began)
	return nil
}

// Stints returns what ran so far.
func (w *Worker) Stints() []Stint {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Stint, len(w.stints))
	for i, s := range w.stints {
		out[i] = *s
	}
	return out
}

// Restart forgets everything, as a host that was replaced.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, g := range w.gangs {
		w.end(k, g, wire.Run_STOPPED, "the worker restarted")
	}
	w.gangs, w.over, w.term = map[key]*gang{}, map[key]bool{}, 0
	w.touch()
}
