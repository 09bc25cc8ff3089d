// Package home assigns jobs and the guarantees of workspaces to failure
// domains, their homes, and moves them when a home is full or out of service.
package home

import (
	"sort"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/gang"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/wire"
)

// Loads holds the capacity and load of every failure domain, computed from the
// state and the host list.
type Loads struct {
	domains map[fleet.DomainID]*place.DomainLoad
	nodes   map[fleet.DomainID][]place.Node
	used    map[fleet.HostID]fleet.Res // by placed gangs, according to the state
	order   []fleet.DomainID
	b       *board.Board
}

// NewLoads computes the loads of all failure domains.
func NewLoads(b *board.Board) *Loads {
	l := &Loads{domains: map[fleet.DomainID]*place.DomainLoad{}, nodes: map[fleet.DomainID][]place.Node{}, used: map[fleet.HostID]fleet.Res{}, b: b}
	for _, h := range b.Hosts {
		if h.Role == wire.Role_WORKER && !h.Leaving {
			l.addNode(fleet.DomainID(h.Domain), gang.Node(h))
		}
	}
	for _, j := range b.State.Jobs {
		l.addJob(j)
	}
	sort.Slice(l.order, func(x, y int) bool { return l.order[x] < l.order[y] })
	return l
}

func (l *Loads) addNode(id fleet.DomainID, n place.Node) {
	d, ok := l.domains[id]
	if !ok {
		open := !l.b.State.OutOfService(id) && l.b.HeldOut(id) == nil
		d = &place.DomainLoad{Domain: id, Open: open}
		l.domains[id] = d
		l.order = append(l.order, id)
	}
	d.Total = d.Total.Add(n.Total)
	l.nodes[id] = append(l.nodes[id], n)
}

func (l *Loads) addJob(j *wire.Job) {
	d := l.domains[fleet.DomainID(j.Home)]
	if d == nil {
		return
	}
	each := fleet.ResOf(j.Spec.Each)
	need := each.Times(int(j.Spec.Tasks))
	switch j.Phase {
	case wire.Phase_PLACED:
		d.Used = d.Used.Add(need)
		for _, p := range j.Parts {
			id := fleet.HostID(p.Worker)
			l.used[id] = l.used[id].Add(each.Times(int(p.Tasks)))
		}
	case wire.Phase_QUEUED:
		d.Queued = d.Queued.Add(need)
	}
}

// ForJob returns the load of every failure domain as seen for one job.
func (l *Loads) ForJob(spec *wire.Spec) []place.DomainLoad {
	var out []place.DomainLoad
	for _, id := range l.order {
		d := *l.domains[id]
		d.FitsEmpty, _ = place.FitsEmpty(l.nodes[id], int(spec.Tasks), fleet.ResOf(spec.Each))
		d.FitsNow = l.fitsNow(id, int(spec.Tasks), fleet.ResOf(spec.Each))
		d.FreeGuarantees = l.unusedGuarantees(id, spec)
		out = append(out, d)
	}
	return out
}

// fitsNow reports whether a gang fits into what the placed gangs of a domain
// leave free.
func (l *Loads) fitsNow(id fleet.DomainID, tasks int, each fleet.Res) bool {
	n := 0
	for _, w := range l.nodes[id] {
		n += w.Total.Sub(l.used[w.ID]).Count(each)
	}
	return n >= tasks
}

// unusedGuarantees counts the guaranteed gangs of the job's workspace in a
// domain that are large enough for the job and not in use or claimed by a
// waiting job.
func (l *Loads) unusedGuarantees(id fleet.DomainID, spec *wire.Spec) int {
	w := l.b.State.Spaces[fleet.SpaceID(spec.Space)]
	n := 0
	for _, h := range w.GetHomes() {
		if h.Domain != string(id) || int(h.Shape) >= len(w.Shapes) {
			continue
		}
		s := w.Shapes[h.Shape]
		if spec.Tasks <= s.Tasks && fleet.ResOf(spec.Each).Fits(fleet.ResOf(s.Each)) {
			n += int(h.Count)
		}
	}
	if n == 0 {
		return 0
	}
	for _, j := range l.b.State.Jobs {
		if j.Home == string(id) && j.Spec.Space == spec.Space && (j.Owned || j.Phase == wire.Phase_QUEUED) {
			n--
		}
	}
	return max(n, 0)
}

// Choose returns the failure domain for a new job. The error says why no domain
// can take it.
func Choose(b *board.Board, spec *wire.Spec) (fleet.DomainID, error) {
	l := NewLoads(b)
	domains := l.ForJob(spec)
	need := fleet.ResOf(spec.Each).Times(int(spec.Tasks))
	if id := place.Choose(need, domains); id != "" {
		return id, nil
	}
	return "", l.noDomainError(spec, domains)
}

// noDomainError explains why no failure domain takes a job. A domain that is
// only out of service may take it later, so that is an error of another kind.
func (l *Loads) noDomainError(spec *wire.Spec, domains []place.DomainLoad) error {
	why := ""
	for _, d := range domains {
		if d.FitsEmpty {
			return &Error{Op: "choose domain", Kind: Unavailable, Text: "every failure domain that could run the job is out of service"}
		}
		_, w := place.FitsEmpty(l.nodes[d.Domain], int(spec.Tasks), fleet.ResOf(spec.Each))
		why += string(d.Domain) + ": " + w + "; "
	}
	if len(domains) == 0 {
		return &Error{Op: "choose domain", Kind: Unavailable, Text: "the host list has no workers yet"}
	}
	return &Error{Op: "choose domain", Kind: Infeasible, Text: "the job can never run: " + why}
}

// OpenDomains returns the failure domains in service with their workers, for
// admission.
func (l *Loads) OpenDomains() []place.DomainNodes {
	var out []place.DomainNodes
	for _, id := range l.order {
		if l.domains[id].Open {
			out = append(out, place.DomainNodes{Domain: id, Nodes: l.nodes[id]})
		}
	}
	return out
}
