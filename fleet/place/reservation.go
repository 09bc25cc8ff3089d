package place

import (
	"slices"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
)

// Times of reservations.
const (
	// ReserveAfter is how long a gang waits before it may get a reservation. Most
	// gangs start sooner by preemption, and reserved room lies idle.
	ReserveAfter = 30 * time.Minute
	// ReservationMaxAge is how old a reservation gets before it is computed anew.
	ReservationMaxAge = 5 * time.Second
)

// reservation keeps room for a waiting gang, as in backfill scheduling: its
// workers are expected to have room for parts from startAt on. Other gangs may
// use the room if they are expected to end before.
type reservation struct {
	job     fleet.JobID
	each    fleet.Res
	parts   []Part
	startAt time.Time
	madeAt  time.Time // when it was computed
}

// reservedRoom returns what is reserved on a worker for other jobs and not
// available to a job that ends at the given time.
func (p *Planner) reservedRoom(n *node, id fleet.JobID, ends time.Time) fleet.Res {
	reserved := fleet.Res{}
	for _, r := range p.reservations {
		if r.job == id || !ends.After(r.startAt) {
			continue
		}
		for _, part := range r.parts {
			if part.Worker == n.ID {
				reserved = reserved.Add(r.each.Times(part.Tasks))
			}
		}
	}
	return reserved
}

// refreshReservations drops reservations of jobs that no longer wait and computes
// old ones anew.
func (p *Planner) refreshReservations() {
	old := p.reservations
	p.reservations = nil
	for _, r := range old {
		w, ok := p.waiting[r.job]
		if !ok {
			continue
		}
		if p.now.Sub(r.madeAt) < ReservationMaxAge {
			p.reservations = append(p.reservations, r)
			continue
		}
		if again := p.reserve(w); again != nil {
			p.reservations = append(p.reservations, again)
		}
	}
}

func (p *Planner) dropReservation(id fleet.JobID) {
	for i, r := range p.reservations {
		if r.job == id {
			p.reservations = append(p.reservations[:i:i], p.reservations[i+1:]...)
			return
		}
	}
}

// reserveForOldest makes reservations for those of the given jobs that have
// waited longest.
func (p *Planner) reserveForOldest(failed []*waitingJob) {
	sort.SliceStable(failed, func(a, b int) bool { return failed[a].Since.Before(failed[b].Since) })
	for _, w := range failed {
		if len(p.reservations) >= p.rules.Reservations || p.now.Sub(w.Since) < ReserveAfter {
			return
		}
		if p.hasReservation(w.ID) {
			continue
		}
		if r := p.reserve(w); r != nil {
			p.reservations = append(p.reservations, r)
			w.why += "; room is reserved for it from " + r.startAt.UTC().Format(time.TimeOnly)
		}
	}
}

func (p *Planner) hasReservation(id fleet.JobID) bool {
	for _, r := range p.reservations {
		if r.job == id {
			return true
		}
	}
	return false
}

// reserve finds the earliest time at which a job fits if running gangs end as
// estimated. It returns nil if there is none.
func (p *Planner) reserve(w *waitingJob) *reservation {
	ends := p.endTimes()
	i := sort.Search(len(ends), func(i int) bool { return p.fitAt(w, ends[i]) != nil })
	if i == len(ends) {
		return nil
	}
	return &reservation{job: w.ID, each: w.Each, parts: p.fitAt(w, ends[i]), startAt: ends[i], madeAt: p.now}
}

// endTimes sets the expected end of each gang and returns these times and the
// present one in order.
func (p *Planner) endTimes() []time.Time {
	ends := make([]time.Time, 0, len(p.gangs)+1)
	ends = append(ends, p.now)
	for _, g := range p.gangs {
		g.expectedEnd = p.expectedEnd(g)
		ends = append(ends, g.expectedEnd)
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends
}

// fitAt fits a job into the room that is expected to be free at a time. It relies
// on the expected ends that endTimes has set.
func (p *Planner) fitAt(w *waitingJob, at time.Time) []Part {
	return p.fit(w.Tasks, w.Each, func(n *node) int {
		if n.health.quarantined {
			return 0
		}
		room := n.free()
		for _, g := range n.gangs {
			if !g.expectedEnd.After(at) {
				room = room.Add(g.heldOn(n.ID))
			}
		}
		return room.Sub(p.reservedRoom(n, w.ID, at.Add(time.Hour))).Count(w.Each)
	})
}
