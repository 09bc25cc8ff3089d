// Package state folds the platform's log into the state of the fleet. The fold
// is deterministic: every daemon that has applied the same records holds the
// same state. A record is applied once by its id and never out of order, so no
// revision falls.
package state

import (
	"sort"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// KeptEnded is how many ended jobs are remembered.
const KeptEnded = 2000

// SeatKey names one seat of a failure domain.
type SeatKey struct {
	Domain fleet.DomainID
	Seat   int32
}

// State is what the log says up to Next. It belongs to one goroutine.
type State struct {
	Next    fleet.Offset // the next record to apply
	Config  fleet.Offset // the newest record that changed a workspace or a domain's service
	Spaces  map[fleet.SpaceID]*wire.Space
	Domains map[fleet.DomainID]*wire.Domain
	Jobs    map[fleet.JobID]*wire.Job
	Seats   map[SeatKey]*wire.Seated

	touched []fleet.JobID
	ended   []fleet.JobID
	seen    *window
}

// New returns the empty state before the first record.
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

// Outcome tells what became of the entry with this id: found is false if the
// fold has not met it, and err is why it had no effect.
func (s *State) Outcome(id fleet.EntryID) (found bool, err error) {
	return s.seen.get(id)
}

// Domain returns the state of a failure domain, creating it in service.
func (s *State) Domain(id fleet.DomainID) *wire.Domain {
	d, ok := s.Domains[id]
	if !ok {
		d = &wire.Domain{Name: string(id)}
		s.Domains[id] = d
	}
	return d
}

// Term returns the newest term of a failure domain, 0 before the first.
func (s *State) Term(id fleet.DomainID) fleet.Term {
	return fleet.Term(s.Domains[id].GetTerm())
}

// Out reports whether operators have taken a failure domain out.
func (s *State) Out(id fleet.DomainID) bool { return s.Domains[id].GetOut() }

// Live returns the jobs that have not ended, in the order they were accepted.
func (s *State) Live() []*wire.Job {
	var live []*wire.Job
	for _, j := range s.Jobs {
		if !Ended(j.Phase) {
			live = append(live, j)
		}
	}
	sort.Slice(live, func(a, b int) bool { return older(live[a], live[b]) })
	return live
}

// Ended reports whether a job in this phase is over.
func Ended(p wire.Phase) bool {
	switch p {
	case wire.Phase_DONE, wire.Phase_FAILED, wire.Phase_CANCELLED, wire.Phase_PARKED:
		return true
	}
	return false
}

// Touched returns the jobs that changed since the last call.
func (s *State) Touched() []fleet.JobID {
	t := s.touched
	s.touched = nil
	return t
}

func (s *State) touch(j *wire.Job) { s.touched = append(s.touched, fleet.JobID(j.Spec.Id)) }

func older(a, b *wire.Job) bool {
	if a.Begun != b.Begun {
		return a.Begun < b.Begun
	}
	return a.Spec.Id < b.Spec.Id
}

func (s *State) end(id fleet.JobID) {
	s.ended = append(s.ended, id)
	if len(s.ended) <= KeptEnded {
		return
	}
	delete(s.Jobs, s.ended[0])
	s.ended = s.ended[1:]
}
