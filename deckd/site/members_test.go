package site

import (
	"context"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/clock"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/mirror"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/voter"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

// batches answers reads of a topic one after the other.
type batches struct {
	fleet.Store
	answers []fleet.Batch
}

func (b *batches) Read(context.Context, fleet.Topic, fleet.Offset, time.Duration) (fleet.Batch, error) {
	next := b.answers[0]
	b.answers = b.answers[1:]
	return next, nil
}

// A read that does not reach the end of the topic says nothing about the records after
// it, such as a worker's notice that it leaves.
func TestReadThatEndsEarlyDoesNotRenewTheList(t *testing.T) {
	store := &batches{answers: []fleet.Batch{{Next: 3, End: 5}, {Next: 5, End: 5}}}
	applied := fleet.Offset(0)
	f := follower{
		site: &Site{deps: Dependencies{Store: store}}, loaded: true,
		apply: func(u mirror.Update) { applied = u.End },
	}
	qt.Assert(t, f.step(t.Context()), qt.IsNil)
	qt.Check(t, applied, qt.Equals, fleet.Offset(3))
	qt.Check(t, f.readAt.IsZero(), qt.IsTrue)
	begun := time.Now()
	qt.Assert(t, f.step(t.Context()), qt.IsNil)
	qt.Check(t, applied, qt.Equals, fleet.Offset(5))
	qt.Check(t, f.readAt.Before(begun), qt.IsFalse)
}

// Guards against a lead that is replaced for nothing: its host's time of day was set back before
// its process started again, so that the process seemed older than the one before, and its peers
// took its claim for that of a process that is gone.
func TestProcessIsNewerThanThoseBeforeWhateverTheTimeOfDay(t *testing.T) {
	standin, client := newStandinStore(t)
	former, later := newOperatorRigOn(t, standin, client).site, newOperatorRigOn(t, standin, client)
	former.self.Inc, later.site.self.Inc = 7000, 5000
	value, err := proto.Marshal(former.ownEntry())
	qt.Assert(t, err, qt.IsNil)
	_, err = client.Append(t.Context(), topicHosts, -1, []fleet.Record{{Key: string(testSelf.Host), Value: value}})
	qt.Assert(t, err, qt.IsNil)

	f := follower{site: later.site, topic: topicHosts, apply: later.site.applyMembers}
	qt.Assert(t, f.step(t.Context()), qt.IsNil)
	e := (<-later.events).(sched.Members)
	qt.Check(t, e.Inc > 7000, qt.IsTrue, qt.Commentf("incarnation %d", e.Inc))
	qt.Check(t, e.All, qt.DeepEquals, []elect.Member{{Host: testSelf.Host, Inc: e.Inc}})
	d := &dispatcher{ctx: t.Context(), site: later.site}
	claimed := d.claim(sched.Claim{})
	qt.Assert(t, claimed.Err, qt.IsNil)
	qt.Check(t, claimed.Lead.Inc, qt.Equals, int64(e.Inc))
}

// Hosts that are gone for good must not count for majorities for ever, and one that was cut off
// for less than a day always counts.
func TestHostThatIsGoneForADayLeavesTheMembers(t *testing.T) {
	m := newMembers()
	for _, id := range []string{"own", "gone", "lives"} {
		m.update(&wire.Member{Host: id, Addr: id, Inc: 1, Stamp: 1000})
	}
	day := clock.Reading(memberTTL.Milliseconds())
	m.noteReading(1000 + day)
	qt.Check(t, m.others("own"), qt.HasLen, 2)
	m.update(&wire.Member{Host: "lives", Addr: "lives", Inc: 1, Stamp: int64(1001 + day)})
	qt.Check(t, m.others("own"), qt.HasLen, 1)
	away := m.split("own")[gone]
	qt.Assert(t, away, qt.HasLen, 1)
	qt.Check(t, away[0].Host, qt.Equals, "gone")
	m.update(&wire.Member{Host: "gone", Addr: "gone", Inc: 2, Stamp: int64(m.reading())})
	qt.Check(t, m.others("own"), qt.HasLen, 2, qt.Commentf("it is back"))
}

// A daemon renews its entry at each tick, with the newest reading that it knows.
func TestDaemonRenewsItsEntry(t *testing.T) {
	standin, client := newStandinStore(t)
	r := newOperatorRigOn(t, standin, client)
	r.site.dispatcher = &dispatcher{ctx: t.Context(), site: r.site}
	ticks, ended := make(chan time.Time), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(ended)
		r.site.renewEntry(ctx, ticks)
	}()
	for i, reading := range []clock.Reading{7, 9, 11} {
		r.site.members.noteReading(reading)
		ticks <- time.Time{}
		b, err := client.Read(t.Context(), topicHosts, fleet.Offset(i), time.Second) // waits for the entry
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, b.Records, qt.HasLen, 1)
		m := &wire.Member{}
		qt.Assert(t, proto.Unmarshal(b.Records[0].Value, m), qt.IsNil)
		qt.Check(t, m.Stamp, qt.Equals, int64(reading))
	}
	cancel()
	<-ended
}

// A daemon that shuts down says so, and a late record of the same process does not bring it back.
func TestDaemonThatLeavesIsNotPresent(t *testing.T) {
	m := newMembers()
	entry := func(inc int64, left, lost bool) *wire.Member {
		return &wire.Member{Host: "e2", Addr: "e2:7000", Inc: inc, Left: left, Lost: lost}
	}
	m.update(entry(1, false, false))
	m.update(entry(1, true, false))
	m.update(entry(1, false, false))
	m.update(entry(1, false, true))
	qt.Check(t, m.others("own"), qt.HasLen, 0)
	qt.Check(t, m.split("own")[departed], qt.HasLen, 1)
	m.update(entry(2, false, false))
	qt.Check(t, m.others("own"), qt.HasLen, 1)
}

// Guards against a graceful shutdown that refuses callers: a daemon that shuts down hears the lead until it ends, and
// forwards the calls that still reach it.
func TestDaemonThatLeavesStillHearsTheLead(t *testing.T) {
	m := newMembers()
	m.update(&wire.Member{Host: "e2", Addr: "e2:7000", Inc: 1})
	m.update(&wire.Member{Host: "e2", Addr: "e2:7000", Inc: 1, Left: true})
	qt.Check(t, m.listeners("own", time.Now()), qt.HasLen, 1)
	m.update(&wire.Member{Host: "e2", Addr: "e2:7000", Inc: 1, Left: true})
	qt.Check(t, m.listeners("own", time.Now().Add(departGrace)), qt.HasLen, 0)
	qt.Check(t, m.reachable("own"), qt.HasLen, 0)
}

// A daemon that the lead marked as lost is asked and hears heartbeats, as it may be a voter.
func TestSilentDaemonIsReachable(t *testing.T) {
	m := newMembers()
	m.update(&wire.Member{Host: "e2", Addr: "e2:7000", Inc: 1, Lost: true})
	qt.Check(t, m.others("own"), qt.HasLen, 0)
	qt.Check(t, m.reachable("own"), qt.HasLen, 1)
}

// Guards against a daemon that is taken for lost although it runs: one that was only cut off stores its entry
// again when it reads that the lead has marked it.
func TestDaemonThatWasTakenForLostReturns(t *testing.T) {
	standin, client := newStandinStore(t)
	r := newOperatorRigOn(t, standin, client)
	r.site.dispatcher = &dispatcher{ctx: t.Context(), site: r.site}
	r.site.entryReplaced = make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.site.renewEntry(ctx, nil)
	}()
	defer func() { cancel(); <-ended }()
	r.site.storeEntry(t.Context())
	r.site.registered.Store(true)

	lead := newOperatorRigOn(t, standin, client).site
	lead.self.Host = "lead"
	lead.dispatcher = &dispatcher{ctx: t.Context(), site: lead}
	f := follower{site: lead, topic: topicHosts, apply: lead.applyMembers}
	qt.Assert(t, f.step(t.Context()), qt.IsNil)
	host := r.site.self.Host
	lead.dispatcher.markLost(voter.Process{Host: host, Inc: r.site.incarnation() + 1}) // another process
	lead.dispatcher.markLost(voter.Process{Host: host, Inc: r.site.incarnation()})
	qt.Assert(t, f.step(t.Context()), qt.IsNil)
	qt.Check(t, lead.members.others("lead"), qt.HasLen, 0)

	own := follower{site: r.site, topic: topicHosts, apply: r.site.applyMembers}
	qt.Assert(t, own.step(t.Context()), qt.IsNil)
	b, err := client.Read(t.Context(), topicHosts, 2, 5*time.Second) // waits for the entry
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.Records, qt.HasLen, 1)
	qt.Assert(t, f.step(t.Context()), qt.IsNil)
	qt.Check(t, lead.members.others("lead"), qt.HasLen, 1)
}

// A peer that is told of a departure passes it on to the control loop; what does not say so is refused.
func TestPeerNotesADeparture(t *testing.T) {
	r := newOperatorRig(t)
	r.site.members.update(&wire.Member{Host: "e2", Addr: "e2:7000", Inc: 3})
	_, err := siteServer{r.site}.Depart(t.Context(), &wire.DepartAsk{Member: &wire.Member{Host: "e2", Addr: "e2:7000", Inc: 3, Left: true}})
	qt.Assert(t, err, qt.IsNil)
	e := (<-r.events).(sched.Members)
	qt.Check(t, e.Left, qt.DeepEquals, []voter.Process{{Host: "e2", Inc: 3}})
	qt.Check(t, e.All, qt.HasLen, 1)
	for _, m := range []*wire.Member{nil, {Host: "e2", Addr: "e2:7000"}, {Left: true}} {
		_, err := siteServer{r.site}.Depart(t.Context(), &wire.DepartAsk{Member: m})
		qt.Check(t, err, qt.IsNotNil)
	}
}
