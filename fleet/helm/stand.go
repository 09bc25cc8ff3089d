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
	farewellSpan = time.Second
	farewellGap  = 50 * time.Millisecond
)

// stand claims the lead if the site needs one.
func (h *Helm) stand() {
	if h.mode != follows || h.leaving {
		return
	}
	switch h.Elect.Next(h.now) {
	case elect.Ask:
		h.note(event.PeerSuspect, string(h.Elect.Lead().Host), "lead of term %d is silent since %s, asking peers", h.Elect.Lead().Term, h.now.Sub(h.Elect.Lead().Heard))
		h.do(AskPeers{})
	case elect.Probe:
		h.do(Probe{})
	case elect.Claim:
		h.mode = claims
		h.do(Claim{Known: h.Elect.Lead().Term})
	}
}

func (h *Helm) claimed(e Claimed) {
	if h.mode != claims {
		return
	}
	h.mode = follows
	if e.Err != nil {
		h.note(event.ClaimFailed, string(h.self.Host), "%v", e.Err)
		return
	}
	ours := e.Lead.Host == string(h.self.Host) && e.Lead.Inc == int64(h.self.Inc)
	h.Elect.Claimed(e.Term, elect.Member{Host: fleet.HostID(e.Lead.Host), Inc: fleet.Incarnation(e.Lead.Inc)}, e.Lead.Addr, h.now)
	if !ours || h.leaving {
		return
	}
	h.reset()
	h.mode, h.term, h.epoch = leads, e.Term, e.Lead.Epoch
	h.box.end = e.End
	h.note(event.LeadTaken, string(h.self.Host), "term=%d epoch=%d", h.term, h.epoch)
	h.sendBeat()
	h.restore(e.Records)
	h.list(h.listed)
	for _, w := range h.crew.Sorted() {
		w.Foreign(h.now.Add(aloneSpan)) // a lead that is cut off gives leases until it knows
	}
	h.changed = true
	h.note(event.LeadReady, string(h.self.Host), "term=%d jobs=%d workers=%d", h.term, len(h.jobs), len(h.crew.Workers))
}

// restore rebuilds the jobs from their records. A run that is recorded takes
// its room until its worker has answered or its lease has lapsed.
func (h *Helm) restore(records []fleet.Record) {
	tracks := map[fleet.JobID]*wire.Track{}
	for _, r := range records {
		switch {
		case len(r.Key) > len(flowKey) && r.Key[:len(flowKey)] == flowKey:
			f := &wire.Flow{}
			if err := proto.Unmarshal(r.Value, f); err != nil {
				h.note(event.RecordBad, r.Key, "offset=%d: %v", r.Offset, err)
				continue
			}
			j := newJob(flow.New(f))
			j.stored = true
			h.jobs[j.ID] = j
		case len(r.Key) > len(trackKey) && r.Key[:len(trackKey)] == trackKey:
			t := &wire.Track{}
			if err := proto.Unmarshal(r.Value, t); err != nil {
				h.note(event.RecordBad, r.Key, "offset=%d: %v", r.Offset, err)
				continue
			}
			tracks[fleet.JobID(t.Id)] = t
		}
	}
	for id, t := range tracks {
		j, ok := h.jobs[id]
		if !ok {
			continue
		}
		j.Resume(t)
		h.adopt(j)
	}
}

// adopt puts the runs that a job's record names on their workers.
func (h *Helm) adopt(j *job) {
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
				w := h.worker(k.At)
				w.Add(&crew.Run{Task: s.Task(j.ID, i), No: k.Run, Each: s.Each(), Phase: crew.Doubtful, Since: h.now, Moved: h.now, Foreign: true})
			}
		}
	}
}

// worker returns a worker, also one that has no entry any more.
func (h *Helm) worker(id fleet.HostID) *crew.Worker {
	if w, ok := h.crew.Workers[id]; ok {
		return w
	}
	w, _ := h.crew.Enter(fleet.WorkerEntry{Place: fleet.Place{Host: id}}, "", h.now)
	w.Listed = false
	return w
}

// hear notes a beat. A lead that hears of a newer one steps down.
func (h *Helm) hear(b *wire.Beat) {
	known := h.Elect.Lead().Term
	if !h.Elect.Beat(b, h.now) {
		return
	}
	if fleet.Term(b.Term) > known && fleet.HostID(b.Host) != h.self.Host {
		h.note(event.LeadSeen, b.Host, "term=%d before=%d", b.Term, known)
	}
	if h.mode == leads && fleet.Term(b.Term) > h.term {
		h.yield("a newer lead sends beats", fleet.Term(b.Term))
	}
}

// yield gives the lead up. Callers that wait are told what is true of them.
func (h *Helm) yield(why string, newer fleet.Term) {
	if h.mode != leads {
		return
	}
	h.note(event.LeadLost, string(h.self.Host), "term=%d newer=%d: %s", h.term, newer, why)
	h.box.abandon(h)
	h.mode = follows
	h.reset()
}

// leave ends the lead of a daemon that is stopped, so that another one claims
// at once.
func (h *Helm) leave() {
	h.leaving = true
	if h.mode != leads {
		return
	}
	h.sendBeat()
	h.lastTerm, h.lastUntil = h.term, h.now.Add(farewellSpan)
	h.yield("the daemon leaves", 0)
}

// farewell repeats the beat that says that the lead leaves, as a datagram may be
// lost, until another daemon leads.
func (h *Helm) farewell() {
	if h.now.After(h.lastUntil) || h.Elect.Lead().Term != h.lastTerm || h.now.Sub(h.beaten) < farewellGap {
		return
	}
	h.beaten = h.now
	h.do(SendBeat{&wire.Beat{
		Host: string(h.self.Host), Addr: h.self.Addr, Term: int64(h.lastTerm),
		Orders: int64(h.orders), Leaving: true, Power: int64(h.self.Power), Inc: int64(h.self.Inc),
	}})
}

func (h *Helm) beat() {
	if h.now.Sub(h.beaten) >= elect.BeatSpan {
		h.sendBeat()
	}
}

func (h *Helm) sendBeat() {
	h.beaten = h.now
	b := &wire.Beat{
		Host: string(h.self.Host), Addr: h.self.Addr, Term: int64(h.term),
		Orders: int64(h.orders), Blind: h.box.stuck(h.now), Leaving: h.leaving, Power: int64(h.self.Power),
		Inc: int64(h.self.Inc), Alone: h.quorum.alone,
	}
	h.Elect.Beat(b, h.now)
	h.do(SendBeat{b})
}
