package place

import (
	"sort"

	"dragonflydeck.example/fleet"
)

// Node is a worker as described by the host list.
type Node struct {
	ID      fleet.HostID
	Rack    fleet.Rack
	Total   fleet.Res
	Leaving bool
}

// node is a worker with its gangs and allotments. Owned gangs run within
// allotments; borrowing gangs may use any room.
type node struct {
	Node
	owned      fleet.Res // held by owned gangs, including those about to start
	borrowed   fleet.Res // held by borrowing gangs, including those about to start
	guaranteed fleet.Res // set aside by allotments, used or not
	gone       bool      // not usable any more, see DropNode
	health     health
	gangs      map[fleet.JobID]*gang
}

type rack struct {
	id    fleet.Rack
	nodes []*node
}

// free returns what no gang holds. It is negative while evicted gangs stop.
func (n *node) free() fleet.Res { return n.Total.Sub(n.owned).Sub(n.borrowed) }

// unreserved returns what neither a gang nor an allotment holds. It is negative
// where borrowing gangs use guaranteed room.
func (n *node) unreserved() fleet.Res { return n.Total.Sub(n.guaranteed).Sub(n.borrowed) }

// guaranteeRoom returns the room for further allotments. Borrowing gangs do not
// count, as they can be evicted.
func (n *node) guaranteeRoom() fleet.Res { return n.Total.Sub(n.guaranteed) }

// usable reports whether the worker may get new gangs.
func (n *node) usable() bool { return !n.Leaving && !n.gone && n.health.usable(len(n.gangs)) }

// SetNode adds or updates a worker.
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
	p.rebuildRacks()
	p.repack()
}

// DropNode records that a worker cannot be used because it left or its lease
// expired. Its gangs stay until the caller ends them.
func (p *Planner) DropNode(id fleet.HostID) {
	n, ok := p.nodes[id]
	if !ok || n.gone {
		return
	}
	n.gone = true
	p.rebuildRacks()
	p.repack()
	p.removeIfIdle(n)
}

// removeIfIdle removes a worker that is gone once it has no gangs.
func (p *Planner) removeIfIdle(n *node) {
	if n.gone && len(n.gangs) == 0 {
		delete(p.nodes, n.ID)
	}
}

// rebuildRacks groups the workers that are neither gone nor leaving into racks
// and sums up their resources.
func (p *Planner) rebuildRacks() {
	p.dirty = true
	byID := map[fleet.Rack]*rack{}
	p.racks = nil
	p.total = fleet.Res{}
	for _, n := range p.sortedNodes() {
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

func (p *Planner) sortedNodes() []*node {
	all := make([]*node, 0, len(p.nodes))
	for _, n := range p.nodes {
		all = append(all, n)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].ID < all[b].ID })
	return all
}
