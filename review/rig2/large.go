package main

import (
	"fmt"
	"time"
)

// Jobs and runners of the large case.
const (
	largeTasks   = 10000
	smallTasks   = 100
	largeRunners = 24
)

// large: a job with many small tasks is handed in, beside small urgent jobs.
func large(s *site, trouble bool) error {
	zones := []string{"za", "zb", "zc"}
	for i, z := range zones {
		if _, err := s.addDaemon(fmt.Sprintf("edge-%s-%d", z, i+1), z, zones); err != nil {
			return err
		}
	}
	s.aud.quiet = true
	for i := range largeRunners {
		r := &runner{id: fmt.Sprintf("i-%010d", i+1), zone: zones[i%3], rack: fmt.Sprintf("r-%d", i/8), cpu: 32000, mem: 65536, gpu: 8, address: s.addr(netReal, 101+i, portRunner)}
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
	tasks := smallTasks
	if trouble {
		tasks = largeTasks
	}
	s.rec.notef("a job is handed in: one task of 5 s, then %d tasks of 110 s that need 0.02 cores each, together %.0f of the %d cores", tasks, float64(tasks)/50, 32*largeRunners)
	wide := job(need{Ms: 5000, Then: 110000}, tasks, 20, 32, 0)
	second := wide["steps"].([]any)[0].(map[string]any)
	second["dependsOn"], second["estimateMs"] = []int{0}, 110000
	wide["steps"] = []any{map[string]any{"count": 1, "cpu": 1000, "memMb": 500, "estimateMs": 5000}, second}
	if !s.submit(s.daemons, 4, "00000000000000c0", wide) {
		return fmt.Errorf("%w: the large job was not accepted", errRun)
	}
	var accepted []string
	refused := 0
	for i := range 50 {
		id := fmt.Sprintf("%016x", 0xd00+i)
		s.urgent[id] = true
		if s.submit(s.daemons[i%3:i%3+1], 1, id, twoSteps()) {
			accepted = append(accepted, id)
		} else {
			refused++
		}
		time.Sleep(400 * time.Millisecond)
	}
	s.rec.notef("the traffic ends: %d small jobs accepted, %d refused", len(accepted), refused)
	time.Sleep(14 * time.Second) // bounds.finish_s
	states, idle := map[string]string{}, map[string]int{}
	for _, id := range accepted {
		states[id] = s.state(s.daemons, id)
	}
	const samples = 32
	for range samples {
		for _, id := range accepted {
			if s.aud.atWork(id) == 0 {
				idle[id]++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, id := range accepted {
		later := s.state(s.daemons, id)
		s.rec.notef("job %s: %s, 3.2 s later %s; %d starts, ends %s", id, states[id], later, s.aud.startsOf(id), s.aud.endsOf(id))
		switch {
		case later == "410":
			s.rec.breakf("LOST: accepted job %s is not known", id)
		case states[id] != "completed" && later != "completed" && idle[id] == samples:
			s.rec.breakf("LOST: accepted job %s has nothing running for 3 s, while the turn of its tasks has come and most of the runners' room is free", id)
		}
	}
	s.rec.notef("job 00000000000000c0: %d starts, %d tasks at work, of %.0f cores", s.aud.startsOf("00000000000000c0"), s.aud.atWork("00000000000000c0"), float64(s.aud.atWork("00000000000000c0"))/50)
	return nil
}

// twoSteps is a job of two steps of three tasks, each of a core and an accelerator for 3 s.
func twoSteps() map[string]any {
	j := job(need{Ms: 3000}, 3, 1000, 500, 1)
	first := j["steps"].([]any)[0].(map[string]any)
	second := map[string]any{"dependsOn": []int{0}}
	for k, v := range first {
		second[k] = v
	}
	j["steps"] = []any{first, second}
	return j
}
