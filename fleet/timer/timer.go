// Package timer is the timer service: parts subscribe to a span and are sent
// the time whenever it has passed.
package timer

import (
	"context"
	"time"
)

// Service ticks for its subscribers.
type Service struct {
	ctx  context.Context
	ends []<-chan struct{}
}

// New returns a service that ends with the context.
func New(ctx context.Context) *Service { return &Service{ctx: ctx} }

// Every sends the time each span to the channel returned. A subscriber that
// falls behind misses ticks and does not hold others up.
func (s *Service) Every(span time.Duration) <-chan time.Time {
	out := make(chan time.Time, 1)
	end := make(chan struct{})
	s.ends = append(s.ends, end)
	go run(s.ctx, span, out, end)
	return out
}

// Wait returns when every goroutine of the service has ended.
func (s *Service) Wait() {
	for _, end := range s.ends {
		<-end
	}
}

func run(ctx context.Context, span time.Duration, out chan<- time.Time, end chan<- struct{}) {
	defer close(end)
	t := time.NewTicker(span)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			offer(out, now)
		}
	}
}

func offer(out chan<- time.Time, now time.Time) {
	select {
	case out <- now:
	default:
	}
}
