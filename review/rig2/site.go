package main

import (
	"bytes"
	"cmp"
	"context"
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
)

// Names of the queues and the tenants of the rig's manifest.
const (
	service      = "desk"
	queueHost    = "desk.example"
	prefix       = "/jobs/"
	urgentPrefix = "/urgent/"
	tenantKey    = "key-of-a-tenant"
	otherKey     = "key-of-another-tenant"
	leaseMs      = 6000
)

// quietLog drops the HTTP servers' own lines about broken connections.
type quietLog struct{}

func (quietLog) Write(b []byte) (int, error) { return len(b), nil }

// daemon is one process of the system.
type daemon struct {
	name, zone string
	ip         string
	storeAddr  string
	conf       string
	logPath    string
	cmd        *exec.Cmd
	done       chan struct{}
}

// site is a small deployment on loopback addresses.
type site struct {
	rec     *recorder
	aud     *auditor
	store   *store
	dir     string // temporary folder
	net     int    // second octet of the first of its loopback networks
	port    int    // first of the ports that are the same for all
	stop    chan struct{}
	daemons []*daemon
	runners []*runner
	view    func(d *daemon) view
	version int
	maxTry  int
	urgent  map[string]bool // jobs of the urgent queue
	owed    int             // accelerators that are guaranteed to the other tenant
	others  map[string]bool // jobs of the other tenant

	routeName string // of the first queue; "r-jobs" if empty
	labelled  bool   // the first runner is of another kind
}

const (
	portPeer = iota
	portFront
	portReady
	portStore
	portRunner
	portCount
)

// freePorts returns the first of some consecutive ports that are free at a loopback address.
func freePorts(ip string, n int) int {
	for base := 21000 + os.Getpid()%8000; ; base += n {
		free := true
		for i := range n {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+i))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return base
		}
	}
}

func newSite(rec *recorder, dir string) *site {
	network := 100 + os.Getpid()%20*7
	s := &site{rec: rec, aud: newAuditor(rec), store: newStore(rec), dir: dir, net: network, port: freePorts(fmt.Sprintf("127.%d.0.1", network), portCount), stop: make(chan struct{}), maxTry: 3, urgent: map[string]bool{}, others: map[string]bool{}}
	s.configure()
	return s
}

func (s *site) configure() {
	s.version += 3
	s.store.put("keyed.op", "config", map[string]any{
		"version":  s.version,
		"routes":   []any{s.route(cmp.Or(s.routeName, "r-jobs"), prefix, 1), s.route("r-urgent", urgentPrefix, 0)},
		"services": []any{map[string]any{"name": service, "maxConns": 64, "healthPath": "/healthz", "admissionCheck": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
		"tenants":  []any{tenant("t", tenantKey, 0), tenant("u", otherKey, s.owed)},
	})
}

func tenant(name, key string, gpu int) map[string]any {
	return map[string]any{"name": name, "apiKeys": []string{key}, "guaranteed": map[string]any{"gpu": gpu}}
}

func (s *site) route(name, prefix string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": queueHost, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": 60000,
		"priority": priority, "service": service, "maxAttempts": s.maxTry, "slackFactor": 3.0, "public": false,
	}
}

func (s *site) addr(network, host, port int) string {
	return fmt.Sprintf("127.%d.0.%d:%d", s.net+network, host, s.port+port)
}

// serve serves a handler at an address.
func (s *site) serve(addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ErrorLog: nil}
	server.ErrorLog = newQuietLogger()
	go func() { _ = server.Serve(ln) }()
	return nil
}

// addRunner adds a runner and starts its registration.
func (s *site) addRunner(r *runner, reaches func() bool) {
	r.service, r.lease, r.aud = service, leaseMs*time.Millisecond, s.aud
	r.boot()
	s.runners = append(s.runners, r)
	go r.register(s.store, reaches, s.stop)
}

// tickRunners advances all runners until the end.
func (s *site) tickRunners() {
	for {
		for _, r := range s.runners {
			r.tick()
		}
		select {
		case <-s.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// addDaemon writes the settings of a daemon, and gives it a path to the store of its own.
func (s *site) addDaemon(name, zone string, zones []string) (*daemon, error) {
	host := len(s.daemons) + 1
	d := &daemon{name: name, zone: zone, ip: fmt.Sprintf("127.%d.0.%d", s.net, host), storeAddr: s.addr(3, host, portStore)}
	v := view{}
	if s.view != nil {
		v = s.view(d)
	}
	if err := s.serve(d.storeAddr, s.store.handler(name, v)); err != nil {
		return nil, err
	}
	seeds := s.addr(0, 1, portPeer)
	lines := []string{
		"nodeName=" + name, "role=deckd", "machineClass=edge", "serves=edge", "ip=" + d.ip, "zone=" + zone, "region=r1",
		"listen.frontend=" + s.addr(0, host, portFront), "listen.ready=" + s.addr(0, host, portReady),
		fmt.Sprintf("portRange=%d,%d", s.port+portPeer, s.port+portPeer), "seeds=" + seeds, "bootstrap=true", "countsAsLoss=false",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=vip", "heartbeatMs=1500", "faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regionCount=0",
		"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.configApplyMs=2000", "bounds.evacuateMs=5000",
		fmt.Sprintf("bounds.maxHoldMs=%d", leaseMs), "bounds.stopMs=400", "bounds.gangTimeoutMs=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.fencingEnforced=false", "orders=call",
		"platform.address=" + d.storeAddr, "platform.form=log", "platform.writesPerS=600", "platform.readsPerS=2000", "platform.parts=12",
		fmt.Sprintf("platform.recordBytes=%d", recordBytes), fmt.Sprintf("platform.callBytes=%d", callBytes), "platform.keep_s=300",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"=r1")
	}
	d.conf, d.logPath = filepath.Join(s.dir, name+".conf"), filepath.Join(s.dir, name+".log")
	s.daemons = append(s.daemons, d)
	return d, os.WriteFile(d.conf, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// start starts a daemon's process with the command of the deploy file.
func (s *site) start(d *daemon) error {
	out, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/deckd", "site", "--metrics", "9464")
	cmd.Env = append(os.Environ(), "DRAGONFLYDECK_SETTINGS="+d.conf)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}(d.done)
	s.rec.notef("daemon %s in zone %s: started", d.name, d.zone)
	return nil
}

// terminate sends SIGTERM, and SIGKILL after graceS.
func (s *site) terminate(d *daemon) {
	s.rec.notef("daemon %s: SIGTERM", d.name)
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(6 * time.Second):
		_ = d.cmd.Process.Kill()
		<-d.done
	}
	s.rec.notef("daemon %s: has ended", d.name)
}

// close ends every process that the rig started.
func (s *site) close() {
	close(s.stop)
	for _, d := range s.daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Kill()
			<-d.done
		}
	}
}

// lines returns the lines of a daemon's log that hold all of the words.
func (d *daemon) lines(words ...string) []string {
	data, _ := os.ReadFile(d.logPath)
	var out []string
	for _, l := range strings.Split(string(data), "\n") {
		found := true
		for _, w := range words {
			found = found && strings.Contains(l, w)
		}
		if found {
			out = append(out, l)
		}
	}
	return out
}

// ready reports whether a daemon is ready.
func (s *site) ready(d *daemon) bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + net.JoinHostPort(d.ip, fmt.Sprint(s.port+portReady)) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all of the daemons are ready.
func (s *site) awaitReady(limit time.Duration, list ...*daemon) bool {
	return await(limit, func() bool {
		for _, d := range list {
			if !s.ready(d) {
				return false
			}
		}
		return true
	})
}

func await(limit time.Duration, what func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if what() {
			return true
		}
	}
	return false
}

// call makes one call of a requester at a daemon. Status 0 means no answer.
func (s *site) call(d *daemon, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	path := prefix + id
	if s.urgent[id] {
		path = urgentPrefix + id
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(d.ip, fmt.Sprint(s.port+portFront))+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = queueHost
	key := tenantKey
	if s.others[id] {
		key = otherKey
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	out, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(out))
}

// submit hands a job in, and does so again, at the next daemon, until it is accepted or the tries are used up.
func (s *site) submit(list []*daemon, tries int, id string, job any) bool {
	if body, err := json.Marshal(job); err == nil {
		s.rec.notef("requester: job %s: %s", id, body)
	}
	for try := range tries {
		d := list[try%len(list)]
		status, text := s.call(d, http.MethodPost, id, job)
		s.rec.notef("requester: POST %s at %s: %d %s", id, d.name, status, text)
		if status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for a job's state.
func (s *site) state(list []*daemon, id string) string {
	for _, d := range list {
		status, text := s.call(d, http.MethodGet, id, nil)
		var to struct{ State string }
		if status == http.StatusOK && json.Unmarshal([]byte(text), &to) == nil {
			return to.State
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return "no answer"
}

// job is the body of a job of one step.
func job(n need, count int, cpu, mem, gpu int64) map[string]any {
	spec, _ := json.Marshal(n)
	step := map[string]any{"count": count, "cpu": cpu, "memMb": mem, "estimateMs": n.Ms}
	if gpu > 0 {
		step["gpu"] = gpu
	}
	if n.Saves {
		step["checkpointing"] = true
	}
	return map[string]any{"spec": string(spec), "steps": []any{step}}
}

// partition cuts the links between two sides.
type partition struct {
	mu  sync.Mutex
	end chan struct{} // open while the links are cut
}

func (p *partition) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end = make(chan struct{})
}

func (p *partition) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end != nil {
		close(p.end)
		p.end = nil
	}
}

// now returns nil if the links work, else a channel that is closed when they do again.
func (p *partition) now() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end == nil {
		return nil
	}
	return p.end
}
