package helm_test

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/crew"
)

// worker is a worker of the platform in virtual time.
type worker struct {
	id       fleet.HostID
	rack     string
	domain   fleet.DomainID
	born     fleet.Incarnation
	epoch    time.Time // when its clock began
	unlisted bool
	draining bool
	left     time.Duration // as it says while it drains
	cut      bool          // nothing reaches it
	mute     bool          // orders take effect, their answers are lost
	fails    bool          // whatever starts here fails
	flaky    bool          // every other run fails
	hangs    bool          // whatever starts here stands still
	slow     int           // times that whatever runs here takes longer; 0 for once
	room     fleet.Res
	most     int64 // accelerators that were ever taken at one time

	term     fleet.Term
	until    time.Time
	last     time.Time
	runs     map[crew.Key]*running
	closed   map[fleet.Task]fleet.Run // newest run that ended or was stopped here
	ends     []fleet.EndSeen
	ended    fleet.EndNo
	begun    map[fleet.JobID]int
	seen     int
	count    int               // runs that began here
	pending  []func(time.Time) // orders that are carried out late
	second   error             // of a start that was carried out before
	lateFor  time.Duration
	lateMost int // so many starts at one time; 0 for all
	lateAt   time.Time
	polls    []poll

	together func(fleet.JobID) bool // reports whether all members of a gang have done their part; nil if they do not wait
}

type running struct {
	order fleet.StartOrder
	left  time.Duration
	stop  time.Time // zero unless it is being stopped
	odd   bool      // it is the first, third ... run on its worker
}

// spans is how long the tasks of a job really run.
var spans = map[fleet.JobID]time.Duration{}

// needs is the accelerators that each task of a job takes.
var needs = map[fleet.JobID]int64{}

func newWorker(id fleet.HostID, rack string, now time.Time) *worker {
	return &worker{
		id: id, rack: rack, domain: "d1", born: fleet.Incarnation(now.UnixMilli()), epoch: now.Add(-time.Hour),
		room: fleet.Res{Cores: 64000, Mem: 131072, Accels: 8}, last: now,
		runs: map[crew.Key]*running{}, closed: map[fleet.Task]fleet.Run{}, begun: map[fleet.JobID]int{},
	}
}

// couple lets the members of a gang end together, when all have done their part.
func (w *world) couple() {
	for _, one := range w.workers {
		one.together = w.allDone
	}
}

func (w *world) allDone(job fleet.JobID) bool {
	for _, one := range w.workers {
		for k, r := range one.runs {
			if k.Task.Job == job && r.left > 0 {
				return false
			}
		}
	}
	return true
}

func (w *worker) entry() fleet.WorkerEntry {
	state := fleet.WorkerReady
	if w.draining {
		state = fleet.WorkerDraining
	}
	return fleet.WorkerEntry{
		Place: fleet.Place{Host: w.id, Addr: string(w.id) + ":1"}, Service: service, Domain: w.domain,
		State: state, Room: w.room, Labels: []string{"a", w.rack}, Born: w.born, Left: w.left,
	}
}

// crash ends the process and starts a new one.
func (w *worker) crash(now time.Time) {
	w.born = fleet.Incarnation(now.UnixMilli())
	w.epoch, w.term, w.ends, w.ended = now, 0, nil, 0
	w.runs, w.closed = map[crew.Key]*running{}, map[fleet.Task]fleet.Run{}
	w.pending = nil
	for _, p := range w.polls {
		p.fail()
	}
	w.polls = nil
}

func (w *worker) clock(now time.Time) fleet.Ticks {
	return fleet.Ticks(now.Sub(w.epoch).Milliseconds())
}

// pass lets time pass for what runs.
func (w *worker) pass(now time.Time) {
	span := now.Sub(w.last)
	w.last = now
	if len(w.pending) > 0 && !now.Before(w.lateAt) {
		for _, f := range w.pending {
			f(now)
		}
		w.pending = nil
	}
	if len(w.runs) > 0 && now.After(w.until) {
		for k := range w.runs {
			w.end(k, fleet.EndLapsed, "")
		}
	}
	for k, r := range w.runs {
		switch {
		case !r.stop.IsZero():
			if !now.Before(r.stop) {
				w.end(k, fleet.EndStopped, "saved")
			}
		case w.fails, w.flaky && r.odd:
			w.end(k, fleet.EndFailed, "")
		case !w.hangs:
			r.left -= span / time.Duration(max(w.slow, 1))
			if r.left <= 0 && (w.together == nil || w.together(k.Task.Job)) {
				w.end(k, fleet.EndDone, "")
			}
		}
	}
}

func (w *worker) end(k crew.Key, how fleet.End, saved string) {
	delete(w.runs, k)
	w.closed[k.Task] = max(w.closed[k.Task], k.No)
	w.ended++
	w.ends = append(w.ends, fleet.EndSeen{No: w.ended, Task: k.Task, Run: k.No, How: how, Saved: saved})
}

const (
	timeout = time.Second
	quick   = 2 * time.Millisecond
)

func (w *worker) unreached(op string) (fleet.Ticks, time.Duration, error) {
	return 0, timeout, &fleet.Error{Op: op, Kind: fleet.Doubt, Err: errCut}
}

func (w *worker) start(now time.Time, o fleet.StartOrder) (fleet.Ticks, time.Duration, error) {
	if w.cut {
		return w.unreached("start")
	}
	if w.lateFor > 0 && (w.lateMost == 0 || len(w.pending) < w.lateMost) {
		w.lateAt = now.Add(w.lateFor)
		w.pending = append(w.pending, func(at time.Time) { w.begin(at, o) })
		return w.unreached("start")
	}
	if w.second != nil && w.runs[crew.Key{Task: o.Task, No: o.Run}] != nil {
		return 0, quick, w.second
	}
	err := w.begin(now, o)
	if w.mute {
		return w.unreached("start")
	}
	return w.clock(now), quick, err
}

func (w *worker) begin(now time.Time, o fleet.StartOrder) error {
	k := crew.Key{Task: o.Task, No: o.Run}
	switch {
	case o.Term < w.term:
		return &fleet.Error{Op: "start", Kind: fleet.Fenced}
	case w.runs[k] != nil:
		return nil
	case o.Run <= w.closed[o.Task]:
		return &fleet.Error{Op: "start", Kind: fleet.Stale}
	case o.Until <= w.clock(now):
		return &fleet.Error{Op: "start", Kind: fleet.Late}
	}
	w.term = o.Term
	w.extend(now, o.Until)
	w.count++
	w.runs[k] = &running{order: o, left: spans[o.Task.Job], odd: w.count%2 == 1}
	w.begun[o.Task.Job]++
	used := int64(0)
	for k := range w.runs {
		used += needs[k.Task.Job]
	}
	w.most = max(w.most, used)
	return nil
}

func (w *worker) extend(now time.Time, until fleet.Ticks) {
	at := w.epoch.Add(time.Duration(until) * time.Millisecond)
	if most := now.Add(limits.Lease); at.After(most) {
		at = most
	}
	if until > 0 && at.After(w.until) {
		w.until = at
	}
}

func (w *worker) stop(now time.Time, o fleet.StopOrder) (fleet.Ticks, time.Duration, error) {
	if w.cut {
		return w.unreached("stop")
	}
	if o.Term < w.term {
		return w.clock(now), quick, &fleet.Error{Op: "stop", Kind: fleet.Fenced}
	}
	w.term = o.Term
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	if r := w.runs[crew.Key{Task: o.Task, No: o.Run}]; r != nil && r.stop.IsZero() {
		r.stop = now.Add(limits.Stop / 2)
	}
	if w.mute {
		return w.unreached("stop")
	}
	return w.clock(now), quick, nil
}

func (w *worker) look(now time.Time, o fleet.LookOrder) (fleet.Sight, time.Duration, error) {
	if w.cut {
		_, span, err := w.unreached("look")
		return fleet.Sight{}, o.Wait + span, err
	}
	if o.Term < w.term {
		return fleet.Sight{}, quick, &fleet.Error{Op: "look", Kind: fleet.Fenced}
	}
	w.term = o.Term
	w.extend(now, o.Until)
	for len(w.ends) > 0 && w.ends[0].No <= o.Taken {
		w.ends = w.ends[1:]
	}
	return w.sight(now), quick, nil
}

// sight is what the worker tells of itself.
func (w *worker) sight(now time.Time) fleet.Sight {
	s := fleet.Sight{Clock: w.clock(now), Born: w.born, Ends: append([]fleet.EndSeen(nil), w.ends...)}
	for k, r := range w.runs {
		done := spans[k.Task.Job] - r.left
		s.Runs = append(s.Runs, fleet.RunSeen{Task: k.Task, Run: k.No, Percent: min(int(100*done/max(spans[k.Task.Job], 1)), 100)})
	}
	return s
}

// poll is a look that waits for an end.
type poll struct {
	until  time.Time
	answer func(fleet.Sight)
	fail   func()
}

// answerPolls answers the looks that have waited long enough.
func (w *worker) answerPolls(now time.Time) {
	kept := w.polls[:0]
	for _, p := range w.polls {
		if len(w.ends) == 0 && now.Before(p.until) {
			kept = append(kept, p)
			continue
		}
		p.answer(w.sight(now))
	}
	w.polls = kept
}
