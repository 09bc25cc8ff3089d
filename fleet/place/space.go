package place

import (
	"math"
	"time"

	"dragonflydeck.example/fleet"
)

// Parameters of the estimate of run times.
const (
	learnWeight = 0.2 // of the newest run in the moving average
	learnBound  = 3.0 // limit of the natural logarithm of actual over declared run time
)

// space is a workspace: its quota, use and guarantees in this failure domain, and
// how its run times compare to the declared ones.
type space struct {
	id            fleet.SpaceID
	quota         fleet.Res
	used          fleet.Res // in this failure domain
	usedElsewhere fleet.Res // in other failure domains
	allotments    []*allotment
	logRatio      float64 // moving average of the logarithm of actual over declared run time
}

// Shape is a number of guaranteed gangs of the same size.
type Shape struct {
	Count int
	Tasks int
	Each  fleet.Res
}

// SetSpace sets the guarantees and the quota of a workspace. A resource that is
// zero in the quota is not limited.
func (p *Planner) SetSpace(id fleet.SpaceID, shapes []Shape, quota fleet.Res) {
	s := p.space(id)
	s.quota = quota
	p.setAllotments(s, shapes)
	p.repack()
}

// DropSpace removes the guarantees of a workspace.
func (p *Planner) DropSpace(id fleet.SpaceID) {
	p.setAllotments(p.space(id), nil)
	p.repack()
}

// SetUsedElsewhere sets what a workspace uses in other failure domains, which counts
// against its quota.
func (p *Planner) SetUsedElsewhere(id fleet.SpaceID, r fleet.Res) {
	s := p.space(id)
	p.dirty = p.dirty || s.usedElsewhere != r
	s.usedElsewhere = r
}

func (p *Planner) space(id fleet.SpaceID) *space {
	s, ok := p.spaces[id]
	if !ok {
		s = &space{id: id}
		p.spaces[id] = s
	}
	return s
}

// overQuota names the resources in which need would exceed the quota.
func (s *space) overQuota(need fleet.Res) string {
	quota := s.quota
	after := s.used.Add(s.usedElsewhere).Add(need)
	if quota.Cores == 0 {
		quota.Cores = after.Cores
	}
	if quota.Mem == 0 {
		quota.Mem = after.Mem
	}
	if quota.Accels == 0 {
		quota.Accels = after.Accels
	}
	return after.Lacks(quota)
}

// learn adds the actual run time of a job to the estimate for later ones.
func (s *space) learn(declared, took time.Duration) {
	if declared <= 0 || took <= 0 {
		return
	}
	x := math.Log(float64(took) / float64(declared))
	x = min(max(x, -learnBound), learnBound)
	s.logRatio += learnWeight * (x - s.logRatio)
}

// estimate returns the expected run time of a job with the given declared one.
func (s *space) estimate(declared time.Duration) time.Duration {
	if declared <= 0 {
		declared = time.Hour
	}
	return time.Duration(float64(declared) * math.Exp(s.logRatio))
}
