// Package fault holds the failures that a stand-in can be told to show.
package fault

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"dragonflydeck.example/fleet/wire"
)

// Name is a failure that a stand-in knows.
type Name string

// Switch turns failures on and off. The zero value has all of them off.
type Switch struct {
	mu    sync.Mutex
	until map[Name]time.Time
}

// forever is when a failure ends that was switched on without a span.
var forever = time.Unix(1<<40, 0)

// On turns a failure on for a span, or until Off if the span is 0.
func (s *Switch) On(n Name, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[Name]time.Time{}
	}
	s.until[n] = forever
	if span > 0 {
		s.until[n] = time.Now().Add(span)
	}
}

// Off turns a failure off.
func (s *Switch) Off(n Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, n)
}

// Is reports whether a failure is on.
func (s *Switch) Is(n Name) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[n]
	return ok && time.Now().Before(until)
}

// Set is the call that switches failures from outside.
func (s *Switch) Set(_ context.Context, ask *wire.FaultAsk) (*wire.FaultReply, error) {
	if ask.On {
		s.On(Name(ask.Name), time.Duration(ask.Span)*time.Millisecond)
	} else {
		s.Off(Name(ask.Name))
	}
	return &wire.FaultReply{State: s.state()}, nil
}

func (s *Switch) state() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for n := range s.until {
		names = append(names, string(n))
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}
