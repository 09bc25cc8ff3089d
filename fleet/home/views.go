// Package home decides which failure domain a job belongs to, which domains
// carry a workspace's guarantees, and when either has to change.
package home

import (
	"sort"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/gang"
	"dragonflydeck.example/fleet/place"
	"dragonflydeck.example/fleet/wire"
)

// Atlas is the load of every failure domain, from the log and the host list.
type Atlas struct {
	views map[fleet.DomainID]*place.View
	nodes map[fleet.DomainID][]place.Node
	held  map[fleet.HostID]fleet.Res // by gangs, as the log tells it
	order []fleet.DomainID
	b     *board.Board
}

// NewAtlas works the load out.
func NewAtlas(b *board.Board) *Atlas {
	a := &Atlas{views: map[fleet.DomainID]*place.View{}, nodes: map[fleet.DomainID][]place.Node{}, held: map[fleet.HostID]fleet.Res{}, b: b}
	for _, h := range b.Hosts {
		if h.Role == wire.Role_WORKER && !h.Leaving {
			a.addNode(fleet.DomainID(h.Domain), gang.Node(h))
		}
	}
	for _, j := range b.State.Jobs {
		a.addJob(j)
	}
	sort.Slice(a.order, func(x, y int) bool { return a.order[x] < a.order[y] })
	return a
}

func (a *Atlas) addNode(id fleet.DomainID, n place.Node) {
	v, ok := a.views[id]
	if !ok {
		open := !a.b.State.Out(id) && a.b.HeldOut(id) == nil
		v = &place.View{Domain: id, Open: open}
		a.views[id] = v
		a.order = append(a.order, id)
	}
	v.Total = v.Total.Add(n.Total)
	a.nodes[id] = append(a.nodes[id], n)
}

func (a *Atlas) addJob(j *wire.Job) {
	v := a.views[fleet.DomainID(j.Home)]
	if v == nil {
		return
	}
	each := fleet.ResOf(j.Spec.Each)
	need := each.Times(int(j.Spec.Tasks))
	switch j.Phase {
	case wire.Phase_PLACED:
		v.Used = v.Used.Add(need)
		for _, p := range j.Parts {
			id := fleet.HostID(p.Worker)
			a.held[id] = a.held[id].Add(each.Times(int(p.Tasks)))
		}
	case wire.Phase_QUEUED:
		v.Queued = v.Queued.Add(need)
	}
}

// For returns the views as they are for one job.
func (a *Atlas) For(spec *wire.Spec) []place.View {
	var out []place.View
	for _, id := range a.order {
		v := *a.views[id]
		v.Ever, _ = place.Ever(a.nodes[id], int(spec.Tasks), fleet.ResOf(spec.Each))
		v.Now = a.fitsNow(id, int(spec.Tasks), fleet.ResOf(spec.Each))
		v.Claims = a.claims(id, spec)
		out = append(out, v)
	}
	return out
}

// fitsNow reports whether a gang fits beside what runs in a domain.
func (a *Atlas) fitsNow(id fleet.DomainID, tasks int, each fleet.Res) bool {
	n := 0
	for _, w := range a.nodes[id] {
		n += w.Total.Sub(a.held[w.ID]).Count(each)
	}
	return n >= tasks
}

// claims counts the guaranteed gangs of the job's workspace in a domain that
// take it and are not in use.
func (a *Atlas) claims(id fleet.DomainID, spec *wire.Spec) int {
	w := a.b.State.Spaces[fleet.SpaceID(spec.Space)]
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
	for _, j := range a.b.State.Jobs {
		if j.Home == string(id) && j.Spec.Space == spec.Space && (j.Owned || j.Phase == wire.Phase_QUEUED) {
			n--
		}
	}
	return max(n, 0)
}

// Choose picks the failure domain for a new job. The error says why none can
// ever run it.
func Choose(b *board.Board, spec *wire.Spec) (fleet.DomainID, error) {
	a := NewAtlas(b)
	views := a.For(spec)
	need := fleet.ResOf(spec.Each).Times(int(spec.Tasks))
	if id := place.Choose(need, views); id != "" {
		return id, nil
	}
	return "", a.never(spec, views)
}

// never explains why no domain takes a job. One that is only out of service
// may take it later.
func (a *Atlas) never(spec *wire.Spec, views []place.View) error {
	why := ""
	for _, v := range views {
		if v.Ever {
			return &Error{Op: "choose domain", Kind: Closed, Text: "every failure domain that could run the job is out of service"}
		}
		_, w := place.Ever(a.nodes[v.Domain], int(spec.Tasks), fleet.ResOf(spec.Each))
		why += string(v.Domain) + ": " + w + "; "
	}
	if len(views) == 0 {
		return &Error{Op: "choose domain", Kind: Closed, Text: "the host list names no worker yet"}
	}
	return &Error{Op: "choose domain", Kind: Never, Text: "the job can never run: " + why}
}

// Areas returns the failure domains in service with their workers.
func (a *Atlas) Areas() []place.Area {
	var out []place.Area
	for _, id := range a.order {
		if a.views[id].Open {
			out = append(out, place.Area{Domain: id, Nodes: a.nodes[id]})
		}
	}
	return out
}
