// Package soak runs the daemons of a site as processes under load and injects
// faults from outside, in an order that is determined by a seed.
package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dragonflydeck.example/standin/engine"
	"dragonflydeck.example/standin/relay"
	"dragonflydeck.example/standin/store"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

const (
	daemonCount = 4
	engineCount = 8
	service     = "desk"
	hostName    = "desk.example"
	pathPrefix  = "/jobs/"
	largeSpace  = "a" // workspace whose cap does not change
	smallSpace  = "b" // workspace with a small cap that changes

	topicOperator = "keyed.op"
	topicWorkers  = "keyed.servers"

	entryInterval = 1500 * time.Millisecond // between two discovery entries of a worker
	leaseDuration = 6 * time.Second
	stopTimeout   = 400 * time.Millisecond        // upper bound of a stop by a worker
	drainTime     = 2 * time.Second               // a worker that leaves gets no start later than this after its notice
	shrinkTime    = 3*time.Second + entryInterval // a capacity that has shrunk counts from then on
	capTime       = 3*time.Second + leaseDuration // a cap that was lowered counts from then on: it is read, and the starts sent before can no longer arrive
)

// domains are the failure domains of the workers.
var domains = []string{"d0", "d1"}

// fullRoom is the capacity of a worker that has not shrunk.
var fullRoom = engine.Room{Cores: 64000, Mem: 131072, Accels: 8}

// speeds are those of the workers, in turn; they differ by more than placement ignores.
var speeds = []float64{1, 0.7, 1.4}

// largeCap is seven eighths of the site.
var largeCap = engine.Room{Cores: 7 * fullRoom.Cores, Mem: 7 * fullRoom.Mem, Accels: 7 * fullRoom.Accels}

// smallestAccels is the number of accelerators that every cap of the small workspace allows.
const smallestAccels = 16

// smallCaps are the caps of the small workspace to choose from. Each leaves room for any
// job of the load that needs at most smallestAccels at once.
var smallCaps = []engine.Room{{Accels: smallestAccels}, {Accels: 32}, {Cores: 6000, Accels: 24}, {Mem: 8192}, {}}

// The programs, built for this run.
var deckdPath, deckPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	deckdPath, deckPath = filepath.Join(dir, "deckd"), filepath.Join(dir, "deck")
	for path, module := range map[string]string{deckdPath: "dragonflydeck.example/deckd", deckPath: "dragonflydeck.example/deck"} {
		if out, err := exec.Command("go", "build", "-o", path, module).CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

var lastPort atomic.Int32

// addrs returns consecutive addresses on a loopback IP address derived from the id
// of this process, with ports below the range that outgoing connections use.
func addrs(t *testing.T, n int) []string {
	t.Helper()
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid>>16&63), byte(pid>>8), byte(pid))
	first := 20000 + int(lastPort.Add(int32(n))) - n
	var out []string
	for i := range n {
		out = append(out, net.JoinHostPort(ip.String(), fmt.Sprint(first+i)))
	}
	return out
}

// daemon is one process and the relay between it and the store.
type daemon struct {
	name       string
	frontend   string
	metrics    string // port
	peer       string
	storeRelay *relay.Relay
	path       string // of the settings file

	mu   sync.Mutex
	cmd  *exec.Cmd
	out  bytes.Buffer
	done chan struct{}
}

// Write collects the output of the process.
func (d *daemon) Write(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.out.Write(b)
}

func (d *daemon) start(t *testing.T) {
	cmd := exec.Command(deckdPath, "site", "--lines", "100000", "--metrics", d.metrics)
	cmd.Env = append(os.Environ(), "DRAGONFLYDECK_SETTINGS="+d.path)
	cmd.Stdout, cmd.Stderr = d, d
	if err := cmd.Start(); err != nil {
		t.Errorf("start %s: %v", d.name, err)
		return
	}
	d.cmd, d.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(d.done)
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.done
}

// gracePeriod is how long a graceful stop may take before the process is killed.
const gracePeriod = 6 * time.Second

// exited reports whether the process has ended.
func (d *daemon) exited() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// resume continues a frozen process, and starts a new one if it has ended.
func (d *daemon) resume(t *testing.T) {
	d.signal(syscall.SIGCONT)
	if d.exited() {
		d.start(t)
	}
}

// stop stops the process as the platform does: with SIGTERM, and SIGKILL after the
// grace period.
func (d *daemon) stop() {
	d.signal(syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(gracePeriod):
		d.kill()
	}
}

// metricsPage returns the metrics page of a daemon; empty if there is no answer.
func (d *daemon) metricsPage() string {
	ip, _, _ := net.SplitHostPort(d.peer)
	status, body, err := fasthttp.GetTimeout(nil, "http://"+net.JoinHostPort(ip, d.metrics)+"/metrics", 300*time.Millisecond)
	if err != nil || status != fasthttp.StatusOK {
		return ""
	}
	return string(body)
}

// worker is a simulated worker, an engine, behind a relay.
type worker struct {
	*engine.Engine
	id    string
	addr  string
	relay *relay.Relay
}

// rig is a complete site on this machine, with stand-ins for the platform.
type rig struct {
	t           *testing.T
	store       *store.Store
	auditor     *engine.Auditor
	daemons     []*daemon
	workers     []*worker
	stop        chan struct{}
	group       sync.WaitGroup
	version     atomic.Int64
	faultsEnded time.Time // when the last fault ended
	deadly      []*job    // jobs with a task that crashes its workers
	smallCap    engine.Room
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, store: store.New(), auditor: engine.NewAuditor(), stop: make(chan struct{})}
	at := r.serve(addrs(t, 1)[0], r.store.Handle)
	r.auditor.SetCap(largeSpace, largeCap, 0)
	r.changeCap(smallCaps[0], 0)
	for i := range engineCount {
		r.addWorker(i)
	}
	r.group.Go(r.publishEntries)
	r.group.Go(r.tickEngines)
	for i := range daemonCount {
		r.addDaemon(fmt.Sprint("e", i+1), at)
	}
	t.Cleanup(r.close)
	return r
}

func (r *rig) serve(addr string, h fasthttp.RequestHandler) string {
	r.t.Helper()
	ln, err := net.Listen("tcp", addr)
	qt.Assert(r.t, err, qt.IsNil)
	server := &fasthttp.Server{Handler: h, Logger: discardLogger{}}
	go func() { _ = server.Serve(ln) }()
	r.t.Cleanup(func() { _ = ln.Close() })
	return addr
}

// discardLogger drops the HTTP server's log lines about broken connections.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// configure stores a new version of the operator's configuration.
func (r *rig) configure() {
	tenant := func(name string, weight, guaranteed int, limit engine.Room) map[string]any {
		return map[string]any{
			"name": name, "apiKeys": []string{keyOf(name)}, "guaranteed": map[string]any{"gpu": guaranteed}, "weight": weight,
			"cap": map[string]any{"cpu": limit.Cores, "memMb": limit.Mem, "gpu": limit.Accels},
		}
	}
	route := func(name string, priority int, slack float64) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "pathPrefix": pathPrefix + name + "/", "kind": "non_idempotent", "timeoutMs": 3000,
			"targetDurationMs": 1000, "priority": priority, "service": service, "maxAttempts": 20, "slackFactor": slack,
		}
	}
	err := r.store.Put(topicOperator, "config", map[string]any{
		"version":  r.version.Add(1),
		"routes":   []any{route("urgent", 0, 1.5), route("long", 1, 3), route("bulk", 2, 3)},
		"services": []any{map[string]any{"name": service, "maxConns": 64}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
		"tenants":  []any{tenant(largeSpace, 4, 8, largeCap), tenant(smallSpace, 1, 0, r.smallCap)},
	})
	qt.Check(r.t, err, qt.IsNil)
}

// changeCap changes the cap of the small workspace. One that it lowers counts after graceTime.
func (r *rig) changeCap(to engine.Room, graceTime time.Duration) {
	r.smallCap = to
	r.auditor.SetCap(smallSpace, to, graceTime)
	r.configure()
}

func (r *rig) addWorker(i int) {
	at := addrs(r.t, 2)
	e := engine.New(engine.Options{
		ID: fmt.Sprint("w", i), Zone: domains[i%len(domains)], Rack: fmt.Sprint("r", i/4), Room: fullRoom, Speed: speeds[i%len(speeds)],
		MaxLease: leaseDuration, StopTime: 200 * time.Millisecond, GangTimeout: 3 * time.Second, DrainTime: drainTime, ShrinkTime: shrinkTime, Auditor: r.auditor,
	})
	r.serve(at[0], e.Handle)
	proxy, err := relay.New(at[1], at[0])
	qt.Assert(r.t, err, qt.IsNil)
	r.workers = append(r.workers, &worker{e, fmt.Sprint("w", i), at[1], proxy})
}

// publishEntries stores the workers' discovery entries periodically.
func (r *rig) publishEntries() {
	for {
		for _, e := range r.workers {
			if e.Down() {
				continue
			}
			entry := e.Entry(service, e.addr)
			qt.Check(r.t, r.store.Put(topicWorkers, e.id, entry), qt.IsNil)
			e.NoteStored(entry)
		}
		select {
		case <-r.stop:
			return
		case <-time.After(entryInterval):
		}
	}
}

// tickEngines advances the engines, so that their runs end on time.
func (r *rig) tickEngines() {
	for {
		for _, e := range r.workers {
			e.Tick()
		}
		select {
		case <-r.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (r *rig) addDaemon(name, storeAt string) {
	at := addrs(r.t, 6)
	proxy, err := relay.New(at[4], storeAt)
	qt.Assert(r.t, err, qt.IsNil)
	ip, port, err := net.SplitHostPort(at[0])
	qt.Assert(r.t, err, qt.IsNil)
	_, metrics, err := net.SplitHostPort(at[5])
	qt.Assert(r.t, err, qt.IsNil)
	d := &daemon{name: name, frontend: at[2], metrics: metrics, peer: at[0], storeRelay: proxy, path: filepath.Join(r.t.TempDir(), name+".conf")}
	lines := []string{
		"nodeName=" + name, "zone=d0", "ip=" + ip, "portRange=" + port + "," + port,
		"listen.frontend=" + at[2], "listen.ready=" + at[3], "platform.address=" + at[4],
		fmt.Sprint("bounds.maxHoldMs=", leaseDuration.Milliseconds()), fmt.Sprint("bounds.stopMs=", stopTimeout.Milliseconds()), "bounds.gangTimeoutMs=3000", fmt.Sprint("bounds.drainMs=", drainTime.Milliseconds()),
		"bounds.status_s=600", "bounds.graceS=6", "limits.memoryMb=284", "limits.cpuShare=0.4", "limits.cores=1",
	}
	qt.Assert(r.t, os.WriteFile(d.path, []byte(strings.Join(lines, "\n")+"\n"), 0o600), qt.IsNil)
	r.daemons = append(r.daemons, d)
	d.start(r.t)
}

func (r *rig) close() {
	for _, d := range r.daemons {
		d.kill()
		d.storeRelay.Close()
	}
	close(r.stop)
	r.group.Wait()
	for _, e := range r.workers {
		e.relay.Close()
	}
	if dir := os.Getenv("SOAK_LOGS"); dir != "" && r.t.Failed() {
		for _, d := range r.daemons {
			path := filepath.Join(dir, strings.ReplaceAll(r.t.Name(), "/", "-")+"-"+d.name+".log")
			_ = os.WriteFile(path, d.out.Bytes(), 0o600)
		}
	}
}
