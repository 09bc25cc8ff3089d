package daemon

import (
	"context"
	"testing"
	"time"

	"dragonflydeck.example/fleet/client"
	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// freezeTime is longer than another daemon needs to take over.
const freezeTime = time.Minute

// freeze suspends a daemon: its control loop and the calls it makes and receives.
// A call it was about to make is sent when it resumes, even if the call's timeout
// has passed by then.
func (s *site) freeze(id string, span time.Duration) {
	d := s.get(id)
	s.mu.Lock()
	s.frozen[id] = time.Now().Add(span)
	s.mu.Unlock()
	_ = d.loop.do(context.Background(), "freeze", func(*core.Core) { time.Sleep(span) })
}

// frozenFor returns how long a host still stays frozen.
func (s *site) frozenFor(id string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.frozen[id])
}

// waitSender waits until the sender is no longer frozen.
func (s *site) waitSender(id string) {
	if left := s.frozenFor(id); left > 0 {
		time.Sleep(left)
	}
}

// waitReceiver waits until the receiver is no longer frozen or the call times out.
func (s *site) waitReceiver(ctx context.Context, id string) error {
	left := s.frozenFor(id)
	if left <= 0 {
		return nil
	}
	select {
	case <-time.After(left):
		return nil
	case <-ctx.Done():
		return &client.Error{Op: "call " + id, Kind: client.Unanswered, Err: ctx.Err()}
	}
}

// The lead freezes at each order while it starts a gang, and resumes when another
// daemon leads. The order it was about to send is sent then and must not start
// anything.
func TestLeadFrozenWhileItStartsAGang(t *testing.T) {
	freeze := func(s *site, lead string) { s.freeze(lead, freezeTime) }
	atEachStep(t, freeze, func(s *site, lead, at string) {
		s.until(freezeTime-time.Second, "another lead", func() bool { return s.leadOf(at, "d1") == at })
		s.untilPhase(at, "j", wire.Phase_DONE, 3*time.Minute)
		s.until(2*freezeTime, "the new lead in the view of the old one", func() bool { return s.leadOf(lead, "d1") == at })
		time.Sleep(freezeTime) // for delayed calls
		qt.Assert(s.t, s.running("j"), qt.Equals, 0)
	})
}
