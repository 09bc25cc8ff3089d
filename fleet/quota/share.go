package quota

import "dragonflydeck.example/fleet"

// Shares divides a service among the workspaces that use it or wait for it.
// Load pattern: on a full site one workspace sends many times its usual work. By due
// time alone it would take the capacity of all others.
type Shares struct {
	total   fleet.Res
	weights map[fleet.SpaceID]float64
	sum     float64
}

// NewShares returns the division of a service's capacity, without workspaces.
func NewShares(total fleet.Res) *Shares {
	return &Shares{total: total, weights: map[fleet.SpaceID]float64{}}
}

// Join adds a workspace that uses the service or waits for it.
func (s *Shares) Join(space fleet.SpaceID, l Limit) {
	if _, ok := s.weights[space]; ok {
		return
	}
	s.weights[space] = l.weight()
	s.sum += l.weight()
}

// Fraction returns the share of the capacity that a workspace is entitled to: its weight
// over the weights of all that have joined. It is 1 if it has not joined.
func (s *Shares) Fraction(space fleet.SpaceID) float64 {
	w, ok := s.weights[space]
	if !ok {
		return 1
	}
	return w / s.sum
}

// Beyond reports whether a workspace that uses so much has all that it is entitled to. What
// it uses counts by the resource of which it takes the largest part.
func (s *Shares) Beyond(space fleet.SpaceID, used fleet.Res) bool {
	return used.DominantShare(s.total) >= s.Fraction(space)
}
