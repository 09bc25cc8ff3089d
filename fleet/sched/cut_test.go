package sched_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// Load pattern: gangs that run longer than a lease fill half of a site, and one of its four
// failure domains is cut off until its leases have expired. Only gangs of that domain may lose
// their work.
func TestCutOfADomainBreaksNoGangOfOthers(t *testing.T) {
	w := newWorld(t, 4, 4)
	for _, one := range w.workers {
		one.domain = fleet.DomainID("domain-" + one.rack)
	}
	w.postWorkers()
	w.endGangsTogether()
	w.becomeLead()
	gangs := map[fleet.JobID]*wire.Flow{}
	for i := range 8 {
		f := newFlow(fmt.Sprint("long", i), "long", gangStep(3, 3, 20*time.Second))
		runTimes[fleet.JobID(f.Id)] = 20 * time.Second
		gangs[fleet.JobID(f.Id)] = f
		w.submitAccepted(f)
	}
	w.run(time.Second)
	inCut := map[fleet.JobID]bool{}
	for _, one := range w.workers {
		if one.domain != "domain-r0" {
			continue
		}
		for k := range one.runs {
			inCut[k.Task.Job] = true
		}
		one.cutOff = true
	}
	qt.Assert(t, len(inCut) <= 4, qt.IsTrue, qt.Commentf("%d of 8 gangs have members in the domain", len(inCut)))
	w.run(9 * time.Second)
	for id := range gangs {
		if !inCut[id] {
			qt.Check(t, w.startCount(id), qt.Equals, 3, qt.Commentf("%s was started again", id))
		}
	}
	broken := 0
	for id := range inCut {
		for _, one := range w.workers {
			if one.domain != "domain-r0" {
				broken += one.started[id]
			}
		}
	}
	qt.Check(t, broken, qt.Equals, 3*len(inCut), qt.Commentf("starts outside, as the gangs of the domain start again"))
}
