// Package e2e runs the real programs as processes, for failures that only a
// process can show: being killed, frozen, stopped and fed nonsense.
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

	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/link"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"
)

var bins string // where the programs are

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "deck")
	if err != nil {
		panic(err)
	}
	bins = dir
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

// proc is a running program and what it wrote.
type proc struct {
	cmd  *exec.Cmd
	mu   sync.Mutex
	out  bytes.Buffer
	done chan struct{} // closed when it has ended
}

func (p *proc) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.Write(b)
}

func (p *proc) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

func run(t *testing.T, name string, args ...string) *proc {
	t.Helper()
	p := &proc{cmd: exec.Command(filepath.Join(bins, name), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	qt.Assert(t, p.cmd.Start(), qt.IsNil)
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.end)
	return p
}

// end kills a program and waits until it is gone.
func (p *proc) end() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// status waits for the end of a program, -1 if it does not come.
func (p *proc) status(most time.Duration) int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(most):
		return -1
	}
}

// site is one failure domain with two entry hosts, as processes.
type site struct {
	t     *testing.T
	pool  *link.Pool
	hosts []*wire.Host
	log   string
	list  string
	procs map[string]*proc
}

func newSite(t *testing.T) *site {
	s := &site{t: t, pool: link.NewPool(), log: freeAddr(t), list: freeAddr(t), procs: map[string]*proc{}}
	for i := 1; i <= 2; i++ {
		s.add(&wire.Host{Id: fmt.Sprint("e", i), Role: wire.Role_ENTRY})
		s.add(&wire.Host{Id: fmt.Sprint("w", i), Role: wire.Role_WORKER, Total: &wire.Res{Cores: 16000, Mem: 65536, Accels: 4}})
		s.add(&wire.Host{Id: fmt.Sprint("r", i), Role: wire.Role_RUNNER, Slots: 8, Conns: 60})
	}
	data, err := protojson.Marshal(&wire.ListReply{Hosts: s.hosts})
	qt.Assert(t, err, qt.IsNil)
	file := filepath.Join(t.TempDir(), "hosts.json")
	qt.Assert(t, os.WriteFile(file, data, 0o600), qt.IsNil)
	t.Cleanup(s.show)
	s.procs["platform"] = run(t, "standin", "platform", "--log", s.log, "--list", s.list, "--hosts", file)
	s.procs["backend"] = run(t, "standin", "backend", "--hosts", file, "--domain", "d1")
	s.startDaemon("e1")
	s.startDaemon("e2")
	s.until(30*time.Second, "two daemons that are ready", func() bool { return s.ready("e1") && s.ready("e2") })
	s.until(30*time.Second, "a lead", func() bool { return s.lead("e1") != "" })
	return s
}

// show prints what the programs wrote if the test failed.
func (s *site) show() {
	if !s.t.Failed() {
		return
	}
	for name, p := range s.procs {
		s.t.Logf("--- %s\n%s", name, p.text())
	}
}

func (s *site) add(h *wire.Host) {
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
		"--log", s.log, "--roster", s.list, "--seats", "2", "--lame", "1s")
}

func (s *site) desk(id string) wire.Desk { return s.pool.Desk(s.addr(id)) }

func soon() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 10*time.Second)
}

func (s *site) ready(id string) bool {
	ctx, cancel := soon()
	defer cancel()
	h, err := s.desk(id).Health(ctx, &wire.HealthAsk{})
	return err == nil && h.Ready
}

func (s *site) lead(at string) string {
	ctx, cancel := soon()
	defer cancel()
	r, err := s.desk(at).Domains(ctx, &wire.DomainsAsk{})
	if err != nil || len(r.Domains) == 0 {
		return ""
	}
	return r.Domains[0].Lead
}

func (s *site) job(at, id string) *wire.Job {
	ctx, cancel := soon()
	defer cancel()
	r, err := s.desk(at).Jobs(ctx, &wire.JobsAsk{Job: id})
	if err != nil {
		return nil
	}
	return r.Jobs[0]
}

// gang submits a gang of eight that takes a while, and waits until it runs.
func (s *site) gang(at, id string, span time.Duration) {
	s.t.Helper()
	ctx, cancel := soon()
	defer cancel()
	_, err := s.desk(at).SetSpace(ctx, &wire.SpaceAsk{Space: &wire.Space{Name: "orders"}})
	qt.Assert(s.t, err, qt.IsNil)
	_, err = s.desk(at).Submit(ctx, &wire.SubmitAsk{Spec: &wire.Spec{
		Id: id, Space: "orders", Tasks: 8, Each: &wire.Res{Cores: 1000, Mem: 1024, Accels: 1}, Span: span.Milliseconds(),
	}})
	qt.Assert(s.t, err, qt.IsNil)
	s.until(30*time.Second, "the gang", func() bool { return s.runs(at, id) })
}

// runs reports whether the lead has seen every part of a gang start. That the
// gang is placed says only that its record is in the log: no order may have
// been given yet.
func (s *site) runs(at, id string) bool {
	ctx, cancel := soon()
	defer cancel()
	r, err := s.desk(at).Explain(ctx, &wire.ExplainAsk{Name: id})
	if err != nil {
		return false
	}
	return slices.ContainsFunc(r.Notes, func(n *wire.Note) bool { return n.Code == int32(event.JobRunning) })
}

func (s *site) until(most time.Duration, what string, ok func() bool) {
	s.t.Helper()
	end := time.Now().Add(most)
	for !ok() {
		if time.Now().After(end) {
			s.t.Fatalf("%s did not come about within %s", what, most)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func other(id string) string {
	if id == "e1" {
		return "e2"
	}
	return "e1"
}
