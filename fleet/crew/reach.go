package crew

import (
	"time"

	"dragonflydeck.example/fleet"
)

// When workers count as out of reach. It answers a failure domain that is cut off
// while jobs arrive: a gang with one member there neither starts nor may be
// started elsewhere until that member's lease has lapsed.
const (
	promptSpan = 300 * time.Millisecond // an order is answered within, also by a busy worker
	mutedSpan  = 300 * time.Millisecond // no worker of a domain was heard for so long
	mutedLeast = 2                      // workers that owe an answer before their domain is in doubt
)

// Await notes that an answer of the worker is expected within some time.
func (w *Worker) Await(wait time.Duration, now time.Time) {
	by := now.Add(wait + promptSpan)
	if wait > 0 {
		w.pollBy = by
	}
	if w.answerBy.IsZero() || by.Before(w.answerBy) {
		w.answerBy = by
	}
}

// Unanswered notes that a call to the worker failed.
func (w *Worker) Unanswered(now time.Time) {
	if w.answerBy.IsZero() || now.Before(w.answerBy) {
		w.answerBy = now
	}
}

// answered notes that the worker was heard. A look that waits is still expected.
func (w *Worker) answered() {
	w.answerBy = time.Time{}
	if w.Looking > 0 {
		w.answerBy = w.pollBy
	}
}

// Quiet reports whether the worker owes an answer.
func (w *Worker) Quiet(now time.Time) bool {
	return !w.answerBy.IsZero() && !now.Before(w.answerBy)
}

// Hear notes that a worker was heard, with its clock.
func (c *Crew) Hear(w *Worker, clock fleet.Ticks, now time.Time) {
	if clock <= 0 {
		return
	}
	w.Tick(clock, now)
	c.heard[w.Domain] = now
}

// Heard returns when a worker of a failure domain was last heard.
func (c *Crew) Heard(d fleet.DomainID) time.Time { return c.heard[d] }

// Muted returns the failure domains of which nothing is heard although several of
// their workers owe an answer.
func (c *Crew) Muted(now time.Time) map[fleet.DomainID]bool {
	owe := map[fleet.DomainID]int{}
	for _, w := range c.Sorted() {
		if w.Listed && w.Quiet(now) {
			owe[w.Domain]++
		}
	}
	out := map[fleet.DomainID]bool{}
	for d, n := range owe {
		if n >= mutedLeast && now.Sub(c.heard[d]) >= mutedSpan {
			out[d] = true
		}
	}
	return out
}
