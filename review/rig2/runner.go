package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	stopTime        = 200 * time.Millisecond // a stop; bounds.stopMs is 400
	heartbeat       = 1500 * time.Millisecond
	maxEndsListed   = 500
	checkpointEvery = time.Second
)

// need is what a task of this rig does. It is the content of the job's spec.
type need struct {
	Ms    int64 `json:"ms"`    // run time of a task
	Then  int64 `json:"then"`  // run time of a task of the second step; 0 is the same
	Saves bool  `json:"saves"` // it checkpoints its progress
	Lasts bool  `json:"lasts"` // it runs until it is stopped
	Fails int64 `json:"fails"` // a run fails after this time; 0 is never
}

// run is one run of a task on a runner.
type run struct {
	task   string
	number int64
	need   need
	done   time.Duration // work that was done before it started
	begun  time.Time
	stopAt time.Time
}

type end struct {
	n     int64
	task  string
	run   int64
	how   string
	saved string
}

// auditor watches which tasks run where.
type auditor struct {
	mu      sync.Mutex
	rec     *recorder
	running map[string]map[string]int64 // by task and runner: run number
	starts  map[string]int              // by job
	ends    map[string]map[string]int   // by job and how
	last    map[string]time.Time        // by job: when something of it last ran
	quiet   bool                        // starts and ends of tasks are counted, not recorded
}

func newAuditor(rec *recorder) *auditor {
	return &auditor{rec: rec, running: map[string]map[string]int64{}, starts: map[string]int{}, ends: map[string]map[string]int{}, last: map[string]time.Time{}}
}

func jobOf(task string) string { id, _, _ := strings.Cut(task, "."); return id }

func (a *auditor) started(runner, task string, number, token int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts[jobOf(task)]++
	if !a.quiet {
		a.rec.notef("runner %s: starts %s run %d on an order with fencing token %d", runner, task, number, token)
	}
	for other, n := range a.running[task] {
		a.rec.breakf("TWICE: %s run %d starts on %s while run %d is at work on %s, which is up", task, number, runner, n, other)
	}
	if a.running[task] == nil {
		a.running[task] = map[string]int64{}
	}
	a.running[task][runner] = number
}

func (a *auditor) ended(runner, task string, number int64, how string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running[task], runner)
	if a.ends[jobOf(task)] == nil {
		a.ends[jobOf(task)] = map[string]int{}
	}
	a.ends[jobOf(task)][how]++
	a.last[jobOf(task)] = time.Now()
	if !a.quiet {
		a.rec.notef("runner %s: %s run %d ends %s", runner, task, number, how)
	}
}

// atWork returns how many tasks of a job run now.
func (a *auditor) atWork(job string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for task, on := range a.running {
		if jobOf(task) == job {
			n += len(on)
		}
	}
	return n
}

func (a *auditor) startsOf(job string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.starts[job]
}

func (a *auditor) endsOf(job string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return fmt.Sprint(a.ends[job])
}

// runner is a runner of the platform, without admission check.
type runner struct {
	id, service, zone, rack, address string
	cpu, mem, gpu                    int64
	kind                             string        // its first label; "a" if empty
	lease                            time.Duration // bounds.maxHoldMs
	aud                              *auditor

	mu      sync.Mutex
	born    time.Time
	down    bool
	refuses bool // it answers starts with 503
	token   int64
	until   time.Time
	runs    map[string]*run
	closed  map[string]int64
	ends    []end
	endNo   int64
	wake    chan struct{} // closed at the end of a run and at a crash
}

func (r *runner) boot() {
	r.born, r.down, r.token, r.until, r.endNo = time.Now(), false, 0, time.Time{}, 0
	r.runs, r.closed, r.ends, r.wake = map[string]*run{}, map[string]int64{}, nil, make(chan struct{})
}

// crash ends the runner's process at once.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs {
		r.aud.ended(r.id, x.task, x.number, "with its runner, which crashed")
	}
	r.runs, r.down = map[string]*run{}, true
	close(r.wake)
	r.wake = make(chan struct{})
}

// restart starts a new process under the same id.
func (r *runner) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.boot()
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

func (r *runner) entry() map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "seq": r.clock(), "clockMs": r.clock(), "born": r.born.UnixMilli(),
		"capacity": map[string]int64{"cpu": r.cpu, "memMb": r.mem, "gpu": r.gpu}, "labels": []string{cmp.Or(r.kind, "a"), r.rack},
	}
}

// register writes the runner's entry at each heartbeat while it is up and reaches the store, and has it
// removed after three intervals of silence.
func (r *runner) register(s *store, reaches func() bool, stop <-chan struct{}) {
	silent := 0
	for {
		r.mu.Lock()
		up, entry := !r.down, r.entry()
		r.mu.Unlock()
		if up && reaches() {
			s.put("keyed.servers", r.id, entry)
			silent = 0
		} else if silent++; silent == 3 {
			s.put("keyed.servers", r.id, nil)
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (r *runner) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, x := range r.runs {
		switch {
		case now.After(r.until):
			r.close(x, "lapsed")
		case !x.stopAt.IsZero():
			if now.After(x.stopAt) {
				r.close(x, "stopped")
			}
		case x.need.Fails > 0 && now.Sub(x.begun) >= time.Duration(x.need.Fails)*time.Millisecond:
			r.close(x, "failed")
		case !x.need.Lasts && x.work(now) >= time.Duration(x.need.Ms)*time.Millisecond:
			r.close(x, "done")
		}
	}
}

func (x *run) work(now time.Time) time.Duration { return x.done + now.Sub(x.begun) }

// saved is the newest checkpoint: the milliseconds of work that it holds.
func (x *run) saved(now time.Time) string {
	if !x.need.Saves {
		return ""
	}
	if at := x.work(now).Truncate(checkpointEvery); at > 0 {
		return fmt.Sprintf("%016x", at.Milliseconds())
	}
	return ""
}

func (r *runner) close(x *run, how string) {
	delete(r.runs, x.task)
	r.closed[x.task] = max(r.closed[x.task], x.number)
	r.endNo++
	r.ends = append(r.ends, end{r.endNo, x.task, x.number, how, x.saved(time.Now())})
	r.aud.ended(r.id, x.task, x.number, how)
	close(r.wake)
	r.wake = make(chan struct{})
}

type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	Checkpoint   string `json:"checkpoint"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// extend extends the lease; it never shortens, and is at most maxHoldMs.
func (r *runner) extend(untilMs int64) {
	at := r.born.Add(time.Duration(untilMs) * time.Millisecond)
	if limit := time.Now().Add(r.lease); at.After(limit) {
		at = limit
	}
	if untilMs > 0 && at.After(r.until) {
		r.until = at
	}
}

// ServeHTTP serves the orders of daemons.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var o order
	data, err := io.ReadAll(q.Body)
	if err == nil {
		err = json.Unmarshal(data, &o)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.tick()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		panic(http.ErrAbortHandler)
	}
	if e := q.Header.Get("Expect-Instance"); e != "" && e != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.FencingToken < r.token {
		answer(w, http.StatusConflict, map[string]any{"clockMs": r.clock(), "reason": "fence"})
		return
	}
	r.token = o.FencingToken
	switch q.URL.Path {
	case "/run-start":
		if r.refuses {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.start(w, o)
	case "/run-stop":
		if x := r.runs[o.Task]; x != nil && x.number <= o.Run && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopTime)
		}
		r.closed[o.Task] = max(r.closed[o.Task], o.Run)
		answer(w, http.StatusOK, map[string]any{"clockMs": r.clock()})
	case "/hold":
		r.hold(w, o, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) start(w http.ResponseWriter, o order) {
	x := r.runs[o.Task]
	reason := ""
	switch {
	case x != nil && x.number == o.Run:
	case x != nil || o.Run <= r.closed[o.Task]:
		reason = "old"
	case o.UntilMs <= r.clock():
		reason = "late"
	}
	if reason != "late" {
		r.extend(o.UntilMs)
	}
	if reason != "" {
		answer(w, http.StatusConflict, map[string]any{"clockMs": r.clock(), "reason": reason})
		return
	}
	if x == nil {
		x = &run{task: o.Task, number: o.Run, begun: time.Now()}
		_ = json.Unmarshal([]byte(o.Spec), &x.need)
		if parts := strings.Split(o.Task, "."); len(parts) == 4 && parts[2] != "0" && x.need.Then > 0 {
			x.need.Ms = x.need.Then
		}
		var ms int64
		if _, err := fmt.Sscanf(o.Checkpoint, "%x", &ms); err == nil {
			x.done = time.Duration(ms) * time.Millisecond
		}
		r.runs[o.Task] = x
		r.aud.started(r.id, o.Task, o.Run, o.FencingToken)
	}
	answer(w, http.StatusOK, map[string]any{"clockMs": r.clock()})
}

// hold renews the lease, forgets ends, and reports. It is called with the lock held.
func (r *runner) hold(w http.ResponseWriter, o order, q *http.Request) {
	r.extend(o.UntilMs)
	for len(r.ends) > 0 && r.ends[0].n <= o.LastSeen {
		r.ends = r.ends[1:]
	}
	deadline, born := time.After(time.Duration(min(o.WaitMs, 2000))*time.Millisecond), r.born
	for waits := o.WaitMs > 0; waits && len(r.ends) == 0; {
		wake := r.wake
		r.mu.Unlock()
		select {
		case <-wake:
		case <-deadline:
			waits = false
		case <-q.Context().Done():
			waits = false
		}
		r.mu.Lock()
		if r.down || r.born != born {
			panic(http.ErrAbortHandler)
		}
	}
	now := time.Now()
	running, finished := [][]any{}, [][]any{}
	for _, x := range r.runs {
		running = append(running, []any{x.task, x.number, x.saved(now), min(100*x.work(now).Milliseconds()/max(x.need.Ms, 1), 100), 0}) // a task that lasts is at work at 100
	}
	for _, e := range r.ends[:min(len(r.ends), maxEndsListed)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	answer(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.born.UnixMilli(), "running": running, "finished": finished})
}
