package site

import (
	"context"
	"net"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/helm"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

// maxBeat bounds a datagram.
const maxBeat = 1024 // bytes

// air sends and receives beats.
type air struct {
	conn net.PacketConn
	site *Site
	done chan error
}

func listenAir(s *Site, addr string) (*air, error) {
	conn, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, &Error{Op: "listen for beats on " + addr, Kind: Listening, Err: err}
	}
	return &air{conn: conn, site: s, done: make(chan error, 1)}, nil
}

// send sends a beat to every other daemon. A datagram that cannot be sent is
// like one that is lost: the next follows soon.
func (a *air) send(b *wire.Beat) {
	data, err := proto.Marshal(b)
	if err != nil {
		a.site.tell(event.CallFailed, "beat", "%v", err)
		return
	}
	for _, m := range a.site.members.others(a.site.self.Host) {
		to, err := net.ResolveUDPAddr("udp", m.Addr)
		if err == nil {
			_, err = a.conn.WriteTo(data, to)
		}
		if err != nil {
			a.site.tellCall("send a beat", m.Host, err)
		}
	}
}

// run receives beats until the socket is closed.
func (a *air) run(ctx context.Context) {
	buf := make([]byte, maxBeat)
	for {
		n, from, err := a.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			a.done <- nil
			return
		}
		if err != nil {
			a.site.tell(event.CallFailed, "beat", "receive: %v", err)
			continue
		}
		b := &wire.Beat{}
		if err := proto.Unmarshal(buf[:n], b); err != nil || b.Host == "" || b.Term <= 0 {
			a.site.tell(event.CallFailed, "beat", "a datagram from %s is not a beat: %v", from, err)
			continue
		}
		a.site.orders.hint(fleet.Offset(b.Orders))
		a.site.loop.Post(helm.Beaten{Beat: b})
	}
}
