package state

import (
	"sort"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

// JobsPerPiece limits the size of a piece of an image.
const JobsPerPiece = 200

// Images returns a snapshot of the state, an image, split into pieces that fit
// into log records.
func (s *State) Images() []*wire.Image {
	head := &wire.Image{Upto: int64(s.Next), Config: int64(s.Config)}
	for _, w := range s.Spaces {
		head.Spaces = append(head.Spaces, proto.CloneOf(w))
	}
	for _, d := range s.Domains {
		head.Domains = append(head.Domains, proto.CloneOf(d))
	}
	for _, k := range s.Seats {
		head.Seats = append(head.Seats, proto.CloneOf(k))
	}
	for _, id := range s.seen.order {
		if _, err := s.seen.get(id); err == nil {
			head.Ids = append(head.Ids, string(id))
		}
	}
	sortHead(head)
	return numberPieces(append([]*wire.Image{head}, s.jobPieces()...))
}

func sortHead(m *wire.Image) {
	sort.Slice(m.Spaces, func(a, b int) bool { return m.Spaces[a].Name < m.Spaces[b].Name })
	sort.Slice(m.Domains, func(a, b int) bool { return m.Domains[a].Name < m.Domains[b].Name })
	sort.Slice(m.Seats, func(a, b int) bool { return m.Seats[a].Rev < m.Seats[b].Rev })
}

func (s *State) jobPieces() []*wire.Image {
	var pieces []*wire.Image
	for i, j := range s.orderedJobs() {
		if i%JobsPerPiece == 0 {
			pieces = append(pieces, &wire.Image{Upto: int64(s.Next)})
		}
		last := pieces[len(pieces)-1]
		last.Jobs = append(last.Jobs, proto.CloneOf(j))
	}
	return pieces
}

// orderedJobs returns the ended jobs in the order in which they ended, then the
// live ones.
func (s *State) orderedJobs() []*wire.Job {
	var jobs []*wire.Job
	for _, id := range s.ended {
		jobs = append(jobs, s.Jobs[id])
	}
	return append(jobs, s.Live()...)
}

func numberPieces(pieces []*wire.Image) []*wire.Image {
	for i, p := range pieces {
		p.Piece, p.Pieces = int32(i), int32(len(pieces))
	}
	return pieces
}

// Load restores a state from the pieces of one image. Of the entries before the
// image it knows only the IDs of those that had an effect.
func Load(pieces []*wire.Image) (*State, error) {
	if err := checkComplete(pieces); err != nil {
		return nil, err
	}
	s := New()
	s.Next, s.Config = fleet.Offset(pieces[0].Upto), fleet.Offset(pieces[0].Config)
	for _, p := range pieces {
		s.loadPiece(proto.CloneOf(p))
	}
	return s, nil
}

func checkComplete(pieces []*wire.Image) error {
	if len(pieces) == 0 {
		return fail("load image", Missing, "the image has no pieces")
	}
	for i, p := range pieces {
		if p.Upto != pieces[0].Upto || int(p.Piece) != i || int(p.Pieces) != len(pieces) {
			return fail("load image", Broken, "piece %d of %d of the image up to %d is out of order", p.Piece, p.Pieces, p.Upto)
		}
	}
	return nil
}

func (s *State) loadPiece(p *wire.Image) {
	for _, w := range p.Spaces {
		s.Spaces[fleet.SpaceID(w.Name)] = w
	}
	for _, d := range p.Domains {
		s.Domains[fleet.DomainID(d.Name)] = d
	}
	for _, k := range p.Seats {
		s.Seats[SeatKey{fleet.DomainID(k.Domain), k.Seat}] = k
	}
	for _, id := range p.Ids {
		s.seen.put(fleet.EntryID(id), nil)
	}
	for _, j := range p.Jobs {
		s.Jobs[fleet.JobID(j.Spec.Id)] = j
		if Ended(j.Phase) {
			s.addEnded(fleet.JobID(j.Spec.Id))
		}
	}
}

// Assembler assembles images from pieces that are read from the log.
type Assembler struct {
	upto   int64
	pieces []*wire.Image
}

// Add adds the next piece in log order. It returns all pieces of the image if
// this piece completes it, or nil.
func (a *Assembler) Add(p *wire.Image) []*wire.Image {
	if p.Piece == 0 {
		a.upto, a.pieces = p.Upto, nil
	}
	if p.Upto != a.upto || int(p.Piece) != len(a.pieces) {
		return nil
	}
	a.pieces = append(a.pieces, p)
	if len(a.pieces) < int(p.Pieces) {
		return nil
	}
	return a.pieces
}
