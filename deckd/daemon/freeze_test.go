package daemon

import (
	"context"
	"testing"
	"time"

	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/link"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// freezeSpan is longer than another daemon needs to take over.
const freezeTime = time.Minute

// freeze holds a daemon still: its control loop, what it sends and what it
// would receive. A call that it was about to make goes out after the thaw, also
// if its time is over by then.
func (s *site) freeze(id string, span time.Duration) {
	d := s.get(id)
	s.mu.Lock()
	s.frozen[id] = time.Now().Add(span)
	s.mu.Unlock()
	_ = d.loop.do(context.Background(), "freeze", func(*core.Core) { time.Sleep(span) })
}

// ice returns how long a host stays frozen.
func (s *site) frozenFor(id string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.frozen[id])
}

// thaw waits until the sender is awake.
func (s *site) waitSender(id string) {
	if left := s.frozenFor(id); left > 0 {
		time.Sleep(left)
	}
}

// await waits until the receiver is awake or the caller gives up.
func (s *site) waitReceiver(ctx context.Context, id string) error {
	left := s.frozenFor(id)
	if left <= 0 {
		return nil
	}
	select {
	case <-time.After(left):
		return nil
	case <-ctx.Done():
		return &link.Error{Op: "call " + id, Kind: link.Owed, Err: ctx.Err()}
	}
}

// The lead freezes at every step of bringing a gang up, in turn, and wakes up
// when another one leads. The order it was about to give is given then.
func TestLeadFrozenWhileItStartsAGang(t *testing.T) {
	freeze := func(s *site, lead string) { s.freeze(lead, freezeTime) }
	atEachStep(t, freeze, func(s *site, lead, at string) {
		s.until(freezeTime-time.Second, "another lead", func() bool { return s.leadOf(at, "d1") == at })
		s.untilPhase(at, "j", wire.Phase_DONE, 3*time.Minute)
		s.until(2*freezeTime, "the old lead's insight", func() bool { return s.leadOf(lead, "d1") == at })
		time.Sleep(freezeTime) // for whatever was held up
		qt.Assert(s.t, s.running("j"), qt.Equals, 0)
	})
}
