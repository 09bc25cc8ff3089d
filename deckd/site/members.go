package site

import (
	"context"
	"sync"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/clock"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/mirror"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

// topicHosts holds the member entry of each daemon, keyed by host.
const topicHosts fleet.Topic = "keyed.hosts"

// Timeouts of following and writing the topic of members.
const (
	readWait         = 2 * time.Second        // how long a read waits for a new record
	followRetryDelay = 200 * time.Millisecond // after a read that failed
	registerTimeout  = 2 * time.Second        // for storing the own entry; all daemons of a site may do so at the same time
)

// How long a host that is gone for good counts for majorities. A daemon that is cut off must not
// be counted out before the cut ends, as its part of the site may go on with a former lead.
const (
	renewInterval = 10 * time.Minute // between two renewals of a daemon's entry
	memberTTL     = 24 * time.Hour   // after the newest renewal; regions lose each other for an hour now and then
)

// members is the set of known daemons of the site. Their entries are never removed; a host whose
// entry was not renewed for memberTTL is left out.
type members struct {
	mu     sync.RWMutex
	all    map[fleet.HostID]*wire.Member
	newest clock.Reading // of the site's clock
}

func newMembers() *members { return &members{all: map[fleet.HostID]*wire.Member{}} }

// split returns the daemons except self: those that count, and those that are left out.
func (m *members) split(self fleet.HostID) (present, gone []*wire.Member) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for id, member := range m.all {
		switch {
		case id == self:
		case m.isGone(member):
			gone = append(gone, member)
		default:
			present = append(present, member)
		}
	}
	return present, gone
}

// isGone reports whether a host has not renewed its entry for long.
func (m *members) isGone(member *wire.Member) bool {
	return time.Duration(int64(m.newest)-member.Stamp)*time.Millisecond > memberTTL
}

// others returns every daemon that counts except self.
func (m *members) others(self fleet.HostID) []*wire.Member {
	present, _ := m.split(self)
	return present
}

// electors converts entries to members of the election.
func electors(entries []*wire.Member) []elect.Member {
	var out []elect.Member
	for _, e := range entries {
		out = append(out, elect.Member{Host: fleet.HostID(e.Host), Inc: fleet.Incarnation(e.Inc), Power: fleet.Millicores(e.Power), Domain: fleet.DomainID(e.Domain)})
	}
	return out
}

// noteReading notes a reading of the site's clock.
func (m *members) noteReading(r clock.Reading) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newest = max(m.newest, r)
}

// reading returns the newest known reading of the site's clock.
func (m *members) reading() clock.Reading {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.newest
}

// update adds a member, or replaces its entry unless the known one is newer.
func (m *members) update(member *wire.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newest = max(m.newest, clock.Reading(member.Stamp))
	if before, ok := m.all[fleet.HostID(member.Host)]; !ok || member.Inc >= before.Inc {
		m.all[fleet.HostID(member.Host)] = member
	}
}

// register reads the entries of all members, stores this daemon's own, and then
// follows all of them until the context ends. The entries are read first, as after a
// restart of all daemons the appends of their own take longer than an election.
func (s *Site) register(ctx context.Context) {
	f := follower{site: s, topic: topicHosts, wait: readWait, apply: s.applyMembers}
	for err := f.step(ctx); err != nil && ctx.Err() == nil; err = f.step(ctx) {
		f.noteFailure(err)
		sleep(ctx, followRetryDelay)
	}
	f.noteSuccess()
	s.storeEntry(ctx)
	f.run(ctx)
}

// renewEntry stores this daemon's entry again at each tick, until the context ends.
func (s *Site) renewEntry(ctx context.Context, ticks <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			s.storeEntry(ctx)
		}
	}
}

// storeEntry stores this daemon's entry, and tries until it succeeds or the context ends.
func (s *Site) storeEntry(ctx context.Context) {
	for ctx.Err() == nil {
		own := s.ownEntry()
		value, err := proto.Marshal(own)
		if err == nil {
			_, err = s.dispatcher.appendRecords(registerTimeout, topicHosts, -1, []fleet.Record{{Key: own.Host, Value: value}})
		}
		if err == nil {
			return
		}
		s.log(event.StoreFailed, string(topicHosts), "register: %v", err)
		sleep(ctx, followRetryDelay)
	}
}

// incarnation returns the incarnation of this process. It starts as the time of day at which the
// process started, and is raised above those of the host's former processes, as the time of day may
// have been set back since.
func (s *Site) incarnation() fleet.Incarnation {
	return max(s.self.Inc, fleet.Incarnation(s.newerThan.Load()+1))
}

// ownEntry returns the entry of this daemon.
func (s *Site) ownEntry() *wire.Member {
	return &wire.Member{Host: string(s.self.Host), Addr: s.self.Addr, Domain: string(s.self.Domain), Inc: int64(s.incarnation()), Power: int64(s.self.Power), Stamp: int64(s.members.reading())}
}

// noteOwn notes an entry of this host, which may be of a former process.
func (s *Site) noteOwn(inc fleet.Incarnation) {
	if inc != s.incarnation() {
		s.newerThan.Store(max(s.newerThan.Load(), int64(inc)))
	}
}

// applyMembers adds the members whose entries were read. No entry is ever removed from the
// topic, so a listing lacks none that is known.
func (s *Site) applyMembers(u mirror.Update) {
	for _, r := range u.Records {
		m := &wire.Member{}
		if err := proto.Unmarshal(r.Value, m); err != nil || m.Host == "" || m.Addr == "" {
			s.log(event.RecordBad, r.Key, "topic=%s offset=%d: %v", topicHosts, r.Offset, err)
			continue
		}
		if fleet.HostID(m.Host) == s.self.Host {
			s.noteOwn(fleet.Incarnation(m.Inc))
			continue
		}
		s.members.update(m)
	}
	own := s.ownEntry()
	s.members.update(own)
	present, gone := s.members.split(s.self.Host)
	s.logGone(gone)
	s.loop.Post(sched.Members{All: electors(append(present, own)), Inc: s.incarnation()})
}

// logGone logs the hosts that are left out since the last call.
func (s *Site) logGone(gone []*wire.Member) {
	logged := s.gone
	s.gone = map[fleet.HostID]bool{}
	for _, m := range gone {
		id := fleet.HostID(m.Host)
		if s.gone[id] = true; !logged[id] {
			s.log(event.HostGone, m.Host, "not renewed for %s", memberTTL)
		}
	}
}

// follower reads a topic: first the newest record of each key, then every record
// that is appended later.
type follower struct {
	site      *Site
	topic     fleet.Topic
	wait      time.Duration // how long a read waits for a new record; 0 returns at once
	hedges    bool          // a read without an outcome is sent again after hedgeDelay
	apply     func(mirror.Update)
	onFailure func() // optional, called after each failed read

	next   fleet.Offset
	readAt time.Time // when the newest read that reached the end of the topic was sent
	loaded bool
	failed bool
}

// run follows the topic until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.noteFailure(err)
			sleep(ctx, followRetryDelay)
			continue
		}
		f.noteSuccess()
	}
}

// reading is what a read of a topic returned.
type reading struct {
	mirror.Update
	atEnd  bool // the records reach the end of the topic
	sentAt time.Time
}

// read reads the newest record of each key, or the records from an offset on.
func (f *follower) read(ctx context.Context, loaded bool, from fleet.Offset) (reading, error) {
	r := reading{sentAt: time.Now()}
	var err error
	if !loaded {
		r.Whole, r.atEnd = true, true
		r.Records, r.End, err = readNewest(ctx, f.site.deps.Store, f.topic)
		return r, err
	}
	b, err := f.site.deps.Store.Read(ctx, f.topic, from, f.wait)
	r.Records, r.End, r.atEnd = b.Records, b.Next, b.Next >= b.End
	return r, err
}

// attempt makes a read, and makes it again while it has no outcome if the follower hedges.
func (f *follower) attempt(ctx context.Context, read func() (reading, error)) (reading, error) {
	if !f.hedges {
		return read()
	}
	return hedge(ctx, hedgeDelay, f.site.dispatcher.group.Go, read)
}

// step reads once and applies what is new. If the store no longer has the records
// at the next offset, the following step starts again with the newest records.
func (f *follower) step(ctx context.Context) error {
	loaded, from := f.loaded, f.next
	read := func() (reading, error) { return f.read(ctx, loaded, from) }
	r, err := f.attempt(ctx, read)
	if loaded && fleet.KindOf(err) == fleet.Forgotten && err != nil {
		f.loaded = false
		f.site.log(event.RecordsGone, string(f.topic), "next=%d", f.next)
		return nil
	}
	if err != nil {
		return err
	}
	if r.atEnd {
		f.readAt = r.sentAt
	}
	if r.Whole || r.End > from {
		f.loaded, f.next = true, r.End
		f.apply(r.Update)
	}
	return nil
}

// noteFailure logs the first of a series of failed reads, and calls onFailure for
// each.
func (f *follower) noteFailure(err error) {
	if !f.failed {
		f.failed = true
		f.site.log(event.LogBlind, string(f.topic), "next=%d: %v", f.next, err)
	}
	if f.onFailure != nil {
		f.onFailure()
	}
}

// noteSuccess logs the first successful read after a series of failed ones.
func (f *follower) noteSuccess() {
	if f.failed {
		f.failed = false
		f.site.log(event.LogSeen, string(f.topic), "next=%d", f.next)
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
