// Package site runs the daemon of a site whose jobs are scheduled by an elected
// lead. It connects the control logic of package sched, which does no I/O, with
// callers, workers, the store and the other daemons.
package site

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/client"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/logger"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/serve"
	"dragonflydeck.example/fleet/timer"
	"dragonflydeck.example/fleet/wire"
	"golang.org/x/sync/errgroup"
)

// Limits of the phases of a graceful shutdown. Together they are shorter than the
// grace period that the platform gives.
const (
	lameDuckTime      = 2500 * time.Millisecond // for the load balancer to notice that the daemon is not ready
	serverStopTimeout = 2 * time.Second         // for callers' requests in flight
	callsStopTimeout  = 500 * time.Millisecond  // for outgoing calls to the store and to workers
)

// memoryShare is the fraction of the process's memory limit that is set as Go's
// soft memory limit, above which garbage is collected more often.
const memoryShare = 0.6

// Site is a daemon of a site.
type Site struct {
	settings      fleet.SiteSettings
	options       Options
	self          sched.Identity // its Inc is that of the start, see incarnation
	deps          Dependencies
	pool          *client.Pool
	logger        *logger.Logger
	timer         *timer.Service
	loop          *controlLoop
	dispatcher    *dispatcher
	members       *members
	operator      *operatorRecords
	heartbeats    *heartbeats
	submitWaiters *waiters[*wire.HandReply]
	cancelWaiters *waiters[*wire.FlowReply]
	statusWaiters *waiters[*wire.FlowReply]

	view      atomic.Pointer[leadView] // what is known about the lead
	leadHeard atomic.Bool              // the lead was heard recently, so this daemon can serve callers
	leaving   atomic.Bool

	leadGained chan struct{} // receives when this daemon becomes the lead

	newerThan     atomic.Int64  // newest recorded incarnation of this host's former processes
	entry         sync.Mutex    // held while this daemon's entry is being stored
	registered    atomic.Bool   // its entry was stored
	entryReplaced chan struct{} // receives when the stored entry is not the one of this process
}

// Options holds the settings that come from flags and environment variables instead
// of the platform's settings file.
type Options struct {
	Level   string `env:"LEVEL" envDefault:"info" validate:"oneof=debug info warn error" help:"minimum level of log lines"`
	Metrics int    `env:"METRICS" envDefault:"9464" validate:"min=1,max=65535" help:"port of the metrics page, on the host's address"`
	Lines   int    `env:"LINES" envDefault:"200" validate:"min=1,max=100000" help:"log lines per second for each kind of event; further lines are only counted"`
}

// New returns a daemon that is not started yet. It logs to w.
func New(s fleet.SiteSettings, options Options, deps Dependencies, w io.Writer) *Site {
	site := &Site{
		settings: s, options: options, deps: deps, pool: client.NewPool(), members: newMembers(),
		self: sched.Identity{
			Host: s.Host, Addr: s.Peer, Domain: s.Domain,
			Inc: fleet.Incarnation(time.Now().UnixMilli()), Power: s.Power,
		},
		submitWaiters: newWaiters[*wire.HandReply](), cancelWaiters: newWaiters[*wire.FlowReply](), statusWaiters: newWaiters[*wire.FlowReply](),
		logger: logger.NewAsync(s.Host, options.Level, options.Lines, w), leadGained: make(chan struct{}, 1),
		entryReplaced: make(chan struct{}, 1),
	}
	site.operator = newOperatorRecords(site)
	site.view.Store(&leadView{})
	return site
}

// Run runs the daemon until the context ends, and then shuts it down gracefully.
func (s *Site) Run(ctx context.Context) error {
	setMemoryLimit(s.settings.Memory)
	s.log(event.ProcessStarted, string(s.self.Host), "domain=%s peer=%s front=%s store=%s lease=%s memory=%d", s.self.Domain, s.self.Addr, s.settings.Front, s.settings.Store, s.settings.Lease, s.settings.Memory)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, err := s.listen()
	if err != nil {
		return err
	}
	s.start(background)
	var group errgroup.Group
	for _, server := range servers {
		group.Go(server.Run)
	}
	<-ctx.Done()
	s.leave(background)
	errs := s.stopServers(servers)
	cancel()
	s.heartbeats.conn.Close()
	<-s.loop.Ended()
	s.timer.Wait()
	s.awaitCalls(callsStopTimeout)
	s.log(event.ProcessStopped, string(s.self.Host), "")
	return errors.Join(errs, group.Wait(), s.logger.Close())
}

// Reload applies reloaded settings, or logs the error if they could not be read.
// Changed addresses take effect only at the next start.
func (s *Site) Reload(to fleet.SiteSettings, err error) {
	if err != nil {
		s.log(event.ReloadFailed, string(s.self.Host), "%v", err)
		return
	}
	s.log(event.Reloaded, string(s.self.Host), "lease=%s stop=%s status=%s memory=%d", to.Lease, to.Stop, to.Status, to.Memory)
	setMemoryLimit(to.Memory)
	s.loop.Post(sched.LimitsChanged{Limits: limitsOf(to)})
}

func limitsOf(s fleet.SiteSettings) sched.Limits {
	return sched.Limits{Lease: s.Lease, Stop: s.Stop, Gang: s.Gang, Drain: s.Drain, Status: s.Status, Record: int(s.Record)}
}

func setMemoryLimit(limit fleet.Mebibytes) {
	debug.SetMemoryLimit(int64(memoryShare * float64(limit) * (1 << 20)))
}

// listen starts listening on every address of the daemon.
func (s *Site) listen() ([]*serve.Server, error) {
	var err error
	if s.heartbeats, err = listenHeartbeats(s, s.settings.Peer); err != nil {
		return nil, err
	}
	front := s.deps.NewFrontend(s)
	site := wire.NewSiteServer(siteServer{s})
	peers, err := serve.Listen(s.settings.Peer, []serve.Route{{Prefix: site.PathPrefix(), Handler: site}}, nil)
	if err != nil {
		return nil, err
	}
	callers, err := serve.ListenHandler(s.settings.Front, front.Handle)
	if err != nil {
		return nil, err
	}
	ready, err := serve.ListenHandler(s.settings.Ready, front.Readiness)
	if err != nil {
		return nil, err
	}
	servers := []*serve.Server{callers, ready, peers}
	metrics, err := serve.Listen(net.JoinHostPort(s.settings.IP, strconv.Itoa(s.options.Metrics)), nil, []serve.Page{{Path: "/metrics", Body: s.metrics}})
	if err != nil {
		// Serving callers doesn't depend on the metrics page.
		s.log(event.NoMetrics, string(s.self.Host), "%v", err)
		return servers, nil
	}
	return append(servers, metrics), nil
}

// start starts the background goroutines, which run until the context ends.
func (s *Site) start(ctx context.Context) {
	s.timer = timer.New(ctx)
	s.dispatcher = &dispatcher{ctx: ctx, site: s}
	s.loop = s.newLoop(sched.New(s.self, limitsOf(s.settings), time.Now()))
	go s.loop.Run(ctx)
	go s.heartbeats.run(ctx)
	renewals := s.timer.Every(renewInterval)
	s.dispatcher.group.Go(func() { s.register(ctx) })
	s.dispatcher.group.Go(func() { s.renewEntry(ctx, renewals) })
	s.dispatcher.group.Go(func() { s.operator.follow(ctx) })
	s.dispatcher.group.Go(func() { s.operator.catchUp(ctx) })
	s.dispatcher.group.Go(func() { (&workerFollower{site: s}).follow(ctx) })
}

// unreadyAfter is how long a daemon stays ready without hearing the lead. The load
// balancer takes a daemon out of service after two failed readiness checks, a second
// apart, so it does not do so while a lost lead is replaced quickly.
const unreadyAfter = 700 * time.Millisecond

// publishView copies the state that other goroutines need out of the control loop,
// and logs when readiness changes.
func (s *Site) publishView(sc *sched.Scheduler) {
	now, lead := time.Now(), sc.Elect.Lead()
	v := leadView{
		term: lead.Term, addr: lead.Addr, leading: sc.Leads(),
		responsive: sc.Elect.LeadResponsive(now), isolated: sc.Elect.Isolated(), listReadAt: sc.ListReadAt(),
	}
	if before := s.view.Load(); v != *before {
		s.view.Store(&v)
		if v.leading && !before.leading {
			s.noteLeadGained()
		}
	}
	heard := lead.Term > 0 && !lead.Leaving && !v.isolated && now.Sub(lead.LastHeard) < unreadyAfter
	if s.leadHeard.Swap(heard) != heard {
		code := event.ProcessUnready
		if heard {
			code = event.ProcessReady
		}
		s.log(code, string(s.self.Host), "lead=%s term=%d heard=%s ago lone=%t", lead.Host, lead.Term, now.Sub(lead.LastHeard), v.isolated)
	}
}

// noteLeadGained wakes up what works only while this daemon leads.
func (s *Site) noteLeadGained() {
	select {
	case s.leadGained <- struct{}{}:
	default: // the last one has not been received yet
	}
}

// leadAddr returns the address of the lead, or an empty string if there is none or
// this daemon is the lead.
func (s *Site) leadAddr() string {
	if v := s.view.Load(); v.addr != s.self.Addr {
		return v.addr
	}
	return ""
}

// awaitCalls waits for outgoing calls to end, at most for the given time: their
// results no longer matter, and the platform kills a process that takes too long
// to stop.
func (s *Site) awaitCalls(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		s.dispatcher.group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout): // a read of the store may block for seconds
	}
}

// leave prepares the shutdown: the daemon reports that it is not ready and gives up
// the lead, and continues to serve callers until the load balancer has stopped
// sending new ones.
func (s *Site) leave(ctx context.Context) {
	s.leaving.Store(true)
	s.log(event.ProcessLeaving, string(s.self.Host), "lead=%t", s.view.Load().leading)
	s.loop.Post(sched.Leave{})
	s.depart(ctx)
	time.Sleep(min(lameDuckTime, s.settings.Grace/2))
}

// stopServers stops the servers once their requests in flight have ended, or at
// the limit.
func (s *Site) stopServers(servers []*serve.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(serverStopTimeout, s.settings.Grace/3))
	defer cancel()
	var group errgroup.Group
	for _, server := range servers {
		group.Go(func() error { return server.Stop(ctx) })
	}
	return group.Wait()
}

func (s *Site) log(code event.Code, about, format string, args ...any) {
	s.logger.Write(event.Event{At: time.Now(), Code: code, Host: s.self.Host, About: about, Text: fmt.Sprintf(format, args...)})
}

func (s *Site) logCallFailure(op, to string, err error) {
	s.log(event.CallFailed, to, "%s: %v", op, err)
}
