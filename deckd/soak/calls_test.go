package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dragonflydeck.example/standin/engine"
	"github.com/valyala/fasthttp"
)

const callTimeout = 4 * time.Second

// job is a job that a caller submits, and what the caller knows about it.
type job struct {
	id, queue   string
	space       string
	body        []byte
	accepted    bool
	unknown     bool // an attempt left open whether the job was accepted
	cancelTried bool // the caller sent a cancellation that may have taken effect
	cancelled   bool
	finished    bool
	told        bool      // a daemon reported it as completed while faults were injected
	denied      bool      // a daemon contradicted that later
	state       string    // newest state that a daemon reported
	ended       time.Time // when the caller first learned that it had ended
}

// newStep returns a step of tasks that need the same.
func newStep(count int, need engine.Need) map[string]any {
	return map[string]any{"count": count, "cpu": need.Cores, "memMb": need.Mem, "gpu": need.Accels, "estimateMs": need.Span.Milliseconds()}
}

// keyOf returns the API key of a workspace.
func keyOf(space string) string { return "key-" + space }

// jobOf returns a job of steps whose tasks need the same, in the workspace of the need, by
// default the large one.
func jobOf(id, queue string, need engine.Need, steps ...map[string]any) *job {
	need.Space = cmp.Or(need.Space, largeSpace)
	data, err := json.Marshal(map[string]any{"spec": need.Spec(), "steps": steps})
	if err != nil {
		panic(err) // cannot fail for maps of numbers and strings
	}
	return &job{id: id, queue: queue, space: need.Space, body: data}
}

// smallEvery: one job in this many is for the small workspace, if its caps allow the job.
const smallEvery = 3

// newJob returns a random job.
func newJob(rng *rand.Rand) *job {
	need := engine.Need{Cores: 1000, Mem: 1024, Accels: 1 << rng.IntN(4), Span: time.Duration(200+rng.IntN(2500)) * time.Millisecond}
	count := 1 + rng.IntN(4)
	step := newStep(count, need)
	if rng.IntN(2) == 0 {
		need.Gang = count
		step["gang"] = true
		step["sameRack"] = rng.IntN(2) == 0
	}
	queue := []string{"urgent", "long", "bulk"}[rng.IntN(3)]
	id := rng.Uint64()
	if id%smallEvery == 0 && need.Accels*int64(max(need.Gang, 1)) <= smallestAccels {
		need.Space = smallSpace
	}
	return jobOf(fmt.Sprintf("%016x", id), queue, need, step)
}

// call sends one request to a daemon. It returns status 0 if there is no answer.
func call(method, frontend string, j *job, body []byte) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + frontend + pathPrefix + j.queue + "/" + j.id)
	req.UseHostHeader = true
	req.Header.SetHost(hostName)
	req.Header.Set("Authorization", "Bearer "+keyOf(j.space))
	req.Header.Set("Deadline-Ms", "3000")
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

// load simulates the callers.
type load struct {
	rig  *rig
	mu   sync.Mutex
	jobs []*job
}

// run submits jobs at random intervals until the given time.
func (l *load) run(rng *rand.Rand, until time.Time) {
	var group sync.WaitGroup
	for time.Now().Before(until) {
		j := newJob(rng)
		order := rng.Perm(len(l.rig.daemons))
		cancel := rng.IntN(10) == 0
		l.jobs = append(l.jobs, j)
		group.Go(func() {
			if l.submit(j, order, cancel); j.accepted {
				l.ask(j, order, until)
			}
		})
		time.Sleep(time.Duration(50+rng.IntN(250)) * time.Millisecond)
	}
	group.Wait()
}

// submit submits a job, to one daemon after the other until one accepts it. If
// cancel is set, it then cancels the job.
func (l *load) submit(j *job, order []int, cancel bool) {
	for _, i := range order {
		status, _ := call(fasthttp.MethodPost, l.rig.daemons[i].frontend, j, j.body)
		l.mu.Lock()
		switch status {
		case fasthttp.StatusOK:
			j.accepted = true
		case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		default:
			j.unknown = true
		}
		l.mu.Unlock()
		if status == fasthttp.StatusOK {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if cancel && j.accepted {
		status, _ := call(fasthttp.MethodDelete, l.rig.daemons[order[0]].frontend, j, nil)
		l.mu.Lock()
		j.cancelTried = status != fasthttp.StatusGone
		if j.cancelled = status == fasthttp.StatusOK; j.cancelled {
			j.ended = time.Now()
		}
		l.mu.Unlock()
	}
}

// askInterval is how often a caller asks for the state of its job.
const askInterval = 300 * time.Millisecond

// ask asks one daemon after the other for the state of a job until it has ended, or until the
// given time.
func (l *load) ask(j *job, order []int, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		if _, state := l.stateAt(l.rig.daemons[order[i%len(order)]], j); hasEnded(state) {
			return
		}
		time.Sleep(askInterval)
	}
}

func hasEnded(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// state asks the daemons for the state of a job; empty if none answers.
func (l *load) state(j *job) (int, string) {
	for _, d := range l.rig.daemons {
		if status, state := l.stateAt(d, j); status != 0 {
			return status, state
		}
	}
	return 0, ""
}

// stateAt asks a daemon for the state of a job. The status is 0 if it does not know the answer.
func (l *load) stateAt(d *daemon, j *job) (status int, state string) {
	l.mu.Lock()
	told := j.told
	l.mu.Unlock()
	if told {
		defer func() { l.checkTold(d, j, status, state) }()
	}
	status, body := call(fasthttp.MethodGet, d.frontend, j, nil)
	var s struct{ State string }
	switch {
	case status == fasthttp.StatusGone:
		return status, ""
	case status != fasthttp.StatusOK || json.Unmarshal(body, &s) != nil:
		return 0, ""
	}
	if s.State == "completed" {
		l.rig.auditor.NoteTold(j.id)
		l.mu.Lock()
		j.told = true
		l.mu.Unlock()
	}
	return status, s.State
}

// checkTold checks that an answer does not contradict an earlier one, that a job is completed. It
// reports the first one that does.
func (l *load) checkTold(d *daemon, j *job, status int, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if status == 0 || state == "completed" || j.denied {
		return
	}
	j.denied = true
	l.rig.t.Errorf("%s job %s was reported as completed, and then by %s: %d %q", time.Now().Format("15:04:05.000"), j.id, d.name, status, state)
}
