// Package state computes the state of the fleet by applying the records of the
// platform's log in order. This is deterministic: daemons that have applied the
// same records have the same state. Records are applied in log order, and each
// ID only once, so revisions never decrease.
package state

import (
	"sort"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// MaxEndedJobs is how many ended jobs the state keeps.
const MaxEndedJobs = 2000

// SeatKey identifies a seat of a failure domain.
type SeatKey struct {
	Domain fleet.DomainID
	Seat   int32
}

// State is the result of all records before Next. It is not safe for concurrent
// use.
type State struct {
	Next    fleet.Offset // offset of the next record to apply
	Config  fleet.Offset // newest record that changed a workspace, or took a domain out of service or back
	Spaces  map[fleet.SpaceID]*wire.Space
	Domains map[fleet.DomainID]*wire.Domain
	Jobs    map[fleet.JobID]*wire.Job
	Seats   map[SeatKey]*wire.Seated

	changed []fleet.JobID
	ended   []fleet.JobID
	seen    *window
}

// New returns the state before the first record.
func New() *State {
	return &State{
		Next:    1,
		Spaces:  map[fleet.SpaceID]*wire.Space{},
		Domains: map[fleet.DomainID]*wire.Domain{},
		Jobs:    map[fleet.JobID]*wire.Job{},
		Seats:   map[SeatKey]*wire.Seated{},
		seen:    newWindow(),
	}
}

// Outcome returns the outcome of the entry with this ID. found is false if the
// entry has not been applied or is no longer remembered, and err is why it had
// no effect.
func (s *State) Outcome(id fleet.EntryID) (found bool, err error) {
	return s.seen.get(id)
}

// Domain returns the state of a failure domain and creates it, in service, if
// it is new.
func (s *State) Domain(id fleet.DomainID) *wire.Domain {
	d, ok := s.Domains[id]
	if !ok {
		d = &wire.Domain{Name: string(id)}
		s.Domains[id] = d
	}
	return d
}

// Term returns the newest term of a failure domain, or 0 before the first one.
func (s *State) Term(id fleet.DomainID) fleet.Term {
	return fleet.Term(s.Domains[id].GetTerm())
}

// OutOfService reports whether operators have taken a failure domain out of service.
func (s *State) OutOfService(id fleet.DomainID) bool { return s.Domains[id].GetOut() }

// Live returns the jobs that have not ended, in the order in which they were
// accepted.
func (s *State) Live() []*wire.Job {
	var live []*wire.Job
	for _, j := range s.Jobs {
		if !Ended(j.Phase) {
			live = append(live, j)
		}
	}
	sort.Slice(live, func(a, b int) bool { return acceptedBefore(live[a], live[b]) })
	return live
}

// Ended reports whether a job in this phase has ended.
func Ended(p wire.Phase) bool {
	switch p {
	case wire.Phase_DONE, wire.Phase_FAILED, wire.Phase_CANCELLED, wire.Phase_PARKED:
		return true
	}
	return false
}

// TakeChanged returns the jobs that have changed since the last call.
func (s *State) TakeChanged() []fleet.JobID {
	changed := s.changed
	s.changed = nil
	return changed
}

func (s *State) markChanged(j *wire.Job) { s.changed = append(s.changed, fleet.JobID(j.Spec.Id)) }

func acceptedBefore(a, b *wire.Job) bool {
	if a.Begun != b.Begun {
		return a.Begun < b.Begun
	}
	return a.Spec.Id < b.Spec.Id
}

func (s *State) addEnded(id fleet.JobID) {
	s.ended = append(s.ended, id)
	if len(s.ended) <= MaxEndedJobs {
		return
	}
	delete(s.Jobs, s.ended[0])
	s.ended = s.ended[1:]
}
