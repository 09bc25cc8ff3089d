package link

import (
	"sync"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Pool keeps one client for each address.
type Pool struct {
	mu    sync.Mutex
	conns map[string]*Client
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{conns: map[string]*Client{}} }

func (p *Pool) client(addr string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.conns[addr]
	if !ok {
		c = NewClient(addr, MaxConns)
		p.conns[addr] = c
	}
	return c
}

func url(addr string) string { return "http://" + addr }

// Log returns the log service at an address.
func (p *Pool) Log(addr string) fleet.Log {
	return wire.NewLogProtobufClient(url(addr), p.client(addr))
}

// Roster returns the host list at an address.
func (p *Pool) Roster(addr string) fleet.Roster {
	return wire.NewRosterProtobufClient(url(addr), p.client(addr))
}

// Worker returns the worker at an address.
func (p *Pool) Worker(addr string) fleet.Worker {
	return wire.NewWorkerProtobufClient(url(addr), p.client(addr))
}

// Runner returns the runner at an address.
func (p *Pool) Runner(addr string) fleet.Runner {
	return wire.NewRunnerProtobufClient(url(addr), p.client(addr))
}

// Peer returns the daemon at an address.
func (p *Pool) Peer(addr string) fleet.Peer {
	return wire.NewPeerProtobufClient(url(addr), p.client(addr))
}

// Desk returns what the daemon at an address offers callers and operators.
func (p *Pool) Desk(addr string) wire.Desk {
	return wire.NewDeskProtobufClient(url(addr), p.client(addr))
}

// Site returns the daemon at an address as a part of its site.
func (p *Pool) Site(addr string) wire.Site {
	return wire.NewSiteProtobufClient(url(addr), p.client(addr))
}

// Fault returns the switch of a stand-in's failures.
func (p *Pool) Fault(addr string) wire.Fault {
	return wire.NewFaultProtobufClient(url(addr), p.client(addr))
}

// Keep drops the clients of addresses that are not in use any more.
func (p *Pool) Keep(used map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		if !used[addr] {
			c.Close()
			delete(p.conns, addr)
		}
	}
}

// Rest closes the idle connections to an address.
func (p *Pool) Rest(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[addr]; ok {
		c.Close()
	}
}

// Close drops every idle connection.
func (p *Pool) Close() { p.Keep(nil) }
