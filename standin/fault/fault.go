// Package fault turns the failures that a stand-in simulates on and off.
package fault

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"dragonflydeck.example/fleet/wire"
)

// Name identifies a failure that a stand-in can simulate.
type Name string

// Switch turns failures on and off. The zero value has all of them off.
type Switch struct {
	mu    sync.Mutex
	until map[Name]time.Time // end of each failure
}

// forever is the end of a failure that was turned on without a duration.
var forever = time.Unix(1<<40, 0)

// On turns a failure on for a duration, or until Off if that is 0.
func (s *Switch) On(n Name, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[Name]time.Time{}
	}
	s.until[n] = forever
	if duration > 0 {
		s.until[n] = time.Now().Add(duration)
	}
}

// Off turns a failure off.
func (s *Switch) Off(n Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, n)
}

// Active reports whether a failure is on.
func (s *Switch) Active(n Name) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[n]
	return ok && time.Now().Before(until)
}

// Set serves the call by which another process turns failures on and off.
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
