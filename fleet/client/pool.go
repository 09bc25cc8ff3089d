package client

import (
	"sync"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Pool caches one client for each address.
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

// Log returns a client of the log service at an address.
func (p *Pool) Log(addr string) fleet.Log {
	return wire.NewLogProtobufClient(url(addr), p.client(addr))
}

// Roster returns a client of the host list at an address.
func (p *Pool) Roster(addr string) fleet.Roster {
	return wire.NewRosterProtobufClient(url(addr), p.client(addr))
}

// Worker returns a client of the worker at an address.
func (p *Pool) Worker(addr string) fleet.Worker {
	return wire.NewWorkerProtobufClient(url(addr), p.client(addr))
}

// Runner returns a client of the runner at an address.
func (p *Pool) Runner(addr string) fleet.Runner {
	return wire.NewRunnerProtobufClient(url(addr), p.client(addr))
}

// Peer returns a client of a daemon's service for its peers.
func (p *Pool) Peer(addr string) fleet.Peer {
	return wire.NewPeerProtobufClient(url(addr), p.client(addr))
}

// Desk returns a client of a daemon's service for callers and operators.
func (p *Pool) Desk(addr string) wire.Desk {
	return wire.NewDeskProtobufClient(url(addr), p.client(addr))
}

// Site returns a client of a daemon's service for the other daemons of its site.
func (p *Pool) Site(addr string) wire.Site {
	return wire.NewSiteProtobufClient(url(addr), p.client(addr))
}

// Fault returns a client of a stand-in's fault injection service.
func (p *Pool) Fault(addr string) wire.Fault {
	return wire.NewFaultProtobufClient(url(addr), p.client(addr))
}

// Retain closes and removes the clients of addresses that are not in used.
func (p *Pool) Retain(used map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		if !used[addr] {
			c.Close()
			delete(p.conns, addr)
		}
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[addr]; ok {
		c.Close()
	}
}

// Close closes every idle connection and removes all clients.
func (p *Pool) Close() { p.Retain(nil) }
