package sched

// maxOrders limits the starts, and likewise the stops, that have no answer yet. Each takes a goroutine, a request and
// buffers, some 20 KiB together. A healthy worker answers within milliseconds, and an order that gets no answer ends within
// a second, so that the limit is met only by very wide steps.
const maxOrders = 1024

// orders counts the calls to workers that are in flight.
type orders struct {
	starts   int
	stops    int
	heldBack bool // placements wait for starts to be answered
}

// pendingStarts returns how many starts have been placed and not been answered.
func (sc *Scheduler) pendingStarts() int {
	n := sc.orders.starts + len(sc.outbox.starts) + len(sc.outbox.stored)
	if s := sc.outbox.inFlight; s != nil {
		n += len(s.starts)
	}
	return n
}

// fitToOrders limits a unit to the tasks that may be started now. Load pattern: steps of thousands of tasks whose
// starts, all sent at once, would take more memory than a daemon has. A gang starts as a whole.
func (sc *Scheduler) fitToOrders(u unit) unit {
	room := maxOrders - sc.pendingStarts()
	if room >= len(u.Indexes) || room > 0 && u.Step.Spec.Gang {
		return u
	}
	sc.orders.heldBack = true
	u.Indexes = u.Indexes[:max(room, 0)]
	if u.Step.Spec.Gang {
		u.Indexes = nil
	}
	return u
}

// noteStartEnded notes that a start was answered, or has failed.
func (sc *Scheduler) noteStartEnded(e Started) {
	if sc.mode != leading || e.Term != sc.term {
		return
	}
	sc.orders.starts--
	if sc.orders.heldBack && sc.pendingStarts() < maxOrders/2 {
		sc.orders.heldBack, sc.changed = false, true
	}
}

// noteStopEnded notes that a stop was answered, or has failed.
func (sc *Scheduler) noteStopEnded(e Stopped) {
	if sc.mode == leading && e.Term == sc.term {
		sc.orders.stops--
	}
}
