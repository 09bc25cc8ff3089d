// Package relay is a TCP proxy that injects network failures: connections that
// stall in one or both directions, are delayed, or are reset.
package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how the relay treats open and new connections.
type Mode int

// The modes of a relay.
const (
	Pass    Mode = iota
	Silent       // no data passes, also on new connections
	NoReply      // only data from the client passes
	Slow         // all data is delayed
	Reset        // open and new connections are reset
)

const (
	slowDelay         = 120 * time.Millisecond
	stallPollInterval = 10 * time.Millisecond
	dialTimeout       = time.Second
	bufferBytes       = 16 << 10
)

// Relay forwards connections from one address to another.
type Relay struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	mode   Mode
	conns  map[net.Conn]bool // false if SilenceOpen has silenced it
	closed bool
	group  sync.WaitGroup
}

// New listens on one address and forwards to another.
func New(listen, to string) (*Relay, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{ln: ln, target: to, conns: map[net.Conn]bool{}}
	r.group.Go(r.accept)
	return r, nil
}

// SetMode changes the mode. Reset ends every open connection.
func (r *Relay) SetMode(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	if m == Reset {
		for c := range r.conns {
			abort(c)
		}
	}
}

// SilenceOpen silences the open connections for good. New connections work.
func (r *Relay) SilenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		r.conns[c] = false
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.group.Wait()
}

func (r *Relay) currentMode() Mode {
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
		if r.currentMode() == Reset {
			abort(c)
			continue
		}
		r.group.Go(func() { r.serve(c) })
	}
}

func (r *Relay) serve(c net.Conn) {
	defer c.Close()
	d, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		return
	}
	defer d.Close()
	r.mu.Lock()
	r.conns[c], r.conns[d] = true, true
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { r.copyBytes(c, d, false) })
	wg.Go(func() { r.copyBytes(d, c, true) })
	wg.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	delete(r.conns, d)
	r.mu.Unlock()
}

// copyBytes copies data until one side closes, then closes the other.
func (r *Relay) copyBytes(from, to net.Conn, reply bool) {
	defer to.Close()
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			r.stall(from, reply)
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

// stall delays data, or holds it back, as the mode and SilenceOpen require.
func (r *Relay) stall(from net.Conn, reply bool) {
	if r.currentMode() == Slow {
		time.Sleep(slowDelay)
	}
	for {
		r.mu.Lock()
		live, open := r.conns[from]
		m, closed := r.mode, r.closed
		r.mu.Unlock()
		if closed || !open || live && m != Silent && (m != NoReply || !reply) {
			return
		}
		time.Sleep(stallPollInterval)
	}
}
