package crew

import (
	"time"

	"dragonflydeck.example/fleet"
)

const (
	slowClock  = 0.98                   // a worker's clock may run so much slower than ours
	lapseSlack = 500 * time.Millisecond // to end everything once the lease has passed
)

// Tick notes the worker's clock as told in an answer that arrived now. A call
// that got no answer has no clock and is no sign of life.
func (w *Worker) Tick(clock fleet.Ticks, now time.Time) {
	if clock <= 0 {
		return
	}
	w.Heard = now
	w.answered()
	if w.clockAt.IsZero() || clock >= w.clock {
		w.clock, w.clockAt = clock, now
	}
}

// Lease returns the end of a lease of some length on the worker's clock, and
// notes that it may be granted. It is 0 while the clock is not known.
func (w *Worker) Lease(span time.Duration, now time.Time) fleet.Ticks {
	if w.clockAt.IsZero() {
		return 0
	}
	passed := now.Sub(w.clockAt)
	until := w.clock + fleet.Ticks((passed + span).Milliseconds())
	w.until = max(w.until, until)
	return w.until
}

// Lapse returns when every lease that may have been granted has surely passed.
// One that a former lead gave ends before any that we have given since.
func (w *Worker) Lapse() time.Time {
	at := w.boundAll
	if w.Synced && w.until > 0 {
		at = time.Time{}
	}
	if w.clockAt.IsZero() {
		return at
	}
	left := time.Duration(float64(w.until-w.clock)/slowClock) * time.Millisecond
	own := w.clockAt.Add(left + lapseSlack)
	if own.After(at) {
		return own
	}
	return at
}

// Foreign notes that a former lead may give leases until some time.
func (w *Worker) Foreign(until time.Time) {
	w.Synced = false
	w.Bound(until)
}

// Bound notes that something holds a lease that is not known, given by now. No
// lease is longer than the platform's limit, on a clock that may be slow.
func (w *Worker) Bound(now time.Time) {
	w.boundAll = now.Add(time.Duration(float64(w.longest)/slowClock) + lapseSlack)
}
