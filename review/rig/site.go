// Command reviewrig runs one case of the review: it starts the stand-ins of the platform's
// store and of the runners, starts the project's daemons as separate processes, sends the
// calls of the case, and writes what was sent, answered and run to a file.
package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"dragonflydeck.example/standin/engine"
	"dragonflydeck.example/standin/store"
	"github.com/valyala/fasthttp"
)

// Settings of a small deployment.
const (
	service    = "desk"
	queueHost  = "desk.example"
	pathPrefix = "/jobs/"
	apiKey     = "key-a"

	topicOperator = "keyed.op"
	topicWorkers  = "keyed.servers"

	recordBytes = 262144  // platform.recordBytes
	callBytes   = 2097152 // platform.callBytes

	lease     = 6 * time.Second
	drainTime = 2 * time.Second
	heartbeat = 1500 * time.Millisecond
)

// record is the record of a case: what was sent, answered and run, and when.
type record struct {
	mu     sync.Mutex
	out    io.Writer
	begun  time.Time
	starts int
}

// maxStartsLogged bounds the lines about starts.
const maxStartsLogged = 200

func (r *record) logStart(format string, args ...any) {
	r.mu.Lock()
	r.starts++
	logged := r.starts <= maxStartsLogged
	r.mu.Unlock()
	if logged {
		r.logf(format, args...)
	}
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// limitedStore is the project's stand-in for the store with the limits that the settings
// give for one record and for one call. A call beyond them appends nothing.
type limitedStore struct {
	*store.Store
	rec *record

	mu       sync.Mutex
	refused  int
	deafTill time.Time // until then, reads that wait for the operator's records hear nothing
}

// forget makes the reads that wait for the operator's records hear nothing for a moment,
// carries out a change, and then drops their history except the newest record of each key.
func (s *limitedStore) forget(gap time.Duration, change func()) {
	s.mu.Lock()
	s.deafTill = time.Now().Add(gap)
	s.mu.Unlock()
	time.Sleep(gap / 2)
	change()
	time.Sleep(gap / 4)
	s.Compact(topicOperator)
	time.Sleep(gap / 4)
}

// awaitHearing holds a read of the operator's records while it is to hear nothing.
func (s *limitedStore) awaitHearing(ctx *fasthttp.RequestCtx) {
	for string(ctx.Path()) == "/log-read" && string(ctx.QueryArgs().Peek("topic")) == topicOperator {
		s.mu.Lock()
		left := time.Until(s.deafTill)
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (s *limitedStore) handle(ctx *fasthttp.RequestCtx) {
	s.awaitHearing(ctx)
	if string(ctx.Path()) == "/log-append" {
		if largest, total := sizes(ctx.PostBody()); largest > recordBytes || total > callBytes {
			s.mu.Lock()
			s.refused++
			n := s.refused
			s.mu.Unlock()
			if n <= 5 || n%20 == 0 {
				s.rec.logf("store: append %d refused with 400: largest record %d bytes (limit %d), records of the call %d bytes (limit %d)", n, largest, recordBytes, total, callBytes)
			}
			ctx.Error(`{"error":"record too large"}`, fasthttp.StatusBadRequest)
			return
		}
	}
	s.Handle(ctx)
}

// sizes returns the sizes of the largest record and of all records of an append.
func sizes(body []byte) (largest, total int) {
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			break
		}
		largest, total = max(largest, n), total+n
		body = body[4+n:]
	}
	return largest, total
}

// runner is a stand-in for a runner.
type runner struct {
	*engine.Engine
	id, addr string
	rec      *record

	mu     sync.Mutex
	heldBy int64     // token of the newest call that extended the lease
	heldAt time.Time // when it came
	kind   string    // its first label; "a" if empty
	down   bool      // its process is gone
	mute   time.Time // until then, its new process has not written its entry
	starts []string  // tasks that it began, each with the kind that it was of then
}

// entry returns the runner's entry in the store.
func (r *runner) entry() engine.Entry {
	e := r.Entry(service, r.addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kind != "" {
		e["labels"] = []string{r.kind, e["labels"].([]string)[1]}
	}
	return e
}

// reborn ends the runner's process for a while; it starts again under its id as another kind, and
// writes its entry a heartbeat later. Until then the store keeps the former one.
func (r *runner) reborn(after time.Duration, kind string) {
	r.mu.Lock()
	r.down = true
	r.mu.Unlock()
	r.Crash()
	time.Sleep(after)
	r.Crash() // it begins now
	r.mu.Lock()
	r.down, r.kind, r.mute = false, kind, time.Now().Add(heartbeat)
	r.mu.Unlock()
}

func (r *runner) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// publishes reports whether the runner writes its entry now.
func (r *runner) publishes() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.down && !time.Now().Before(r.mute)
}

// handle serves one call, and notes starts and leases.
func (r *runner) handle(ctx *fasthttp.RequestCtx) {
	var o struct {
		Task         string
		Run          int64
		UntilMs      int64
		FencingToken int64
	}
	_ = json.Unmarshal(ctx.PostBody(), &o)
	if r.isDown() {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	r.Handle(ctx)
	if ctx.Response.StatusCode() != fasthttp.StatusOK {
		return
	}
	if string(ctx.Path()) == "/run-start" {
		r.mu.Lock()
		r.starts = append(r.starts, o.Task+" "+r.kind)
		r.mu.Unlock()
		r.rec.logStart("runner %s starts %s run %d by token %d", r.id, o.Task, o.Run, o.FencingToken)
	}
	if o.UntilMs > 0 {
		r.mu.Lock()
		r.heldBy, r.heldAt = o.FencingToken, time.Now()
		r.mu.Unlock()
	}
}

// daemon is one process of the system.
type daemon struct {
	name, front, ready string
	cmd                *exec.Cmd
	done               chan struct{}
	settings           string
	args               []string
	log                *os.File
}

// site is a small deployment on loopback addresses.
type site struct {
	rec     *record
	store   *limitedStore
	auditor *engine.Auditor
	runners []*runner
	daemons []*daemon
	dir     string
	stop    chan struct{}
	client  *http.Client
}

// host returns a loopback address of its own for each part of the deployment.
func host(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, 1+n)
}

func serve(addr string, h fasthttp.RequestHandler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &fasthttp.Server{Handler: h, Logger: quiet{}, MaxRequestBodySize: 16 << 20}
	go func() { _ = server.Serve(ln) }()
	return nil
}

// quiet drops the log lines of the HTTP server.
type quiet struct{}

// Printf does nothing.
func (quiet) Printf(string, ...any) {}

// newSite starts the store, the runners and the daemons, which are spread over three zones. The
// first runners are of the given kinds.
func newSite(rec *record, deckd []string, daemons, runners int, kinds ...string) (*site, error) {
	s, err := newPlatform(rec)
	if err != nil {
		return nil, err
	}
	storeAddr := net.JoinHostPort(host(0), "8524")
	if err := serve(storeAddr, s.store.handle); err != nil {
		return nil, err
	}
	if err := s.addRunners(runners); err != nil {
		return nil, err
	}
	for i, k := range kinds {
		s.runners[i].kind = k
	}
	go s.publish()
	for i := range daemons {
		if err := s.addDaemon(i, zoneName(i), storeAddr, deckd); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// newSplitSite does the same on a network that can be cut, with a daemon in each of the given zones.
func newSplitSite(rec *record, deckd []string, p *split, zones []string, runners int) (*site, error) {
	s, err := newPlatform(rec)
	if err != nil {
		return nil, err
	}
	p.store = s.store
	addrs := map[side]string{}
	for _, of := range []side{storeSide, otherSide} {
		addrs[of] = net.JoinHostPort(host(int(of)*90), "8524")
		if err := serve(addrs[of], p.handler(of)); err != nil {
			return nil, err
		}
	}
	if err := s.addRunners(runners); err != nil {
		return nil, err
	}
	go s.publishSplit(p)
	for i, zone := range zones {
		if err := s.addDaemon(i, zone, addrs[sideOf(zone)], deckd); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func newPlatform(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{
		rec: rec, store: &limitedStore{Store: store.New(), rec: rec}, auditor: engine.NewAuditor(), dir: dir,
		stop: make(chan struct{}), client: &http.Client{Timeout: 3 * time.Second},
	}
	return s, s.configure(1)
}

func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%3) }

// addRunners starts runners, in the three zones in turn.
func (s *site) addRunners(n int) error {
	for i := range n {
		id := fmt.Sprintf("i-%010d", i)
		addr := net.JoinHostPort(host(100+i), "8067")
		e := engine.New(engine.Options{
			ID: id, Zone: zoneName(i), Rack: fmt.Sprintf("r%d-%d", i%3, i/8),
			Room: engine.Room{Cores: 32000, Mem: 65536, Accels: 8}, MaxLease: lease, StopTime: 200 * time.Millisecond,
			GangTimeout: 3 * time.Second, DrainTime: drainTime, ShrinkTime: 5 * time.Second, Auditor: s.auditor,
		})
		r := &runner{Engine: e, id: id, addr: addr, rec: s.rec}
		if err := serve(addr, r.handle); err != nil {
			return err
		}
		s.runners = append(s.runners, r)
	}
	go s.tick()
	return nil
}

// configure stores the manifest.
func (s *site) configure(version int) error {
	return s.store.Put(topicOperator, "config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "jobs", "host": queueHost, "pathPrefix": pathPrefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetDurationMs": 10000, "priority": 1, "service": service, "maxAttempts": 4, "slackFactor": 10.0,
		}},
		"services": []any{map[string]any{"name": service, "maxConns": 64}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
		"tenants":  []any{map[string]any{"name": "a", "apiKeys": []string{apiKey}, "guaranteed": map[string]any{"gpu": 8}}},
	})
}

// publish stores the entries of the runners periodically.
func (s *site) publish() {
	for {
		for _, r := range s.runners {
			if r.publishes() {
				_ = s.store.Put(topicWorkers, r.id, r.entry())
			}
		}
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// tick advances the runners.
func (s *site) tick() {
	for {
		for _, r := range s.runners {
			r.Tick()
		}
		select {
		case <-s.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *site) addDaemon(i int, zone, storeAddr string, deckd []string) error {
	ip := host(1 + i)
	d := &daemon{
		name: fmt.Sprintf("edge-%d", i+1), front: net.JoinHostPort(ip, "8521"), ready: net.JoinHostPort(ip, "8523"),
		args: deckd,
	}
	d.settings = filepath.Join(s.dir, d.name+".conf")
	lines := []string{
		"nodeName=" + d.name, "role=deckd", "machineClass=edge", "serves=edge", "ip=" + ip, "zone=" + zone, "region=r",
		"listen.frontend=" + d.front, "listen.ready=" + d.ready, "portRange=7000,7015", "bootstrap=true",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "heartbeatMs=1500",
		"bounds.drainMs=2000", "bounds.graceS=6", "bounds.maxHoldMs=6000", "bounds.stopMs=400", "bounds.gangTimeoutMs=3000",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.status_s=120", "orders=call",
		"platform.address=" + storeAddr, "platform.form=log", "platform.writesPerS=800", "platform.readsPerS=2000",
		fmt.Sprint("platform.recordBytes=", recordBytes), fmt.Sprint("platform.callBytes=", callBytes), "platform.keep_s=300",
	}
	if err := os.WriteFile(d.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	var err error
	if d.log, err = os.Create(filepath.Join(s.dir, d.name+".log")); err != nil {
		return err
	}
	s.daemons = append(s.daemons, d)
	return d.start()
}

func (d *daemon) start() error {
	cmd := exec.Command(d.args[0], d.args[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DRAGONFLYDECK_SETTINGS=" + d.settings}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(d.done)
	return nil
}

func (d *daemon) kill() {
	_ = d.cmd.Process.Kill()
	<-d.done
}

// close ends all processes that the case started. It copies their logs if asked to.
func (s *site) close() {
	close(s.stop)
	for _, d := range s.daemons {
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		d.kill()
		d.log.Close()
		if to := os.Getenv("REVIEW_LOGS"); to != "" {
			if data, err := os.ReadFile(d.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(to, d.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(s.dir)
}

// awaitReady waits until every daemon says that it is ready.
func (s *site) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, d := range s.daemons {
		for {
			resp, err := s.client.Get("http://" + d.ready + "/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready within %s", d.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// call sends one call of a requester to a daemon; status is 0 if there was no answer.
func (s *site) call(d *daemon, method, id string, body any) (status int, answer string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+pathPrefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, "no answer"
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// submit hands a job in, with up to four retries at other daemons, and reports whether it
// was accepted.
func (s *site) submit(id string, body any) bool {
	for try := range 5 {
		d := s.daemons[try%len(s.daemons)]
		status, answer := s.call(d, http.MethodPost, id, body)
		s.rec.logf("POST %s at %s: %d %s", id, d.name, status, answer)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for a job's state, at each daemon in turn until one knows it.
func (s *site) state(id string) string {
	last := "no answer"
	for _, d := range s.daemons {
		status, answer := s.call(d, http.MethodGet, id, nil)
		if status == http.StatusOK {
			var body struct{ State string }
			_ = json.Unmarshal([]byte(answer), &body)
			return body.State
		}
		last = fmt.Sprint(status, " ", answer)
	}
	return last
}

// job returns the body of a job whose steps depend on each other in turn.
func job(spec string, steps ...map[string]any) map[string]any {
	for i := 1; i < len(steps); i++ {
		steps[i]["dependsOn"] = []int{i - 1}
	}
	return map[string]any{"spec": spec, "steps": steps}
}
