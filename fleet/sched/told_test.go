package sched_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

// storedTrack returns the stored progress of a job, or nil.
func (w *world) storedTrack(id string) *wire.Track {
	for _, r := range w.store.newest() {
		if track := (&wire.Track{}); r.Key == "track/"+id {
			qt.Assert(w.t, proto.Unmarshal(r.Value, track), qt.IsNil)
			return track
		}
	}
	return nil
}

// endIsStored reports whether the store holds the end of a job.
func (w *world) endIsStored(id string) bool { return w.storedTrack(id).GetEnded() > 0 }

// storeTroubles are ways in which a store may fail.
var storeTroubles = map[string]func(w *world, on bool){
	"none":          func(*world, bool) {},
	"silent":        func(w *world, on bool) { w.store.down = on },
	"rejects":       func(w *world, on bool) { w.store.rejects = on },
	"loses answers": func(w *world, on bool) { w.store.lost = on },
	"slow": func(w *world, on bool) {
		if w.appendDelay = 0; on {
			w.appendDelay = 300 * time.Millisecond
		}
	},
}

// eachTrouble runs a test for every trouble of the store and number of daemons that answer the
// lead; -1 stands for a site of one daemon. The job ends half a second after the trouble begins.
func eachTrouble(t *testing.T, test func(w *world, f *wire.Flow, trouble func(on bool))) {
	for name, set := range storeTroubles {
		for answers := -1; answers < 4; answers++ {
			t.Run(fmt.Sprintf("%s-%d", name, answers), func(t *testing.T) {
				w := newWorld(t, 1, 1)
				if answers >= 0 {
					w.post(fourMembers())
					w.peerAnswers = 3
				}
				w.becomeLead()
				id := strings.ReplaceAll(t.Name(), "/", "-")
				runTimes[fleet.JobID(id)] = time.Second
				f := newFlow(id, "urgent", taskStep(1, 2, time.Second))
				w.submitAccepted(f)
				w.run(500 * time.Millisecond)
				if answers >= 0 {
					w.peerAnswers = answers
				}
				test(w, f, func(on bool) { set(w, on) })
			})
		}
	}
}

// Guards against tasks that run again after a caller was told that they are done: all daemons
// were lost together with the worker after an outage of the store in which the end was told, as
// the other daemons kept it (TWICE on acampa-prod, issue 46).
func TestEndThatWasToldIsNotRunAgain(t *testing.T) {
	eachTrouble(t, func(w *world, f *wire.Flow, trouble func(bool)) {
		trouble(true)
		until := w.now.Add(4 * time.Second)
		for w.now.Before(until) && w.stage(f) != wire.Stage_COMPLETED {
			w.step()
		}
		told := w.stage(f) == wire.Stage_COMPLETED
		qt.Assert(w.t, told && !w.endIsStored(f.Id), qt.IsFalse, qt.Commentf("told at %s, and not stored", w.now.Sub(startTime)))
		for _, one := range w.workers {
			one.crash(w.now)
		}
		trouble(false)
		w.restartDaemon()
		w.becomeLead()
		w.awaitCompleted(f, 12*time.Second)
		if told {
			qt.Check(w.t, w.startCount(fleet.JobID(f.Id)), qt.Equals, 1)
		}
	})
}

// Load pattern: urgent jobs end while the store is in trouble, and their callers ask on. Each
// learns of the end within half a second after the store is back, and at once where only its
// answers are lost or late. The worker keeps the end until it is stored.
func TestEndIsToldSoonAfterTheStoreIsBack(t *testing.T) {
	eachTrouble(t, func(w *world, f *wire.Flow, trouble func(bool)) {
		trouble(true)
		w.run(800 * time.Millisecond)
		for _, one := range w.workers {
			if !w.endIsStored(f.Id) {
				qt.Check(w.t, one.ends, qt.HasLen, int(one.ended), qt.Commentf("ends that the worker keeps"))
			}
		}
		w.run(2 * time.Second)
		if !w.store.down && !w.store.rejects {
			qt.Check(w.t, w.stage(f), qt.Equals, wire.Stage_COMPLETED)
		}
		trouble(false)
		w.awaitCompleted(f, 500*time.Millisecond)
		w.run(2 * time.Second)
		for _, one := range w.workers {
			qt.Check(w.t, one.ends, qt.HasLen, 0, qt.Commentf("ends that the worker keeps"))
		}
		qt.Check(w.t, w.startCount(fleet.JobID(f.Id)), qt.Equals, 1)
	})
}

// linesAbout returns the codes and texts of the logged events about a job, of the given codes.
func (w *world) linesAbout(id string, codes ...event.Code) []string {
	var out []string
	for _, e := range w.logged {
		if e.About == id && slices.Contains(codes, e.Code) {
			out = append(out, fmt.Sprintf("%d %s", e.Code, e.Text))
		}
	}
	return out
}

// Guards against logs that cannot tell an end that was told before it was stored from one that was
// stored and that the next lead did not read (TWICE on acampa-prod, issue 49).
func TestLogShowsWhenAnEndIsStoredAndTold(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	runTimes["ends"], runTimes["goes-on"] = time.Second, time.Minute
	ends, goesOn := newFlow("ends", "urgent", taskStep(1, 2, time.Second)), newFlow("goes-on", "urgent", taskStep(2, 2, time.Minute))
	w.submitAccepted(ends)
	w.submitAccepted(goesOn)
	w.runUntil(2*time.Second, "end at the worker", func() bool { return w.endedRuns() == 1 })
	w.store.down = true
	w.run(2 * time.Second)
	w.stage(ends)
	w.store.down = false
	w.awaitCompleted(ends, time.Second)
	w.step()
	got := w.linesAbout("ends", event.RunEnded, event.EndsStored, event.EndTold)
	qt.Assert(t, got, qt.HasLen, 3, qt.Commentf("%q", got))
	qt.Check(t, got[0], qt.Matches, `314 task=0\.0\.0 run=\d+ worker=\S+ end=done no=1`)
	qt.Check(t, got[1], qt.Matches, `323 ends=1 end=\d+ after=2\.\S+s ended=true`)
	qt.Check(t, got[2], qt.Matches, `324 term=\d+ stage=COMPLETED stored=\S+ ago`)

	w.restartDaemon()
	w.becomeLead()
	w.awaitCompleted(ends, time.Second)
	w.step()
	qt.Check(t, w.linesAbout("ends", event.JobRestored), qt.HasLen, 0)
	told := w.linesAbout("ends", event.EndTold)
	qt.Check(t, told[len(told)-1], qt.Matches, `324 term=\d+ stage=COMPLETED stored=by a former lead`)
	restored := w.linesAbout("goes-on", event.JobRestored)
	qt.Assert(t, restored, qt.HasLen, 1)
	qt.Check(t, restored[0], qt.Matches, `325 term=\d+ unfinished=2 record=\d\S+`)
}
