package main

import (
	"fmt"
	"time"
)

// crashes: a runner with one task of a job crashes, and starts again under its id, five times.
func crashes(s *site, trouble bool) error {
	zones := []string{"za", "zb", "zc"}
	for i, z := range zones {
		if _, err := s.addDaemon(fmt.Sprintf("edge-%s-%d", z, i+1), z, zones); err != nil {
			return err
		}
	}
	for i := range 8 {
		r := &runner{id: fmt.Sprintf("i-%010d", i+1), zone: zones[i%3], rack: fmt.Sprintf("r-%d", i/4), cpu: 32000, mem: 65536, gpu: 8, address: s.addr(netReal, 101+i, portRunner)}
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
	id := "00000000000000e1"
	if !s.submit(s.daemons, 4, id, job(need{Ms: 30000, Saves: true}, 1, 30000, 60000, 8)) {
		return fmt.Errorf("%w: the job was not accepted", errRun)
	}
	for range 5 {
		if !await(10*time.Second, func() bool { return s.aud.atWork(id) == 1 }) {
			break
		}
		time.Sleep(5 * time.Second)
		if !trouble {
			continue
		}
		for _, r := range s.runners {
			r.mu.Lock()
			busy := len(r.runs) > 0
			r.mu.Unlock()
			if busy {
				s.rec.notef("runner %s crashes", r.id)
				r.crash()
				time.Sleep(time.Second)
				r.restart()
				s.rec.notef("runner %s starts again", r.id)
			}
		}
	}
	state := ""
	await(60*time.Second, func() bool {
		if now := s.state(s.daemons, id); now != state {
			state = now
			s.rec.notef("requester: GET %s: %s", id, state)
		}
		return state == "completed" || state == "failed"
	})
	s.rec.notef("job %s: %s, %d starts, ends %s", id, state, s.aud.startsOf(id), s.aud.endsOf(id))
	if state == "failed" {
		s.rec.breakf("LOST: the job is shown as failed, and no run of it has ended failed")
	}
	return nil
}
