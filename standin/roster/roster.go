// Package roster stands in for the platform's host list, which lags.
package roster

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"dragonflydeck.example/fleet/wire"
	"dragonflydeck.example/standin/fault"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

// Down is the failure in which the list does not answer.
const Down fault.Name = "listdown"

// LeavingPrefix before a host's id names the failure that has it leave.
const LeavingPrefix = "leaving:"

type version struct {
	n     int64
	at    time.Time
	hosts []*wire.Host
}

// Roster is the stand-in.
type Roster struct {
	fault.Switch
	lag time.Duration

	mu       sync.Mutex
	hosts    map[string]*wire.Host
	versions []version
}

// New returns a list that shows changes after the lag.
func New(lag time.Duration, hosts ...*wire.Host) *Roster {
	r := &Roster{lag: lag, hosts: map[string]*wire.Host{}}
	for _, h := range hosts {
		r.hosts[h.Id] = h
	}
	r.versions = []version{{1, time.Time{}, r.sorted()}}
	return r
}

// Put adds or changes a host.
func (r *Roster) Put(h *wire.Host) {
	r.change(func() { r.hosts[h.Id] = h })
}

// Remove takes a host off the list.
func (r *Roster) Remove(id string) {
	r.change(func() { delete(r.hosts, id) })
}

// Leave marks a host as leaving.
func (r *Roster) Leave(id string, leaving bool) {
	r.change(func() {
		if h, ok := r.hosts[id]; ok {
			h = proto.CloneOf(h)
			h.Leaving = leaving
			r.hosts[id] = h
		}
	})
}

func (r *Roster) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	last := r.versions[len(r.versions)-1].n
	r.versions = append(r.versions, version{last + 1, time.Now(), r.sorted()})
}

func (r *Roster) sorted() []*wire.Host {
	var out []*wire.Host
	for _, h := range r.hosts {
		out = append(out, proto.CloneOf(h))
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Id < out[b].Id })
	return out
}

// List returns the hosts as they were a lag ago, unless the caller has them.
func (r *Roster) List(_ context.Context, ask *wire.ListAsk) (*wire.ListReply, error) {
	if r.Is(Down) {
		return nil, twirp.NewError(twirp.Unavailable, "the host list is down")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := time.Now().Add(-r.lag)
	for len(r.versions) > 1 && !r.versions[1].at.After(seen) {
		r.versions = r.versions[1:]
	}
	reply := &wire.ListReply{Version: r.versions[0].n}
	if reply.Version == ask.Seen {
		return reply, nil
	}
	for _, h := range r.versions[0].hosts {
		reply.Hosts = append(reply.Hosts, proto.CloneOf(h))
	}
	return reply, nil
}

// Set switches failures; one named after a host has that host leave.
func (r *Roster) Set(ctx context.Context, ask *wire.FaultAsk) (*wire.FaultReply, error) {
	if id, ok := strings.CutPrefix(ask.Name, LeavingPrefix); ok {
		r.Leave(id, ask.On)
	}
	return r.Switch.Set(ctx, ask)
}
