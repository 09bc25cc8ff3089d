// Package e2e tests the programs as real processes, for failures that need a
// process: being killed, frozen or stopped, and receiving malformed input.
package e2e

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"dragonflydeck.example/fleet/client"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"
)

var binDir string // directory of the programs, built for this run

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "deck")
	if err != nil {
		panic(err)
	}
	binDir = dir
	for _, p := range []string{"deckd", "standin", "deck"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, p), "dragonflydeck.example/"+p).CombinedOutput()
		if err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// proc is a running program and its output.
type proc struct {
	cmd  *exec.Cmd
	mu   sync.Mutex
	out  bytes.Buffer
	done chan struct{} // closed when the process has ended
}

func (p *proc) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.Write(b)
}

func (p *proc) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

// run starts a program, which is killed at the end of the test.
func run(t *testing.T, name string, args ...string) *proc {
	t.Helper()
	p := &proc{cmd: exec.Command(filepath.Join(binDir, name), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	qt.Assert(t, p.cmd.Start(), qt.IsNil)
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.kill)
	return p
}

// kill kills the process and waits for it to end.
func (p *proc) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// exitStatus waits for the process to end and returns its exit status, or -1 if it
// has not ended in time.
func (p *proc) exitStatus(timeout time.Duration) int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// site is one failure domain with two entry hosts, run as processes.
type site struct {
	t      *testing.T
	pool   *client.Pool
	hosts  []*wire.Host
	log    string
	roster string
	procs  map[string]*proc
}

func newSite(t *testing.T) *site {
	s := &site{t: t, pool: client.NewPool(), log: freeAddr(t), roster: freeAddr(t), procs: map[string]*proc{}}
	for i := 1; i <= 2; i++ {
		s.addHost(&wire.Host{Id: fmt.Sprint("e", i), Role: wire.Role_ENTRY})
		s.addHost(&wire.Host{Id: fmt.Sprint("w", i), Role: wire.Role_WORKER, Total: &wire.Res{Cores: 16000, Mem: 65536, Accels: 4}})
		s.addHost(&wire.Host{Id: fmt.Sprint("r", i), Role: wire.Role_RUNNER, Slots: 8, Conns: 60})
	}
	data, err := protojson.Marshal(&wire.ListReply{Hosts: s.hosts})
	qt.Assert(t, err, qt.IsNil)
	file := filepath.Join(t.TempDir(), "hosts.json")
	qt.Assert(t, os.WriteFile(file, data, 0o600), qt.IsNil)
	t.Cleanup(s.logOutput)
	s.procs["platform"] = run(t, "standin", "platform", "--log", s.log, "--list", s.roster, "--hosts", file)
	s.procs["backend"] = run(t, "standin", "backend", "--hosts", file, "--domain", "d1")
	s.startDaemon("e1")
	s.startDaemon("e2")
	s.waitFor(30*time.Second, "two ready daemons", func() bool { return s.ready("e1") && s.ready("e2") })
	s.waitFor(30*time.Second, "a lead", func() bool { return s.lead("e1") != "" })
	return s
}

// logOutput logs the output of all programs if the test failed.
func (s *site) logOutput() {
	if !s.t.Failed() {
		return
	}
	for name, p := range s.procs {
		s.t.Logf("--- %s\n%s", name, p.output())
	}
}

func (s *site) addHost(h *wire.Host) {
	h.Domain, h.Addr = "d1", freeAddr(s.t)
	s.hosts = append(s.hosts, h)
}

func (s *site) addr(id string) string {
	for _, h := range s.hosts {
		if h.Id == id {
			return h.Addr
		}
	}
	return ""
}

func (s *site) startDaemon(id string) {
	s.procs[id] = run(s.t, "deckd", "run", "--host", id, "--domain", "d1", "--listen", s.addr(id),
		"--log", s.log, "--roster", s.roster, "--seats", "2", "--lame", "1s")
}

func (s *site) desk(id string) wire.Desk { return s.pool.Desk(s.addr(id)) }

func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 10*time.Second)
}

func (s *site) ready(id string) bool {
	ctx, cancel := callContext()
	defer cancel()
	h, err := s.desk(id).Health(ctx, &wire.HealthAsk{})
	return err == nil && h.Ready
}

// lead returns the lead that a daemon reports, or "" if it knows none.
func (s *site) lead(at string) string {
	ctx, cancel := callContext()
	defer cancel()
	r, err := s.desk(at).Domains(ctx, &wire.DomainsAsk{})
	if err != nil || len(r.Domains) == 0 {
		return ""
	}
	return r.Domains[0].Lead
}

func (s *site) job(at, id string) *wire.Job {
	ctx, cancel := callContext()
	defer cancel()
	r, err := s.desk(at).Jobs(ctx, &wire.JobsAsk{Job: id})
	if err != nil {
		return nil
	}
	return r.Jobs[0]
}

// startGang submits a gang of eight tasks that run for span, and waits until all
// of them have started.
func (s *site) startGang(at, id string, span time.Duration) {
	s.t.Helper()
	ctx, cancel := callContext()
	defer cancel()
	_, err := s.desk(at).SetSpace(ctx, &wire.SpaceAsk{Space: &wire.Space{Name: "orders"}})
	qt.Assert(s.t, err, qt.IsNil)
	_, err = s.desk(at).Submit(ctx, &wire.SubmitAsk{Spec: &wire.Spec{
		Id: id, Space: "orders", Tasks: 8, Each: &wire.Res{Cores: 1000, Mem: 1024, Accels: 1}, Span: span.Milliseconds(),
	}})
	qt.Assert(s.t, err, qt.IsNil)
	s.waitFor(30*time.Second, "the gang", func() bool { return s.gangRunning(at, id) })
}

// gangRunning reports whether the lead has seen every task of a gang start. The
// phase of the job does not show that: a gang counts as placed as soon as its record is
// in the log, when no start may have been ordered yet.
func (s *site) gangRunning(at, id string) bool {
	ctx, cancel := callContext()
	defer cancel()
	r, err := s.desk(at).Explain(ctx, &wire.ExplainAsk{Name: id})
	if err != nil {
		return false
	}
	return slices.ContainsFunc(r.Notes, func(n *wire.Note) bool { return n.Code == int32(event.JobRunning) })
}

// waitFor polls a condition and fails the test if it isn't met in time.
func (s *site) waitFor(timeout time.Duration, what string, ok func() bool) {
	s.t.Helper()
	end := time.Now().Add(timeout)
	for !ok() {
		if time.Now().After(end) {
			s.t.Fatalf("timed out waiting for %s (after %s)", what, timeout)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func otherDaemon(id string) string {
	if id == "e1" {
		return "e2"
	}
	return "e1"
}
