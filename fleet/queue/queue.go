// Package queue holds the operator's configuration of queues, in which jobs wait, and
// workspaces, the customers. It finds the queue of a call and the workspace of its key.
package queue

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/quota"
)

// Priority orders queues; 0 is the highest and may preempt others.
type Priority int

// Queue is a queue of waiting jobs and its settings.
type Queue struct {
	Name     string
	Host     string        // host name that its callers use
	Prefix   string        // path prefix of its calls; the longest match wins
	Service  string        // service of the workers that run its tasks
	Target   time.Duration // constant part of the response-time objective of its jobs
	Slowdown float64       // variable part of that objective, as a multiple of the job's critical path
	Priority Priority
	Attempts int  // failed runs of a task after which its job fails
	Open     bool // a call without a known key may use it
}

// Space is a workspace.
type Space struct {
	Name   fleet.SpaceID
	Keys   []string
	Accels fleet.Accels // guaranteed to its jobs of priority 0
	Limit  quota.Limit
}

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	Version int64
	Queues  []Queue
	Spaces  []Space
	MaxBody int // bytes

	keys   map[string]keyOwner
	marks  map[fleet.KeyMark]fleet.SpaceID
	byName map[string]*Queue
	byAddr map[string]*Queue
	spaces map[fleet.SpaceID]*Space
}

// keyOwner is the workspace that an API key belongs to, and the key's mark.
type keyOwner struct {
	space fleet.SpaceID
	mark  fleet.KeyMark
}

// New returns a copy of the configuration, with the indexes that its methods need.
func New(c Config) *Config {
	c.keys, c.marks = map[string]keyOwner{}, map[fleet.KeyMark]fleet.SpaceID{}
	c.spaces = make(map[fleet.SpaceID]*Space, len(c.Spaces))
	for i := range c.Spaces {
		s := &c.Spaces[i]
		c.spaces[s.Name] = s
		for _, k := range s.Keys {
			mark := MarkOf(k)
			c.keys[k], c.marks[mark] = keyOwner{s.Name, mark}, s.Name
		}
	}
	c.byName, c.byAddr = make(map[string]*Queue, len(c.Queues)), make(map[string]*Queue, len(c.Queues))
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byName[q.Name], c.byAddr[q.Address()] = q, q
	}
	return &c
}

// MarkOf returns the mark of an API key, 0 for an empty one.
func MarkOf(key string) fleet.KeyMark {
	if key == "" {
		return 0
	}
	sum := sha256.Sum256([]byte(key))
	return fleet.KeyMark(max(binary.BigEndian.Uint64(sum[:]), 1))
}

// Address returns what the calls of a queue begin with: its host and path prefix.
func (q *Queue) Address() string { return strings.ToLower(q.Host) + q.Prefix }

// Now returns the queue that has taken the place of one with a name and an address in a former
// version. Callers know a queue by its address, so that one there goes first; then the queue of
// that name, which may have moved; then the one that matches calls to the address. It returns nil if there is none.
func (c *Config) Now(name, address string) *Queue {
	if c == nil {
		return nil
	}
	if q, ok := c.byAddr[address]; ok {
		return q
	}
	if q, ok := c.byName[name]; ok {
		return q
	}
	host, path, _ := strings.Cut(address, "/")
	q, _ := c.Match(host, "/"+path)
	return q
}

// OwnerOf returns the workspace that has the key with a mark. A nil configuration has none.
func (c *Config) OwnerOf(mark fleet.KeyMark) (fleet.SpaceID, bool) {
	if c == nil || mark == 0 {
		return "", false
	}
	s, ok := c.marks[mark]
	return s, ok
}

// Match returns the queue of a host name with the longest prefix of the path, and the
// rest of the path. It returns nil if there is none. A port in host is ignored.
func (c *Config) Match(host, path string) (*Queue, string) {
	if i := strings.IndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Queue returns the queue with a name, or nil. A nil configuration has none.
func (c *Config) Queue(name string) *Queue {
	if c == nil {
		return nil
	}
	return c.byName[name]
}

// SpaceOf returns the workspace that a key belongs to.
func (c *Config) SpaceOf(key string) (fleet.SpaceID, bool) {
	o, ok := c.keys[key]
	return o.space, ok
}

// Mark returns the mark of a key of a workspace, 0 for any other key.
func (c *Config) Mark(key string) fleet.KeyMark { return c.keys[key].mark }

// Guaranteed returns how many accelerators are guaranteed to a workspace. A nil
// configuration guarantees none.
func (c *Config) Guaranteed(name fleet.SpaceID) fleet.Accels {
	if c == nil {
		return 0
	}
	if s, ok := c.spaces[name]; ok {
		return s.Accels
	}
	return 0
}

// Limit returns the limit of a workspace, and whether it is configured. A nil
// configuration has none.
func (c *Config) Limit(name fleet.SpaceID) (quota.Limit, bool) {
	if c == nil {
		return quota.Limit{}, false
	}
	s, ok := c.spaces[name]
	if !ok {
		return quota.Limit{}, false
	}
	return s.Limit, true
}

// Limited reports whether any workspace has a cap or a weight.
func (c *Config) Limited() bool {
	return c != nil && slices.ContainsFunc(c.Spaces, func(s Space) bool { return !s.Limit.Zero() })
}

// Orders are the operator's current instructions.
type Orders struct {
	Config       *Config                 // nil until one was read
	OutOfService map[fleet.DomainID]bool // failure domains that are out of service
}
