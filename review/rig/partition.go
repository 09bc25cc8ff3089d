package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dragonflydeck.example/fleet/wire"
	"dragonflydeck.example/standin/engine"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"
)

// Times of the case.
const (
	splitFor   = 22 * time.Second
	longTask   = 50 * time.Second
	entryLapse = 3 * heartbeat // the entry of a silent runner is removed then
)

// side is a part of the network: one zone with the store in it, or the other zones.
type side int

const (
	storeSide side = iota
	otherSide
)

func sideOf(zone string) side {
	if zone == "zone-c" {
		return storeSide
	}
	return otherSide
}

// split is a network of two sides that can be cut. Whatever crosses it passes a relay. Each
// side reads its own copies of the topics that hold addresses, with those of the relays for
// what is on the other side.
type split struct {
	rec   *record
	store *limitedStore
	cut   atomic.Bool

	mu     sync.Mutex
	relays map[string]string // relay by side and target
	next   int

	reported int // violations that are in the record
}

// awaitHealed waits until the network is whole. It reports whether it was cut.
func (p *split) awaitHealed() bool {
	was := p.cut.Load()
	for p.cut.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	return was
}

// relay returns the address under which a side reaches a target on the other side, by TCP and UDP.
func (p *split) relay(target string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.relays[target]; ok {
		return at, nil
	}
	_, port, err := net.SplitHostPort(target)
	if err != nil {
		return "", err
	}
	at := net.JoinHostPort(host(160+p.next), port)
	p.next++
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return "", err
	}
	udp, err := net.ListenPacket("udp", at)
	if err != nil {
		return "", err
	}
	go p.relayTCP(ln, target)
	go p.relayUDP(udp, target)
	p.relays[target] = at
	return at, nil
}

func (p *split) relayTCP(ln net.Listener, target string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if p.awaitHealed() {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			defer to.Close()
			done := make(chan struct{}, 2)
			go p.copy(to, c, done)
			go p.copy(c, to, done)
			<-done
		}()
	}
}

// copy forwards bytes. Those that a cut holds up are lost with the connection.
func (p *split) copy(to io.Writer, from io.Reader, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if p.awaitHealed() || err != nil {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *split) relayUDP(conn net.PacketConn, target string) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return
	}
	buf := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}
		if !p.cut.Load() {
			_, _ = conn.WriteTo(buf[:n], to)
		}
	}
}

const topicHosts = "keyed.hosts"

// view names the copy of a topic that a side reads.
func view(topic string, s side) string { return fmt.Sprint(topic, "@", s) }

// handler serves the store's calls of the daemons of a side.
func (p *split) handler(s side) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if s == otherSide && p.cut.Load() {
			p.awaitHealed()
			ctx.SetConnectionClose()
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable) // nothing was done; the caller has left long since
			return
		}
		topic := string(ctx.QueryArgs().Peek("topic"))
		switch {
		case topic == topicHosts && string(ctx.Path()) == "/log-append":
			p.appendMember(ctx)
			return
		case topic == topicHosts, topic == topicWorkers:
			ctx.QueryArgs().Set("topic", view(topic, s))
		}
		p.store.handle(ctx)
		if s == otherSide && p.cut.Load() {
			p.awaitHealed() // the answer is lost
			ctx.SetConnectionClose()
		}
	}
}

// appendMember stores a daemon's entry in both views.
func (p *split) appendMember(ctx *fasthttp.RequestCtx) {
	body := ctx.PostBody()
	key := string(body[5 : 5+int(body[4])])
	var m wire.Member
	if err := proto.Unmarshal(body[5+int(body[4]):], &m); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	own := m.Addr
	for _, s := range []side{storeSide, otherSide} {
		m.Addr = own
		if sideOf(m.Domain) != s {
			at, err := p.relay(own)
			if err != nil {
				p.rec.logf("relay: %v", err)
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
				return
			}
			m.Addr = at
		}
		value, _ := proto.Marshal(&m)
		out := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
		out = append(append(append(out, byte(len(key))), key...), value...)
		ctx.QueryArgs().Set("topic", view(topicHosts, s))
		ctx.Request.SetBody(out)
		p.store.handle(ctx)
	}
}

// publishSplit stores the runners' entries for both sides. Those of runners that the cut keeps
// from the store are removed after three heartbeats.
func (s *site) publishSplit(p *split) {
	silentSince := map[string]time.Time{}
	for {
		for _, r := range s.runners {
			e := r.Entry(service, r.addr)
			own := sideOf(e["zone"].(string))
			if own == otherSide && p.cut.Load() {
				if silentSince[r.id].IsZero() {
					silentSince[r.id] = time.Now()
				}
				if time.Since(silentSince[r.id]) >= entryLapse {
					_ = s.store.Put(view(topicWorkers, storeSide), r.id, nil)
					_ = s.store.Put(view(topicWorkers, otherSide), r.id, nil)
				}
				continue
			}
			silentSince[r.id] = time.Time{}
			for _, reader := range []side{storeSide, otherSide} {
				e["address"] = r.addr
				if own != reader {
					at, err := p.relay(r.addr)
					if err != nil {
						s.rec.logf("relay: %v", err)
						continue
					}
					e["address"] = at
				}
				_ = s.store.Put(view(topicWorkers, reader), r.id, e)
			}
		}
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeat / 3):
		}
	}
}

// partition cuts the zone that holds the store off from the others while long tasks run in all zones.
func partition(rec *record, deckd []string, trouble bool) int {
	p := &split{rec: rec, relays: map[string]string{}}
	s, err := newSplitSite(rec, deckd, p, []string{"zone-a", "zone-b", "zone-a", "zone-b", "zone-a", "zone-c"}, 24)
	if err != nil {
		rec.logf("%v", err)
		return unclear
	}
	defer s.close()
	if err := s.awaitReady(20 * time.Second); err != nil {
		rec.logf("%v", err)
		return unclear
	}
	spec := engine.Need{Cores: 1000, Mem: 512, Accels: 8, Span: longTask}.Spec()
	long := id("a", 0)
	if !s.submit(long, job(spec, map[string]any{"count": 14, "cpu": 1000, "memMb": 512, "gpu": 8, "estimateMs": longTask.Milliseconds()})) {
		return unclear
	}
	for deadline := time.Now().Add(5 * time.Second); s.auditor.Running(long) < 14; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			rec.logf("only %d of 14 tasks run", s.auditor.Running(long))
			return unclear
		}
	}
	s.logLeads()
	time.Sleep(2 * time.Second)
	if trouble {
		rec.logf("zone-c, which holds the store, is cut off from zone-a and zone-b")
		p.cut.Store(true)
	}
	twice := func() int {
		all := s.auditor.Violations()
		for _, text := range all[p.reported:] {
			rec.logf("TWICE: %s", text)
		}
		p.reported = len(all)
		return len(all)
	}
	for until := time.Now().Add(splitFor); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		twice()
	}
	s.logLeads()
	for _, d := range s.daemons {
		status, answer := s.call(d, http.MethodGet, long, nil)
		rec.logf("GET %s at %s: %d %s", long, d.name, status, answer)
	}
	if trouble {
		rec.logf("the cut ends")
		p.cut.Store(false)
		time.Sleep(3 * time.Second)
	}
	seen := twice()
	rec.logf("job %s has 14 tasks and %d starts; starts of a task while it ran elsewhere: %d", long, s.auditor.Starts(long), seen)
	if seen > 0 {
		return broken
	}
	return held
}

// logLeads writes by whose orders the runners of each zone run what they run.
func (s *site) logLeads() {
	for _, r := range s.runners {
		r.mu.Lock()
		if !r.heldAt.IsZero() {
			s.rec.logf("runner %s (%s): newest lease by token %d, %.1f s ago", r.id, r.Entry(service, r.addr)["zone"], r.heldBy, time.Since(r.heldAt).Seconds())
		}
		r.mu.Unlock()
	}
}
