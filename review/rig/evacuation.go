package main

import (
	"time"

	"dragonflydeck.example/standin/engine"
)

const (
	evacuatedFor = 6 * time.Second // the pages' days have 8 s and more
	historyGap   = time.Second     // for which reads hear nothing before the history goes
	settleTime   = 5 * time.Second // the platform may take so long to be in force everywhere
)

// evacuation empties a zone and takes it back while the store forgets its history, and then
// hands in a job that only runners of that zone may run.
func evacuation(rec *record, deckd []string, trouble bool) int {
	s, err := newSite(rec, deckd, 3, 48)
	if err != nil {
		rec.logf("%v", err)
		return unclear
	}
	defer s.close()
	if err := s.awaitReady(20 * time.Second); err != nil {
		rec.logf("%v", err)
		return unclear
	}
	spec := engine.Need{Cores: 1000, Mem: 512, Accels: 1, Span: time.Second}.Spec()
	inZone := job(spec, map[string]any{"count": 2, "cpu": 1000, "memMb": 512, "gpu": 1, "estimateMs": 1000, "requiredLabel": s.rackOf("zone-a")})
	before := id("a", 0)
	if !s.submit(before, inZone) || !s.awaitState(before, "completed", 10*time.Second) {
		rec.logf("a job for the zone is not served before")
		return unclear
	}
	rec.logf("operator: op/evacuate/zone-a is written")
	if err := s.store.Put(topicOperator, "evacuate/zone-a", map[string]any{}); err != nil {
		return unclear
	}
	time.Sleep(evacuatedFor)
	takeBack := func() {
		_ = s.store.Put(topicOperator, "evacuate/zone-a", nil)
		rec.logf("operator: op/evacuate/zone-a is removed, the zone is taken back")
	}
	if trouble {
		rec.logf("store: reads that wait for the operator's records hear nothing for %s, then the history is dropped", historyGap)
		s.store.forget(historyGap, takeBack)
	} else {
		takeBack()
	}
	time.Sleep(settleTime)
	after := id("b", 0)
	if !s.submit(after, inZone) {
		rec.logf("the job is not accepted")
		return unclear
	}
	lost := !s.awaitState(after, "completed", 20*time.Second)
	rec.logf("20 s after it was accepted, job %s is %s, with %d starts; nothing else runs, the runners of its rack in zone-a are ready and idle", after, s.state(after), s.auditor.Starts(after))
	if lost && s.auditor.Starts(after) == 0 {
		rec.logf("LOST: the job has nothing running, its turn has come, there is capacity for it")
		return broken
	}
	if lost {
		return unclear
	}
	return held
}

// rackOf returns a rack of a zone, which is a label of the runners in it.
func (s *site) rackOf(zone string) string {
	for _, r := range s.runners {
		if e := r.Entry(service, r.addr); e["zone"] == zone {
			return e["labels"].([]string)[1]
		}
	}
	return ""
}
