// Package roster stands in for the platform's host list, which shows changes
// with a delay.
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

// Down is the failure in which every call to the list fails.
const Down fault.Name = "listdown"

// LeavingPrefix followed by the id of a host names the failure that marks the
// host as leaving.
const LeavingPrefix = "leaving:"

type version struct {
	number int64
	at     time.Time
	hosts  []*wire.Host
}

// Roster simulates the host list.
type Roster struct {
	fault.Switch
	lag time.Duration

	mu       sync.Mutex
	hosts    map[string]*wire.Host
	versions []version
}

// New returns a list that shows a change after the lag.
func New(lag time.Duration, hosts ...*wire.Host) *Roster {
	r := &Roster{lag: lag, hosts: map[string]*wire.Host{}}
	for _, h := range hosts {
		r.hosts[h.Id] = h
	}
	r.versions = []version{{1, time.Time{}, r.snapshot()}}
	return r
}

// Put adds or changes a host.
func (r *Roster) Put(h *wire.Host) {
	r.update(func() { r.hosts[h.Id] = h })
}

// Remove removes a host from the list.
func (r *Roster) Remove(id string) {
	r.update(func() { delete(r.hosts, id) })
}

// Leave sets or clears the leaving mark of a host.
func (r *Roster) Leave(id string, leaving bool) {
	r.update(func() {
		if h, ok := r.hosts[id]; ok {
			h = proto.CloneOf(h)
			h.Leaving = leaving
			r.hosts[id] = h
		}
	})
}

func (r *Roster) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	last := r.versions[len(r.versions)-1].number
	r.versions = append(r.versions, version{last + 1, time.Now(), r.snapshot()})
}

func (r *Roster) snapshot() []*wire.Host {
	var out []*wire.Host
	for _, h := range r.hosts {
		out = append(out, proto.CloneOf(h))
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Id < out[b].Id })
	return out
}

// List returns the hosts as they were before the lag, or only the version if the
// caller has seen it already.
func (r *Roster) List(_ context.Context, ask *wire.ListAsk) (*wire.ListReply, error) {
	if r.Active(Down) {
		return nil, twirp.NewError(twirp.Unavailable, "the host list is down")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	asOf := time.Now().Add(-r.lag)
	for len(r.versions) > 1 && !r.versions[1].at.After(asOf) {
		r.versions = r.versions[1:]
	}
	reply := &wire.ListReply{Version: r.versions[0].number}
	if reply.Version == ask.Seen {
		return reply, nil
	}
	for _, h := range r.versions[0].hosts {
		reply.Hosts = append(reply.Hosts, proto.CloneOf(h))
	}
	return reply, nil
}

// Set turns failures on and off, and marks a host as leaving if the failure is
// named with LeavingPrefix.
func (r *Roster) Set(ctx context.Context, ask *wire.FaultAsk) (*wire.FaultReply, error) {
	if id, ok := strings.CutPrefix(ask.Name, LeavingPrefix); ok {
		r.Leave(id, ask.On)
	}
	return r.Switch.Set(ctx, ask)
}
