package assign_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/assign"
	"dragonflydeck.example/fleet/pool"
	qt "github.com/frankban/quicktest"
)

// choicesBeforeSlack is the digest of randomChoices at commit 9df824a, before placement
// by slack. A change that is meant to alter choices on equal workers records it anew.
const choicesBeforeSlack = 0x9f1e7fa0be2f266b

// On a site with similar workers, the speeds and the slack must change no choice.
func TestChoiceIsAsBeforeWhereWorkersDoNotDiffer(t *testing.T) {
	qt.Assert(t, randomChoices(func(*assign.Site, *rand.Rand) {}), qt.Equals, uint64(choicesBeforeSlack))
	withProfiles := randomChoices(func(s *assign.Site, r *rand.Rand) {
		known := speeds{differ: map[string]bool{"other": true}, of: map[fleet.HostID]assign.Profile{}}
		for _, w := range s.Pool.Sorted() {
			known.of[w.Endpoint.Host] = speedOf(0.5+r.Float64(), 0.1)
		}
		s.Profiles = known
	})
	qt.Assert(t, withProfiles, qt.Equals, uint64(choicesBeforeSlack))
}

// randomChoices returns a digest of the choices for random units on random sites.
func randomChoices(prepare func(*assign.Site, *rand.Rand)) uint64 {
	serial = 0 // the order of runs depends on their names
	digest := fnv.New64a()
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		s, all := randomSite(r)
		prepare(s, rand.New(rand.NewPCG(seed, 2)))
		for range 20 {
			u := randomUnit(r, all)
			for _, p := range s.Place(u) {
				fmt.Fprintln(digest, p.Index, p.Worker.Endpoint.Host)
				p.Worker.Add(&pool.Run{Task: u.Step.Task(u.Job.ID, p.Index), Phase: pool.Running, Each: u.Step.Each()})
			}
			plan, ok := s.PlanPreemption(randomUnit(r, all), victimsByAccels)
			fmt.Fprintln(digest, ok, plan.Cost, len(plan.Runs))
			for _, w := range plan.Workers {
				fmt.Fprintln(digest, w.Endpoint.Host)
			}
		}
	}
	return digest.Sum64()
}

// randomSite returns a site with runs, slow workers, suspects and reservations.
func randomSite(r *rand.Rand) (*assign.Site, []*pool.Worker) {
	s, all := site(1+r.IntN(6), 1+r.IntN(8))
	for _, w := range all {
		for left := r.IntN(9); left > 0; {
			n := 1 + r.IntN(left)
			busy(w, fleet.Accels(n))
			left -= n
		}
		if r.IntN(4) == 0 {
			w.Observe(r.Float64(), 0.01, now)
		}
		if r.IntN(8) == 0 {
			w.RecordFail(false, now)
		}
		if r.IntN(2) == 0 {
			w.NoteSuccess(now)
		}
		if r.IntN(20) == 0 {
			w.Reserve("other", now.Add(time.Second), false)
		}
	}
	return s, all
}

// randomUnit returns a unit of any kind, with a random slack.
func randomUnit(r *rand.Rand, all []*pool.Worker) assign.Unit {
	spec := step(1+r.Int32N(10), 1+r.Int64N(8))
	spec.Gang, spec.Tight = r.IntN(2) == 0, r.IntN(2) == 0
	if r.IntN(4) == 0 {
		spec.Rack = all[r.IntN(len(all))].Rack
	}
	if r.IntN(6) == 0 {
		spec.Spread = 1 + r.Int32N(2)
	}
	if r.IntN(6) == 0 {
		spec.Label = "r1"
	}
	u := withSlack(unit(spec), r.NormFloat64(), r.IntN(2) == 0)
	u.AnyRack, u.LastAttempt = r.IntN(5) == 0, r.IntN(8) == 0
	u.Isolation = assign.Isolation(max(0, r.IntN(8)-5))
	if r.IntN(4) == 0 {
		failed := all[r.IntN(len(all))].Endpoint.Host
		u.Avoid = map[fleet.HostID]time.Time{failed: now.Add(time.Duration(r.IntN(3)-1) * time.Second)}
	}
	return u
}

// victimsByAccels offers all runs of a worker at a cost that differs among them.
func victimsByAccels(w *pool.Worker) []assign.Victim {
	var out []assign.Victim
	for _, r := range w.Sorted() {
		out = append(out, assign.Victim{Run: r, Cost: float64(r.Each.Accels*r.Each.Accels) + float64(len(w.Rack)+len(w.Runs)%3)})
	}
	assign.SortVictims(out)
	return out
}
