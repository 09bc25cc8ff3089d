package main

import (
	"strings"
	"time"

	"dragonflydeck.example/standin/engine"
)

const (
	rebornTime = 500 * time.Millisecond // from a runner's crash to its new process
	kindTask   = 8 * time.Second
)

// kind lets the two runners with the label that a job needs crash. They start again under their ids
// as another kind.
func kind(rec *record, deckd []string, trouble bool) int {
	s, err := newSite(rec, deckd, 3, 48, "a", "b", "b")
	if err != nil {
		rec.logf("%v", err)
		return unclear
	}
	defer s.close()
	special := s.runners[1:3]
	if err := s.awaitReady(20 * time.Second); err != nil {
		rec.logf("%v", err)
		return unclear
	}
	spec := engine.Need{Cores: 1000, Mem: 512, Accels: 8, Span: kindTask}.Spec()
	wanted := id("a", 0)
	if !s.submit(wanted, job(spec, map[string]any{
		"count": 2, "cpu": 1000, "memMb": 512, "gpu": 8, "estimateMs": kindTask.Milliseconds(), "requiredLabel": "b",
	})) {
		return unclear
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, r := range special {
			rec.logf("runner %s (kind b) crashes; it starts again under its id %s later, as kind a, and writes its entry %s after that", r.id, rebornTime, heartbeat)
			go r.reborn(rebornTime, "a")
		}
	}
	time.Sleep(kindTask)
	wrong, right := 0, 0
	for _, r := range s.runners {
		r.mu.Lock()
		for _, row := range r.starts {
			task, of, _ := strings.Cut(row, " ")
			if of == "b" {
				right++
				continue
			}
			wrong++
			rec.logf("ROUTE: runner %s of kind a started task %s, whose step has requiredLabel b", r.id, task)
		}
		r.mu.Unlock()
	}
	rec.logf("starts of job %s: %d on runners with the label, %d on runners without it", wanted, right, wrong)
	switch {
	case wrong > 0:
		return broken
	case right == 0:
		return unclear
	}
	return held
}
