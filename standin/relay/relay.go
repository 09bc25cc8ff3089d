// Package relay is a loopback proxy for TCP that injects the failures of a
// network: connections that go silent, one way or both, are delayed or reset.
package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what happens to bytes and to new connections.
type Mode int

// The modes of a relay.
const (
	Pass    Mode = iota
	Silent       // nothing passes, new connections get no answer
	NoReply      // only what the client sends passes
	Slow         // everything passes late
	Reset        // connections are reset, new ones too
)

const (
	slowSpan  = 120 * time.Millisecond
	stallSpan = 10 * time.Millisecond
	dialSpan  = time.Second
	chunk     = 16 << 10
)

// Relay forwards connections from one address to another.
type Relay struct {
	ln net.Listener
	to string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool // false once they are silent for good
	done  bool
	group sync.WaitGroup
}

// New listens on one address and forwards to another.
func New(listen, to string) (*Relay, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{ln: ln, to: to, conns: map[net.Conn]bool{}}
	r.group.Go(r.accept)
	return r, nil
}

// Set changes the mode. Reset ends every open connection.
func (r *Relay) Set(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	if m == Reset {
		for c := range r.conns {
			abort(c)
		}
	}
}

// Hush makes the open connections silent for good, while new ones work.
func (r *Relay) Hush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		r.conns[c] = false
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.mu.Lock()
	r.done = true
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.group.Wait()
}

func (r *Relay) now() Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if r.now() == Reset {
			abort(c)
			continue
		}
		r.group.Go(func() { r.serve(c) })
	}
}

func (r *Relay) serve(c net.Conn) {
	defer c.Close()
	d, err := net.DialTimeout("tcp", r.to, dialSpan)
	if err != nil {
		return
	}
	defer d.Close()
	r.mu.Lock()
	r.conns[c], r.conns[d] = true, true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.pump(c, d, false) })
	both.Go(func() { r.pump(d, c, true) })
	both.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	delete(r.conns, d)
	r.mu.Unlock()
}

// pump copies bytes until one side ends, and then ends the other.
func (r *Relay) pump(from, to net.Conn, reply bool) {
	defer to.Close()
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			r.hold(from, reply)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				abort(to)
			}
			return
		}
	}
}

// hold keeps bytes back while the mode says so.
func (r *Relay) hold(from net.Conn, reply bool) {
	if r.now() == Slow {
		time.Sleep(slowSpan)
	}
	for {
		r.mu.Lock()
		live, open := r.conns[from]
		m, done := r.mode, r.done
		r.mu.Unlock()
		if done || !open || live && m != Silent && (m != NoReply || !reply) {
			return
		}
		time.Sleep(stallSpan)
	}
}
