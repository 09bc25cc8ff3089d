// Package lease renews the leases of the workers of a failure domain, with one
// message for all tasks of a worker, and decides when a lease has expired for
// certain. Renewals are long polls: the worker answers when something changes, so
// that the lead learns of ended tasks at once and few messages are needed.
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

// Times of renewals.
const (
	// FailTimeout is how long renewals may fail before the lease is left to expire.
	FailTimeout = 4 * time.Second
	// RetryDelay is the delay after a failed renewal.
	RetryDelay = 500 * time.Millisecond
)

// renewal is the state of the renewals of one worker.
type renewal struct {
	inFlight     bool      // a request is running
	nextAt       time.Time // earliest time of the next request
	answeredAt   time.Time // last successful answer
	grantedAt    time.Time // end of the last request that granted a lease, successful or not
	failingSince time.Time // first of the failures in a row; zero after a success
}

// Controller is the controller of leases.
type Controller struct {
	term     fleet.Term
	renewals map[fleet.HostID]*renewal
}

// New returns the controller.
func New() *Controller { return &Controller{renewals: map[fleet.HostID]*renewal{}} }

// Step processes the answers to renewals, marks workers whose lease has expired as
// lost, and requests new renewals.
func (c *Controller) Step(b *board.Board) {
	if !b.Lead.Mine {
		c.renewals = map[fleet.HostID]*renewal{}
		clear(b.Workers)
		return
	}
	c.syncWorkers(b)
	for _, e := range b.Events {
		if r, ok := e.(board.Renewed); ok {
			c.renewed(b, r)
		}
	}
	for _, id := range c.workerIDs() {
		c.renew(b, id)
	}
}

// syncWorkers adds the workers of the host list and removes lost ones that are no
// longer listed. In a new term it resets the state of all renewals.
func (c *Controller) syncWorkers(b *board.Board) {
	if c.term != b.Lead.Term {
		c.term = b.Lead.Term
		c.renewals = map[fleet.HostID]*renewal{}
	}
	for _, h := range b.LocalHosts(wire.Role_WORKER) {
		id := fleet.HostID(h.Id)
		if b.Workers[id] == nil {
			b.Workers[id] = &board.Worker{}
		}
		b.Workers[id].Host = h
		if c.renewals[id] == nil {
			c.renewals[id] = &renewal{answeredAt: b.Now, grantedAt: b.Now}
		}
	}
	for id, w := range b.Workers {
		if b.Hosts[id] == nil && w.Lost {
			delete(b.Workers, id)
			delete(c.renewals, id)
		}
	}
}

func (c *Controller) workerIDs() []fleet.HostID {
	ids := make([]fleet.HostID, 0, len(c.renewals))
	for id := range c.renewals {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	return ids
}

func (c *Controller) renewed(b *board.Board, r board.Renewed) {
	rn, w := c.renewals[r.Worker], b.Workers[r.Worker]
	if rn == nil || w == nil || r.Term != c.term {
		return
	}
	rn.inFlight = false
	if r.LeaseGranted {
		rn.grantedAt = b.Now
	}
	if r.Err != nil {
		c.renewFailed(b, rn, r)
		return
	}
	// The process may have been replaced since a renewal failed, and a new one numbers its reports anew.
	maybeReplaced := !rn.failingSince.IsZero()
	rn.answeredAt, rn.failingSince, rn.nextAt = b.Now, time.Time{}, b.Now
	if r.Reply.Version != w.Version || !w.Reported || maybeReplaced {
		w.Reports, w.Version = r.Reply.Gangs, r.Reply.Version
	}
	w.Reported, w.AskedAt = true, r.AskedAt
	if w.Lost {
		w.Lost = false
		b.Emit(event.WorkerBack, string(r.Worker), "answers again")
	}
}

func (c *Controller) renewFailed(b *board.Board, rn *renewal, r board.Renewed) {
	rn.nextAt = b.Now.Add(RetryDelay)
	if rn.failingSince.IsZero() {
		rn.failingSince = b.Now
	}
	if Fenced(r.Err) {
		b.Emit(event.WorkerFenced, string(r.Worker), r.Err.Error())
	}
}

// renew requests a renewal from one worker if one is due. After renewals have
// failed for FailTimeout, the request no longer grants a lease, so that the last
// one expires for certain.
func (c *Controller) renew(b *board.Board, id fleet.HostID) {
	rn, w := c.renewals[id], b.Workers[id]
	expiring := w.Lost || !rn.failingSince.IsZero() && b.Now.Sub(rn.answeredAt) >= FailTimeout+board.RenewWait(b.Lead.Lease)
	if expiring && !w.Lost && !rn.inFlight && b.Now.Sub(rn.grantedAt) >= board.LeaseExpiry(b.Lead.Lease) {
		c.markLost(b, id)
	}
	if rn.inFlight || b.Now.Before(rn.nextAt) {
		return
	}
	ask := &wire.RenewAsk{Term: int64(c.term), Lease: b.Lead.Lease.Milliseconds()}
	if w.Reported && !w.Lost && rn.failingSince.IsZero() {
		ask.Seen, ask.Wait = w.Version, board.RenewWait(b.Lead.Lease).Milliseconds()
	}
	if expiring {
		ask.Lease = 0
		rn.nextAt = b.Now.Add(2 * RetryDelay)
	}
	rn.inFlight = true
	b.Do(board.RenewWorker{Worker: id, Addr: w.Host.Addr, Ask: ask})
}

// markLost drops what is known of a worker whose lease has expired.
func (c *Controller) markLost(b *board.Board, id fleet.HostID) {
	w := b.Workers[id]
	w.Lost, w.Reports, w.Version, w.Reported = true, nil, 0, false
	b.Emit(event.WorkerLost, string(id), fmt.Sprintf("no answer for %s, its lease has expired", b.Now.Sub(c.renewals[id].answeredAt).Round(time.Millisecond)))
}
