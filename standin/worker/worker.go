// Package worker stands in for a worker. It runs tasks under a lease, refuses
// orders of older terms, checkpoints and stops gangs, and reports usage with a
// delay.
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

// The failures that a worker can simulate.
const (
	FailAll  fault.Name = "failall"  // every gang fails FailDelay after its start
	NoStart  fault.Name = "nostart"  // reservations succeed, but starts fail
	SlowSave fault.Name = "slowsave" // a checkpoint takes SlowCheckpointTime
)

// Durations of the stand-in.
const (
	CheckpointTime     = 200 * time.Millisecond
	SlowCheckpointTime = 10 * time.Second
	FailDelay          = 300 * time.Millisecond
	CrashDelay         = 10 * time.Millisecond
	UsageLag           = 5 * time.Second
)

// key names an attempt of a job.
type key struct {
	job     string
	attempt int32
}

type gang struct {
	tasks     int32
	each      fleet.Res
	state     wire.Run
	heldUntil time.Time // when the reservation expires
	began     time.Time
	priorWork time.Duration // run time saved by earlier attempts
	saved     time.Duration
	why       string
	timer     *time.Timer
}

// Stint is a period in which the worker ran its part of a gang.
type Stint struct {
	Job       string
	Attempt   int32
	From      time.Time
	To        time.Time // zero while it runs
	Completed bool      // it ran to completion
}

// Worker simulates one worker.
type Worker struct {
	fault.Switch
	id    string
	total fleet.Res

	// RunTime returns the actual run time of a job, given the declared one.
	RunTime func(job string, declared time.Duration) time.Duration
	// Crashes reports whether a job crashes the worker CrashDelay after its start; nil for
	// none.
	Crashes func(job string) bool

	mu       sync.Mutex
	term     int64
	lease    *time.Timer
	renewals int // number of lease renewals
	gangs    map[key]*gang
	stopped  map[key]bool // attempts that were stopped and must not run again
	version  int64
	changed  chan struct{}
	stints   []*Stint
}

// New returns an idle worker.
func New(id string, total fleet.Res) *Worker {
	return &Worker{
		id: id, total: total,
		RunTime: func(_ string, d time.Duration) time.Duration { return d },
		gangs:   map[key]*gang{}, stopped: map[key]bool{},
		version: 1, changed: make(chan struct{}),
	}
}

// fence refuses an older term and records a newer one.
func (w *Worker) fence(term int64) error {
	if term < w.term {
		return twirp.NewError(twirp.FailedPrecondition, fmt.Sprintf("term %d is older than %d", term, w.term)).WithMeta("kind", "term")
	}
	w.term = term
	return nil
}

func (w *Worker) bumpVersion() {
	w.version++
	close(w.changed)
	w.changed = make(chan struct{})
}

// Renew extends the lease and reports on all gangs. If the caller has seen the
// current version, it first waits for a change for the time that the caller
// allows.
func (w *Worker) Renew(ctx context.Context, ask *wire.RenewAsk) (*wire.RenewReply, error) {
	w.mu.Lock()
	if err := w.fence(ask.Term); err != nil {
		w.mu.Unlock()
		return nil, err
	}
	if ask.Lease > 0 {
		w.extendLease(time.Duration(ask.Lease) * time.Millisecond)
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

func wait(ctx context.Context, changed <-chan struct{}, timeout time.Duration) {
	select {
	case <-ctx.Done():
	case <-changed:
	case <-time.After(timeout):
	}
}

func (w *Worker) extendLease(duration time.Duration) {
	if w.lease != nil {
		w.lease.Stop()
	}
	w.renewals++
	n := w.renewals
	w.lease = time.AfterFunc(duration, func() { w.expireLease(n) })
}

// expireLease stops all gangs if the lease was not renewed again since.
func (w *Worker) expireLease(renewal int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.renewals != renewal {
		return
	}
	for k, g := range w.gangs {
		if g.state == wire.Run_RUNNING || g.state == wire.Run_HELD {
			w.endGang(k, g, wire.Run_STOPPED, "the lease expired")
		}
	}
	w.bumpVersion()
}

func (w *Worker) reports() []*wire.Report {
	var out []*wire.Report
	for k, g := range w.gangs {
		out = append(out, &wire.Report{
			Job: k.job, Attempt: k.attempt, Tasks: g.tasks, Run: g.state,
			Spent: g.saved.Milliseconds(), Usage: g.usage(), Why: g.why,
		})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Job < out[b].Job })
	return out
}

// usage returns what a gang uses. It is zero until UsageLag after the start.
func (g *gang) usage() *wire.Res {
	if g.state != wire.Run_RUNNING || time.Since(g.began) < UsageLag {
		return &wire.Res{}
	}
	return g.each.Wire()
}

// Reserve reserves resources for a gang for a limited time.
func (w *Worker) Reserve(_ context.Context, ask *wire.ReserveAsk) (*wire.OrderReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := key{ask.Job, ask.Attempt}
	if err := w.checkOrder(ask.Term, k); err != nil {
		return nil, err
	}
	if _, ok := w.gangs[k]; ok {
		return &wire.OrderReply{}, nil
	}
	need := fleet.ResOf(ask.Each).Times(int(ask.Tasks))
	if free := w.free(); !need.Fits(free) {
		return nil, twirp.NewError(twirp.ResourceExhausted, "not enough free resources: lacks "+need.Lacks(free))
	}
	w.gangs[k] = &gang{
		tasks: ask.Tasks, each: fleet.ResOf(ask.Each), state: wire.Run_HELD,
		heldUntil: time.Now().Add(time.Duration(ask.Hold) * time.Millisecond),
	}
	w.bumpVersion()
	return &wire.OrderReply{}, nil
}

func (w *Worker) checkOrder(term int64, k key) error {
	if err := w.fence(term); err != nil {
		return err
	}
	if w.stopped[k] {
		return twirp.NewError(twirp.FailedPrecondition, "the attempt was stopped")
	}
	return nil
}

func (w *Worker) free() fleet.Res {
	free := w.total
	for k, g := range w.gangs {
		if g.state == wire.Run_HELD && time.Now().After(g.heldUntil) {
			delete(w.gangs, k)
			continue
		}
		if g.state == wire.Run_HELD || g.state == wire.Run_RUNNING {
			free = free.Sub(g.each.Times(int(g.tasks)))
		}
	}
	return free
}

// Start starts a gang in its reservation.
func (w *Worker) Start(_ context.Context, ask *wire.StartAsk) (*wire.OrderReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := key{ask.Job, ask.Attempt}
	if err := w.checkOrder(ask.Term, k); err != nil {
		return nil, err
	}
	g, ok := w.gangs[k]
	if !ok || g.state == wire.Run_HELD && time.Now().After(g.heldUntil) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the attempt has no reservation")
	}
	if w.Active(NoStart) {
		return nil, twirp.NewError(twirp.Internal, "the worker cannot start tasks")
	}
	if g.state != wire.Run_HELD {
		return &wire.OrderReply{}, nil
	}
	w.startGang(k, g, ask)
	return &wire.OrderReply{}, nil
}

func (w *Worker) startGang(k key, g *gang, ask *wire.StartAsk) {
	g.state, g.began = wire.Run_RUNNING, time.Now()
	g.priorWork = time.Duration(ask.Spent) * time.Millisecond
	g.saved = g.priorWork
	w.stints = append(w.stints, &Stint{Job: k.job, Attempt: k.attempt, From: g.began})
	duration, state, why := w.RunTime(k.job, time.Duration(ask.Span)*time.Millisecond)-g.priorWork, wire.Run_ENDED, ""
	if w.Active(FailAll) {
		duration, state, why = FailDelay, wire.Run_BROKEN, "the task exited with an error"
	}
	if w.Crashes != nil && w.Crashes(k.job) {
		time.AfterFunc(CrashDelay, w.Restart)
	}
	g.timer = time.AfterFunc(duration, func() { w.finishGang(k, g, state, why) })
	w.bumpVersion()
}

func (w *Worker) finishGang(k key, g *gang, state wire.Run, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gangs[k] != g || g.state != wire.Run_RUNNING {
		return
	}
	w.endGang(k, g, state, why)
	w.bumpVersion()
}

// endGang ends a gang and releases its resources. The gang is still reported until
// an order stops it.
func (w *Worker) endGang(k key, g *gang, state wire.Run, why string) {
	if g.timer != nil {
		g.timer.Stop()
	}
	if g.state == wire.Run_RUNNING {
		w.closeStint(k, state == wire.Run_ENDED)
	}
	g.state, g.why = state, why
}

func (w *Worker) closeStint(k key, completed bool) {
	for _, s := range w.stints {
		if s.Job == k.job && s.Attempt == k.attempt && s.To.IsZero() {
			s.To, s.Completed = time.Now(), completed
		}
	}
}

// Stop ends an attempt for good, after a checkpoint if the order asks for one.
func (w *Worker) Stop(ctx context.Context, ask *wire.StopAsk) (*wire.OrderReply, error) {
	k := key{ask.Job, ask.Attempt}
	if err := w.checkpoint(ctx, k, ask); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fence(ask.Term); err != nil {
		return nil, err
	}
	w.stopped[k] = true
	g, ok := w.gangs[k]
	if !ok {
		return &wire.OrderReply{}, nil
	}
	w.endGang(k, g, wire.Run_STOPPED, "stopped by order")
	delete(w.gangs, k)
	w.bumpVersion()
	return &wire.OrderReply{Spent: g.saved.Milliseconds()}, nil
}

func (w *Worker) checkpoint(ctx context.Context, k key, ask *wire.StopAsk) error {
	w.mu.Lock()
	err := w.fence(ask.Term)
	g, ok := w.gangs[k]
	running := ok && g.state == wire.Run_RUNNING
	w.mu.Unlock()
	if err != nil || !ask.Save || !running {
		return err
	}
	duration := CheckpointTime
	if w.Active(SlowSave) {
		duration = SlowCheckpointTime
	}
	select {
	case <-ctx.Done():
		return twirp.NewError(twirp.DeadlineExceeded, "the checkpoint took too long")
	case <-time.After(duration):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	g.saved = g.priorWork + time.Since(g.began)
	return nil
}

// Stints returns a copy of all stints so far.
func (w *Worker) Stints() []Stint {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Stint, len(w.stints))
	for i, s := range w.stints {
		out[i] = *s
	}
	return out
}

// Restart discards all gangs and the term, as if the host had been replaced.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, g := range w.gangs {
		w.endGang(k, g, wire.Run_STOPPED, "the worker restarted")
	}
	w.gangs, w.stopped, w.term = map[key]*gang{}, map[key]bool{}, 0
	w.bumpVersion()
}
