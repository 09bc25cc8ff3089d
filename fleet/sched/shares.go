package sched

import (
	"cmp"
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/pool"
	"dragonflydeck.example/fleet/quota"
)

// shares returns the division of a service's capacity among the workspaces that have work
// on it. Nil means that workspaces are not limited on this site.
func (sc *Scheduler) shares(p *planState, service string) *quota.Shares {
	if !sc.limited() {
		return nil
	}
	s, ok := p.shares[service]
	if ok {
		return s
	}
	s = quota.NewShares(p.Capacity(service))
	for _, space := range sc.pool.Ledger.Active(service) {
		s.Join(space, sc.limitOf(space))
	}
	for _, j := range sc.jobs {
		if !j.HasEnded() && j.Spec.Service == service {
			s.Join(fleet.SpaceID(j.Spec.Space), sc.limitOf(fleet.SpaceID(j.Spec.Space)))
		}
	}
	p.shares[service] = s
	return s
}

// allShares returns the division among all workspaces with work, for operators.
func (sc *Scheduler) allShares() *quota.Shares {
	s := quota.NewShares(fleet.Res{})
	for _, space := range sc.pool.Ledger.Spaces() {
		s.Join(space, sc.limitOf(space))
	}
	for _, j := range sc.jobs {
		if !j.HasEnded() {
			s.Join(fleet.SpaceID(j.Spec.Space), sc.limitOf(fleet.SpaceID(j.Spec.Space)))
		}
	}
	return s
}

// orderByShare puts the work of workspaces that have their share behind the other work of the
// same priority. A unit may exceed the share in which it begins, so that a wide gang of a
// small workspace is not passed over forever.
func (sc *Scheduler) orderByShare(p *planState, units []unit) {
	if !sc.limited() {
		return
	}
	type account struct {
		space   fleet.SpaceID
		service string
	}
	used := map[account]fleet.Res{}
	for i := range units {
		u := &units[i]
		a := account{fleet.SpaceID(u.job.Spec.Space), u.Service}
		sum, ok := used[a]
		if !ok {
			sum = sc.pool.Ledger.UsedOf(a.space, a.service)
		}
		u.beyond = sc.shares(p, u.Service).Beyond(a.space, sum)
		if !u.beyond {
			sum = sum.Add(declared(u.Step).Times(len(u.Indexes)))
		}
		used[a] = sum
	}
	slices.SortStableFunc(units, func(a, b unit) int {
		switch {
		case a.priority != b.priority:
			return cmp.Compare(a.priority, b.priority)
		case a.beyond == b.beyond:
			return 0
		case a.beyond:
			return 1
		}
		return -1
	})
}

// expectedWait returns how long a job would wait for the work that is scheduled before it. Load
// pattern: one workspace sends many times its usual work. The other workspaces must not be refused
// for its backlog.
func (sc *Scheduler) expectedWait(p *planState, j *job, total fleet.Accels) time.Duration {
	all := sc.workAhead(j)
	wait := all / float64(total)
	shares := sc.shares(p, j.Spec.Service)
	if shares == nil {
		return seconds(wait)
	}
	space := fleet.SpaceID(j.Spec.Space)
	limit := sc.limitOf(space)
	shares.Join(space, limit)
	own := sc.ownWorkAhead(j)
	wait = min(wait, own.slots/(shares.Fraction(space)*float64(total)))
	return seconds(max(wait, own.timeUnder(limit.Cap)))
}

// work is resources multiplied by the seconds for which they are needed. Slots are accelerators
// where each task counts as at least one.
type work struct{ cores, mem, accels, slots float64 }

// add adds tasks of a size that run for a time.
func (w *work) add(each fleet.Res, tasks, span float64) {
	w.cores += float64(each.Cores) * tasks * span
	w.mem += float64(each.Mem) * tasks * span
	w.accels += float64(each.Accels) * tasks * span
	w.slots += float64(slots(each)) * tasks * span
}

// timeUnder returns how many seconds the work takes at least under a cap.
func (w work) timeUnder(limit fleet.Res) float64 {
	t := 0.0
	for _, r := range []struct {
		need  float64
		limit int64
	}{{w.cores, int64(limit.Cores)}, {w.mem, int64(limit.Mem)}, {w.accels, int64(limit.Accels)}} {
		if r.limit > 0 {
			t = max(t, r.need/float64(r.limit))
		}
	}
	return t
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// workAhead returns the accelerator-seconds of work that is scheduled before a job.
func (sc *Scheduler) workAhead(j *job) float64 {
	sum := 0.0
	for _, o := range sc.jobs {
		if !isAhead(o, j) {
			continue
		}
		o.EachOpen(sc.now, func(s *flow.Step) {
			sum += float64(s.Unfinished()) * s.Estimate().Seconds() * float64(slots(s.Each()))
		})
	}
	return sum
}

// ownWorkAhead returns the work of a job's own workspace that is scheduled before it. Of runs
// the time that they have run is taken off.
func (sc *Scheduler) ownWorkAhead(j *job) work {
	var sum work
	for _, o := range sc.jobs {
		if !isAhead(o, j) || o.Spec.Space != j.Spec.Space {
			continue
		}
		o.EachOpen(sc.now, func(s *flow.Step) {
			span := s.Estimate().Seconds()
			sum.add(declared(s), float64(s.Unfinished()), span)
			for i := range s.Tasks {
				if _, r := sc.newestRun(o, s, i); r != nil && r.Phase == pool.Running {
					sum.add(declared(s), -1, min(sc.now.Sub(r.Since).Seconds(), span))
				}
			}
		})
	}
	return sum
}

// isAhead reports whether the work of a job is scheduled before a job that arrives.
func isAhead(o, arriving *job) bool {
	return !o.HasEnded() && o.Spec.Priority <= arriving.Spec.Priority && o.Spec.Service == arriving.Spec.Service
}

// slots counts a task without accelerators as one accelerator.
func slots(r fleet.Res) fleet.Accels { return max(r.Accels, 1) }
