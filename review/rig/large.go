package main

import (
	"fmt"
	"strings"
	"time"

	"dragonflydeck.example/standin/engine"
)

// Sizes of the wide step. Its tasks need little, so that all of them use 400 of 1,536 cores.
const (
	wideTasks   = 10000
	narrowTasks = 72 // with TROUBLE=0
	taskCores   = 40 // thousandths
	taskMem     = 16 // MiB
	lostAfter   = 3 * time.Second
	watchFor    = 40 * time.Second
)

// largeJob hands in a job with a wide second step among small jobs.
func largeJob(rec *record, deckd []string, trouble bool) int {
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
	small := func() map[string]any {
		spec := engine.Need{Cores: 1000, Mem: 512, Accels: 1, Span: time.Second}.Spec()
		return job(spec, map[string]any{"count": 2, "cpu": 1000, "memMb": 512, "gpu": 1, "estimateMs": 1000})
	}
	before := id("a", 0)
	if !s.submit(before, small()) || !s.awaitState(before, "completed", 10*time.Second) {
		rec.logf("a small job before is not served")
		return unclear
	}
	width := narrowTasks
	if trouble {
		width = wideTasks
	}
	large := id("b", 0)
	spec := engine.Need{Cores: taskCores, Mem: taskMem, Span: 2 * time.Second}.Spec()
	if !s.submit(large, job(spec,
		map[string]any{"count": 1, "cpu": taskCores, "memMb": taskMem, "estimateMs": 2000},
		map[string]any{"count": width, "cpu": taskCores, "memMb": taskMem, "estimateMs": 2000},
	)) {
		rec.logf("the job with %d tasks is not accepted", width)
		return held
	}
	beside := id("c", 0)
	acceptedBeside := s.submit(beside, small())
	until := time.Now().Add(watchFor)
	var idleSince time.Time
	lost := false
	for n := 1; time.Now().Before(until); n++ {
		switch {
		case s.auditor.Running(large) > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		}
		if n%8 == 0 {
			i := id("d", n)
			status, answer := s.call(s.daemons[n/8%len(s.daemons)], "POST", i, small())
			rec.logf("POST %s (small job): %d %s", i, status, answer)
			rec.logf("GET %s: %s; it runs %d tasks, has started %d", large, s.state(large), s.auditor.Running(large), s.auditor.Starts(large))
		}
		if s.state(large) == "completed" {
			rec.logf("the job with %d tasks is completed, %d starts", width, s.auditor.Starts(large))
			break
		}
		if !idleSince.IsZero() && time.Since(idleSince) > lostAfter && !lost {
			lost = true
			rec.logf("LOST: job %s has nothing running for %s, its second step's turn has come, %d cores are free", large, lostAfter, 48*32)
		}
		time.Sleep(250 * time.Millisecond)
	}
	final := s.state(large)
	rec.logf("at the end GET %s: %s, %d starts; GET %s: %s", large, final, s.auditor.Starts(large), beside, s.state(beside))
	rec.logf("violations seen by the runners: %s", strings.Join(s.auditor.Violations(), "; "))
	if lost && final != "completed" || acceptedBeside && s.state(beside) != "completed" {
		return broken
	}
	return held
}

// id returns a job's id of 16 hexadecimal digits.
func id(kind string, n int) string { return fmt.Sprintf("%s%015x", kind, n) }

// awaitState waits until a job is shown in a state.
func (s *site) awaitState(id, want string, limit time.Duration) bool {
	last := ""
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		state := s.state(id)
		if state != last {
			s.rec.logf("GET %s: %s", id, state)
			last = state
		}
		if state == want {
			return true
		}
	}
	return false
}
