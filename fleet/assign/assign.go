// Package assign decides which workers run the tasks of a job's step. It only reads
// the state of the workers and returns its choice; it changes nothing.
package assign

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
)

// Unit is what is placed together: a whole gang, or the waiting tasks of a step.
type Unit struct {
	Job         *flow.Job
	Step        *flow.Step
	Service     string
	Indexes     []int                      // tasks of the step that need a worker
	AnyRack     bool                       // it may run away from its data, or on several racks, where it is slower
	Isolation   Isolation                  // from other jobs
	LastAttempt bool                       // its next failure fails its job, so that only proven workers may run it
	Avoid       map[fleet.HostID]time.Time // workers that failed it: not eligible until the given time, and the last choice after it
	OneDomain   bool                       // it is kept within one failure domain if there is room on workers as fast
	Slack       float64                    // logarithm of the slowdown of a worker with which the unit would just end when its job is due
	Claims      bool                       // all of its tasks claim the guarantee of their workspace now
	Entitled    func() bool                // reports whether it is within the guarantee of its workspace; nil if it is not
	Urgent      bool                       // it takes the fastest workers; other work leaves them free if it is in time on slower ones
}

// Isolation is how far a unit is kept apart from other jobs. Load pattern: a task that
// crashes each worker that starts it takes with it what runs there, and makes suspects of
// all tasks that start there at the same time. Workers that crashed lately are left out, as
// another crash there would prove nothing.
type Isolation int

// The degrees of isolation.
const (
	Shared Isolation = iota // other jobs may use its workers
	Quiet                   // no other job starts a task on its workers while its tasks start
	Alone                   // its workers have no runs of other jobs
)

// Site is the state that placement reads, at one time.
type Site struct {
	Now          time.Time
	Pool         *pool.Pool
	OutOfService map[fleet.DomainID]bool // failure domains that are out of service
	Unreachable  map[fleet.DomainID]bool // failure domains that count as unreachable
	Profiles     Profiles                // persistent speeds of the workers; nil if they are not known

	usable map[string][]*usableWorker // by service; computed at the first use
	spare  map[string][]*usableWorker // those of them with free accelerators; computed at the first use
	roomy  map[size][]*usableWorker   // usable workers with room for a task; computed at the first use
}

// size is what decides whether a worker has room for a task.
type size struct {
	service string
	each    fleet.Res
}

// usableWorker is a worker on which tasks may start now, with what every search for
// room asks about it. On a full site few searches get that far, so it is computed at the
// first use.
type usableWorker struct {
	*pool.Worker
	rated  bool
	rank   rank
	proven bool
	grade  *speedGrade // nil if the workers of its service do not differ
}

// rate computes the worker's rank and record.
func (s *Site) rate(w *usableWorker) {
	if !w.rated {
		w.rated, w.rank, w.proven = true, s.rankOf(w.Worker), w.Proven(s.Now)
		w.grade = s.grade(w.Service, w.Endpoint.Host)
	}
}

// workers returns the usable workers of a service. They are computed once, as many
// units are placed at one time.
func (s *Site) workers(service string) []*usableWorker {
	list, ok := s.usable[service]
	if ok {
		return list
	}
	now, all := s.Now, s.Pool.Sorted()
	values := make([]usableWorker, 0, len(all))
	list = make([]*usableWorker, 0, len(all))
	for _, w := range all {
		if w.Service == service && w.Usable(now) && !contains(s.OutOfService, w.Domain) && !contains(s.Unreachable, w.Domain) {
			values = append(values, usableWorker{Worker: w})
			list = append(list, &values[len(values)-1])
		}
	}
	if s.usable == nil {
		s.usable = map[string][]*usableWorker{}
	}
	s.usable[service] = list
	return list
}

// contains reports whether a domain is in a set, which mostly is empty.
func contains(set map[fleet.DomainID]bool, d fleet.DomainID) bool { return len(set) > 0 && set[d] }

// Placement assigns a task to a worker.
type Placement struct {
	Index  int
	Worker *pool.Worker
}

// Place returns a worker for each task of the unit that can start now: for a gang,
// either all of its tasks or none.
func (s *Site) Place(u Unit) []Placement {
	cands := s.candidates(u)
	if u.Step.Spec.Gang {
		return s.placeGang(u, cands)
	}
	if rack := u.Step.Spec.Rack; rack != "" && !u.AnyRack {
		cands = onRack(cands, rack)
	}
	return s.placeTasks(u, cands)
}

// withRoom returns the usable workers that had room for a task when it was first asked
// for. Placing tasks only takes room, so on a full site later searches look at few
// workers.
func (s *Site) withRoom(service string, each fleet.Res) []*usableWorker {
	k := size{service, each}
	list, ok := s.roomy[k]
	if ok {
		return list
	}
	all := s.workers(service)
	if each.Accels > 0 {
		all = s.withSpare(service)
	}
	for _, w := range all {
		if each.Fits(w.Free()) {
			list = append(list, w)
		}
	}
	if s.roomy == nil {
		s.roomy = map[size][]*usableWorker{}
	}
	s.roomy[k] = list
	return list
}

// withSpare returns the usable workers with free accelerators.
func (s *Site) withSpare(service string) []*usableWorker {
	list, ok := s.spare[service]
	if ok {
		return list
	}
	for _, w := range s.workers(service) {
		if w.Free().Accels > 0 {
			list = append(list, w)
		}
	}
	if s.spare == nil {
		s.spare = map[string][]*usableWorker{}
	}
	s.spare[service] = list
	return list
}

// NoteFreed notes that runs were dropped from workers since the first search.
func (s *Site) NoteFreed() { s.spare = nil }

// candidate is a worker with room for some tasks of a unit.
type candidate struct {
	worker *pool.Worker
	count  int
	rank   rank
	grade  *speedGrade
}

// rank orders the candidates: by the pace of the worker, with the workers that have
// failed the unit last, and among equals by slack where workers differ. The lowest rank
// is chosen first.
type rank int

const lastRank = rank(pool.VerySlow) + 1

// rankOf returns the rank of a worker for a unit that it has not failed.
func (s *Site) rankOf(w *pool.Worker) rank {
	if w.Suspect(s.Now) {
		return rank(pool.VerySlow)
	}
	return rank(s.pace(w))
}

func (w *usableWorker) rankFor(u Unit) rank {
	if len(u.Avoid) > 0 {
		if _, failed := u.Avoid[w.Endpoint.Host]; failed {
			return lastRank
		}
	}
	return w.rank
}

func (s candidate) rack() string { return s.worker.Rack }

func (s candidate) domain() string { return string(s.worker.Domain) }

// candidates returns the eligible workers with room for at least one task of the
// unit.
func (s *Site) candidates(u Unit) []candidate {
	var out []candidate
	each := u.Step.Each()
	for _, w := range s.withRoom(u.Service, each) {
		room := w.Free()
		if !each.Fits(room) || !s.eligible(u, w) {
			continue
		}
		if n := s.taskCount(u, w.Worker, each, room); n > 0 {
			s.rate(w)
			out = append(out, candidate{w.Worker, n, w.rankFor(u), w.grade})
		}
	}
	return rankBySlack(u, out)
}

// eligible reports whether a usable worker may run tasks of the unit.
func (s *Site) eligible(u Unit, w *usableWorker) bool {
	if u.LastAttempt {
		s.rate(w)
	}
	switch {
	case w.IsIsolated(u.Job.ID), u.Isolation != Shared && w.HasOthers(u.Job.ID, u.Isolation == Quiet):
		return false
	case u.Isolation != Shared && w.CrashedLately(s.Now):
		return false
	case u.LastAttempt && !w.proven, !w.HasLabel(u.Step.Spec.Label), !w.AvailableTo(u.Job.ID, s.Now) && !s.overrides(u, w):
		return false
	}
	return len(u.Avoid) == 0 || !s.Now.Before(u.Avoid[w.Endpoint.Host])
}

// overrides reports whether a unit may use a worker that is reserved for another job: the unit is within the
// guarantee of its workspace, and that job is not.
func (s *Site) overrides(u Unit, w *usableWorker) bool {
	return !w.ReservedFirmly() && u.Entitled != nil && u.Entitled()
}

// taskCount returns how many tasks of the unit, each of the given size, fit into the given
// room of a worker.
func (s *Site) taskCount(u Unit, w *pool.Worker, each, room fleet.Res) int {
	if !each.Fits(room) {
		return 0 // the capacity may have shrunk below what runs take
	}
	n := min(room.Count(each), len(u.Indexes))
	if limit := int(u.Step.Spec.Spread); limit > 0 {
		n = min(n, limit-w.Count(u.Step.Task(u.Job.ID, 0)))
	}
	return max(n, 0)
}

// placeGang places all tasks of the unit. A gang that is slow across racks, or whose
// data is in one rack, gets the fullest rack that has room for it, so that emptier
// racks stay free for wider gangs.
func (s *Site) placeGang(u Unit, cands []candidate) []Placement {
	oneRack := u.Step.Spec.Tight || u.Step.Spec.Rack != ""
	if oneRack && !u.AnyRack {
		cands = s.bestRack(u, cands)
	} else if u.OneDomain {
		cands = s.bestDomain(u, cands)
	}
	placements := s.placeTasks(u, cands)
	if len(placements) < len(u.Indexes) {
		return nil
	}
	return placements
}

// bestRack returns the candidates of the best rack with room for the gang: the one
// with the fastest workers for it, and among equals the fullest. Where workers differ, it
// is the one that suits the gang's slack.
func (s *Site) bestRack(u Unit, cands []candidate) []candidate {
	if rack := u.Step.Spec.Rack; rack != "" {
		cands = onRack(cands, rack)
	}
	best, _ := s.bestGroup(u, byRack(cands, candidate.rack))
	return best
}

// bestGroup returns the best of the groups of candidates that have room for the gang, and its
// score. It returns none if no group has room.
func (s *Site) bestGroup(u Unit, groups [][]candidate) ([]candidate, rackScore) {
	var best []candidate
	var bestScore rackScore
	for _, group := range groups {
		if totalCount(group) < len(u.Indexes) {
			continue
		}
		if score := s.scoreRack(u, group); best == nil || score.less(bestScore) {
			best, bestScore = group, score
		}
	}
	return best, bestScore
}

// bestDomain returns the candidates of the best failure domain with room for the gang, or all
// if no domain has room on workers that are as fast. Load pattern: failure domains are cut off one
// by one. A gang that spans several is broken by a cut of any of them, and the work of all its
// members is lost.
func (s *Site) bestDomain(u Unit, cands []candidate) []candidate {
	best, score := s.bestGroup(u, byRack(cands, candidate.domain))
	if best == nil {
		return cands
	}
	all := s.scoreRack(u, cands)
	all.left = math.MaxInt64
	if !score.less(all) {
		return cands
	}
	return best
}

// worstRank returns the rank of the last candidate that the gang would need.
func worstRank(u Unit, group []candidate) rank {
	var counts [lastRank + 1]int
	for _, c := range group {
		counts[c.rank] += c.count
	}
	left := len(u.Indexes)
	for r, n := range counts {
		if left -= n; left <= 0 {
			return rank(r)
		}
	}
	return lastRank
}

// pace returns a worker's pace for the ranking. Slightly slower workers rank equal
// to normal ones: avoiding them would split up workers that are still empty.
func (s *Site) pace(w *pool.Worker) pool.Pace { return max(w.Pace(s.Now), pool.Slower) }

// byRack groups items by the rack or the failure domain of their workers, in the order of its names.
func byRack[T any](items []T, rack func(T) string) [][]T {
	racks := map[string][]T{}
	for _, item := range items {
		racks[rack(item)] = append(racks[rack(item)], item)
	}
	var out [][]T
	for _, name := range slices.Sorted(maps.Keys(racks)) {
		out = append(out, racks[name])
	}
	return out
}

func onRack(cands []candidate, rack string) []candidate {
	var out []candidate
	for _, c := range cands {
		if c.worker.Rack == rack {
			out = append(out, c)
		}
	}
	return out
}

func totalCount(cands []candidate) int {
	n := 0
	for _, c := range cands {
		n += c.count
	}
	return n
}

func freeAccels(cands []candidate) int64 {
	var n int64
	for _, c := range cands {
		n += int64(c.worker.Free().Accels)
	}
	return n
}

// inOrder returns the needed candidates in the order in which they get tasks: the lowest
// rank first, and among equals the fullest that still have room, so that empty workers
// stay free for large tasks. Tasks that may crash their workers go to the emptiest.
func inOrder(u Unit, cands []candidate) []candidate {
	cands = needed(u, cands)
	slices.SortStableFunc(cands, func(a, b candidate) int {
		if c := cmp.Compare(a.rank, b.rank); c != 0 {
			return c
		}
		if u.Isolation != Shared {
			a, b = b, a
		}
		return compareFree(a.worker.Free(), b.worker.Free())
	})
	return cands
}

// placeTasks gives tasks to the candidates in their order.
func (s *Site) placeTasks(u Unit, cands []candidate) []Placement {
	var out []Placement
	for _, c := range inOrder(u, cands) {
		for range c.count {
			if len(out) == len(u.Indexes) {
				return out
			}
			out = append(out, Placement{u.Indexes[len(out)], c.worker})
		}
	}
	return out
}

func compareFree(a, b fleet.Res) int {
	return cmp.Or(cmp.Compare(a.Accels, b.Accels), cmp.Compare(a.Cores, b.Cores))
}
