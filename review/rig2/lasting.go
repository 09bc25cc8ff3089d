package main

import (
	"fmt"
	"time"
)

// lasting: a task that lasts, and that only one runner may run by its label, fails again and again after some
// seconds of work. The runner has room for it four times.
func lasting(s *site, trouble bool) error {
	zones := []string{"za", "zb", "zc"}
	for i, z := range zones {
		if _, err := s.addDaemon(fmt.Sprintf("edge-%s-%d", z, i+1), z, zones); err != nil {
			return err
		}
	}
	for i := range 8 {
		r := &runner{id: fmt.Sprintf("i-%010d", i+1), zone: zones[i%3], rack: fmt.Sprintf("r-%d", i/4), cpu: 32000, mem: 65536, gpu: 8, address: s.addr(netReal, 101+i, portRunner)}
		if i == 0 {
			r.kind = "b"
		}
		s.addRunner(r, func() bool { return true })
		if err := s.serve(r.address, r); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if err := s.start(d); err != nil {
			return err
		}
	}
	if !s.awaitReady(10*time.Second, s.daemons...) {
		return fmt.Errorf("%w: the daemons are not ready", errRun)
	}
	time.Sleep(2 * time.Second)
	id := "00000000000000f1"
	n := need{Ms: 1000, Lasts: true}
	if trouble {
		n.Fails = 4000
	}
	lasts := job(n, 1, 8000, 16000, 2)
	step := lasts["steps"].([]any)[0].(map[string]any)
	step["longRunning"], step["requiredLabel"] = true, "b"
	if !s.submit(s.daemons, 4, id, lasts) {
		return fmt.Errorf("%w: the job was not accepted", errRun)
	}
	if !await(5*time.Second, func() bool { return s.aud.atWork(id) == 1 }) {
		return fmt.Errorf("%w: the task did not start", errRun)
	}
	const (
		afterRun = 6 * time.Second // from then on the task must run again
		allowed  = 3 * time.Second
	)
	var idle, longest time.Duration
	for last, end := time.Now(), time.Now().Add(80*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.aud.atWork(id) > 0 {
			idle, last = 0, time.Now()
			continue
		}
		before := idle
		idle = time.Since(last)
		longest = max(longest, idle)
		if limit := afterRun + allowed; before <= limit && idle > limit {
			s.rec.breakf("LOST: the task has not run for %.1f s, while its runner is up, answers, and has room for it four times", idle.Seconds())
		}
	}
	s.rec.notef("job %s: %s, %d starts, ends %s, longest time without a run %.1f s", id, s.state(s.daemons, id), s.aud.startsOf(id), s.aud.endsOf(id), longest.Seconds())
	return nil
}
