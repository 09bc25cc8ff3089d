package place

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"pgregory.net/rapid"
)

var (
	one = fleet.Res{Cores: 1000, Mem: 1024, Accels: 1}
	cpu = fleet.Res{Cores: 1000, Mem: 1024}
	box = fleet.Res{Cores: 8000, Mem: 8192, Accels: 4}
)

// naive keeps the plainest account there can be of what a planner decided.
type naive struct {
	t     *rapid.T
	p     *Planner
	now   time.Time
	nodes map[fleet.HostID]Node
	gone  map[fleet.HostID]bool
	runs  map[fleet.JobID]run
	jobs  map[fleet.JobID]Job
	stops map[fleet.JobID]bool
	out   bool
	seq   int
}

type run struct {
	parts []Part
	owned bool
}

func newNaive(t *rapid.T) *naive {
	m := &naive{
		t: t, p: New(Defaults()), now: time.Unix(1000, 0), nodes: map[fleet.HostID]Node{}, gone: map[fleet.HostID]bool{},
		runs: map[fleet.JobID]run{}, jobs: map[fleet.JobID]Job{}, stops: map[fleet.JobID]bool{},
	}
	for i := range 6 {
		n := Node{ID: fleet.HostID(fmt.Sprint("w", i)), Rack: fleet.Rack(i / 2), Total: box}
		m.nodes[n.ID] = n
		m.p.SetNode(n)
	}
	m.p.SetSpace("a", []Shape{{Count: 1, Tasks: 6, Each: one}, {Count: 1, Tasks: 2, Each: one}}, fleet.Res{})
	m.p.SetSpace("b", []Shape{{Count: 2, Tasks: 4, Each: one}}, fleet.Res{})
	m.p.SetSpace("c", nil, fleet.Res{Cores: 12000})
	m.p.Open()
	return m
}

func (m *naive) add(space fleet.SpaceID, tasks int, each fleet.Res) fleet.JobID {
	m.seq++
	j := Job{
		ID: fleet.JobID(fmt.Sprintf("j%03d", m.seq)), Space: space, Tasks: tasks, Each: each,
		Declared: time.Duration(1+m.seq%7) * time.Minute, Since: m.now,
	}
	m.jobs[j.ID] = j
	m.p.Add(j)
	return j.ID
}

// plan takes the decisions and holds every promise against the account.
func (m *naive) plan() {
	for _, d := range m.p.Plan(m.now) {
		if d.Kind == Evict {
			if _, ok := m.runs[d.Job]; !ok || m.stops[d.Job] {
				m.t.Fatalf("evicts %s, which does not run", d.Job)
			}
			m.stops[d.Job] = true
			continue
		}
		m.started(d)
	}
	m.capacity()
}

func (m *naive) started(d Decision) {
	if _, twice := m.runs[d.Job]; twice || m.out {
		m.t.Fatalf("starts %s twice or while out", d.Job)
	}
	tasks := 0
	for _, part := range d.Parts {
		tasks += part.Tasks
		if m.gone[part.Worker] || m.nodes[part.Worker].Leaving {
			m.t.Fatalf("starts %s on %s, which is not to be used", d.Job, part.Worker)
		}
	}
	if tasks != m.jobs[d.Job].Tasks {
		m.t.Fatalf("starts %d of %d tasks of %s", tasks, m.jobs[d.Job].Tasks, d.Job)
	}
	m.runs[d.Job] = run{d.Parts, d.Owned}
}

func (m *naive) capacity() {
	used := map[fleet.HostID]fleet.Res{}
	quota := fleet.Res{}
	for id, r := range m.runs {
		for _, part := range r.parts {
			used[part.Worker] = used[part.Worker].Add(m.jobs[id].Each.Times(part.Tasks))
		}
		if m.jobs[id].Space == "c" {
			need := m.jobs[id]
			quota = quota.Add(need.Need())
		}
	}
	for id, u := range used {
		if !u.Fits(box) {
			m.t.Fatalf("%s holds %s", id, u)
		}
	}
	if quota.Cores > 12000 {
		m.t.Fatalf("workspace c holds %s", quota)
	}
}

// stopped ends the gangs that were evicted, as workers would.
func (m *naive) stopped() {
	for id := range m.stops {
		m.p.End(id)
		delete(m.stops, id)
		delete(m.runs, id)
		m.p.Add(m.jobs[id])
	}
}

func (m *naive) pick(label string) fleet.JobID {
	var ids []fleet.JobID
	for i := 1; i <= m.seq; i++ {
		id := fleet.JobID(fmt.Sprintf("j%03d", i))
		if _, ok := m.runs[id]; ok && !m.stops[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(m.t, label)
}

func (m *naive) forget(id fleet.JobID) {
	delete(m.runs, id)
	delete(m.jobs, id)
}

// step does one thing that can happen.
func (m *naive) step() {
	t := m.t
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "seconds")) * time.Second)
	switch rapid.IntRange(0, 11).Draw(t, "what") {
	case 0, 1, 2, 3:
		space := rapid.SampledFrom([]fleet.SpaceID{"a", "b", "c", "d"}).Draw(t, "space")
		each := rapid.SampledFrom([]fleet.Res{one, one, cpu}).Draw(t, "each")
		m.add(space, rapid.IntRange(1, 10).Draw(t, "tasks"), each)
	case 4, 5:
		if id := m.pick("done"); id != "" {
			m.p.Done(id, m.now)
			m.forget(id)
		}
	case 6:
		if id := m.pick("failed"); id != "" {
			on := m.runs[id].parts[0].Worker
			v := m.p.Fail(id, []fleet.HostID{on}, m.now)
			delete(m.runs, id)
			if !v.Park {
				j := m.jobs[id]
				j.After, j.Faulty = v.After, append(j.Faulty, on)
				m.jobs[id] = j
				m.p.Add(j)
			}
		}
	case 7:
		m.lose(fleet.HostID(fmt.Sprint("w", rapid.IntRange(0, 5).Draw(t, "worker"))))
	case 8:
		for id := range m.gone {
			delete(m.gone, id)
			m.p.SetNode(m.nodes[id])
		}
	case 9:
		id := fleet.HostID(fmt.Sprint("w", rapid.IntRange(0, 5).Draw(t, "worker")))
		n := m.nodes[id]
		n.Leaving = !n.Leaving
		m.nodes[id] = n
		if !m.gone[id] {
			m.p.SetNode(n)
		}
	case 10:
		m.out = !m.out
		if m.out {
			m.p.Close("out")
			m.p.Drain()
		} else {
			m.p.Open()
			m.p.Fill(m.now)
		}
	case 11:
		m.stopped()
	}
}

// lose drops a worker and ends its gangs.
func (m *naive) lose(id fleet.HostID) {
	m.gone[id] = true
	m.p.DropNode(id)
	for job, r := range m.runs {
		if names(r.parts, id) {
			m.p.End(job)
			delete(m.runs, job)
			delete(m.stops, job)
			m.p.Add(m.jobs[job])
		}
	}
}

func TestPlannerKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newNaive(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step()
			m.plan()
			m.books()
		}
	})
}

// books holds the planner's own sums against the account.
func (m *naive) books() {
	for id, n := range m.p.nodes {
		owned, lent := fleet.Res{}, fleet.Res{}
		for _, g := range m.p.gangs {
			if g.owned {
				owned = owned.Add(g.on(id))
			} else {
				lent = lent.Add(g.on(id))
			}
		}
		if owned != n.owned || lent != n.lent {
			m.t.Fatalf("%s: books say %s owned, %s lent; the gangs hold %s and %s", id, n.owned, n.lent, owned, lent)
		}
		if !n.gone && n.clear().Negative() {
			m.t.Fatalf("%s carries guarantees of %s", id, n.spots)
		}
		if !n.gone && !n.owned.Fits(n.spots) {
			m.t.Fatalf("%s: owned gangs hold %s beyond guarantees of %s", id, n.owned, n.spots)
		}
	}
}

// Whatever happened before, once every worker is well again each workspace
// gets all of its guarantee at once, by evicting lent gangs only.
func TestGuaranteesAreAlwaysReclaimable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newNaive(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step()
			m.plan()
		}
		m.heal()
		var claims []fleet.JobID
		for _, k := range m.p.allSpots() {
			if k.holder == "" {
				j := m.jobs[m.add(k.space, k.tasks, k.each)]
				j.Urgent = true
				m.p.Remove(j.ID)
				m.p.Add(j)
				claims = append(claims, j.ID)
			}
		}
		m.plan()
		m.stopped()
		m.now = m.now.Add(time.Second)
		m.plan()
		for _, id := range claims {
			if _, ok := m.runs[id]; !ok {
				t.Fatalf("%s did not get its guarantee: %s", id, m.p.Why(id))
			}
		}
	})
}

// heal makes every worker well and the domain open; what waits is dropped, so
// that only claims are decided on.
func (m *naive) heal() {
	m.stopped()
	for id, n := range m.nodes {
		n.Leaving = false
		m.nodes[id] = n
		delete(m.gone, id)
		m.p.SetNode(n)
		m.p.nodes[id].health = health{}
	}
	if m.out {
		m.out = false
		m.p.Open()
		m.p.Fill(m.now)
	}
	m.now = m.now.Add(time.Hour)
	for id := range m.jobs {
		if _, runs := m.runs[id]; !runs {
			m.p.Remove(id)
		}
	}
	m.p.repack()
}
