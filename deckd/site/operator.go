package site

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/mirror"
	"dragonflydeck.example/fleet/queue"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
)

// Timeouts for the operator's records.
const (
	lagTolerance = 250 * time.Millisecond // after lagging behind the lead for this long, ask it for the records
	peerTimeout  = 500 * time.Millisecond // for a peer to send its records
)

// operatorRecords keeps a copy of the operator's records. They come from the store,
// or from a peer while only the peer can read the store.
type operatorRecords struct {
	site *Site

	mu          sync.Mutex
	copy        *mirror.Mirror
	leadEnd     fleet.Offset            // how far the lead has read, as its heartbeats say
	behindSince time.Time               // since when the lead has read more than this daemon
	out         map[fleet.DomainID]bool // failure domains that are out of service by the records

	config atomic.Pointer[queue.Config]
}

func newOperatorRecords(s *Site) *operatorRecords {
	return &operatorRecords{site: s, copy: mirror.New()}
}

// follow reads the operator's records from the store until the context ends, and
// asks a peer after each failed read.
func (o *operatorRecords) follow(ctx context.Context) { o.newFollower(ctx).run(ctx) }

// newFollower returns the follower of the operator's records.
func (o *operatorRecords) newFollower(ctx context.Context) *follower {
	topic, _ := o.site.deps.Reader.Topics()
	apply := func(u mirror.Update) { o.apply(u, "the store") }
	return &follower{site: o.site, topic: topic, wait: readWait, apply: apply, onFailure: func() { o.askPeer(ctx) }}
}

// catchUp asks a peer for the records when this daemon has lagged behind the lead
// for lagTolerance, because a read of the store may hang without an error.
func (o *operatorRecords) catchUp(ctx context.Context) {
	for now := range o.site.timer.Every(lagTolerance) {
		o.mu.Lock()
		behind := o.leadEnd > o.copy.End() && now.Sub(o.behindSince) >= lagTolerance
		o.mu.Unlock()
		if behind {
			o.askPeer(ctx)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// noteLeadEnd records how far the lead has read.
func (o *operatorRecords) noteLeadEnd(end fleet.Offset) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leadEnd <= o.copy.End() {
		o.behindSince = time.Now()
	}
	o.leadEnd = max(o.leadEnd, end)
}

// apply brings the copy of the records up to date and puts the resulting configuration
// into effect. The source is named in log lines.
func (o *operatorRecords) apply(u mirror.Update, source string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.copy.Apply(u) {
		return
	}
	orders, errs := o.site.deps.Reader.Orders(o.copy.Records())
	for _, err := range errs {
		o.site.log(event.ConfigBad, "config", "end=%d: %v", o.copy.End(), err)
	}
	if orders.Config != nil {
		if current := o.config.Load(); current == nil || orders.Config.Version > current.Version {
			o.config.Store(orders.Config)
		}
	}
	o.noteOut(orders.OutOfService, source)
	o.site.loop.Post(sched.ConfigChanged{Config: orders.Config, OutOfService: orders.OutOfService, End: o.copy.End()})
}

// noteOut logs which failure domains go out of service and come back.
func (o *operatorRecords) noteOut(out map[fleet.DomainID]bool, source string) {
	o.logMissing(event.DomainOut, out, o.out, source)
	o.logMissing(event.DomainBack, o.out, out, source)
	o.out = out
}

// logMissing logs an event for each failure domain that is in one set and not in the other.
func (o *operatorRecords) logMissing(code event.Code, in, other map[fleet.DomainID]bool, source string) {
	for _, id := range slices.Sorted(maps.Keys(in)) {
		if !other[id] {
			o.site.log(code, string(id), "end=%d from=%s", o.copy.End(), source)
		}
	}
}

// askPeer fetches the operator's records from the lead or from another daemon,
// one of the two at random; from another daemon if no lead is known.
func (o *operatorRecords) askPeer(ctx context.Context) {
	addr := o.site.leadAddr()
	if others := o.site.members.others(o.site.self.Host); addr == "" || rand.IntN(2) == 0 {
		if len(others) == 0 {
			return
		}
		addr = others[rand.IntN(len(others))].Addr
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	r, err := o.site.pool.Site(addr).Orders(ctx, &wire.OrdersAsk{Since: int64(o.endOffset())})
	if err != nil {
		o.site.logCallFailure("fetch the operator's records", addr, err)
		return
	}
	o.applyReply(r, addr)
}

// applyReply applies the answer of a peer. An answer of an older version is left out, as
// it may lack removals.
func (o *operatorRecords) applyReply(r *wire.OrdersReply, addr string) {
	if r.Extent == wire.Extent_EXTENT_UNSET {
		o.site.log(event.CallFailed, addr, "fetch the operator's records: the daemon is of an older version, whose answers may lack removals")
		return
	}
	u := mirror.Update{End: fleet.Offset(r.End), Whole: r.Extent == wire.Extent_WHOLE}
	for _, record := range r.Records {
		u.Records = append(u.Records, fleet.Record{Key: record.Key, Value: record.Value, Offset: fleet.Offset(record.Offset)})
	}
	o.apply(u, addr)
}

func (o *operatorRecords) endOffset() fleet.Offset {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.copy.End()
}

// reply returns what a peer lacks that knows the records up to an offset.
func (o *operatorRecords) reply(since fleet.Offset) *wire.OrdersReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	u := o.copy.Since(since)
	r := &wire.OrdersReply{End: int64(u.End), Extent: wire.Extent_SINCE}
	if u.Whole {
		r.Extent = wire.Extent_WHOLE
	}
	for _, record := range u.Records {
		r.Records = append(r.Records, &wire.OrderRecord{Key: record.Key, Value: record.Value, Offset: int64(record.Offset)})
	}
	return r
}

// writeMetrics writes how far the records are known, and which failure domains are out of
// service by them.
func (o *operatorRecords) writeMetrics(w io.Writer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	fmt.Fprintf(w, "deckd_orders_end %d\n", o.copy.End())
	for _, id := range slices.Sorted(maps.Keys(o.out)) {
		fmt.Fprintf(w, "deckd_domain_out{domain=%q} 1\n", id)
	}
}
