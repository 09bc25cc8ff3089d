package site

import (
	"context"
	"net"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/clock"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

const (
	maxBeatBytes      = 1024                   // size of the receive buffer; a heartbeat is smaller
	receiveRetryDelay = 100 * time.Millisecond // after a failed receive, as the failure may last
)

// heartbeats sends and receives the lead's heartbeats as UDP datagrams.
type heartbeats struct {
	conn net.PacketConn
	site *Site
	done chan error
}

func listenHeartbeats(s *Site, addr string) (*heartbeats, error) {
	conn, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, &Error{Op: "listen for heartbeats on " + addr, Kind: Listening, Err: err}
	}
	return &heartbeats{conn: conn, site: s, done: make(chan error, 1)}, nil
}

// send sends a heartbeat to every other daemon, silent and leaving ones included. A failure is logged and not
// retried, since the next heartbeat follows shortly.
func (h *heartbeats) send(b *wire.Beat) {
	data, err := proto.Marshal(b)
	if err != nil {
		h.site.log(event.CallFailed, "beat", "%v", err)
		return
	}
	for _, m := range h.site.members.listeners(h.site.self.Host, time.Now()) {
		to, err := net.ResolveUDPAddr("udp", m.Addr)
		if err == nil {
			_, err = h.conn.WriteTo(data, to)
		}
		if err != nil {
			h.site.logCallFailure("send a heartbeat", m.Host, err)
		}
	}
}

// run receives heartbeats until the context ends and the socket is closed.
func (h *heartbeats) run(ctx context.Context) {
	buf := make([]byte, maxBeatBytes)
	for {
		n, from, err := h.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			h.done <- nil
			return
		}
		if err != nil {
			h.site.log(event.CallFailed, "beat", "receive: %v", err)
			sleep(ctx, receiveRetryDelay)
			continue
		}
		b := &wire.Beat{}
		if err := proto.Unmarshal(buf[:n], b); err != nil || b.Host == "" || b.Term <= 0 {
			h.site.log(event.CallFailed, "beat", "malformed heartbeat from %s: %v", from, err)
			continue
		}
		h.site.operator.noteLeadEnd(fleet.Offset(b.Orders))
		h.site.members.noteReading(clock.Reading(b.Clock))
		h.site.loop.Post(sched.BeatReceived{Beat: b})
	}
}
