package helm

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

// Keys of the records in the store.
const (
	LeadKey  = "lead"
	flowKey  = "flow/"
	trackKey = "track/"
)

// runsPerEpoch spaces the run numbers of two leads, so that those of the newer
// one are always higher.
const runsPerEpoch = 1 << 12

// How a lead that leaves says so.
const (
	leavingBeatsFor     = time.Second
	leavingBeatInterval = 50 * time.Millisecond
)

// stand claims the lead if the site needs one.
func (sc *Helm) campaign() {
	if sc.mode != following || sc.leaving {
		return
	}
	switch sc.Elect.Next(sc.now) {
	case elect.Ask:
		sc.logf(event.PeerSuspect, string(sc.Elect.Lead().Host), "lead of term %d is silent since %s, asking peers", sc.Elect.Lead().Term, sc.now.Sub(sc.Elect.Lead().Heard))
		sc.emit(AskPeers{})
	case elect.Probe:
		sc.emit(Probe{})
	case elect.Claim:
		sc.mode = claiming
		sc.emit(Claim{Known: sc.Elect.Lead().Term})
	}
}

func (sc *Helm) handleClaimed(e Claimed) {
	if sc.mode != claiming {
		return
	}
	sc.mode = following
	if e.Err != nil {
		sc.logf(event.ClaimFailed, string(sc.self.Host), "%v", e.Err)
		return
	}
	ours := e.Lead.Host == string(sc.self.Host) && e.Lead.Inc == int64(sc.self.Inc)
	sc.Elect.Claimed(e.Term, elect.Member{Host: fleet.HostID(e.Lead.Host), Inc: fleet.Incarnation(e.Lead.Inc)}, e.Lead.Addr, sc.now)
	if !ours || sc.leaving {
		return
	}
	sc.reset()
	sc.mode, sc.term, sc.epoch = leading, e.Term, e.Lead.Epoch
	sc.outbox.end = e.End
	sc.logf(event.LeadTaken, string(sc.self.Host), "term=%d epoch=%d", sc.term, sc.epoch)
	sc.sendBeat()
	sc.restore(e.Records)
	sc.updateWorkers(sc.entries)
	for _, w := range sc.crew.Sorted() {
		w.Foreign(sc.now.Add(aloneDetection)) // a lead that is cut off gives leases until it knows
	}
	sc.changed = true
	sc.logf(event.LeadReady, string(sc.self.Host), "term=%d jobs=%d workers=%d", sc.term, len(sc.jobs), len(sc.crew.Workers))
}

// restore rebuilds the jobs from their records. A run that is recorded takes
// its room until its worker has answered or its lease has lapsed.
func (sc *Helm) restore(records []fleet.Record) {
	tracks := map[fleet.JobID]*wire.Track{}
	for _, r := range records {
		switch {
		case len(r.Key) > len(flowKey) && r.Key[:len(flowKey)] == flowKey:
			f := &wire.Flow{}
			if err := proto.Unmarshal(r.Value, f); err != nil {
				sc.logf(event.RecordBad, r.Key, "offset=%d: %v", r.Offset, err)
				continue
			}
			j := newJob(flow.New(f))
			j.stored = true
			sc.jobs[j.ID] = j
		case len(r.Key) > len(trackKey) && r.Key[:len(trackKey)] == trackKey:
			t := &wire.Track{}
			if err := proto.Unmarshal(r.Value, t); err != nil {
				sc.logf(event.RecordBad, r.Key, "offset=%d: %v", r.Offset, err)
				continue
			}
			tracks[fleet.JobID(t.Id)] = t
		}
	}
	for id, t := range tracks {
		j, ok := sc.jobs[id]
		if !ok {
			continue
		}
		j.Resume(t)
		sc.adopt(j)
	}
}

// adopt puts the runs that a job's record names on their workers.
func (sc *Helm) adopt(j *job) {
	if j.Over() {
		return
	}
	for _, r := range j.Rounds {
		for _, s := range r.Steps {
			for i := range s.Tasks {
				k := &s.Tasks[i]
				if k.At == "" {
					continue
				}
				w := sc.workerByID(k.At)
				w.Add(&crew.Run{Task: s.Task(j.ID, i), No: k.Run, Each: s.Each(), Phase: crew.Doubtful, Since: sc.now, Moved: sc.now, Foreign: true})
			}
		}
	}
}

// worker returns a worker, also one that has no entry any more.
func (sc *Helm) workerByID(id fleet.HostID) *crew.Worker {
	if w, ok := sc.crew.Workers[id]; ok {
		return w
	}
	w, _ := sc.crew.Enter(fleet.WorkerEntry{Place: fleet.Place{Host: id}}, "", sc.now)
	w.Listed = false
	return w
}

// hear notes a beat. A lead that hears of a newer one steps down.
func (sc *Helm) handleBeat(b *wire.Beat) {
	known := sc.Elect.Lead().Term
	if !sc.Elect.Beat(b, sc.now) {
		return
	}
	if fleet.Term(b.Term) > known && fleet.HostID(b.Host) != sc.self.Host {
		sc.logf(event.LeadSeen, b.Host, "term=%d before=%d", b.Term, known)
	}
	if sc.mode == leading && fleet.Term(b.Term) > sc.term {
		sc.stepDown("a newer lead sends beats", fleet.Term(b.Term))
	}
}

// yield gives the lead up. Callers that wait are told what is true of them.
func (sc *Helm) stepDown(why string, newer fleet.Term) {
	if sc.mode != leading {
		return
	}
	sc.logf(event.LeadLost, string(sc.self.Host), "term=%d newer=%d: %s", sc.term, newer, why)
	sc.outbox.failWaiters(sc)
	sc.mode = following
	sc.reset()
}

// leave ends the lead of a daemon that is stopped, so that another one claims
// at once.
func (sc *Helm) leave() {
	sc.leaving = true
	if sc.mode != leading {
		return
	}
	sc.sendBeat()
	sc.leftTerm, sc.leavingUntil = sc.term, sc.now.Add(leavingBeatsFor)
	sc.stepDown("the daemon leaves", 0)
}

// farewell repeats the beat that says that the lead leaves, as a datagram may be
// lost, until another daemon leads.
func (sc *Helm) repeatLeavingBeat() {
	if sc.now.After(sc.leavingUntil) || sc.Elect.Lead().Term != sc.leftTerm || sc.now.Sub(sc.beatSentAt) < leavingBeatInterval {
		return
	}
	sc.beatSentAt = sc.now
	sc.emit(SendBeat{&wire.Beat{
		Host: string(sc.self.Host), Addr: sc.self.Addr, Term: int64(sc.leftTerm),
		Orders: int64(sc.configEnd), Leaving: true, Power: int64(sc.self.Power), Inc: int64(sc.self.Inc),
	}})
}

func (sc *Helm) beat() {
	if sc.now.Sub(sc.beatSentAt) >= elect.BeatSpan {
		sc.sendBeat()
	}
}

func (sc *Helm) sendBeat() {
	sc.beatSentAt = sc.now
	b := &wire.Beat{
		Host: string(sc.self.Host), Addr: sc.self.Addr, Term: int64(sc.term),
		Orders: int64(sc.configEnd), Blind: sc.outbox.stuck(sc.now), Leaving: sc.leaving, Power: int64(sc.self.Power),
		Inc: int64(sc.self.Inc), Alone: sc.quorum.alone,
	}
	sc.Elect.Beat(b, sc.now)
	sc.emit(SendBeat{b})
}
