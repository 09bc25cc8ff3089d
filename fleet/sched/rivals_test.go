package sched_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/sched"
	qt "github.com/frankban/quicktest"
)

const rivalDays = 60

// fiveMembers are the local daemon, its rival and three peers that both may reach.
func fiveMembers() sched.Members {
	return sched.Members{All: []elect.Member{{Host: "e1"}, {Host: "e2"}, {Host: "e3"}, {Host: "e4"}, {Host: "e5"}}}
}

// replaceLead lets another daemon take the lead, and returns the world of the former one, which
// acts on.
func (w *world) replaceLeadByRival() *world {
	f := *w
	f.former = true
	f.events, f.later = slices.Clone(w.events), slices.Clone(w.later)
	f.submitReplies, f.cancelReplies, f.statusReplies = maps.Clone(w.submitReplies), maps.Clone(w.cancelReplies), maps.Clone(w.statusReplies)
	f.listed = maps.Clone(w.listed)
	f.order, f.logged = slices.Clone(w.order), nil
	if w.host == "e1" {
		w.host = "e5"
	} else {
		w.host = "e1"
	}
	w.restartDaemon()
	w.post(fiveMembers())
	return &f
}

// divide cuts the site in two at random, with the former lead in one part and its successor in
// the other. Peers answer one of the two at most; workers may be reached by both or neither.
func (v *witness) divide(r *rand.Rand) {
	w := v.w
	v.former = w.replaceLeadByRival()
	v.former.peerAnswers = r.IntN(4)
	if w.peerAnswers = 3 - v.former.peerAnswers; r.IntN(3) == 0 {
		w.peerAnswers = 0
	}
	v.former.cut, w.cut = &cut{store: true, workers: map[fleet.HostID]bool{}}, &cut{workers: map[fleet.HostID]bool{}}
	byWork := r.IntN(2) == 0 // the new lead reaches idle workers only
	for _, one := range w.sorted() {
		ours, theirs := r.IntN(2) == 0, r.IntN(2) == 0
		if byWork {
			ours, theirs = len(one.runs) == 0, len(one.runs) > 0
		}
		w.cut.workers[one.id], v.former.cut.workers[one.id] = !ours, !theirs
	}
	v.wakes = w.now
	switch r.IntN(4) {
	case 0: // it is frozen, and cut off when it wakes
		v.wakes = w.now.Add(time.Duration(r.IntN(9000)) * time.Millisecond)
	case 1: // it is frozen, and reaches all when it wakes
		v.wakes = w.now.Add(time.Duration(r.IntN(9000)) * time.Millisecond)
		v.former.cut, v.former.peerAnswers = nil, 0
	}
}

// isBusy reports whether tasks run on some workers and none on others.
func (v *witness) isBusy() bool {
	busy := 0
	for _, one := range v.w.workers {
		if len(one.runs) > 0 {
			busy++
		}
	}
	return busy > 0 && busy < len(v.w.workers)
}

// unite ends a division.
func (v *witness) unite() { v.former, v.w.cut, v.w.peerAnswers = nil, nil, 3 }

// Guards against two leads that act on the same tasks, one of them replaced: it is cut off with some
// daemons and workers, or wakes from a freeze.
func TestNoTaskRunsTwiceUnderTwoLeads(t *testing.T) {
	for seed := range uint64(rivalDays) {
		r := rand.New(rand.NewPCG(seed, 2))
		v := playDay(t, r, dayPlan{fmt.Sprint("rivals", seed), outerFaults, 150, 800, []time.Duration{time.Second, time.Minute}}, func(v *witness, calm bool) {
			switch {
			case v.former != nil && (calm || r.IntN(2000) == 0):
				v.unite()
			case v.former == nil && !calm && r.IntN(100) == 0 && v.w.scheduler.Leads() && v.isBusy():
				v.divide(r)
			}
		})
		qt.Check(t, v.faults, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}
