package member_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/member"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

// cluster simulates daemons that exchange heartbeats over links that can fail
// in one direction.
type cluster struct {
	now    time.Time
	tables []*member.Table
	hosts  map[fleet.HostID]*wire.Host
	cut    map[[2]int]bool
	frozen map[int]bool
	bytes  int
}

func newCluster(domains, each int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), hosts: map[fleet.HostID]*wire.Host{}, cut: map[[2]int]bool{}, frozen: map[int]bool{}}
	for i := range domains * each {
		p := member.Peer{
			ID: fleet.HostID(fmt.Sprintf("e%02d", i)), Domain: fleet.DomainID(fmt.Sprint("d", i%domains)),
			Addr: fmt.Sprintf("10.0.0.%d:7070", i), Inc: fleet.Incarnation(c.now.UnixMilli()),
		}
		c.tables = append(c.tables, member.New(p))
		c.hosts[p.ID] = &wire.Host{Id: string(p.ID), Domain: string(p.Domain), Addr: p.Addr, Role: wire.Role_ENTRY}
	}
	return c
}

func (c *cluster) index(id fleet.HostID) int {
	var i int
	fmt.Sscanf(string(id), "e%d", &i)
	return i
}

// run simulates the given number of seconds.
func (c *cluster) run(seconds int) {
	for range seconds {
		c.now = c.now.Add(member.LocalBeatInterval)
		for i, t := range c.tables {
			if c.frozen[i] {
				continue
			}
			t.IncrementBeat()
			for _, p := range t.LocalTargets(c.hosts) {
				c.beat(i, c.index(p.ID), member.LocalPulses)
			}
			if p, ok := t.RemoteTarget(c.hosts); ok && c.now.Unix()%2 == 0 {
				c.beat(i, c.index(p.ID), member.RemotePulses)
			}
			t.Check(c.now)
		}
	}
}

func (c *cluster) beat(from, to, passed int) {
	if c.cut[[2]int{from, to}] || c.frozen[to] {
		return
	}
	ask := c.tables[from].Pulses(c.now, passed)
	c.bytes += proto.Size(&wire.BeatAsk{Pulses: ask})
	c.tables[to].Merge(c.now, ask, time.Time{})
	if c.cut[[2]int{to, from}] {
		return
	}
	reply := c.tables[to].Pulses(c.now, passed)
	c.bytes += proto.Size(&wire.BeatReply{Pulses: reply})
	c.tables[from].Merge(c.now, reply, c.now)
}

func (c *cluster) status(at, of int) member.Status {
	p, _ := c.tables[at].Get(fleet.HostID(fmt.Sprintf("e%02d", of)))
	return p.Status
}

// Guards against daemons declared dead because of single broken links, in one
// or both directions, while their counters still arrive through other daemons.
func TestCutLinksMakeNobodyDead(t *testing.T) {
	c := newCluster(3, 3)
	c.run(20)
	c.cut[[2]int{0, 3}] = true
	c.cut[[2]int{1, 4}], c.cut[[2]int{4, 1}] = true, true
	for range 60 {
		c.run(2)
		for i := range c.tables {
			for j := range c.tables {
				if i != j {
					qt.Assert(t, c.status(i, j) != member.Dead, qt.IsTrue, qt.Commentf("e%02d at e%02d", j, i))
				}
			}
		}
	}
}

func TestFrozenDaemonIsDeadForAllAndComesBack(t *testing.T) {
	c := newCluster(3, 3)
	c.run(20)
	c.frozen[4] = true
	c.run(60)
	for i := range c.tables {
		if i != 4 {
			qt.Assert(t, c.status(i, 4), qt.Equals, member.Dead, qt.Commentf("at e%02d", i))
		}
	}
	c.frozen[4] = false
	c.run(20)
	for i := range c.tables {
		if i != 4 {
			qt.Assert(t, c.status(i, 4), qt.Equals, member.Alive, qt.Commentf("at e%02d", i))
		}
	}
}

// A new process of a host replaces the old one. Pulses of the old process that
// arrive late are ignored.
func TestNewIncarnationReplacesTheOld(t *testing.T) {
	now := time.Unix(1000, 0)
	tb := member.New(member.Peer{ID: "e1", Domain: "d1"})
	tb.Merge(now, []*wire.Pulse{{Host: "e2", Domain: "d1", Inc: 5, Beat: 900}}, now)
	tb.Merge(now, []*wire.Pulse{{Host: "e2", Domain: "d1", Inc: 6, Beat: 1}}, now)
	tb.Merge(now, []*wire.Pulse{{Host: "e2", Domain: "d1", Inc: 5, Beat: 901, Leaving: true}}, now)
	p, _ := tb.Get("e2")
	qt.Assert(t, p.Inc, qt.Equals, fleet.Incarnation(6))
	qt.Assert(t, p.Leaving, qt.IsFalse)
}

// beatBudget is the share of heartbeats, in bytes a second, of the 3 KB a
// second that a daemon may send. The rest is for leases, the log and the host
// list.
const beatBudget = 1500

// Checks the bytes of heartbeats and their replies that a daemon sends each
// second, in the size expected in two years: 11 failure domains with three
// entry hosts each.
func TestBeatsStayWithinTheirBudget(t *testing.T) {
	c := newCluster(11, 3)
	c.run(60)
	c.bytes = 0
	c.run(60)
	perSecond := c.bytes / 60 / len(c.tables)
	t.Logf("slope: beats at 33 daemons: %d bytes of payload a second for each", perSecond)
	for i := range c.tables {
		for j := range c.tables {
			qt.Assert(t, i == j || c.status(i, j) == member.Alive, qt.IsTrue, qt.Commentf("e%02d at e%02d is %s", j, i, c.status(i, j)))
		}
	}
	qt.Assert(t, perSecond < beatBudget, qt.IsTrue, qt.Commentf("%d bytes a second", perSecond))
}
