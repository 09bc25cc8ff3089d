// Package site is the daemon of a site that one lead schedules: it joins the
// pure control, callers, workers, the store and the other daemons.
package site

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/helm"
	"dragonflydeck.example/fleet/lines"
	"dragonflydeck.example/fleet/link"
	"dragonflydeck.example/fleet/serve"
	"dragonflydeck.example/fleet/timer"
	"dragonflydeck.example/fleet/wire"
	"golang.org/x/sync/errgroup"
)

// Spans of a stop. Together they are shorter than the grace that the platform
// gives.
const (
	lameSpan = 2500 * time.Millisecond // until the balancer has seen that the daemon leaves
	endSpan  = 2 * time.Second         // for callers' calls that still run
	callSpan = 500 * time.Millisecond  // for calls to the store and to workers
)

// memoryShare is the part of the host's memory that the heap may grow to
// before it is collected more often.
const memoryShare = 0.6

// Site is one daemon.
type Site struct {
	settings fleet.SiteSettings
	own      Own
	self     helm.Self
	edges    Edges
	pool     *link.Pool
	lines    *lines.Lines
	timer    *timer.Service
	loop     *control
	carrier  *carrier
	members  *members
	orders   *orders
	air      *air
	hands    *waits[*wire.HandReply]
	drops    *waits[*wire.FlowReply]

	view    atomic.Pointer[view] // of the lead
	heard   atomic.Bool          // callers are served well here
	leaving atomic.Bool
}

// Own are the daemon's own settings.
type Own struct {
	Level   string `env:"LEVEL" envDefault:"info" validate:"oneof=debug info warn error" help:"least level of log lines"`
	Metrics int    `env:"METRICS" envDefault:"9464" validate:"min=1,max=65535" help:"port of the metrics page, on the host's address"`
	Lines   int    `env:"LINES" envDefault:"200" validate:"min=1,max=100000" help:"log lines a second for each kind of event; the rest is counted"`
}

// New returns a daemon that has not started. Log lines go to w.
func New(s fleet.SiteSettings, own Own, edges Edges, w io.Writer) *Site {
	one := &Site{
		settings: s, own: own, edges: edges, pool: link.NewPool(), members: newMembers(),
		self: helm.Self{
			Host: s.Host, Addr: s.Peer, Domain: s.Domain,
			Inc: fleet.Incarnation(time.Now().UnixMilli()), Power: s.Power,
		},
		hands: newWaits[*wire.HandReply](), drops: newWaits[*wire.FlowReply](),
		lines: lines.NewAsync(s.Host, own.Level, own.Lines, w),
	}
	one.orders = newOrders(one)
	one.view.Store(&view{})
	return one
}

// Run serves until the context ends, and then stops gracefully.
func (s *Site) Run(ctx context.Context) error {
	setMemory(s.settings.Memory)
	s.tell(event.ProcessStarted, string(s.self.Host), "domain=%s peer=%s front=%s store=%s lease=%s memory=%d", s.self.Domain, s.self.Addr, s.settings.Front, s.settings.Store, s.settings.Lease, s.settings.Memory)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, err := s.listen()
	if err != nil {
		return err
	}
	s.start(background)
	var group errgroup.Group
	for _, one := range servers {
		group.Go(one.Run)
	}
	<-ctx.Done()
	s.leave()
	errs := s.end(servers)
	cancel()
	s.air.conn.Close()
	<-s.loop.Ended()
	s.timer.Wait()
	s.await(callSpan)
	s.tell(event.ProcessStopped, string(s.self.Host), "")
	return errors.Join(errs, group.Wait(), s.lines.Close())
}

// Reload puts settings in force that have changed while the daemon runs, if they
// could be read. Addresses stay as they are until the next start.
func (s *Site) Reload(to fleet.SiteSettings, err error) {
	if err != nil {
		s.tell(event.ReloadFailed, string(s.self.Host), "%v", err)
		return
	}
	s.tell(event.Reloaded, string(s.self.Host), "lease=%s stop=%s status=%s memory=%d", to.Lease, to.Stop, to.Status, to.Memory)
	setMemory(to.Memory)
	s.loop.Post(helm.Limited{Limits: limitsOf(to)})
}

func limitsOf(s fleet.SiteSettings) helm.Limits {
	return helm.Limits{Lease: s.Lease, Stop: s.Stop, Gang: s.Gang, Drain: s.Drain, Status: s.Status}
}

func setMemory(most fleet.Mebibytes) {
	debug.SetMemoryLimit(int64(memoryShare * float64(most) * (1 << 20)))
}

// listen opens every address of the daemon.
func (s *Site) listen() ([]*serve.Server, error) {
	var err error
	if s.air, err = listenAir(s, s.settings.Peer); err != nil {
		return nil, err
	}
	front := s.edges.Front(s)
	site := wire.NewSiteServer(peer{s})
	peers, err := serve.Listen(s.settings.Peer, []serve.Route{{Prefix: site.PathPrefix(), Handler: site}}, nil)
	if err != nil {
		return nil, err
	}
	callers, err := serve.Plain(s.settings.Front, front.Handle)
	if err != nil {
		return nil, err
	}
	ready, err := serve.Plain(s.settings.Ready, front.Readiness)
	if err != nil {
		return nil, err
	}
	servers := []*serve.Server{callers, ready, peers}
	metrics, err := serve.Listen(net.JoinHostPort(s.settings.IP, strconv.Itoa(s.own.Metrics)), nil, []serve.Page{{Path: "/metrics", Body: s.metrics}})
	if err != nil {
		// Callers are served without it.
		s.tell(event.NoMetrics, string(s.self.Host), "%v", err)
		return servers, nil
	}
	return append(servers, metrics), nil
}

// start starts the goroutines that run until the daemon has stopped.
func (s *Site) start(ctx context.Context) {
	s.timer = timer.New(ctx)
	s.carrier = &carrier{ctx: ctx, site: s}
	s.loop = s.newLoop(helm.New(s.self, limitsOf(s.settings), time.Now()))
	go s.loop.Run(ctx)
	go s.air.run(ctx)
	s.carrier.group.Go(func() { s.enlist(ctx) })
	s.carrier.group.Go(func() { s.orders.follow(ctx) })
	s.carrier.group.Go(func() { s.orders.watch(ctx) })
	s.carrier.group.Go(func() { (&workers{site: s}).follow(ctx) })
}

// unreadySpan is how long a daemon that does not hear the lead still takes
// callers. The balancer sends them elsewhere after two answers, a second apart,
// which a lead that is replaced in time does not cost.
const unreadySpan = 700 * time.Millisecond

// mirror copies what other goroutines need to know from the helm.
func (s *Site) mirror(h *helm.Helm) {
	now, lead := time.Now(), h.Elect.Lead()
	v := view{
		term: lead.Term, addr: lead.Addr, here: h.Leads(),
		fresh: h.Elect.Fresh(now), lone: h.Elect.Lone(),
	}
	if v != *s.view.Load() {
		s.view.Store(&v)
	}
	heard := lead.Term > 0 && !lead.Leaving && !v.lone && now.Sub(lead.Heard) < unreadySpan
	if s.heard.Swap(heard) != heard {
		code := event.ProcessUnready
		if heard {
			code = event.ProcessReady
		}
		s.tell(code, string(s.self.Host), "lead=%s term=%d heard=%s ago lone=%t", lead.Host, lead.Term, now.Sub(lead.Heard), v.lone)
	}
}

// leadAddr returns the address of a lead that is another daemon.
func (s *Site) leadAddr() string {
	if v := s.view.Load(); v.addr != s.self.Addr {
		return v.addr
	}
	return ""
}

// await waits for calls to the store and to workers, which nobody needs any more,
// for no longer than a span: a process that stays too long is killed.
func (s *Site) await(span time.Duration) {
	done := make(chan struct{})
	go func() {
		s.carrier.group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(span): // a read of the store may wait for seconds
	}
}

// leave takes the daemon out of use: the lead goes to another daemon, the
// balancer sends no new callers, and those who are here are served on.
func (s *Site) leave() {
	s.leaving.Store(true)
	s.tell(event.ProcessLeaving, string(s.self.Host), "lead=%t", s.view.Load().here)
	s.loop.Post(helm.Leave{})
	time.Sleep(min(lameSpan, s.settings.Grace/2))
}

func (s *Site) end(servers []*serve.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(endSpan, s.settings.Grace/3))
	defer cancel()
	var group errgroup.Group
	for _, one := range servers {
		group.Go(func() error { return one.Stop(ctx) })
	}
	return group.Wait()
}

func (s *Site) tell(code event.Code, about, format string, args ...any) {
	s.lines.Write(event.Event{At: time.Now(), Code: code, Host: s.self.Host, About: about, Text: fmt.Sprintf(format, args...)})
}

func (s *Site) tellCall(op, to string, err error) {
	s.tell(event.CallFailed, to, "%s: %v", op, err)
}
