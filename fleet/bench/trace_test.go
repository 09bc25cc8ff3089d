// Package bench runs seeded traces through the scheduling and routing code on a
// virtual clock and compares it with a naive baseline. It holds tests only.
package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/place"
)

// size is the size of a fleet and its load.
type size struct {
	name     string
	domains  int
	workers  int       // in all domains
	big      fleet.Res // a worker with accelerators
	small    fleet.Res // a worker without
	bigCount int       // number of workers with accelerators
	rack     int       // workers in a rack
	spaces   int
	span     time.Duration // time during which jobs arrive
	median   time.Duration // declared run time of a job
	load     float64       // work that arrives, as a share of the capacity
	gpu      fleet.Res     // resources of a task with an accelerator
	shapes   []shape       // guaranteed to each workspace
}

// shape is a guarantee for tasks with an accelerator.
type shape struct{ count, tasks int }

func (s size) guarantee() []place.Shape {
	var out []place.Shape
	for _, h := range s.shapes {
		out = append(out, place.Shape{Count: h.count, Tasks: h.tasks, Each: s.gpu})
	}
	return out
}

var (
	altamaha = size{
		name: "altamaha", domains: 3, workers: 50, bigCount: 50, rack: 8, spaces: 4,
		gpu: fleet.Res{Cores: 6000, Mem: 12000, Accels: 1},
		big: fleet.Res{Cores: 64000, Mem: 131072, Accels: 8}, span: 24 * time.Hour, median: 15 * time.Minute, load: 0.9,
		shapes: []shape{{1, 16}, {2, 8}},
	}
	acampa = size{
		name: "acampa", domains: 3, workers: 50, bigCount: 50, rack: 8, spaces: 4,
		gpu: fleet.Res{Cores: 3000, Mem: 6000, Accels: 1},
		big: fleet.Res{Cores: 32000, Mem: 65536, Accels: 8}, span: 24 * time.Hour, median: 8 * time.Minute, load: 0.9,
		shapes: []shape{{1, 16}, {2, 8}},
	}
	twoyear = size{
		name: "twoyear", domains: 11, workers: 700, bigCount: 188, rack: 8, spaces: 88,
		gpu:   fleet.Res{Cores: 6000, Mem: 12000, Accels: 1},
		big:   fleet.Res{Cores: 64000, Mem: 131072, Accels: 8},
		small: fleet.Res{Cores: 64000, Mem: 131072}, span: 24 * time.Hour, median: 2 * time.Hour, load: 0.9,
		shapes: []shape{{1, 4}},
	}
)

var cpuTask = fleet.Res{Cores: 2000, Mem: 4000}

// traceJob is a job of a trace, with its actual run time and the way it ends.
type traceJob struct {
	id          fleet.JobID
	space       fleet.SpaceID
	tasks       int
	each        fleet.Res
	arrive      time.Duration
	runTime     time.Duration
	declared    time.Duration
	cancel      time.Duration // time from its arrival until it is cancelled, 0 for never
	failsAlways bool          // on every worker
}

func (j *traceJob) need() fleet.Res { return j.each.Times(j.tasks) }

// outage is a time during which a failure domain is out of service.
type outage struct {
	domain    fleet.DomainID
	out, back time.Duration
}

// faultyWorker is a worker that fails every task during some time.
type faultyWorker struct {
	worker   fleet.HostID
	from, to time.Duration
}

type trace struct {
	size    size
	domains []place.DomainNodes
	jobs    []*traceJob
	outages []outage
	faulty  []faultyWorker
}

func spaceName(i int) fleet.SpaceID { return fleet.SpaceID(fmt.Sprintf("s%02d", i)) }

// newTrace generates the trace of a size and seed.
func newTrace(s size, seed uint64) *trace {
	rng := rand.New(rand.NewPCG(seed, 7))
	t := &trace{size: s, domains: makeDomains(s)}
	t.makeJobs(rng)
	at := s.span / 3
	t.outages = []outage{{t.domains[1].Domain, at, at + s.median*2}}
	for i := range 2 {
		a := t.domains[(i+2)%len(t.domains)]
		from := time.Duration(i+1) * s.span / 4
		t.faulty = append(t.faulty, faultyWorker{a.Nodes[i].ID, from, from + s.median})
	}
	return t
}

func makeDomains(s size) []place.DomainNodes {
	domains := make([]place.DomainNodes, s.domains)
	for i := range domains {
		domains[i].Domain = fleet.DomainID(fmt.Sprintf("d%02d", i))
	}
	for w := range s.workers {
		d := w % s.domains
		n := len(domains[d].Nodes)
		total := s.big
		if w >= s.bigCount {
			total = s.small
		}
		domains[d].Nodes = append(domains[d].Nodes, place.Node{
			ID: fleet.HostID(fmt.Sprintf("w%02d-%03d", d, n)), Rack: fleet.Rack(n / s.rack), Total: total,
		})
	}
	return domains
}

func (t *trace) total() fleet.Res {
	var r fleet.Res
	for _, a := range t.domains {
		for _, n := range a.Nodes {
			r = r.Add(n.Total)
		}
	}
	return r
}

// makeJobs draws jobs, some in bursts, until their total work reaches the load.
func (t *trace) makeJobs(rng *rand.Rand) {
	total := t.total()
	want := t.size.load * t.size.span.Hours()
	var work fleet.Res // thousandths of an hour of each resource
	for n := 0; work.DominantShare(total) < 1000*want; n++ {
		burst := 1
		if rng.IntN(20) == 0 {
			burst = 5 + rng.IntN(15)
		}
		at := time.Duration(rng.Float64() * float64(t.size.span))
		proto := t.draw(rng)
		for b := range burst {
			j := *proto
			j.id = fleet.JobID(fmt.Sprintf("j%05d-%02d", n, b))
			j.arrive = at + time.Duration(b)*time.Second
			j.runTime = t.runtime(rng, proto.declared)
			work = work.Add(j.need().Times(int(j.runTime.Hours() * 1000)))
			t.jobs = append(t.jobs, &j)
		}
	}
	sort.SliceStable(t.jobs, func(a, b int) bool { return t.jobs[a].arrive < t.jobs[b].arrive })
}

var gangSizes = []int{1, 1, 1, 1, 2, 2, 2, 4, 4, 8, 8, 16, 32, 64}

func (t *trace) draw(rng *rand.Rand) *traceJob {
	j := &traceJob{space: spaceName(int(math.Pow(rng.Float64(), 2) * float64(t.size.spaces)))}
	j.tasks = gangSizes[rng.IntN(len(gangSizes))]
	j.each = t.size.gpu
	if rng.IntN(10) < 3 || t.size.small != (fleet.Res{}) && rng.IntN(10) < 7 {
		j.each = cpuTask
	}
	j.declared = time.Duration(math.Exp(rng.NormFloat64()*1.2) * float64(t.size.median))
	if rng.IntN(30) == 0 {
		j.cancel = time.Duration(rng.Float64() * float64(j.declared))
	}
	j.failsAlways = rng.IntN(150) == 0
	return j
}

// runtime draws the actual run time, mostly shorter than declared and sometimes much longer.
func (t *trace) runtime(rng *rand.Rand, declared time.Duration) time.Duration {
	off := math.Exp(rng.NormFloat64()*0.7 - 0.5)
	return max(time.Duration(off*float64(declared)), 20*time.Second)
}
