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
	"dragonflydeck.example/fleet/voter"
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

// How long a host is known that is gone for good. It is no longer taken for present long before.
const (
	renewInterval = 10 * time.Minute // between two renewals of a daemon's entry
	memberTTL     = 24 * time.Hour   // after the newest renewal; regions lose each other for an hour now and then
)

// departGrace is for how long a daemon that shuts down is still sent heartbeats. Until its callers have gone
// elsewhere, it forwards their calls to the lead that it hears; the platform ends it sooner.
const departGrace = 15 * time.Second

// departTimeout is how long a daemon that shuts down waits for a peer to note it.
const departTimeout = 500 * time.Millisecond

// presence is what is known about whether a daemon runs.
type presence int

const (
	present  presence = iota
	silent            // marked by the lead, which it did not answer; it may be cut off
	departed          // it has said that it shuts down
	gone              // its entry was not renewed for memberTTL
)

// members is the set of known daemons of the site. Their entries are never removed.
type members struct {
	mu     sync.RWMutex
	all    map[fleet.HostID]*wire.Member
	newest clock.Reading              // of the site's clock
	leftAt map[fleet.HostID]time.Time // when it was noted that a daemon leaves
	logged map[fleet.HostID]presence
}

func newMembers() *members {
	return &members{all: map[fleet.HostID]*wire.Member{}, leftAt: map[fleet.HostID]time.Time{}, logged: map[fleet.HostID]presence{}}
}

// split returns the daemons except self by their presence.
func (m *members) split(self fleet.HostID) map[presence][]*wire.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := map[presence][]*wire.Member{}
	for id, member := range m.all {
		if id != self {
			p := m.presenceOf(member)
			out[p] = append(out[p], member)
		}
	}
	return out
}

func (m *members) presenceOf(member *wire.Member) presence {
	switch {
	case member.Left:
		return departed
	case m.isGone(member):
		return gone
	case member.Lost:
		return silent
	}
	return present
}

// isGone reports whether a host has not renewed its entry for long.
func (m *members) isGone(member *wire.Member) bool {
	return time.Duration(int64(m.newest)-member.Stamp)*time.Millisecond > memberTTL
}

// others returns every daemon that is taken for present except self.
func (m *members) others(self fleet.HostID) []*wire.Member { return m.split(self)[present] }

// reachable returns every daemon that may run except self.
func (m *members) reachable(self fleet.HostID) []*wire.Member {
	all := m.split(self)
	return append(all[present], all[silent]...)
}

// listeners returns every daemon except self that heartbeats are sent to: those that may run, and those
// that are shutting down.
func (m *members) listeners(self fleet.HostID, now time.Time) []*wire.Member {
	all := m.split(self)
	out := append(all[present], all[silent]...)
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, member := range all[departed] {
		if now.Sub(m.leftAt[fleet.HostID(member.Host)]) < departGrace {
			out = append(out, member)
		}
	}
	return out
}

// get returns the entry of a host; nil if it is not known.
func (m *members) get(host fleet.HostID) *wire.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.all[host]
}

// newlyAway returns the daemons that are not present any more, each once.
func (m *members) newlyAway(all map[presence][]*wire.Member) map[presence][]*wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[presence][]*wire.Member{}
	for p, list := range all {
		for _, member := range list {
			id := fleet.HostID(member.Host)
			if m.logged[id] != p {
				m.logged[id] = p
				out[p] = append(out[p], member)
			}
		}
	}
	return out
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

// update adds a member, or replaces its entry unless the known one is newer. A process that has left
// does not return.
func (m *members) update(member *wire.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newest = max(m.newest, clock.Reading(member.Stamp))
	id := fleet.HostID(member.Host)
	before, ok := m.all[id]
	if member.Left && (!ok || !before.Left || member.Inc > before.Inc) {
		m.leftAt[id] = time.Now()
	}
	if !ok || member.Inc > before.Inc || member.Inc == before.Inc && !before.Left {
		m.all[id] = member
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
	s.registered.Store(true)
	f.run(ctx)
}

// renewEntry stores this daemon's entry again at each tick, and when it was replaced by another
// one, until the context ends.
func (s *Site) renewEntry(ctx context.Context, ticks <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		case <-s.entryReplaced:
		}
		s.storeEntry(ctx)
	}
}

// depart tells all peers and the store that this process confirms no lead any more.
func (s *Site) depart(ctx context.Context) {
	own := s.ownEntry()
	for _, m := range s.members.reachable(s.self.Host) {
		s.dispatcher.group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, departTimeout)
			defer cancel()
			if _, err := s.pool.Site(m.Addr).Depart(ctx, &wire.DepartAsk{Member: own}); err != nil {
				s.logCallFailure("say that this daemon leaves", m.Host, err)
			}
		})
	}
	s.dispatcher.group.Go(func() { s.storeEntry(ctx) })
}

// markLost stores that a process does not answer the lead, unless its host has another one by now.
func (d *dispatcher) markLost(p voter.Process) {
	known := d.site.members.get(p.Host)
	if known == nil || known.Inc != int64(p.Inc) {
		return
	}
	entry := proto.Clone(known).(*wire.Member)
	entry.Lost = true
	value, err := proto.Marshal(entry)
	if err == nil {
		_, err = d.appendRecords(registerTimeout, topicHosts, -1, []fleet.Record{{Key: entry.Host, Value: value}})
	}
	if err != nil {
		d.site.log(event.StoreFailed, string(topicHosts), "mark %s as lost: %v", p.Host, err) // it is marked again when it stays silent
	}
}

// storeEntry stores this daemon's entry, and tries until it succeeds or the context ends.
func (s *Site) storeEntry(ctx context.Context) {
	s.entry.Lock() // entries must be stored in the order in which they are made
	defer s.entry.Unlock()
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
	return &wire.Member{Host: string(s.self.Host), Addr: s.self.Addr, Domain: string(s.self.Domain), Inc: int64(s.incarnation()), Power: int64(s.self.Power), Stamp: int64(s.members.reading()), Left: s.leaving.Load(), Memory: int64(s.settings.Memory)}
}

// noteOwn notes an entry of this host, which may be of a former process, or marked as lost. It is
// replaced by one of this process.
func (s *Site) noteOwn(m *wire.Member) {
	if inc := fleet.Incarnation(m.Inc); inc != s.incarnation() {
		s.newerThan.Store(max(s.newerThan.Load(), int64(inc)))
	} else if !m.Lost {
		return
	}
	if s.registered.Load() {
		select {
		case s.entryReplaced <- struct{}{}:
		default: // it is being stored anyway
		}
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
			s.noteOwn(m)
			continue
		}
		s.members.update(m)
	}
	s.members.update(s.ownEntry())
	s.postMembers()
}

// postMembers tells the control loop which daemons are present and which have left.
func (s *Site) postMembers() {
	all := s.members.split(s.self.Host)
	s.logAway(s.members.newlyAway(all))
	own := s.ownEntry()
	e := sched.Members{All: electors(append(all[present], own)), Inc: s.incarnation(), Memory: fleet.Mebibytes(own.Memory)}
	for _, m := range all[present] {
		if m.Memory > 0 {
			e.Memory = min(e.Memory, fleet.Mebibytes(m.Memory))
		}
	}
	for _, m := range all[departed] {
		e.Left = append(e.Left, voter.Process{Host: fleet.HostID(m.Host), Inc: fleet.Incarnation(m.Inc)})
	}
	s.loop.Post(e)
}

// logAway logs daemons that are not taken for present any more.
func (s *Site) logAway(away map[presence][]*wire.Member) {
	for _, m := range away[departed] {
		s.log(event.HostLeft, m.Host, "inc=%d", m.Inc)
	}
	for _, m := range away[silent] {
		s.log(event.HostLost, m.Host, "inc=%d marked by the lead", m.Inc)
	}
	for _, m := range away[gone] {
		s.log(event.HostGone, m.Host, "not renewed for %s", memberTTL)
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
