package place

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"pgregory.net/rapid"
)

var (
	accelTask = fleet.Res{Cores: 1000, Mem: 1024, Accels: 1}
	cpuTask   = fleet.Res{Cores: 1000, Mem: 1024}
	workerRes = fleet.Res{Cores: 8000, Mem: 8192, Accels: 4}
)

// model is a simple record of what a planner decided, to check it against.
type model struct {
	t            *rapid.T
	p            *Planner
	now          time.Time
	nodes        map[fleet.HostID]Node
	gone         map[fleet.HostID]bool
	runs         map[fleet.JobID]run
	jobs         map[fleet.JobID]Job
	evicted      map[fleet.JobID]bool
	outOfService bool
	seq          int
}

type run struct {
	parts []Part
	owned bool
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, p: New(Defaults()), now: time.Unix(1000, 0), nodes: map[fleet.HostID]Node{}, gone: map[fleet.HostID]bool{},
		runs: map[fleet.JobID]run{}, jobs: map[fleet.JobID]Job{}, evicted: map[fleet.JobID]bool{},
	}
	for i := range 6 {
		n := Node{ID: fleet.HostID(fmt.Sprint("w", i)), Rack: fleet.Rack(i / 2), Total: workerRes}
		m.nodes[n.ID] = n
		m.p.SetNode(n)
	}
	m.p.SetSpace("a", []Shape{{Count: 1, Tasks: 6, Each: accelTask}, {Count: 1, Tasks: 2, Each: accelTask}}, fleet.Res{})
	m.p.SetSpace("b", []Shape{{Count: 2, Tasks: 4, Each: accelTask}}, fleet.Res{})
	m.p.SetSpace("c", nil, fleet.Res{Cores: 12000})
	m.p.Open()
	return m
}

func (m *model) add(space fleet.SpaceID, tasks int, each fleet.Res) fleet.JobID {
	m.seq++
	j := Job{
		ID: fleet.JobID(fmt.Sprintf("j%03d", m.seq)), Space: space, Tasks: tasks, Each: each,
		Declared: time.Duration(1+m.seq%7) * time.Minute, Since: m.now,
	}
	m.jobs[j.ID] = j
	m.p.Add(j)
	return j.ID
}

// planAndCheck takes the decisions of a plan and checks them against the model.
func (m *model) planAndCheck() {
	for _, d := range m.p.Plan(m.now) {
		if d.Kind == Evict {
			if _, ok := m.runs[d.Job]; !ok || m.evicted[d.Job] {
				m.t.Fatalf("evicts %s, which is not running or was evicted before", d.Job)
			}
			m.evicted[d.Job] = true
			continue
		}
		m.checkStart(d)
	}
	m.checkCapacity()
}

func (m *model) checkStart(d Decision) {
	if _, twice := m.runs[d.Job]; twice || m.outOfService {
		m.t.Fatalf("starts %s twice or while the domain is out of service", d.Job)
	}
	tasks := 0
	for _, part := range d.Parts {
		tasks += part.Tasks
		if m.gone[part.Worker] || m.nodes[part.Worker].Leaving {
			m.t.Fatalf("starts %s on %s, which is gone or leaving", d.Job, part.Worker)
		}
	}
	if tasks != m.jobs[d.Job].Tasks {
		m.t.Fatalf("starts %d of %d tasks of %s", tasks, m.jobs[d.Job].Tasks, d.Job)
	}
	m.runs[d.Job] = run{d.Parts, d.Owned}
}

func (m *model) checkCapacity() {
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
		if !u.Fits(workerRes) {
			m.t.Fatalf("worker %s exceeds its size, its gangs hold %s", id, u)
		}
	}
	if quota.Cores > 12000 {
		m.t.Fatalf("workspace c exceeds its quota, its gangs hold %s", quota)
	}
}

// endEvicted ends the gangs that were evicted and queues them again.
func (m *model) endEvicted() {
	for id := range m.evicted {
		m.p.End(id)
		delete(m.evicted, id)
		delete(m.runs, id)
		m.p.Add(m.jobs[id])
	}
}

func (m *model) pickRunning(label string) fleet.JobID {
	var ids []fleet.JobID
	for i := 1; i <= m.seq; i++ {
		id := fleet.JobID(fmt.Sprintf("j%03d", i))
		if _, ok := m.runs[id]; ok && !m.evicted[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(m.t, label)
}

func (m *model) forget(id fleet.JobID) {
	delete(m.runs, id)
	delete(m.jobs, id)
}

// step makes one random change.
func (m *model) step() {
	t := m.t
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "seconds")) * time.Second)
	switch rapid.IntRange(0, 11).Draw(t, "what") {
	case 0, 1, 2, 3:
		space := rapid.SampledFrom([]fleet.SpaceID{"a", "b", "c", "d"}).Draw(t, "space")
		each := rapid.SampledFrom([]fleet.Res{accelTask, accelTask, cpuTask}).Draw(t, "each")
		m.add(space, rapid.IntRange(1, 10).Draw(t, "tasks"), each)
	case 4, 5:
		if id := m.pickRunning("done"); id != "" {
			m.p.Done(id, m.now)
			m.forget(id)
		}
	case 6:
		if id := m.pickRunning("failed"); id != "" {
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
		m.loseWorker(fleet.HostID(fmt.Sprint("w", rapid.IntRange(0, 5).Draw(t, "worker"))))
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
		m.outOfService = !m.outOfService
		if m.outOfService {
			m.p.Close("out")
			m.p.Drain()
		} else {
			m.p.Open()
			m.p.EndDrain(m.now)
		}
	case 11:
		m.endEvicted()
	}
}

// loseWorker drops a worker, ends its gangs and queues them again.
func (m *model) loseWorker(id fleet.HostID) {
	m.gone[id] = true
	m.p.DropNode(id)
	for job, r := range m.runs {
		if includesWorker(r.parts, id) {
			m.p.End(job)
			delete(m.runs, job)
			delete(m.evicted, job)
			m.p.Add(m.jobs[job])
		}
	}
}

// After every change, a plan exceeds no worker and no quota, starts no gang twice or
// on an unusable worker, and leaves sums on each worker that match its gangs.
func TestPlannerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step()
			m.planAndCheck()
			m.checkSums()
		}
	})
}

// checkSums compares the sums of each worker to the planner's gangs.
func (m *model) checkSums() {
	for id, n := range m.p.nodes {
		owned, borrowed := fleet.Res{}, fleet.Res{}
		for _, g := range m.p.gangs {
			if g.owned {
				owned = owned.Add(g.heldOn(id))
			} else {
				borrowed = borrowed.Add(g.heldOn(id))
			}
		}
		if owned != n.owned || borrowed != n.borrowed {
			m.t.Fatalf("worker %s has sums of %s owned, %s borrowed; its gangs hold %s and %s", id, n.owned, n.borrowed, owned, borrowed)
		}
		if !n.gone && n.guaranteeRoom().Negative() {
			m.t.Fatalf("worker %s carries allotments of %s, more than its size", id, n.guaranteed)
		}
		if !n.gone && !n.owned.Fits(n.guaranteed) {
			m.t.Fatalf("worker %s: owned gangs hold %s, more than its allotments of %s", id, n.owned, n.guaranteed)
		}
	}
}

// After any sequence of changes, once all workers are healthy again, each
// workspace gets all of its guarantees at once, by evicting borrowing gangs only.
func TestGuaranteesAreAlwaysReclaimable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step()
			m.planAndCheck()
		}
		m.healAll()
		var claims []fleet.JobID
		for _, a := range m.p.allAllotments() {
			if a.holder == "" {
				j := m.jobs[m.add(a.space, a.tasks, a.each)]
				j.Urgent = true
				m.p.Remove(j.ID)
				m.p.Add(j)
				claims = append(claims, j.ID)
			}
		}
		m.planAndCheck()
		m.endEvicted()
		m.now = m.now.Add(time.Second)
		m.planAndCheck()
		for _, id := range claims {
			if _, ok := m.runs[id]; !ok {
				t.Fatalf("%s did not get its guarantee: %s", id, m.p.Why(id))
			}
		}
	})
}

// healAll makes every worker healthy and returns the domain to service. It removes
// the waiting jobs, so that only claims are decided on.
func (m *model) healAll() {
	m.endEvicted()
	for id, n := range m.nodes {
		n.Leaving = false
		m.nodes[id] = n
		delete(m.gone, id)
		m.p.SetNode(n)
		m.p.nodes[id].health = health{}
	}
	if m.outOfService {
		m.outOfService = false
		m.p.Open()
		m.p.EndDrain(m.now)
	}
	m.now = m.now.Add(time.Hour)
	for id := range m.jobs {
		if _, runs := m.runs[id]; !runs {
			m.p.Remove(id)
		}
	}
	m.p.repack()
}
