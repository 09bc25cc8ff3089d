// Package daemon implements the process of an entry host, which accepts the
// requests and jobs of callers. It connects the core, which decides and does no
// I/O, with the dispatcher of requests and the clients of other systems.
package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/config"
	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/logger"
	"dragonflydeck.example/fleet/serve"
	"dragonflydeck.example/fleet/timer"
	"dragonflydeck.example/fleet/wire"
	"github.com/VictoriaMetrics/metrics"
)

// Daemon is one entry host's process.
type Daemon struct {
	settings   *Settings
	loop       *controlLoop
	exec       *executor
	dispatcher *dispatcher
	logger     *logger.Logger
	timer      *timer.Service
	cancel     context.CancelFunc
	desk       *desk
	peer       *peer
}

// New starts the control loop of a daemon and returns the daemon. It opens no
// port. Log lines go to w.
func New(s *Settings, clients Clients, w io.Writer) *Daemon {
	self := board.Identity{
		Host: fleet.HostID(s.Host), Domain: fleet.DomainID(s.Domain),
		Addr: s.Listen, Inc: fleet.Incarnation(time.Now().UnixMilli()),
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{settings: s, cancel: cancel, timer: timer.New(ctx)}
	d.logger = logger.New(self.Host, s.Level, s.Lines, w)
	d.exec = newExecutor(clients, d.logger)
	d.dispatcher = newDispatcher(self, clients, d.logger, s)
	d.loop = newControlLoop(ctx, core.New(self, int32(s.Seats)), d.timer.Every(TickInterval), d.exec, d.dispatcher)
	d.desk = &desk{loop: d.loop, dispatcher: d.dispatcher, clients: clients}
	d.peer = &peer{loop: d.loop, dispatcher: d.dispatcher}
	go d.loop.Run(ctx)
	d.logEvent(event.ProcessStarted, strings.Join(config.Lines(s), " "))
	return d
}

// Desk returns the service for callers and operators.
func (d *Daemon) Desk() wire.Desk { return d.desk }

// Peer returns the service for other daemons.
func (d *Daemon) Peer() wire.Peer { return d.peer }

// Routes returns the services of the daemon's port.
func (d *Daemon) Routes() []serve.Route {
	desk := wire.NewDeskServer(d.desk)
	peer := wire.NewPeerServer(d.peer)
	return []serve.Route{{Prefix: desk.PathPrefix(), Handler: desk}, {Prefix: peer.PathPrefix(), Handler: peer}}
}

// Pages returns the plain-text pages of the daemon's port.
func (d *Daemon) Pages() []serve.Page {
	return []serve.Page{
		{Path: "/ready", Body: d.ready},
		{Path: "/live", Body: func() (int, string) { return http.StatusOK, "live\n" }},
		{Path: "/metrics", Body: d.metrics},
	}
}

func (d *Daemon) health() *wire.HealthReply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := d.desk.Health(ctx, &wire.HealthAsk{})
	if err != nil {
		return &wire.HealthReply{Why: err.Error()}
	}
	return reply
}

func (d *Daemon) ready() (int, string) {
	h := d.health()
	if h.Ready {
		return http.StatusOK, "ready\n"
	}
	return http.StatusServiceUnavailable, h.Why + "\n"
}

func (d *Daemon) metrics() (int, string) {
	var w strings.Builder
	h := d.health()
	fmt.Fprintf(&w, "deckd_ready %d\n", boolValue(h.Ready))
	fmt.Fprintf(&w, "deckd_lead %d\n", boolValue(h.Lead == h.Host && h.Host != ""))
	fmt.Fprintf(&w, "deckd_gate_open %d\n", boolValue(h.Ready && h.Why == ""))
	fmt.Fprintf(&w, "deckd_log_age_seconds %g\n", float64(h.Age)/1000)
	fmt.Fprintf(&w, "deckd_revision %d\n", h.Rev)
	fmt.Fprintf(&w, "deckd_jobs{state=\"waiting\"} %d\n", h.Queued)
	fmt.Fprintf(&w, "deckd_jobs{state=\"running\"} %d\n", h.Running)
	fmt.Fprintf(&w, "deckd_requests_in_flight %d\n", d.dispatcher.inFlight())
	metrics.WritePrometheus(&w, true)
	return http.StatusOK, w.String()
}

func boolValue(on bool) int {
	if on {
		return 1
	}
	return 0
}

func (d *Daemon) logEvent(code event.Code, text string) {
	d.logger.Write(event.Event{At: time.Now(), Code: code, Host: fleet.HostID(d.settings.Host), About: d.settings.Host, Text: text})
}
