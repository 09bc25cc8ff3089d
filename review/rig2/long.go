package main

import (
	"fmt"
	"time"
)

// long: a job with one task of 20 minutes, which two of eight runners may run by its label, is handed in without an
// estimate.
func long(s *site, trouble bool) error {
	zones := []string{"za", "zb", "zc"}
	for i, z := range zones {
		if _, err := s.addDaemon(fmt.Sprintf("edge-%s-%d", z, i+1), z, zones); err != nil {
			return err
		}
	}
	for i := range 8 {
		r := &runner{id: fmt.Sprintf("i-%010d", i+1), zone: zones[i%3], rack: fmt.Sprintf("r-%d", i/4), cpu: 32000, mem: 65536, gpu: 8, address: s.addr(netReal, 101+i, portRunner)}
		if i < 2 {
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
	id := "0000000000000091"
	j := job(need{Ms: 1200000}, 1, 8000, 16000, 2)
	step := j["steps"].([]any)[0].(map[string]any)
	step["requiredLabel"] = "b"
	if trouble {
		delete(step, "estimateMs")
	}
	if !s.submit(s.daemons, 4, id, j) {
		return fmt.Errorf("%w: the job was not accepted", errRun)
	}
	if !await(5*time.Second, func() bool { return s.aud.atWork(id) == 1 }) {
		return fmt.Errorf("%w: the task did not start", errRun)
	}
	const (
		finish  = 14 * time.Second // bounds.finish_s
		allowed = 3 * time.Second
	)
	time.Sleep(finish)
	s.rec.notef("requester: GET %s: %s", id, s.state(s.daemons, id))
	broken := false
	for last, end := time.Now(), time.Now().Add(70*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.aud.atWork(id) > 0 {
			last, broken = time.Now(), false
			continue
		}
		if idle := time.Since(last); idle > allowed+100*time.Millisecond && !broken {
			broken = true
			s.rec.breakf("LOST: job %s has had nothing running for %.1f s, while both of its runners are up and answer, and nothing else runs on them", id, idle.Seconds())
		}
	}
	s.rec.notef("job %s: %s, %d starts, ends %s; its task needs 1200 s", id, s.state(s.daemons, id), s.aud.startsOf(id), s.aud.endsOf(id))
	return nil
}
