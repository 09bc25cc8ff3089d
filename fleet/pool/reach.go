package pool

import (
	"time"

	"dragonflydeck.example/fleet"
)

// When a failure domain counts as unreachable. Without this, a domain that is cut
// off still gets tasks, and a gang with one member there neither starts nor may
// start elsewhere until that member's lease has expired.
const (
	answerTimeout     = 300 * time.Millisecond // even a busy worker answers an order within this
	unreachableAfter  = 300 * time.Millisecond // time without an answer from any worker of the domain
	minOverdueWorkers = 2                      // workers with an overdue answer before their domain counts as unreachable
)

// ExpectAnswer notes that an answer of the worker is expected. Wait is how long the
// worker may delay it: 0 for a start or a stop, which is answered at once.
func (w *Worker) ExpectAnswer(wait time.Duration, now time.Time) {
	by := now.Add(wait + answerTimeout)
	if wait > 0 {
		w.pollDue = by
	}
	if w.answerDue.IsZero() || by.Before(w.answerDue) {
		w.answerDue = by
	}
}

// NoteFailedCall notes that a call to the worker failed: its answer counts as overdue.
func (w *Worker) NoteFailedCall(now time.Time) {
	w.inDoubtAt = now
	if !w.failing {
		w.failing, w.failedAt = true, now
	}
	if w.answerDue.IsZero() || now.Before(w.answerDue) {
		w.answerDue = now
	}
}

// NoteBrokenCall notes that a call to the worker was broken off, not just left without an
// answer: its process has ended, or the connection to it.
func (w *Worker) NoteBrokenCall(now time.Time) {
	if w.brokenAt.IsZero() {
		w.brokenAt = now
	}
}

// noteAnswer notes an answer of the worker. While a poll is in flight, its answer
// stays expected.
func (w *Worker) noteAnswer() {
	w.failing, w.brokenAt = false, time.Time{}
	w.answerDue = time.Time{}
	if w.PollsInFlight > 0 {
		w.answerDue = w.pollDue
	}
}

// Overdue reports whether an answer of the worker is overdue.
func (w *Worker) Overdue(now time.Time) bool {
	return !w.answerDue.IsZero() && !now.Before(w.answerDue)
}

// NoteAnswer records an answer of a worker with its clock; 0 means that there was none.
func (p *Pool) NoteAnswer(w *Worker, clock fleet.Ticks, now time.Time) {
	if clock <= 0 {
		return
	}
	w.NoteClock(clock, now)
	p.lastHeard[w.Domain] = now
}

// NoteProcess notes that the answer to a poll, sent at the given time, has told the worker's process.
func (w *Worker) NoteProcess(sentAt time.Time) {
	if !sentAt.Before(w.inDoubtAt) {
		w.inDoubtAt = time.Time{}
	}
}

// Forgettable returns the newest run end that the worker is to be told to forget. It is none once the
// worker has answered that, and while its process may have been replaced, which a poll without an
// answer may hide: a poll names no process, and a new one numbers its ends from the beginning.
func (w *Worker) Forgettable(now time.Time) fleet.EndNo {
	if w.EndsStored <= w.EndsForgettable || w.PollsInFlight > 0 || !w.inDoubtAt.IsZero() || w.Overdue(now) {
		return 0
	}
	return w.EndsStored
}

// NoteOrderAnswer records a worker's answer to an order, which does not tell its process. An
// answer of a later process says nothing about the runs of the former; the next poll shows
// the new one.
func (p *Pool) NoteOrderAnswer(w *Worker, clock fleet.Ticks, now time.Time) {
	if w.isRestartedClock(clock) {
		w.inDoubtAt = now
		return
	}
	p.NoteAnswer(w, clock, now)
}

// HasSilentDomain reports whether no worker of some failure domain has answered for
// the given time.
func (p *Pool) HasSilentDomain(silence time.Duration, now time.Time) bool {
	for _, d := range p.Domains() {
		if now.Sub(p.lastHeard[d]) >= silence {
			return true
		}
	}
	return false
}

// LastHeard returns when any worker of a failure domain last answered.
func (p *Pool) LastHeard(d fleet.DomainID) time.Time { return p.lastHeard[d] }

// Unreachable returns the failure domains that count as unreachable: answers of several
// workers are overdue, and no worker of the domain has answered within unreachableAfter.
func (p *Pool) Unreachable(now time.Time) map[fleet.DomainID]bool {
	overdue := map[fleet.DomainID]int{}
	for _, w := range p.Sorted() {
		if w.Listed && w.Overdue(now) {
			overdue[w.Domain]++
		}
	}
	unreachable := map[fleet.DomainID]bool{}
	for d, n := range overdue {
		if n >= minOverdueWorkers && now.Sub(p.lastHeard[d]) >= unreachableAfter {
			unreachable[d] = true
		}
	}
	return unreachable
}
