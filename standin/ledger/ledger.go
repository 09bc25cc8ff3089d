// Package ledger stands in for the platform's append-only log. Offsets start at
// 1, retention and append rate are limited, and the log can be down, slow, or
// lose the answers of appends that took effect.
package ledger

import (
	"context"
	"sync"
	"time"

	"dragonflydeck.example/fleet/wire"
	"dragonflydeck.example/standin/fault"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

// The failures that the log can simulate.
const (
	Down fault.Name = "down" // every call fails
	Slow fault.Name = "slow" // every call takes SlowDelay longer
	Lost fault.Name = "lost" // appends take effect, but their answers are lost
)

// SlowDelay is the extra time that a call takes while the log is slow.
const SlowDelay = 1500 * time.Millisecond

// Options limit the log. Zero means no limit.
type Options struct {
	Keep int // records retained
	Rate int // appends per second
}

// Log simulates the log.
type Log struct {
	fault.Switch
	opts Options

	mu         sync.Mutex
	first      int64
	records    []*wire.Stamped
	appended   chan struct{}
	nextAppend time.Time // earliest time of the next append
	appends    int
}

// New returns an empty log.
func New(opts Options) *Log {
	return &Log{opts: opts, first: 1, appended: make(chan struct{})}
}

// Append adds entries and returns the offset of the first.
func (l *Log) Append(ctx context.Context, ask *wire.AppendAsk) (*wire.AppendReply, error) {
	if err := l.injectFault(ctx); err != nil {
		return nil, err
	}
	if err := l.throttle(ctx); err != nil {
		return nil, err
	}
	first := l.add(ask.Entries)
	if l.Active(Lost) {
		return nil, twirp.NewError(twirp.Unavailable, "the answer was lost")
	}
	return &wire.AppendReply{First: first}, nil
}

func (l *Log) injectFault(ctx context.Context) error {
	if l.Active(Down) {
		return twirp.NewError(twirp.Unavailable, "the log is down")
	}
	if l.Active(Slow) {
		return sleep(ctx, SlowDelay)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return twirp.NewError(twirp.DeadlineExceeded, ctx.Err().Error())
	case <-time.After(d):
		return nil
	}
}

// throttle delays appends to the configured rate.
func (l *Log) throttle(ctx context.Context) error {
	if l.opts.Rate == 0 {
		return nil
	}
	l.mu.Lock()
	now := time.Now()
	turn := l.nextAppend
	if turn.Before(now) {
		turn = now
	}
	l.nextAppend = turn.Add(time.Second / time.Duration(l.opts.Rate))
	l.mu.Unlock()
	return sleep(ctx, turn.Sub(now))
}

func (l *Log) add(entries []*wire.Entry) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.end()
	for i, e := range entries {
		l.records = append(l.records, &wire.Stamped{Offset: first + int64(i), Entry: proto.CloneOf(e)})
	}
	if over := len(l.records) - l.opts.Keep; l.opts.Keep > 0 && over > 0 {
		l.first += int64(over)
		l.records = append([]*wire.Stamped{}, l.records[over:]...)
	}
	l.appends++
	close(l.appended)
	l.appended = make(chan struct{})
	return first
}

func (l *Log) end() int64 { return l.first + int64(len(l.records)) }

// Read returns records from an offset on. If there are none, it waits for an
// append for the time that the caller allows.
func (l *Log) Read(ctx context.Context, ask *wire.ReadAsk) (*wire.ReadReply, error) {
	if err := l.injectFault(ctx); err != nil {
		return nil, err
	}
	reply, appended := l.read(ask)
	if len(reply.Entries) > 0 || ask.Wait <= 0 {
		return reply, nil
	}
	select {
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, ctx.Err().Error())
	case <-appended:
	case <-time.After(time.Duration(ask.Wait) * time.Millisecond):
	}
	if err := l.injectFault(ctx); err != nil {
		return nil, err
	}
	reply, _ = l.read(ask)
	return reply, nil
}

func (l *Log) read(ask *wire.ReadAsk) (*wire.ReadReply, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &wire.ReadReply{First: l.first, End: l.end()}
	from := max(ask.From, l.first)
	for at := from; at < l.end() && len(reply.Entries) < int(ask.Max); at++ {
		reply.Entries = append(reply.Entries, proto.CloneOf(l.records[at-l.first]))
	}
	return reply, l.appended
}

// Appends returns the number of appends so far.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}
