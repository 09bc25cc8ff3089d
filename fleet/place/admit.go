package place

import (
	"fmt"
	"sort"

	"dragonflydeck.example/fleet"
)

// Guarantee is one shape promised to a workspace in one failure domain.
type Guarantee struct {
	Space  fleet.SpaceID
	Domain fleet.DomainID
	Shape
}

// Share says how many gangs of a shape a failure domain is to carry.
type Share struct {
	Shape  int // index into the shapes asked for
	Domain fleet.DomainID
	Count  int
}

// Area is a failure domain in service with its workers.
type Area struct {
	Domain fleet.DomainID
	Nodes  []Node
}

// Admit decides which failure domains carry the shapes asked for, beside the
// guarantees given already. The error names what is missing.
func Admit(areas []Area, given []Guarantee, want []Shape) ([]Share, error) {
	packs := make([]*pack, len(areas))
	for i, a := range areas {
		packs[i] = newPack(a, given)
	}
	counts := make([][]int, len(want))
	for _, i := range bySize(want) {
		counts[i] = make([]int, len(packs))
		for k := range want[i].Count {
			at := emptiest(packs, want[i])
			if at < 0 {
				return nil, lack(areas, want[i], k)
			}
			counts[i][at]++
		}
	}
	return shares(packs, counts), nil
}

// pack is a trial packing of the guarantees of one failure domain.
type pack struct {
	domain fleet.DomainID
	plan   *Planner
	spots  fleet.Res
}

func newPack(a Area, given []Guarantee) *pack {
	p := New(Defaults())
	for _, n := range a.Nodes {
		w := n
		p.nodes[n.ID] = &node{Node: w, gangs: map[fleet.JobID]*gang{}}
	}
	p.rerack()
	k := &pack{domain: a.Domain, plan: p}
	for _, g := range sortGiven(given) {
		if g.Domain != a.Domain {
			continue
		}
		for range g.Count {
			k.add(g.Shape)
		}
	}
	return k
}

func sortGiven(given []Guarantee) []Guarantee {
	out := append([]Guarantee{}, given...)
	sort.SliceStable(out, func(a, b int) bool { return weigh(out[a].Shape) > weigh(out[b].Shape) })
	return out
}

func weigh(s Shape) int64 { return (&spot{tasks: s.Tasks, each: s.Each}).weight() }

func bySize(want []Shape) []int {
	order := make([]int, len(want))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return weigh(want[order[a]]) > weigh(want[order[b]]) })
	return order
}

// add lays one more gang and reports whether it fits.
func (k *pack) add(s Shape) bool {
	parts := k.plan.fit(s.Tasks, s.Each, func(n *node) int { return n.clear().Count(s.Each) })
	if parts == nil {
		return false
	}
	k.plan.lay(&spot{tasks: s.Tasks, each: s.Each}, parts)
	k.spots = k.spots.Add(s.Each.Times(s.Tasks))
	return true
}

// emptiest adds the shape to the domain with the least guaranteed share that
// takes it, and returns its index, or -1.
func emptiest(packs []*pack, s Shape) int {
	order := make([]int, len(packs))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return packs[order[a]].load() < packs[order[b]].load() })
	for _, i := range order {
		if packs[i].add(s) {
			return i
		}
	}
	return -1
}

func (k *pack) load() float64 { return k.spots.Share(k.plan.total) }

func shares(packs []*pack, counts [][]int) []Share {
	var out []Share
	for i, row := range counts {
		for at, n := range row {
			if n > 0 {
				out = append(out, Share{Shape: i, Domain: packs[at].domain, Count: n})
			}
		}
	}
	return out
}

func lack(areas []Area, s Shape, fit int) error {
	why := ""
	for _, a := range areas {
		if ok, w := Ever(a.Nodes, s.Tasks, s.Each); !ok {
			why += fmt.Sprintf("; %s even when empty: %s", a.Domain, w)
		}
	}
	return &Error{
		Op: "admit", Kind: NoRoom,
		Text: fmt.Sprintf("%d of %d gangs of %d tasks (%s each) fit beside the guarantees given already%s", fit, s.Count, s.Tasks, s.Each, why),
	}
}
