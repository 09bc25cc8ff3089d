package site

import (
	"context"
	"sync"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/helm"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

// topicHosts holds the newest entry of each daemon.
const topicHosts fleet.Topic = "keyed.hosts"

// Spans of following a topic.
const (
	followWait  = 2 * time.Second        // a read waits so long for a record
	followRetry = 200 * time.Millisecond // after a read that failed
)

// members are the daemons of the site.
type members struct {
	mu  sync.RWMutex
	all map[fleet.HostID]*wire.Member
}

func newMembers() *members { return &members{all: map[fleet.HostID]*wire.Member{}} }

// others returns every daemon but one.
func (m *members) others(self fleet.HostID) []*wire.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []*wire.Member
	for id, one := range m.all {
		if id != self {
			out = append(out, one)
		}
	}
	return out
}

func (m *members) list() []elect.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []elect.Member
	for id, one := range m.all {
		out = append(out, elect.Member{Host: id, Inc: fleet.Incarnation(one.Inc), Power: fleet.Millicores(one.Power), Domain: fleet.DomainID(one.Domain)})
	}
	return out
}

func (m *members) put(one *wire.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if before, ok := m.all[fleet.HostID(one.Host)]; !ok || one.Inc >= before.Inc {
		m.all[fleet.HostID(one.Host)] = one
	}
}

// enlist stores this daemon's own entry and tells the helm of every other.
func (s *Site) enlist(ctx context.Context) {
	mine := &wire.Member{Host: string(s.self.Host), Addr: s.self.Addr, Domain: string(s.self.Domain), Inc: int64(s.self.Inc), Power: int64(s.self.Power)}
	s.members.put(mine)
	value, err := proto.Marshal(mine)
	if err != nil {
		s.tell(event.StoreFailed, string(topicHosts), "%v", err)
		return
	}
	for ctx.Err() == nil {
		_, err := s.carrier.put(ownSpan, topicHosts, -1, []fleet.Record{{Key: mine.Host, Value: value}})
		if err == nil {
			break
		}
		s.tell(event.StoreFailed, string(topicHosts), "enlist: %v", err)
		pause(ctx, followRetry)
	}
	f := follower{site: s, topic: topicHosts, wait: followWait, take: s.takeMembers}
	f.run(ctx)
}

func (s *Site) takeMembers(records []fleet.Record, _ fleet.Offset) {
	for _, r := range records {
		m := &wire.Member{}
		if err := proto.Unmarshal(r.Value, m); err != nil || m.Host == "" || m.Addr == "" {
			s.tell(event.RecordBad, r.Key, "topic=%s offset=%d: %v", topicHosts, r.Offset, err)
			continue
		}
		s.members.put(m)
	}
	s.loop.Post(helm.Members{All: s.members.list()})
}

// follower reads a topic from its newest records on.
type follower struct {
	site  *Site
	topic fleet.Topic
	wait  time.Duration // of a read, 0 to poll
	rest  time.Duration // between two reads
	take  func(records []fleet.Record, end fleet.Offset)
	fail  func() // after a read that failed

	next   fleet.Offset
	loaded bool
	failed bool
}

// run follows the topic until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.lost(err)
			pause(ctx, followRetry)
			continue
		}
		f.regained()
		pause(ctx, f.rest)
	}
}

func (f *follower) step(ctx context.Context) error {
	if !f.loaded {
		records, end, err := newest(ctx, f.site.edges.Store, f.topic)
		if err != nil {
			return err
		}
		f.loaded, f.next = true, end
		f.take(records, end)
		return nil
	}
	b, err := f.site.edges.Store.Read(ctx, f.topic, f.next, f.wait)
	if fleet.KindOf(err) == fleet.Forgotten && err != nil {
		f.loaded = false
		return nil
	}
	if err != nil {
		return err
	}
	if b.Next > f.next {
		f.next = b.Next
		f.take(b.Records, b.Next)
	}
	return nil
}

// lost tells once that the store does not answer.
func (f *follower) lost(err error) {
	if !f.failed {
		f.failed = true
		f.site.tell(event.LogBlind, string(f.topic), "next=%d: %v", f.next, err)
	}
	if f.fail != nil {
		f.fail()
	}
}

func (f *follower) regained() {
	if f.failed {
		f.failed = false
		f.site.tell(event.LogSeen, string(f.topic), "next=%d", f.next)
	}
}

func pause(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
