// Package lease renews the leases of the workers of a failure domain, one
// message for all tasks of a worker, and decides when a lease has surely
// lapsed. The worker's answer waits until something changed, so it tells of
// ended tasks at once and costs little else.
package lease

import (
	"fmt"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
)

// Spans of renewal.
const (
	// GiveUp is how long renewals may fail before the lease is left to lapse.
	GiveUp = 4 * time.Second
	// RetrySpan is the pause after a renewal that failed.
	RetrySpan = 500 * time.Millisecond
)

// link is the state of the renewals of one worker.
type link struct {
	flying  bool
	next    time.Time
	good    time.Time // last answer
	granted time.Time // last end of an ask that granted a lease
	failing time.Time // since when asks fail; zero if the last one did not
}

// Control is the controller of leases.
type Control struct {
	term  fleet.Term
	links map[fleet.HostID]*link
}

// New returns the controller.
func New() *Control { return &Control{links: map[fleet.HostID]*link{}} }

// Step takes reports, gives leases up and asks for renewals.
func (c *Control) Step(b *board.Board) {
	if !b.Lead.Mine {
		c.links = map[fleet.HostID]*link{}
		clear(b.Workers)
		return
	}
	c.follow(b)
	for _, e := range b.Events {
		if r, ok := e.(board.Renewed); ok {
			c.renewed(b, r)
		}
	}
	for _, id := range c.order() {
		c.renew(b, id)
	}
}

// follow adds the workers of the host list and starts anew in a new term.
func (c *Control) follow(b *board.Board) {
	if c.term != b.Lead.Term {
		c.term = b.Lead.Term
		c.links = map[fleet.HostID]*link{}
	}
	for _, h := range b.Own(wire.Role_WORKER) {
		id := fleet.HostID(h.Id)
		if b.Workers[id] == nil {
			b.Workers[id] = &board.Worker{}
		}
		b.Workers[id].Host = h
		if c.links[id] == nil {
			c.links[id] = &link{good: b.Now, granted: b.Now}
		}
	}
	for id, w := range b.Workers {
		if b.Hosts[id] == nil && w.Lost {
			delete(b.Workers, id)
			delete(c.links, id)
		}
	}
}

func (c *Control) order() []fleet.HostID {
	ids := make([]fleet.HostID, 0, len(c.links))
	for id := range c.links {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	return ids
}

func (c *Control) renewed(b *board.Board, r board.Renewed) {
	l, w := c.links[r.Worker], b.Workers[r.Worker]
	if l == nil || w == nil || r.Term != c.term {
		return
	}
	l.flying = false
	if r.Held {
		l.granted = b.Now
	}
	if r.Err != nil {
		c.failed(b, l, r)
		return
	}
	l.good, l.failing, l.next = b.Now, time.Time{}, b.Now
	if r.Reply.Version != w.Version || !w.Fresh {
		w.Reports, w.Version = r.Reply.Gangs, r.Reply.Version
	}
	w.Fresh, w.Asked = true, r.Asked
	if w.Lost {
		w.Lost = false
		b.Note(event.WorkerBack, string(r.Worker), "answers again")
	}
}

func (c *Control) failed(b *board.Board, l *link, r board.Renewed) {
	l.next = b.Now.Add(RetrySpan)
	if l.failing.IsZero() {
		l.failing = b.Now
	}
	if Fenced(r.Err) {
		b.Note(event.WorkerFenced, string(r.Worker), r.Err.Error())
	}
}

// renew asks one worker. After renewals have failed for a while it only asks
// and grants nothing, so that the lease surely lapses.
func (c *Control) renew(b *board.Board, id fleet.HostID) {
	l, w := c.links[id], b.Workers[id]
	lapsing := w.Lost || !l.failing.IsZero() && b.Now.Sub(l.good) >= GiveUp+board.RenewWait(b.Lead.Lease)
	if lapsing && !w.Lost && !l.flying && b.Now.Sub(l.granted) >= board.Lapse(b.Lead.Lease) {
		c.lose(b, id)
	}
	if l.flying || b.Now.Before(l.next) {
		return
	}
	ask := &wire.RenewAsk{Term: int64(c.term), Lease: b.Lead.Lease.Milliseconds()}
	if w.Fresh && !w.Lost && l.failing.IsZero() {
		ask.Seen, ask.Wait = w.Version, board.RenewWait(b.Lead.Lease).Milliseconds()
	}
	if lapsing {
		ask.Lease = 0
		l.next = b.Now.Add(2 * RetrySpan)
	}
	l.flying = true
	b.Do(board.RenewWorker{Worker: id, Addr: w.Host.Addr, Ask: ask})
}

func (c *Control) lose(b *board.Board, id fleet.HostID) {
	w := b.Workers[id]
	w.Lost, w.Reports, w.Version, w.Fresh = true, nil, 0, false
	b.Note(event.WorkerLost, string(id), fmt.Sprintf("no answer for %s, its lease has lapsed", b.Now.Sub(c.links[id].good).Round(time.Millisecond)))
}
