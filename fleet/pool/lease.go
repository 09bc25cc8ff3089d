package pool

import (
	"time"

	"dragonflydeck.example/fleet"
)

const (
	slowClock   = 0.98                   // lowest rate of a worker's clock, relative to this host's
	maxClockLag = time.Second            // by which the clock of an answer may be behind that of one overtaken by it
	expirySlack = 500 * time.Millisecond // time that a worker takes to end its runs after its lease has expired
)

// NoteClock records the worker's clock from an answer that arrived now. A clock of 0
// means that the call got no answer, and changes nothing.
func (w *Worker) NoteClock(clock fleet.Ticks, now time.Time) {
	if clock <= 0 {
		return
	}
	w.LastHeard = now
	w.noteAnswer()
	if w.clockAt.IsZero() || clock >= w.clock {
		w.clock, w.clockAt = clock, now
	}
}

// isRestartedClock reports whether a clock is of a later process than the one that is known.
func (w *Worker) isRestartedClock(clock fleet.Ticks) bool {
	return !w.clockAt.IsZero() && clock < w.clock-fleet.Ticks(maxClockLag.Milliseconds())
}

// GrantLease grants a lease of the given length and returns its end on the worker's
// clock, or 0 while that clock is not known. The end never moves back.
func (w *Worker) GrantLease(length time.Duration, now time.Time) fleet.Ticks {
	if w.clockAt.IsZero() {
		return 0
	}
	passed := now.Sub(w.clockAt)
	until := w.clock + fleet.Ticks((passed + length).Milliseconds())
	w.leaseEnd = max(w.leaseEnd, until)
	return w.leaseEnd
}

// LeasesExpireAt returns the time by which every lease that may have been granted has
// certainly expired. Leases of a former lead end before any that this lead has
// granted since the worker accepted its term.
func (w *Worker) LeasesExpireAt() time.Time {
	at := w.unknownLeaseEnd
	if w.Synced && w.leaseEnd > 0 {
		at = time.Time{}
	}
	if w.clockAt.IsZero() {
		return at
	}
	left := time.Duration(float64(w.leaseEnd-w.clock)/slowClock) * time.Millisecond
	known := w.clockAt.Add(left + expirySlack)
	if known.After(at) {
		return known
	}
	return at
}

// ExpectForeignLeases notes that a former lead may grant leases until the given time,
// and that the worker has not accepted this lead's term yet.
func (w *Worker) ExpectForeignLeases(until time.Time) {
	w.Synced = false
	w.AssumeLease(until)
}

// LongestLease returns the longest time for which a worker may go on after any lease was
// granted.
func (p *Pool) LongestLease() time.Duration { return longestLease(p.maxLease) }

func longestLease(limit time.Duration) time.Duration {
	return time.Duration(float64(limit)/slowClock) + expirySlack
}

// AssumeLease assumes that an unknown lease was granted no later than now. It is no
// longer than the platform's limit, on a clock that may run slow. The latest end never moves
// back, as a former lead may still grant leases until a later time.
func (w *Worker) AssumeLease(now time.Time) {
	if end := now.Add(longestLease(w.maxLease)); end.After(w.unknownLeaseEnd) {
		w.unknownLeaseEnd = end
	}
}
