package main

import (
	"fmt"
	"net/http"
	"time"
)

// renamed: while a job runs, a version of the manifest removes its route and adds one with another name and the same
// host, path, service and limits.
func renamed(s *site, trouble bool) error {
	if err := s.boot(4); err != nil {
		return err
	}
	id := "0000000000000061"
	if !s.submit(s.daemons, 4, id, job(need{Ms: 30000}, 2, 1000, 1000, 1)) {
		return fmt.Errorf("%w: the job was not accepted", errRun)
	}
	if !await(3*time.Second, func() bool { return s.aud.atWork(id) == 2 }) {
		return fmt.Errorf("%w: the tasks did not start", errRun)
	}
	time.Sleep(4 * time.Second) // longer than bounds.visible_ms
	status, text := s.call(s.daemons[0], http.MethodGet, id, nil)
	s.rec.notef("requester: GET %s: %d %s", id, status, text)
	if trouble {
		s.routeName = "r-other-name"
	}
	s.configure()
	s.rec.notef("operator: version %d of the manifest is stored; the route is named %q", s.version, s.routeName)
	time.Sleep(4 * time.Second) // longer than bounds.configApplyMs
	for _, d := range s.daemons {
		status, text = s.call(d, http.MethodGet, id, nil)
		s.rec.notef("requester: GET %s at %s: %d %s; %d of its tasks are at work", id, d.name, status, text, s.aud.atWork(id))
		if status == http.StatusGone {
			s.rec.breakf("LOST: a GET for an accepted job that nobody has cancelled is answered 410")
		}
	}
	status, text = s.call(s.daemons[0], http.MethodDelete, id, nil)
	s.rec.notef("requester: DELETE %s: %d %s", id, status, text)
	time.Sleep(3500 * time.Millisecond) // longer than bounds.cancel_ms and bounds.stopMs
	s.rec.notef("3.5 s later %d of its tasks are at work", s.aud.atWork(id))
	return nil
}
