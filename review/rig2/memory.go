package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memoryMb is limits.memoryMb of the settings.
const memoryMb = 284

// resident returns how much memory a process has resident, in MB; 0 if it has ended.
func resident(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, l := range bytes.Split(data, []byte("\n")) {
		if f := strings.Fields(string(l)); len(f) == 3 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// keepWithin kills a daemon that exceeds its memory, as the platform does, and starts it again after a second.
func (s *site) keepWithin(d *daemon, note func()) {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := resident(d.cmd.Process.Pid)
		if mb <= memoryMb {
			continue
		}
		s.rec.notef("daemon %s has %d MB of memory, more than limits.memoryMb=%d: killed", d.name, mb, memoryMb)
		note()
		_ = d.cmd.Process.Kill()
		<-d.done
		time.Sleep(time.Second)
		select {
		case <-s.stop:
			return
		default:
		}
		if err := s.start(d); err != nil {
			return
		}
	}
}

// Recurring jobs of the memory case.
const (
	many      = 730 * 24 // times of a job that runs each hour for two years
	few       = 6
	recurring = 100 // together 2,400 runs a day
)

// memory: recurring jobs that run each hour for two years are handed in, beside small jobs.
func memory(s *site, trouble bool) error {
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
	kills := make([]int, len(s.daemons))
	var mu sync.Mutex
	for i, d := range s.daemons {
		if err := s.start(d); err != nil {
			return err
		}
		go s.keepWithin(d, func() {
			mu.Lock()
			defer mu.Unlock()
			kills[i]++
		})
	}
	if !s.awaitReady(10*time.Second, s.daemons...) {
		return fmt.Errorf("%w: the daemons are not ready", errRun)
	}
	time.Sleep(2 * time.Second)
	times := few
	if trouble {
		times = many
	}
	s.rec.notef("%d jobs of one task each are handed in; each runs %d times, every hour, from the next hour on", recurring, times)
	var accepted []string
	refused := 0
	for i, end := 0, time.Now().Add(50*time.Second); i < recurring && time.Now().Before(end); i++ {
		j := job(need{Ms: 2000}, 1, 1000, 500, 1)
		j["repeatCount"], j["firstMs"], j["intervalMs"] = times, time.Now().Add(time.Hour).UnixMilli(), 60*60*1000
		if id := fmt.Sprintf("%016x", 0xa00+i); s.submit(s.daemons[i%3:i%3+1], 1, id, j) {
			accepted = append(accepted, id)
		} else {
			refused++
		}
		if i%10 == 9 {
			for _, d := range s.daemons {
				s.rec.notef("daemon %s: %d MB", d.name, resident(d.cmd.Process.Pid))
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.rec.notef("%d of them accepted, %d not", len(accepted), refused)
	answered, asked := 0, 0
	for i := range 8 {
		id := fmt.Sprintf("%016x", 0xd00+i)
		asked++
		if s.submit(s.daemons[i%3:i%3+1], 1, id, job(need{Ms: 1000}, 1, 1000, 500, 1)) {
			answered++
		}
		time.Sleep(time.Second)
	}
	s.rec.notef("small jobs: %d handed in, %d accepted", asked, answered)
	time.Sleep(14 * time.Second) // bounds.finish_s
	for _, id := range accepted[:min(5, len(accepted))] {
		state := s.state(s.daemons, id)
		s.rec.notef("requester: GET %s at one daemon after the other: %s", id, state)
		if state == "no answer" || state == "410" {
			s.rec.breakf("LOST: accepted job %s is asked for: %s", id, state)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	often := 0
	for i, d := range s.daemons {
		s.rec.notef("daemon %s: was over its memory %d times", d.name, kills[i])
		if kills[i] >= 3 {
			often++
		}
	}
	if often >= 2 {
		s.rec.breakf("Fault: on %d machines of %d processes have ended by themselves three times, over the limit of their memory", often, len(s.daemons))
	}
	return nil
}
