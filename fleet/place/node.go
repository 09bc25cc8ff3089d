package place

import (
	"sort"

	"dragonflydeck.example/fleet"
)

// Node is a worker as the host list describes it.
type Node struct {
	ID      fleet.HostID
	Rack    fleet.Rack
	Total   fleet.Res
	Leaving bool
}

// node is a worker and what is decided about it. Owned gangs lie within spots,
// lent ones anywhere.
type node struct {
	Node
	owned  fleet.Res // gangs that run on a guarantee, also those about to start
	lent   fleet.Res // all other gangs
	spots  fleet.Res // guaranteed to workspaces, claimed or not
	gone   bool
	health health
	gangs  map[fleet.JobID]*gang
}

type rack struct {
	id    fleet.Rack
	nodes []*node
}

// free is what no gang holds. It is negative while evicted gangs stop.
func (n *node) free() fleet.Res { return n.Total.Sub(n.owned).Sub(n.lent) }

// open is what neither a gang nor a guarantee holds. It is negative where lent
// gangs use guaranteed room.
func (n *node) open() fleet.Res { return n.Total.Sub(n.spots).Sub(n.lent) }

// clear is the room for guarantees: lent gangs can be evicted.
func (n *node) clear() fleet.Res { return n.Total.Sub(n.spots) }

// usable reports whether new work may go to the worker.
func (n *node) usable() bool { return !n.Leaving && !n.gone && n.health.usable(len(n.gangs)) }

// SetNode adds a worker or changes what is known of it.
func (p *Planner) SetNode(w Node) {
	n, ok := p.nodes[w.ID]
	if !ok {
		n = &node{gangs: map[fleet.JobID]*gang{}}
		p.nodes[w.ID] = n
	}
	same := ok && n.Node == w && !n.gone
	n.Node, n.gone = w, false
	if same {
		return
	}
	p.rerack()
	p.repack()
}

// DropNode says that a worker cannot be used: it left, or its lease lapsed.
// Its gangs stay until they are ended by the caller.
func (p *Planner) DropNode(id fleet.HostID) {
	n, ok := p.nodes[id]
	if !ok || n.gone {
		return
	}
	n.gone = true
	p.rerack()
	p.repack()
	p.forget(n)
}

// forget removes a worker that is gone once nothing is on it.
func (p *Planner) forget(n *node) {
	if n.gone && len(n.gangs) == 0 {
		delete(p.nodes, n.ID)
	}
}

// rerack sorts the workers that may carry work into racks.
func (p *Planner) rerack() {
	p.dirty = true
	byID := map[fleet.Rack]*rack{}
	p.racks = nil
	p.total = fleet.Res{}
	for _, n := range p.sorted() {
		if n.gone || n.Leaving {
			continue
		}
		p.total = p.total.Add(n.Total)
		r, ok := byID[n.Rack]
		if !ok {
			r = &rack{id: n.Rack}
			byID[n.Rack] = r
			p.racks = append(p.racks, r)
		}
		r.nodes = append(r.nodes, n)
	}
	sort.Slice(p.racks, func(a, b int) bool { return p.racks[a].id < p.racks[b].id })
}

func (p *Planner) sorted() []*node {
	all := make([]*node, 0, len(p.nodes))
	for _, n := range p.nodes {
		all = append(all, n)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].ID < all[b].ID })
	return all
}
