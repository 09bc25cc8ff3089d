package sched

import (
	"strings"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/clock"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

// Record keys in the store.
const (
	LeadKey  = "lead"
	flowKey  = "flow/"
	trackKey = "track/"
)

// runsPerEpoch separates the run numbers of successive leads, so that those of the
// newer lead are always higher.
const runsPerEpoch = 1 << 12

// Heartbeats of a daemon that gave up the lead to shut down.
const (
	leavingBeatsFor     = time.Second
	leavingBeatInterval = 50 * time.Millisecond
)

// campaign runs this daemon's part of the election, and claims the lead if the site
// needs a new one.
func (sc *Scheduler) campaign() {
	if sc.mode != following || sc.leaving {
		return
	}
	switch sc.Elect.Next(sc.now) {
	case elect.Ask:
		sc.logf(event.PeerSuspect, string(sc.Elect.Lead().Host), "lead of term %d has sent no heartbeat for %s, asking peers", sc.Elect.Lead().Term, sc.now.Sub(sc.Elect.Lead().LastHeard))
		sc.emit(AskPeers{})
	case elect.Probe:
		sc.emit(Probe{})
	case elect.Claim:
		sc.mode = claiming
		sc.emit(Claim{Known: sc.Elect.Lead().Term, Voters: sc.present()})
	}
}

func (sc *Scheduler) handleClaimed(e Claimed) {
	if sc.mode != claiming {
		return
	}
	sc.mode = following
	if e.Err != nil {
		sc.logf(event.ClaimFailed, string(sc.self.Host), "%v", e.Err)
		return
	}
	ours := e.Lead.Host == string(sc.self.Host) && e.Lead.Inc == int64(sc.self.Inc)
	sc.Elect.NoteClaim(e.Term, elect.Member{Host: fleet.HostID(e.Lead.Host), Inc: fleet.Incarnation(e.Lead.Inc)}, e.Lead.Addr, sc.now)
	if !ours || sc.leaving {
		return
	}
	sc.reset()
	sc.mode, sc.term, sc.epoch, sc.leadingSince = leading, e.Term, e.Lead.Epoch, sc.now
	sc.outbox.end, sc.quorum.confirmedAt = e.End, e.SentAt
	sc.logf(event.LeadTaken, string(sc.self.Host), "term=%d epoch=%d", sc.term, sc.epoch)
	sc.sendBeat()
	sc.restore(e.Records)
	sc.takeOverRoll(e.Roll)
	sc.recallWorkers()
	sc.assumeForeignLeases()
	if len(e.Roll.Former) == 0 {
		sc.succession.settled = true // there is no former lead
	} else {
		sc.settleSuccession()
	}
	sc.changed = true
	sc.logf(event.LeadReady, string(sc.self.Host), "term=%d jobs=%d workers=%d", sc.term, len(sc.jobs), len(sc.pool.Workers))
}

// restore rebuilds the jobs from their records, and continues the site's clock. A recorded run
// keeps its capacity until its worker has answered or the worker's lease has expired.
func (sc *Scheduler) restore(records []fleet.Record) {
	flows, tracks := sc.decode(records)
	newest := clock.Reading(0)
	for _, t := range tracks {
		newest = max(newest, clock.Reading(t.Stamp))
	}
	for _, f := range flows {
		newest = max(newest, clock.Reading(f.Stamp))
	}
	sc.clock = clock.Continue(newest, sc.now)
	for _, f := range flows {
		j := newJob(flow.New(f, sc.clock.Time(clock.Reading(f.Stamp))))
		j.stored, j.restored = true, true
		sc.jobs[j.ID] = j
		sc.noteLimit(j)
	}
	for id, t := range tracks {
		j, ok := sc.jobs[id]
		if !ok {
			continue
		}
		j.madeAt = clock.Reading(t.Stamp)
		j.Resume(t, sc.clock.Time(j.madeAt))
		j.endStored = j.HasEnded()
	}
	sc.moveJobs()
	for id := range tracks {
		if j, ok := sc.jobs[id]; ok {
			sc.adopt(j)
		}
	}
	for _, j := range sc.jobs {
		sc.account(j)
	}
	for _, f := range flows {
		if j := sc.jobs[fleet.JobID(f.Id)]; !j.HasEnded() {
			sc.logf(event.JobRestored, string(j.ID), "term=%d unfinished=%d record=%s", sc.term, j.Unfinished(), sc.recordAge(j))
		}
	}
}

// recordAge describes how old the record of a job's progress is.
func (sc *Scheduler) recordAge(j *job) string {
	if j.madeAt == 0 {
		return "none"
	}
	return age(sc.now, sc.clock.Time(j.madeAt))
}

// decode returns the jobs and their progress from their records, and restores the speeds of
// workers.
func (sc *Scheduler) decode(records []fleet.Record) ([]*wire.Flow, map[fleet.JobID]*wire.Track) {
	var flows []*wire.Flow
	tracks := map[fleet.JobID]*wire.Track{}
	for _, r := range records {
		switch {
		case strings.HasPrefix(r.Key, SpeedKey):
			sc.restoreSpeed(r)
		case len(r.Key) > len(flowKey) && strings.HasPrefix(r.Key, flowKey):
			f := &wire.Flow{}
			if sc.unmarshal(r, f) {
				flows = append(flows, f)
			}
		case len(r.Key) > len(trackKey) && strings.HasPrefix(r.Key, trackKey):
			t := &wire.Track{}
			if sc.unmarshal(r, t) {
				tracks[fleet.JobID(t.Id)] = t
			}
		}
	}
	return flows, tracks
}

// unmarshal decodes a record. One that cannot be read is logged.
func (sc *Scheduler) unmarshal(r fleet.Record, to proto.Message) bool {
	err := proto.Unmarshal(r.Value, to)
	if err != nil {
		sc.logf(event.RecordBad, r.Key, "offset=%d: %v", r.Offset, err)
	}
	return err == nil
}

// adopt adds the runs in a job's record to their workers. Those of a job that was cancelled or has
// failed are stopped later, and count for its workspace until then.
func (sc *Scheduler) adopt(j *job) {
	for _, r := range j.Rounds {
		for _, s := range r.Steps {
			for i := range s.Tasks {
				k := &s.Tasks[i]
				if k.Worker == "" {
					continue
				}
				w := sc.workerByID(k.Worker)
				r := sc.newRun(j, s, s.Task(j.ID, i), k.Run, pool.Unconfirmed)
				r.Inherited, r.Inc = true, k.Inc
				w.Add(r)
			}
		}
	}
}

// workerByID returns a worker, and adds one that is no longer in the service
// discovery.
func (sc *Scheduler) workerByID(id fleet.HostID) *pool.Worker {
	if w, ok := sc.pool.Workers[id]; ok {
		return w
	}
	w, _ := sc.pool.Update(fleet.WorkerEntry{Endpoint: fleet.Endpoint{Host: id}}, "", sc.now)
	w.Listed = false
	return w
}

// handleBeat processes a heartbeat. A lead that hears a newer one steps down.
func (sc *Scheduler) handleBeat(b *wire.Beat) {
	known := sc.Elect.Lead().Term
	if !sc.Elect.NoteBeat(b, sc.now) {
		return
	}
	if fleet.Term(b.Term) > known && fleet.HostID(b.Host) != sc.self.Host {
		sc.logf(event.LeadSeen, b.Host, "term=%d before=%d", b.Term, known)
	}
	if sc.mode == leading && fleet.Term(b.Term) > sc.term {
		sc.stepDown("a newer lead sends heartbeats", fleet.Term(b.Term))
	}
}

// stepDown gives up the lead and answers the waiting callers.
func (sc *Scheduler) stepDown(why string, newer fleet.Term) {
	if sc.mode != leading {
		return
	}
	sc.logf(event.LeadLost, string(sc.self.Host), "term=%d newer=%d: %s", sc.term, newer, why)
	sc.outbox.failWaiters(sc)
	sc.mode = following
	sc.reset()
}

// leave gives up the lead of a daemon that shuts down, so that another one can claim
// it at once.
func (sc *Scheduler) leave() {
	sc.leaving = true
	if sc.mode != leading {
		return
	}
	sc.sendBeat()
	sc.leftTerm, sc.leavingUntil = sc.term, sc.now.Add(leavingBeatsFor)
	sc.stepDown("the daemon is shutting down", 0)
}

// repeatLeavingBeat sends the final heartbeat again until another daemon leads, as a
// datagram may be lost.
func (sc *Scheduler) repeatLeavingBeat() {
	if sc.now.After(sc.leavingUntil) || sc.Elect.Lead().Term != sc.leftTerm || sc.now.Sub(sc.beatSentAt) < leavingBeatInterval {
		return
	}
	sc.beatSentAt = sc.now
	sc.emit(SendBeat{&wire.Beat{
		Host: string(sc.self.Host), Addr: sc.self.Addr, Term: int64(sc.leftTerm),
		Orders: int64(sc.configEnd), Leaving: true, Power: int64(sc.self.Power), Inc: int64(sc.self.Inc),
	}})
}

// beat sends the heartbeats, and one at once when the store has become unavailable or answers again.
func (sc *Scheduler) beat() {
	if sc.now.Sub(sc.beatSentAt) >= elect.BeatInterval || sc.outbox.blind(sc.now) == sc.Elect.Lead().Blind.IsZero() {
		sc.sendBeat()
	}
}

func (sc *Scheduler) sendBeat() {
	sc.beatSentAt = sc.now
	b := &wire.Beat{
		Host: string(sc.self.Host), Addr: sc.self.Addr, Term: int64(sc.term),
		Orders: int64(sc.configEnd), Blind: sc.outbox.blind(sc.now), Leaving: sc.leaving, Power: int64(sc.self.Power),
		Inc: int64(sc.self.Inc), Alone: sc.quorum.alone, Clock: int64(sc.clock.Read(sc.now)),
	}
	sc.Elect.NoteBeat(b, sc.now)
	sc.emit(SendBeat{b})
}
