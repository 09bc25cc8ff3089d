package voter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/voter"
	qt "github.com/frankban/quicktest"
)

func hosts(n int) voter.Set {
	var all []voter.Process
	for i := range n {
		all = append(all, voter.Process{Host: fleet.HostID(fmt.Sprintf("e%02d", i)), Inc: 1})
	}
	return voter.NewSet(all)
}

// Whatever the number of voters: once so many of them are released that a former lead is over, the
// others are no majority, and as long as it is not over they are one.
func TestNoMajorityRemainsOnceALeadIsOver(t *testing.T) {
	for n := 1; n <= 40; n++ {
		s := hosts(n)
		for k := range n + 1 {
			released := map[voter.Process]bool{}
			for _, p := range s[n-k:] {
				released[p] = true
			}
			over := voter.Tenure{Voters: s}.Over(func(p voter.Process) bool { return released[p] })
			confirmed := s.Majority(func(p voter.Process) bool { return !released[p] })
			qt.Assert(t, over, qt.Equals, !confirmed, qt.Commentf("%d of %d released", k, n))
		}
	}
}

func ExampleRoll_Succeed() {
	first := voter.Roll{Present: voter.Tenure{Lead: voter.Process{Host: "a", Inc: 1}, Voters: voter.NewSet([]voter.Process{{Host: "b", Inc: 1}, {Host: "a", Inc: 1}, {Host: "c", Inc: 1}})}}
	second := first.Succeed(voter.Process{Host: "b", Inc: 1}, voter.NewSet([]voter.Process{{Host: "b", Inc: 1}, {Host: "d", Inc: 1}}))
	former := second.Former[0]
	fmt.Println(former.Lead.Host, former.Voters)
	knows := map[fleet.HostID]bool{"b": true}
	fmt.Println(former.Over(func(p voter.Process) bool { return knows[p.Host] }))
	knows["c"] = true
	fmt.Println(former.Over(func(p voter.Process) bool { return knows[p.Host] }))
	// Output:
	// a [{a 1} {b 1} {c 1}]
	// false
	// true
}

func TestRollIsReadAsItWasStored(t *testing.T) {
	r := voter.Roll{Present: voter.Tenure{Lead: voter.Process{Host: "a", Inc: 7}, Voters: hosts(3)}}
	r = r.Succeed(voter.Process{Host: "b", Inc: 2}, hosts(4))
	r.Former[0].Replaced = 5
	back := voter.FromWire(r.Wire())
	qt.Check(t, back, qt.DeepEquals, r)
	qt.Check(t, back.Equal(r), qt.IsTrue)
	qt.Check(t, back.Equal(r.Succeed(voter.Process{Host: "c", Inc: 2}, hosts(4))), qt.IsFalse)
}

// Leads that follow each other with the same voters must not make the record grow.
func TestTenuresOfTheSameVotersAreListedOnce(t *testing.T) {
	r := voter.Roll{Present: voter.Tenure{Lead: voter.Process{Host: "e00", Inc: 1}, Voters: hosts(5)}}
	for i := range 100 {
		r = r.Succeed(voter.Process{Host: fleet.HostID(fmt.Sprintf("e%02d", i%5)), Inc: 1}, hosts(5))
	}
	qt.Assert(t, r.Former, qt.HasLen, 1)
	oneKnows := func(p voter.Process) bool { return p.Host == "e03" }
	qt.Check(t, r.Former[0].Over(oneKnows), qt.IsFalse, qt.Commentf("it stands for more than one lead"))
}

// daemon is a process in the model of a site. The term of a process that has started anew is
// forgotten.
type daemon struct {
	voter.Process
	knows int // newest term that it knows
	left  bool
}

// office is a lead in the model.
type office struct {
	term     int
	lead     *daemon
	stored   voter.Roll
	next     *voter.Roll // appended, with an outcome that the lead does not know
	released map[fleet.HostID]bool
	settled  bool
}

// model is a site whose cuts are left open: any daemon may be reached or not at each step.
type model struct {
	r     *rand.Rand
	site  map[fleet.HostID]*daemon
	order []fleet.HostID
	roll  voter.Roll // in the store
	leads []*office
	born  int
}

func (m *model) start(host fleet.HostID) {
	m.born++
	if m.site[host] == nil {
		m.order = append(m.order, host)
	}
	m.site[host] = &daemon{Process: voter.Process{Host: host, Inc: fleet.Incarnation(m.born)}}
}

func (m *model) some() *daemon { return m.site[m.order[m.r.IntN(len(m.order))]] }

// view returns the processes that a daemon takes for present, which may be any.
func (m *model) view(self *daemon) voter.Set {
	all := []voter.Process{self.Process}
	for _, h := range m.order {
		if d := m.site[h]; d != self && m.r.IntN(4) > 0 {
			all = append(all, d.Process)
		}
	}
	return voter.NewSet(all)
}

func (m *model) newest() *office { return m.leads[len(m.leads)-1] }

// lives reports whether a lead is still the process that claimed, and knows of no later one.
func (m *model) lives(o *office) bool {
	return m.site[o.lead.Host] == o.lead && !o.lead.left && o.lead.knows == o.term
}

func (m *model) claim(d *daemon) {
	o := &office{term: len(m.leads) + 1, lead: d, released: map[fleet.HostID]bool{d.Host: true}}
	if len(m.leads) == 0 {
		o.stored = voter.Roll{Present: voter.Tenure{Lead: d.Process, Voters: m.view(d)}}
	} else {
		o.stored = m.roll.Succeed(d.Process, m.view(d))
	}
	m.roll, d.knows = o.stored, o.term
	m.leads = append(m.leads, o)
}

// change makes the newest lead append other voters; the answer may be lost.
func (m *model) change() {
	o := m.newest()
	if !m.lives(o) || o.next != nil {
		return
	}
	next := voter.Roll{Present: voter.Tenure{Lead: o.lead.Process, Voters: m.view(o.lead)}}
	for _, t := range o.stored.Former {
		if !t.Over(func(p voter.Process) bool { return o.released[p.Host] }) {
			next.Former = append(next.Former, t)
		}
	}
	o.next = &next
	if m.r.IntN(3) > 0 {
		m.roll = next
		if m.r.IntN(2) == 0 {
			o.stored, o.next = next, nil
		}
	}
}

// tell makes the newest lead ask a daemon, which then knows its term.
func (m *model) tell() {
	o, d := m.newest(), m.some()
	if !m.lives(o) {
		return
	}
	d.knows = max(d.knows, o.term)
	o.released[d.Host] = true
	o.settled = true
	for _, t := range o.stored.Former {
		o.settled = o.settled && t.Over(func(p voter.Process) bool { return o.released[p.Host] })
	}
}

// confirmable reports whether any set of daemons could confirm a lead without the store.
func (m *model) confirmable(o *office) bool {
	confirms := func(p voter.Process) bool {
		d := m.site[p.Host]
		return p == o.lead.Process || d.Process == p && !d.left && d.knows <= o.term
	}
	return m.lives(o) && o.stored.Present.Voters.Majority(confirms) && (o.next == nil || o.next.Present.Voters.Majority(confirms))
}

const modelHistories = 1500

// Guards against two leads that both conclude that they alone decide (review/6): over random histories of
// claims, daemons that join, leave and start anew, and changes of voters whose outcome is not
// known, no former lead can be confirmed once a later one is settled.
func TestNoFormerLeadIsConfirmedOnceALaterOneIsSettled(t *testing.T) {
	settled := 0
	for seed := range uint64(modelHistories) {
		m := &model{r: rand.New(rand.NewPCG(seed, 6)), site: map[fleet.HostID]*daemon{}}
		for i := range 1 + m.r.IntN(6) {
			m.start(fleet.HostID(fmt.Sprintf("e%02d", i)))
		}
		m.claim(m.some())
		for range 60 {
			switch m.r.IntN(10) {
			case 0:
				m.start(fleet.HostID(fmt.Sprintf("e%02d", m.r.IntN(9)))) // joins, or starts anew
			case 1:
				m.some().left = m.r.IntN(3) == 0
			case 2:
				if d := m.some(); !d.left {
					m.claim(d)
				}
			case 3, 4:
				m.change()
			default:
				m.tell()
			}
			for i, o := range m.leads {
				if !o.settled {
					continue
				}
				settled++
				for _, former := range m.leads[:i] {
					qt.Assert(t, m.confirmable(former), qt.IsFalse, qt.Commentf("seed %d: term %d after term %d was settled", seed, former.term, o.term))
				}
			}
		}
	}
	qt.Check(t, settled > modelHistories, qt.IsTrue, qt.Commentf("%d settled leads looked at", settled))
}
