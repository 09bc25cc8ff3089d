package sched_test

import (
	"slices"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/voter"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// succeed replaces the lead of four by a new one that does not reach the workers. Their runs go
// on under the former lead, which renews their leases.
func succeed(t *testing.T, job string, peerAnswers int, beatsLost bool) (*world, *wire.Flow) {
	return succeedWith(t, job, func(w *world) { w.peerAnswers, w.beatsLost = peerAnswers, beatsLost })
}

// succeedWith is succeed with other settings of the peers, which are made before the new lead claims.
func succeedWith(t *testing.T, job string, prepare func(*world)) (*world, *wire.Flow) {
	w := newLeadOfFour(t, 1, 2)
	id := fleet.JobID(job)
	runTimes[id] = time.Hour
	f := newFlow(job, "bulk", taskStep(2, 8, time.Hour))
	w.submitAccepted(f)
	w.runUntil(time.Second, "start", func() bool { return w.startCount(id) == 2 })
	for _, one := range slices.Clone(w.sorted()) {
		one.cutOff = true
		w.workers["spare-"+one.id] = newWorker("spare-"+one.id, one.rack, w.now) // on the side of the new lead
	}
	w.postWorkers()
	w.peerAnswers = 0
	w.host, w.peers = "e2", []fleet.HostID{"e3", "e4", "e1"}
	w.restartDaemon()
	w.post(fourMembers())
	prepare(w)
	w.becomeLead()
	return w, f
}

// runFormerLead runs while the former lead renews the leases of the workers that are cut off.
func (w *world) runFormerLead(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		for _, one := range w.workers {
			if one.cutOff {
				one.leaseUntil = w.now.Add(limits.Lease)
			}
		}
		w.step()
	}
}

// lossTime is how long a new lead may take to start a task again that was lost with its worker:
// a former lead notices within 1.25 s, and then leases expire, on clocks that may be 2% slow.
const lossTime = 1250*time.Millisecond + 7*time.Second

// Guards against two leads that act on either side of a cut (review/1): a cut leaves the store
// with the smaller part, in which a daemon takes the lead, while the former lead goes on with the
// larger one and renews leases. Each row is a cut and what becomes of the tasks on workers that
// the new lead does not reach.
func TestNewLeadStartsNothingAgainWhileAFormerOneMayGoOn(t *testing.T) {
	for _, c := range []struct {
		name      string
		followers int  // of three peers that answer the new lead
		beatsLost bool // they hear the former lead
		settled   bool
	}{
		{"store-with-the-smaller-part", 0, false, false},
		{"one-way-answers-come-heartbeats-do-not-go", 3, true, false},
		{"store-with-half-of-the-daemons", 1, false, true},
		{"store-with-the-larger-part", 2, false, true},
		{"no-cut-between-daemons", 3, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, f := succeed(t, c.name, c.followers, c.beatsLost)
			if c.settled {
				w.runUntil(lossTime, "second start", func() bool { return w.startCount(fleet.JobID(f.Id)) == 4 })
				qt.Check(t, w.eventCount(event.LeadSettled), qt.Equals, 1)
				return
			}
			w.runFormerLead(time.Hour / 2)
			qt.Check(t, w.startCount(fleet.JobID(f.Id)), qt.Equals, 2)
			qt.Check(t, w.eventCount(event.LeadSettled), qt.Equals, 0)

			w.peerAnswers, w.beatsLost = 3, false // the cut ends
			for _, one := range w.workers {
				one.cutOff = false
			}
			w.run(time.Minute)
			qt.Check(t, w.startCount(fleet.JobID(f.Id)), qt.Equals, 2)
			qt.Check(t, w.running(fleet.JobID(f.Id)), qt.Equals, 2)
			qt.Check(t, w.eventCount(event.LeadSettled), qt.Equals, 1)
		})
	}
}

// A new lead serves what it reaches while it does not know whether a former one goes on: new jobs
// start, and the loss of workers that have accepted its term is noticed.
func TestUnsettledLeadServesWhatItReaches(t *testing.T) {
	w, _ := succeed(t, "out-of-reach", 0, false)
	runTimes["within"] = time.Hour
	w.submitAccepted(newFlow("within", "bulk", taskStep(1, 8, time.Hour)))
	w.runUntil(time.Second, "start", func() bool { return w.startCount("within") == 1 })
	for _, one := range w.workers {
		if len(one.runs) > 0 && !one.cutOff {
			one.crash(w.now)
			one.cutOff = true
		}
	}
	w.runUntil(lossTime+time.Second, "second start", func() bool { return w.startCount("within") == 2 })
	qt.Check(t, w.startCount("out-of-reach"), qt.Equals, 2)
}

// Guards against two leads that act on either side of a cut during which daemons join (review/6): they know the
// new lead, but the former one does not count them, and goes on with those that it counts.
func TestDaemonsThatJoinWithinACutDoNotEndTheFormerLead(t *testing.T) {
	for _, c := range []struct {
		name  string
		early bool // they join before the new lead claims
	}{{"before-the-claim", true}, {"after-the-claim", false}} {
		t.Run(c.name, func(t *testing.T) {
			joined := sched.Members{All: append(fourMembers().All, elect.Member{Host: "e5"}, elect.Member{Host: "e6"}, elect.Member{Host: "e7"})}
			w, f := succeedWith(t, "joins-"+c.name, func(w *world) {
				w.peers = []fleet.HostID{"e5", "e6", "e7", "e3", "e4", "e1"}
				if c.early {
					w.peerAnswers = 3
					w.post(joined)
				}
			})
			w.post(joined)
			w.peerAnswers = 3
			w.runFormerLead(10 * time.Minute)
			qt.Check(t, w.eventCount(event.LeadSettled), qt.Equals, 0)
			qt.Check(t, w.startCount(fleet.JobID(f.Id)), qt.Equals, 2)

			w.peerAnswers = 6 // the cut ends
			for _, one := range w.workers {
				one.cutOff = false
			}
			w.run(time.Minute)
			qt.Check(t, w.eventCount(event.LeadSettled), qt.Equals, 1)
			qt.Check(t, w.startCount(fleet.JobID(f.Id)), qt.Equals, 2)
		})
	}
}

// Guards against a former lead that is confirmed by processes that its successor does not count: one that has
// started anew behind a cut has forgotten the new lead, and one that has joined was never recorded.
func TestOnlyRecordedVotersConfirmALeadWithoutTheStore(t *testing.T) {
	for _, c := range []struct {
		name      string
		peers     []fleet.HostID
		anew      fleet.HostID
		confirmed bool
	}{
		{"voters", []fleet.HostID{"e2", "e3"}, "", true},
		{"one-started-anew", []fleet.HostID{"e2", "e3"}, "e3", false},
		{"joined", []fleet.HostID{"e2", "e5", "e6", "e7"}, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newLeadOfFour(t, 1, 1)
			w.run(time.Second)
			w.store.down = true
			w.run(2 * time.Second)
			w.post(sched.Members{All: append(fourMembers().All, elect.Member{Host: "e5"}, elect.Member{Host: "e6"}, elect.Member{Host: "e7"})})
			w.peers, w.peerAnswers = c.peers, len(c.peers)
			w.peerInc[c.anew] = 2
			w.run(3 * time.Second)
			qt.Check(t, w.alone, qt.Equals, !c.confirmed)
		})
	}
}

// Beside daemons of an earlier version, which store no voters, a lead counts those that it knows.
func TestVotersOfLeadsOfAnEarlierVersion(t *testing.T) {
	two, three := voter.Set{{Host: "e1", Inc: 1}, {Host: "e2", Inc: 1}}, voter.Set{{Host: "e1", Inc: 1}, {Host: "e2", Inc: 1}, {Host: "e3", Inc: 1}}
	first, err := sched.SucceedRoll(nil, &wire.Lead{}, two[0], two)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, first.Former, qt.HasLen, 0)

	records, err := sched.ClaimRecords(&wire.Lead{Host: "e1", Inc: 1, Epoch: 1}, first)
	qt.Assert(t, err, qt.IsNil)
	after, err := sched.SucceedRoll(records, &wire.Lead{Host: "e3", Inc: 9, Epoch: 2}, two[1], three)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, after.Former, qt.DeepEquals, []voter.Tenure{
		{Lead: two[0], Voters: two}, {Lead: voter.Process{Host: "e3", Inc: 9}, Voters: three},
	})

	none, err := sched.SucceedRoll(nil, &wire.Lead{Host: "e3", Inc: 9, Epoch: 2}, two[1], three)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, none.Former, qt.DeepEquals, []voter.Tenure{{Lead: voter.Process{Host: "e3", Inc: 9}, Voters: three}})

	_, err = sched.SucceedRoll([]fleet.Record{{Key: sched.RollKey, Value: []byte{0xff}}}, &wire.Lead{Host: "e3", Epoch: 2}, two[1], three)
	qt.Check(t, err, qt.IsNotNil)
}

// Voters follow the daemons that are present while the store answers, and change for both leads at once.
func TestVotersFollowTheMembers(t *testing.T) {
	w := newLeadOfFour(t, 1, 1)
	w.post(sched.Members{All: []elect.Member{{Host: "e1"}, {Host: "e5"}, {Host: "e6"}}})
	w.run(time.Second)
	roll, err := sched.ReadRoll(w.store.newest())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, roll.Present.Voters, qt.DeepEquals, voter.Set{{Host: "e1", Inc: 1}, {Host: "e5"}, {Host: "e6"}})
	w.store.down = true
	w.peers, w.peerAnswers = []fleet.HostID{"e5"}, 1
	w.run(3 * time.Second)
	qt.Check(t, w.alone, qt.IsFalse)
}

// Guards against a lead that counts on voters whose record has no outcome: until it knows, a majority of
// the old ones and of the new ones must confirm it, as a successor may read either.
func TestVotersInDoubtNeedBothMajorities(t *testing.T) {
	for _, peers := range [][]fleet.HostID{{"e2", "e3"}, {"e5", "e6"}, {"e2", "e3", "e5"}} {
		w := newLeadOfFour(t, 1, 1)
		w.run(time.Second)
		w.store.lost = true // the append takes effect
		w.post(sched.Members{All: []elect.Member{{Host: "e1"}, {Host: "e5"}, {Host: "e6"}, {Host: "e7"}}})
		w.run(20 * time.Millisecond)
		w.store.down = true
		w.peers, w.peerAnswers = peers, len(peers)
		w.run(3 * time.Second)
		qt.Check(t, w.alone, qt.IsTrue, qt.Commentf("%v", peers))
		w.peers, w.peerAnswers = []fleet.HostID{"e2", "e3", "e5", "e6"}, 4
		w.run(2 * time.Second)
		qt.Check(t, w.alone, qt.IsFalse)
	}
}

// A lead that its voters alone confirm ends before its successor stops waiting for it.
func TestVotersConfirmALeadForHalfADayOnly(t *testing.T) {
	w := newLeadOfFour(t, 1, 1)
	w.store.down = true
	w.run(3 * time.Second)
	w.now = w.now.Add(11 * time.Hour)
	w.run(3 * time.Second)
	qt.Check(t, w.scheduler.Confirmed(), qt.IsTrue)
	w.now = w.now.Add(time.Hour)
	w.run(3 * time.Second)
	qt.Check(t, w.scheduler.Confirmed(), qt.IsFalse)
}

// Work that was lost with half of the voters and the lead starts again after a day at the latest.
func TestFormerLeadIsOverAfterADay(t *testing.T) {
	w, f := succeed(t, "day", 0, false)
	w.run(time.Second)
	w.now = w.now.Add(23 * time.Hour)
	w.run(lossTime)
	qt.Check(t, w.startCount(fleet.JobID(f.Id)), qt.Equals, 2)
	w.now = w.now.Add(time.Hour)
	w.run(lossTime)
	qt.Check(t, w.startCount(fleet.JobID(f.Id)), qt.Equals, 4)
}

// A cut that moves: the peers know the new lead one after the other, none of them twice at a time.
func TestFollowersCountAcrossRounds(t *testing.T) {
	w, f := succeed(t, "moves", 0, false)
	w.run(2 * time.Second)
	w.peerAnswers = 1
	w.runUntil(time.Second, "followers", func() bool { return w.eventCount(event.LeadSettled) == 1 })
	w.peerAnswers = 0
	w.runUntil(lossTime, "second start", func() bool { return w.startCount(fleet.JobID(f.Id)) == 4 })
}

// The first lead of a site has no predecessor to wait for, and a site of one daemon no other lead.
func TestLeadWithoutAPredecessorIsSettled(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.post(fourMembers())
	w.becomeLead()
	w.peerAsks = 0
	w.run(time.Second)
	qt.Check(t, w.peerAsks, qt.Equals, 0)
	one := newWorld(t, 1, 1)
	one.becomeLead()
	one.restartDaemon()
	one.becomeLead()
	qt.Check(t, one.eventCount(event.LeadSettled), qt.Equals, 1)
}
