// Package ledger stands in for the platform's append-only log: offsets from 1
// on, limited retention and rate, outages, slowness, and answers that are lost
// after they took effect.
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

// The failures that the log can show.
const (
	Down fault.Name = "down" // every call fails
	Slow fault.Name = "slow" // every call takes SlowSpan
	Lost fault.Name = "lost" // appends take effect, their answers are lost
)

// SlowSpan is how long a call takes while the log is slow.
const SlowSpan = 1500 * time.Millisecond

// Options bound the log. Zero is no bound.
type Options struct {
	Keep int // records
	Rate int // appends a second
}

// Log is the stand-in.
type Log struct {
	fault.Switch
	opts Options

	mu      sync.Mutex
	first   int64
	records []*wire.Stamped
	grown   chan struct{}
	free    time.Time // when the next append may be taken
	appends int
}

// New returns an empty log.
func New(opts Options) *Log {
	return &Log{opts: opts, first: 1, grown: make(chan struct{})}
}

// Append adds entries and returns the offset of the first.
func (l *Log) Append(ctx context.Context, ask *wire.AppendAsk) (*wire.AppendReply, error) {
	if err := l.trouble(ctx); err != nil {
		return nil, err
	}
	if err := l.pace(ctx); err != nil {
		return nil, err
	}
	first := l.add(ask.Entries)
	if l.Is(Lost) {
		return nil, twirp.NewError(twirp.Unavailable, "the answer was lost")
	}
	return &wire.AppendReply{First: first}, nil
}

func (l *Log) trouble(ctx context.Context) error {
	if l.Is(Down) {
		return twirp.NewError(twirp.Unavailable, "the log is down")
	}
	if l.Is(Slow) {
		return sleep(ctx, SlowSpan)
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

// pace makes appends wait for their turn.
func (l *Log) pace(ctx context.Context) error {
	if l.opts.Rate == 0 {
		return nil
	}
	l.mu.Lock()
	now := time.Now()
	turn := l.free
	if turn.Before(now) {
		turn = now
	}
	l.free = turn.Add(time.Second / time.Duration(l.opts.Rate))
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
	close(l.grown)
	l.grown = make(chan struct{})
	return first
}

func (l *Log) end() int64 { return l.first + int64(len(l.records)) }

// Read returns records from an offset on, waiting for one if asked to.
func (l *Log) Read(ctx context.Context, ask *wire.ReadAsk) (*wire.ReadReply, error) {
	if err := l.trouble(ctx); err != nil {
		return nil, err
	}
	reply, grown := l.read(ask)
	if len(reply.Entries) > 0 || ask.Wait <= 0 {
		return reply, nil
	}
	select {
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, ctx.Err().Error())
	case <-grown:
	case <-time.After(time.Duration(ask.Wait) * time.Millisecond):
	}
	if err := l.trouble(ctx); err != nil {
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
	return reply, l.grown
}

// Appends counts the appends taken so far.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}
