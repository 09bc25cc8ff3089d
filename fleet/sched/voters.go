package sched

import (
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/clock"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/voter"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

// RollKey is the key of the record of the voters. It is stored with each claim.
const RollKey = "roll"

// How long voters may confirm a lead without the store, and when a lead that was replaced is over
// whatever its voters say. A suspended host's clock may have stood still in between.
const (
	peersConfirmFor = 12 * time.Hour
	formerLeadFor   = 24 * time.Hour
)

// rollInterval is the time between two records of the voters. All daemons of a site may start anew
// at the same time.
const rollInterval = 250 * time.Millisecond

// rolls are the voters of this lead and of the former ones that may still act.
type rolls struct {
	stored    voter.Roll
	next      *voter.Roll // in the batch in flight, which may be stored already
	builtAt   time.Time   // when the newest record was made
	mayDiffer bool        // members or followers have changed since the record was last compared with them
}

// SucceedRoll returns the roll that is stored with a claim, given the records of the topic.
func SucceedRoll(records []fleet.Record, before *wire.Lead, lead voter.Process, voters voter.Set) (voter.Roll, error) {
	if before.GetEpoch() == 0 {
		return voter.Roll{Present: voter.Tenure{Lead: lead, Voters: voters}}, nil // there is no former lead
	}
	former, err := ReadRoll(records)
	last := voter.Process{Host: fleet.HostID(before.Host), Inc: fleet.Incarnation(before.Inc)}
	switch {
	case err != nil:
		return voter.Roll{}, err
	case len(former.Present.Voters) == 0:
		former.Present = voter.Tenure{Lead: last, Voters: voters} // of an earlier version: it counts the daemons that it knows
	case former.Present.Lead != last:
		former = former.Succeed(last, voters) // as above, after a lead of this version
	}
	return former.Succeed(lead, voters), nil
}

// ClaimRecords returns the records of a claim. The term is the offset after the last one.
func ClaimRecords(lead *wire.Lead, roll voter.Roll) ([]fleet.Record, error) {
	var out []fleet.Record
	for _, r := range []struct {
		key string
		m   proto.Message
	}{{RollKey, roll.Wire()}, {LeadKey, lead}} {
		value, err := proto.Marshal(r.m)
		if err != nil {
			return nil, err
		}
		out = append(out, fleet.Record{Key: r.key, Value: value})
	}
	return out, nil
}

// ReadRoll returns the newest roll among the records; an empty one if a lead of an earlier version
// stored none.
func ReadRoll(records []fleet.Record) (voter.Roll, error) {
	i := slices.IndexFunc(records, func(r fleet.Record) bool { return r.Key == RollKey })
	if i < 0 {
		return voter.Roll{}, nil
	}
	w := &wire.Roll{}
	err := proto.Unmarshal(records[i].Value, w)
	return voter.FromWire(w), err
}

// process returns the local process.
func (sc *Scheduler) process() voter.Process {
	return voter.Process{Host: sc.self.Host, Inc: sc.self.Inc}
}

// present returns the processes of all daemons that are taken for present.
func (sc *Scheduler) present() voter.Set {
	all := []voter.Process{sc.process()}
	for _, m := range sc.Elect.Members() {
		if m.Host != sc.self.Host {
			all = append(all, voter.Process{Host: m.Host, Inc: m.Inc})
		}
	}
	return voter.NewSet(all)
}

// majority reports whether a majority of the voters has confirmed this lead. While an append that
// changes them has no outcome, a successor may read either, and both must confirm it.
func (sc *Scheduler) majority(answers map[voter.Process]bool) bool {
	confirmed := func(p voter.Process) bool { return p.Host == sc.self.Host || answers[p] }
	next := sc.rolls.next
	return sc.rolls.stored.Present.Voters.Majority(confirmed) && (next == nil || next.Present.Voters.Majority(confirmed))
}

// nextRoll returns the roll that should be stored: all daemons that are present vote, and former
// leads that are over are left out.
func (sc *Scheduler) nextRoll() voter.Roll {
	next := voter.Roll{Present: voter.Tenure{Lead: sc.rolls.stored.Present.Lead, Voters: sc.present()}}
	for _, t := range sc.rolls.stored.Former {
		if !sc.isOver(t) {
			next.Former = append(next.Former, t)
		}
	}
	return next
}

// rollDue reports whether other voters than those of the record are present. A record without an
// outcome makes it harder to be confirmed, so that none is sent to a store that does not answer.
func (sc *Scheduler) rollDue() bool {
	r := &sc.rolls
	if !r.mayDiffer || sc.now.Sub(r.builtAt) < rollInterval || !sc.isRecent(sc.quorum.confirmedAt) {
		return false
	}
	r.mayDiffer = !sc.nextRoll().Equal(r.stored)
	return r.mayDiffer
}

// addRoll adds the record of the voters to a batch if they have changed.
func (sc *Scheduler) addRoll(s *batch) {
	if !sc.rollDue() {
		return
	}
	next := sc.nextRoll()
	sc.rolls.next, sc.rolls.builtAt, s.roll = &next, sc.now, &next
	s.addRecord(RollKey, next.Wire())
	sc.logf(event.VotersChanged, string(sc.self.Host), "term=%d voters=%d former=%d", sc.term, len(next.Present.Voters), len(next.Former))
}

// noteRollStored notes that the store holds the voters of a batch.
func (sc *Scheduler) noteRollStored(roll *voter.Roll) {
	if roll != nil {
		sc.rolls.stored, sc.rolls.next, sc.rolls.mayDiffer = *roll, nil, true
	}
}

// takeOverRoll takes over the roll that was stored with this lead's claim.
func (sc *Scheduler) takeOverRoll(roll voter.Roll) {
	for i := range roll.Former {
		if roll.Former[i].Replaced == 0 {
			roll.Former[i].Replaced = sc.clock.Read(sc.now)
		}
	}
	sc.rolls = rolls{stored: roll, mayDiffer: true}
}

// isOver reports whether a former lead can no longer be confirmed.
func (sc *Scheduler) isOver(t voter.Tenure) bool {
	return t.Over(sc.isReleased) || t.Replaced > 0 && sc.clock.Read(sc.now)-t.Replaced >= clock.Reading(formerLeadFor.Milliseconds())
}

// isReleased reports whether a process confirms no former lead any more.
func (sc *Scheduler) isReleased(p voter.Process) bool {
	left, known := sc.left[p.Host]
	return p.Host == sc.self.Host || sc.succession.followers[p.Host] || known && left >= p.Inc
}
