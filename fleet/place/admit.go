package place

import (
	"fmt"
	"sort"

	"dragonflydeck.example/fleet"
)

// Guarantee is a shape guaranteed to a workspace in one failure domain.
type Guarantee struct {
	Space  fleet.SpaceID
	Domain fleet.DomainID
	Shape
}

// DomainGuarantee is the number of gangs of a shape that a failure domain guarantees.
type DomainGuarantee struct {
	Shape  int // index into the requested shapes
	Domain fleet.DomainID
	Count  int
}

// DomainNodes is a failure domain in service and its workers.
type DomainNodes struct {
	Domain fleet.DomainID
	Nodes  []Node
}

// Admit distributes the requested shapes over the failure domains beside the
// existing guarantees. It returns an Error if they do not all fit.
func Admit(domains []DomainNodes, existing []Guarantee, want []Shape) ([]DomainGuarantee, error) {
	packings := make([]*packing, len(domains))
	for i, d := range domains {
		packings[i] = newPacking(d, existing)
	}
	counts := make([][]int, len(want))
	for _, i := range orderBySize(want) {
		counts[i] = make([]int, len(packings))
		for k := range want[i].Count {
			at := addToLeastLoaded(packings, want[i])
			if at < 0 {
				return nil, noRoomError(domains, want[i], k)
			}
			counts[i][at]++
		}
	}
	return domainGuarantees(packings, counts), nil
}

// packing is a trial placement of the guarantees of one failure domain.
type packing struct {
	domain     fleet.DomainID
	planner    *Planner
	guaranteed fleet.Res
}

func newPacking(d DomainNodes, existing []Guarantee) *packing {
	planner := New(Defaults())
	for _, n := range d.Nodes {
		w := n
		planner.nodes[n.ID] = &node{Node: w, gangs: map[fleet.JobID]*gang{}}
	}
	planner.rebuildRacks()
	pk := &packing{domain: d.Domain, planner: planner}
	for _, g := range sortBySize(existing) {
		if g.Domain != d.Domain {
			continue
		}
		for range g.Count {
			pk.add(g.Shape)
		}
	}
	return pk
}

func sortBySize(existing []Guarantee) []Guarantee {
	out := append([]Guarantee{}, existing...)
	sort.SliceStable(out, func(a, b int) bool { return shapeWeight(out[a].Shape) > shapeWeight(out[b].Shape) })
	return out
}

func shapeWeight(s Shape) int64 { return (&allotment{tasks: s.Tasks, each: s.Each}).weight() }

func orderBySize(want []Shape) []int {
	order := make([]int, len(want))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return shapeWeight(want[order[a]]) > shapeWeight(want[order[b]]) })
	return order
}

// add places one more guaranteed gang and reports whether it fits.
func (pk *packing) add(s Shape) bool {
	parts := pk.planner.fit(s.Tasks, s.Each, func(n *node) int { return n.guaranteeRoom().Count(s.Each) })
	if parts == nil {
		return false
	}
	pk.planner.place(&allotment{tasks: s.Tasks, each: s.Each}, parts)
	pk.guaranteed = pk.guaranteed.Add(s.Each.Times(s.Tasks))
	return true
}

// addToLeastLoaded adds the shape to the domain with the smallest guaranteed
// share in which it fits. It returns the index of the domain, or -1 if there is
// none.
func addToLeastLoaded(packings []*packing, s Shape) int {
	order := make([]int, len(packings))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return packings[order[a]].load() < packings[order[b]].load() })
	for _, i := range order {
		if packings[i].add(s) {
			return i
		}
	}
	return -1
}

func (pk *packing) load() float64 { return pk.guaranteed.DominantShare(pk.planner.total) }

func domainGuarantees(packings []*packing, counts [][]int) []DomainGuarantee {
	var out []DomainGuarantee
	for i, row := range counts {
		for at, n := range row {
			if n > 0 {
				out = append(out, DomainGuarantee{Shape: i, Domain: packings[at].domain, Count: n})
			}
		}
	}
	return out
}

func noRoomError(domains []DomainNodes, s Shape, fit int) error {
	why := ""
	for _, d := range domains {
		if ok, w := FitsEmpty(d.Nodes, s.Tasks, s.Each); !ok {
			why += fmt.Sprintf("; %s is too small even when empty: %s", d.Domain, w)
		}
	}
	return &Error{
		Op: "admit", Kind: NoRoom,
		Text: fmt.Sprintf("%d of %d gangs of %d tasks (%s each) fit beside the existing guarantees%s", fit, s.Count, s.Tasks, s.Each, why),
	}
}
