package site

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/helm"
	"dragonflydeck.example/fleet/queue"
	"dragonflydeck.example/fleet/wire"
)

// Spans of the operator's records.
const (
	hintSpan = 250 * time.Millisecond // a lead that knows more for so long is asked
	peerSpan = 500 * time.Millisecond // for a peer to answer
)

// orders are the operator's records, from the store or from a peer that the
// store still answers. They never go back to older ones.
type orders struct {
	site *Site

	mu      sync.Mutex
	records map[string]fleet.Record
	end     fleet.Offset
	ahead   fleet.Offset // the lead has read up to here
	since   time.Time    // since when it is ahead of us

	config atomic.Pointer[queue.Config]
}

func newOrders(s *Site) *orders { return &orders{site: s, records: map[string]fleet.Record{}} }

// follow reads the operator's records from the store, and from a peer while the
// store does not answer.
func (o *orders) follow(ctx context.Context) {
	topic, _ := o.site.edges.Reader.Topics()
	f := follower{site: o.site, topic: topic, wait: followWait, take: o.take, fail: func() { o.askPeer(ctx) }}
	f.run(ctx)
}

// watch asks the lead when it has known more than this daemon for a while: a
// read of the store may hang without an answer.
func (o *orders) watch(ctx context.Context) {
	for now := range o.site.timer.Every(hintSpan) {
		o.mu.Lock()
		behind := o.ahead > o.end && now.Sub(o.since) >= hintSpan
		o.mu.Unlock()
		if behind {
			o.askPeer(ctx)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// hint notes how far the lead has read.
func (o *orders) hint(end fleet.Offset) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ahead <= o.end {
		o.since = time.Now()
	}
	o.ahead = max(o.ahead, end)
}

// take puts newer records in force.
func (o *orders) take(records []fleet.Record, end fleet.Offset) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		if before, ok := o.records[r.Key]; !ok || r.Offset > before.Offset {
			o.records[r.Key] = r
		}
	}
	if end <= o.end {
		return
	}
	o.end = end
	in, errs := o.site.edges.Reader.Orders(o.records)
	for _, err := range errs {
		o.site.tell(event.ConfigBad, "config", "end=%d: %v", end, err)
	}
	if in.Config != nil {
		if now := o.config.Load(); now == nil || in.Config.Version > now.Version {
			o.config.Store(in.Config)
		}
	}
	o.site.loop.Post(helm.Ordered{Config: in.Config, Out: in.Out, End: end})
}

// askPeer asks the lead for the operator's records, or another daemon if no
// lead is known.
func (o *orders) askPeer(ctx context.Context) {
	addr := o.site.leadAddr()
	if others := o.site.members.others(o.site.self.Host); addr == "" || rand.IntN(2) == 0 {
		if len(others) == 0 {
			return
		}
		addr = others[rand.IntN(len(others))].Addr
	}
	ctx, cancel := context.WithTimeout(ctx, peerSpan)
	defer cancel()
	r, err := o.site.pool.Site(addr).Orders(ctx, &wire.OrdersAsk{Since: int64(o.known())})
	if err != nil {
		o.site.tellCall("ask for the operator's records", addr, err)
		return
	}
	var records []fleet.Record
	for _, one := range r.Records {
		records = append(records, fleet.Record{Key: one.Key, Value: one.Value, Offset: fleet.Offset(one.Offset)})
	}
	o.take(records, fleet.Offset(r.End))
}

func (o *orders) known() fleet.Offset {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.end
}

// reply returns the records after an offset, for a peer.
func (o *orders) reply(since fleet.Offset) *wire.OrdersReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &wire.OrdersReply{End: int64(o.end)}
	for _, key := range slices.Sorted(maps.Keys(o.records)) {
		if one := o.records[key]; one.Offset >= since {
			r.Records = append(r.Records, &wire.OrderRecord{Key: one.Key, Value: one.Value, Offset: int64(one.Offset)})
		}
	}
	return r
}
