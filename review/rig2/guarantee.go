package main

import (
	"fmt"
	"net/http"
	"time"
)

// Accelerators of the guarantee case.
const (
	owedAccels = 8
	allAccels  = 32 // of four runners
)

// guarantee: a tenant's tasks use the accelerators that are idle; then another tenant hands in a job that fits into its
// guarantee. The first tenant's tasks last, or are as urgent as the other tenant's.
func guarantee(s *site, trouble bool) error {
	s.owed = owedAccels
	s.configure()
	if err := s.boot(4); err != nil {
		return err
	}
	for i, lasting := range []bool{true, false} {
		fillers := []string{fmt.Sprintf("%016x", 0x701+2*i), fmt.Sprintf("%016x", 0x702+2*i)}
		if err := s.claimGuarantee(fillers, fmt.Sprintf("%016x", 0x801+i), lasting, trouble); err != nil {
			return err
		}
	}
	return nil
}

// claimGuarantee hands in the two jobs that fill the site and then the one that is within its tenant's guarantee.
func (s *site) claimGuarantee(fillers []string, owed string, lasting, trouble bool) error {
	count, what := allAccels, "that last"
	if !trouble {
		count -= owedAccels
	}
	j := job(need{Ms: 90000, Lasts: lasting}, count/len(fillers), 500, 1000, 1)
	if lasting {
		j["steps"].([]any)[0].(map[string]any)["longRunning"] = true
	} else {
		what = "of priority 0 that run for 90 s"
		for _, filler := range fillers {
			s.urgent[filler] = true
		}
	}
	s.rec.notef("tenant t, to which none are guaranteed, hands in %d jobs of together %d tasks %s, with an accelerator each; the runners have %d", len(fillers), count, what, allAccels)
	for _, filler := range fillers {
		if !s.submit(s.daemons, 4, filler, j) {
			return fmt.Errorf("%w: the tasks of tenant t were not accepted", errRun)
		}
	}
	atWork := func() int { return s.aud.atWork(fillers[0]) + s.aud.atWork(fillers[1]) }
	if !await(5*time.Second, func() bool { return atWork() == count }) {
		return fmt.Errorf("%w: the tasks of tenant t did not start", errRun)
	}
	time.Sleep(2 * time.Second)
	const reclaim = 2900 * time.Millisecond // bounds.reclaimMs
	s.urgent[owed], s.others[owed] = true, true
	s.rec.notef("tenant u, to which %d accelerators are guaranteed, hands in its only job, of priority 0, which needs %d", owedAccels, owedAccels)
	if !s.submit(s.daemons, 1, owed, job(need{Ms: 2000}, owedAccels, 500, 1000, 1)) {
		return fmt.Errorf("%w: the job of tenant u was not accepted", errRun)
	}
	confirmed := time.Now()
	begun := await(15*time.Second, func() bool { return s.aud.startsOf(owed) >= owedAccels })
	switch waited := time.Since(confirmed); {
	case !begun:
		s.rec.breakf("RECLAIM: job %s has begun %d of its %d tasks %.1f s after its confirmation", owed, s.aud.startsOf(owed), owedAccels, waited.Seconds())
	case waited > reclaim:
		s.rec.breakf("RECLAIM: job %s has begun all of its tasks only %.1f s after its confirmation", owed, waited.Seconds())
	default:
		s.rec.notef("job %s has begun all of its tasks %.1f s after its confirmation", owed, waited.Seconds())
	}
	s.rec.notef("tenant t: %d tasks at work", atWork())
	for _, id := range append([]string{owed}, fillers...) {
		status, text := s.call(s.daemons[0], http.MethodDelete, id, nil)
		s.rec.notef("requester: DELETE %s: %d %s", id, status, text)
	}
	if !await(10*time.Second, func() bool { return atWork()+s.aud.atWork(owed) == 0 }) {
		return fmt.Errorf("%w: the cancelled tasks are still at work", errRun)
	}
	return nil
}
