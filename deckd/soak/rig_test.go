// Package soak runs the daemons of a site as processes and injects faults from
// outside them, in an order that a seed gives.
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
	daemons = 4
	engines = 8
	service = "desk"
	key     = "key-a"
	host    = "desk.example"
	prefix  = "/jobs/"

	topicOrders  = "keyed.op"
	topicWorkers = "keyed.servers"

	beatSpan  = 1500 * time.Millisecond // between two entries of an engine
	leaseSpan = 6 * time.Second
	stopSpan  = 400 * time.Millisecond // a stop takes at most
)

// The programs, built for this run.
var binary, deck string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	binary, deck = filepath.Join(dir, "deckd"), filepath.Join(dir, "deck")
	for path, module := range map[string]string{binary: "dragonflydeck.example/deckd", deck: "dragonflydeck.example/deck"} {
		if out, err := exec.Command("go", "build", "-o", path, module).CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

var lastPort atomic.Int32

// addrs gives consecutive addresses on a loopback IP number of this process,
// with ports that no outgoing connection gets.
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
	name    string
	front   string
	metrics string // port
	peer    string
	link    *relay.Relay
	path    string // of the settings file

	mu   sync.Mutex
	cmd  *exec.Cmd
	out  bytes.Buffer
	done chan struct{}
}

// Write keeps what the process writes.
func (d *daemon) Write(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.out.Write(b)
}

func (d *daemon) start(t *testing.T) {
	cmd := exec.Command(binary, "site", "--lines", "100000", "--metrics", d.metrics)
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

// graceSpan is how long a stop may take before the process is killed.
const graceSpan = 6 * time.Second

// ended reports whether the process is gone.
func (d *daemon) ended() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// revive wakes the process up, and starts another one if it has ended.
func (d *daemon) revive(t *testing.T) {
	d.signal(syscall.SIGCONT)
	if d.ended() {
		d.start(t)
	}
}

// stop stops the process as the platform does: gracefully, then by force.
func (d *daemon) stop() {
	d.signal(syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(graceSpan):
		d.kill()
	}
}

// one is an engine with the relay in front of it.
type one struct {
	*engine.Engine
	id   string
	addr string
	link *relay.Relay
}

// rig is a whole site on this machine.
type rig struct {
	t       *testing.T
	store   *store.Store
	ledger  *engine.Ledger
	daemons []*daemon
	engines []*one
	stop    chan struct{}
	group   sync.WaitGroup
	version atomic.Int64
	calm    time.Time // when the last fault was undone
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, store: store.New(), ledger: engine.NewLedger(), stop: make(chan struct{})}
	at := r.serve(addrs(t, 1)[0], r.store.Handle)
	r.configure()
	for i := range engines {
		r.addEngine(i)
	}
	r.group.Go(r.beats)
	r.group.Go(r.ticks)
	for i := range daemons {
		r.addDaemon(fmt.Sprint("e", i+1), at)
	}
	t.Cleanup(r.close)
	return r
}

func (r *rig) serve(addr string, h fasthttp.RequestHandler) string {
	r.t.Helper()
	ln, err := net.Listen("tcp", addr)
	qt.Assert(r.t, err, qt.IsNil)
	server := &fasthttp.Server{Handler: h, Logger: quiet{}}
	go func() { _ = server.Serve(ln) }()
	r.t.Cleanup(func() { _ = ln.Close() })
	return addr
}

// quiet drops the server's lines about connections that were cut.
type quiet struct{}

// Printf does nothing.
func (quiet) Printf(string, ...any) {}

// configure writes a newer version of the operator's configuration.
func (r *rig) configure() {
	route := func(name string, priority int, slack float64) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix + name + "/", "kind": "non_idempotent", "timeoutMs": 3000,
			"targetDurationMs": 1000, "priority": priority, "service": service, "maxAttempts": 20, "slackFactor": slack,
		}
	}
	err := r.store.Put(topicOrders, "config", map[string]any{
		"version":  r.version.Add(1),
		"routes":   []any{route("urgent", 0, 1.5), route("long", 1, 3), route("bulk", 2, 3)},
		"services": []any{map[string]any{"name": service, "maxConns": 64}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
		"tenants":  []any{map[string]any{"name": "a", "apiKeys": []string{key}, "guaranteed": map[string]any{"gpu": 8}}},
	})
	qt.Check(r.t, err, qt.IsNil)
}

func (r *rig) addEngine(i int) {
	at := addrs(r.t, 2)
	e := engine.New(engine.Options{
		ID: fmt.Sprint("w", i), Zone: fmt.Sprint("d", i%2), Rack: fmt.Sprint("r", i/4), Cores: 64000, Mem: 131072, Accels: 8,
		Lease: leaseSpan, Stop: 200 * time.Millisecond, Gang: 3 * time.Second, Ledger: r.ledger,
	})
	r.serve(at[0], e.Handle)
	link, err := relay.New(at[1], at[0])
	qt.Assert(r.t, err, qt.IsNil)
	r.engines = append(r.engines, &one{e, fmt.Sprint("w", i), at[1], link})
}

// beats writes the engines' entries.
func (r *rig) beats() {
	for {
		for _, e := range r.engines {
			qt.Check(r.t, r.store.Put(topicWorkers, e.id, e.Entry(service, e.addr)), qt.IsNil)
		}
		select {
		case <-r.stop:
			return
		case <-time.After(beatSpan):
		}
	}
}

// ticks lets the engines' runs end on time.
func (r *rig) ticks() {
	for {
		for _, e := range r.engines {
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
	link, err := relay.New(at[4], storeAt)
	qt.Assert(r.t, err, qt.IsNil)
	ip, port, err := net.SplitHostPort(at[0])
	qt.Assert(r.t, err, qt.IsNil)
	_, metrics, err := net.SplitHostPort(at[5])
	qt.Assert(r.t, err, qt.IsNil)
	d := &daemon{name: name, front: at[2], metrics: metrics, peer: at[0], link: link, path: filepath.Join(r.t.TempDir(), name+".conf")}
	lines := []string{
		"nodeName=" + name, "zone=d0", "ip=" + ip, "portRange=" + port + "," + port,
		"listen.frontend=" + at[2], "listen.ready=" + at[3], "platform.address=" + at[4],
		fmt.Sprint("bounds.maxHoldMs=", leaseSpan.Milliseconds()), fmt.Sprint("bounds.stopMs=", stopSpan.Milliseconds()), "bounds.gangTimeoutMs=3000", "bounds.drainMs=2000",
		"bounds.status_s=600", "bounds.graceS=6", "limits.memoryMb=284", "limits.cpuShare=0.4", "limits.cores=1",
	}
	qt.Assert(r.t, os.WriteFile(d.path, []byte(strings.Join(lines, "\n")+"\n"), 0o600), qt.IsNil)
	r.daemons = append(r.daemons, d)
	d.start(r.t)
}

func (r *rig) close() {
	for _, d := range r.daemons {
		d.kill()
		d.link.Close()
	}
	close(r.stop)
	r.group.Wait()
	for _, e := range r.engines {
		e.link.Close()
	}
	if dir := os.Getenv("SOAK_LOGS"); dir != "" && r.t.Failed() {
		for _, d := range r.daemons {
			path := filepath.Join(dir, strings.ReplaceAll(r.t.Name(), "/", "-")+"-"+d.name+".log")
			_ = os.WriteFile(path, d.out.Bytes(), 0o600)
		}
	}
}
