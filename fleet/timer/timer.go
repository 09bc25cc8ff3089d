// Package timer sends the time to subscribers at intervals of their choice, and
// can wait for all its goroutines to end.
package timer

import (
	"context"
	"time"
)

// Service runs a ticker for each subscriber.
type Service struct {
	ctx   context.Context
	ended []<-chan struct{}
}

// New returns a service whose tickers stop when the context is done.
func New(ctx context.Context) *Service { return &Service{ctx: ctx} }

// Every returns a channel that receives the time once per interval. A slow
// subscriber misses ticks and does not delay other subscribers.
func (s *Service) Every(interval time.Duration) <-chan time.Time {
	out := make(chan time.Time, 1)
	end := make(chan struct{})
	s.ended = append(s.ended, end)
	go tick(s.ctx, interval, out, end)
	return out
}

// Wait waits until every goroutine of the service has ended.
func (s *Service) Wait() {
	for _, end := range s.ended {
		<-end
	}
}

func tick(ctx context.Context, interval time.Duration, out chan<- time.Time, end chan<- struct{}) {
	defer close(end)
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			trySend(out, now)
		}
	}
}

func trySend(out chan<- time.Time, now time.Time) {
	select {
	case out <- now:
	default:
	}
}
