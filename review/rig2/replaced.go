package main

import (
	"fmt"
	"net/http"
	"time"
)

// replaced: every machine of the system is replaced, the new one first. Then a runner is lost for good, and the
// machine that leads is replaced as well.
func replaced(s *site, trouble bool) error {
	const replacements = 6 // with the last one, which is made in any case
	if err := s.boot(4); err != nil {
		return err
	}
	alive := append([]*daemon(nil), s.daemons...)
	replace := func(old *daemon) error {
		d, err := s.addDaemon(fmt.Sprintf("edge-%s-%d", old.zone, len(s.daemons)+1), old.zone, []string{"za", "zb", "zc"})
		if err != nil {
			return err
		}
		if err := s.start(d); err != nil {
			return err
		}
		if !s.awaitReady(10*time.Second, d) {
			return fmt.Errorf("%w: the new daemon is not ready", errRun)
		}
		s.terminate(old)
		for i := range alive {
			if alive[i] == old {
				alive[i] = d
			}
		}
		time.Sleep(time.Second)
		return nil
	}
	if trouble {
		for i := range replacements - 1 {
			if err := replace(alive[i%len(alive)]); err != nil {
				return err
			}
		}
	}
	id := "0000000000000051"
	if !s.submit(alive, 8, id, job(need{Ms: 6000}, 1, 8000, 16000, 4)) {
		return fmt.Errorf("%w: the job was not accepted", errRun)
	}
	if !await(5*time.Second, func() bool { return s.aud.atWork(id) == 1 }) {
		return fmt.Errorf("%w: the task did not start", errRun)
	}
	time.Sleep(time.Second)
	for _, r := range s.runners {
		r.mu.Lock()
		busy := len(r.runs) > 0
		r.mu.Unlock()
		if busy {
			s.rec.notef("runner %s is lost for good", r.id)
			r.crash()
		}
	}
	if err := replace(leadOf(alive)); err != nil {
		return err
	}
	for _, d := range alive {
		s.rec.notef("daemon %s: %d of its lines say that a lead is settled", d.name, len(d.lines(`"event":"lead-settled"`)))
	}
	const (
		finish  = 14 * time.Second // bounds.finish_s
		allowed = 3 * time.Second
	)
	time.Sleep(finish)
	if !await(20*time.Second, func() bool { return s.state(alive, id) == "completed" }) {
		idle := !await(allowed, func() bool { return s.aud.atWork(id) > 0 })
		s.rec.notef("requester: GET %s: %s; %d starts", id, s.state(alive, id), s.aud.startsOf(id))
		if idle {
			s.rec.breakf("LOST: accepted job %s has nothing running for 3 s, while three idle runners have room for it", id)
		}
	}
	other := "0000000000000052"
	status, _ := s.call(alive[0], http.MethodPost, other, job(need{Ms: 1000}, 1, 8000, 16000, 4))
	done := await(8*time.Second, func() bool { return s.state(alive, other) == "completed" })
	s.rec.notef("requester: POST of another job: %d; it is completed: %t", status, done)
	return nil
}
