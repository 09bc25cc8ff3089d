// Package queue holds the operator's configuration of queues and workspaces
// and decides which queue a call is for and whether its key may use it.
package queue

import (
	"strings"
	"time"

	"dragonflydeck.example/fleet"
)

// Priority orders queues; 0 comes first and may preempt others.
type Priority int

// Queue is one line of waiting jobs.
type Queue struct {
	Name     string
	Host     string        // host name that callers use
	Prefix   string        // longest path prefix wins
	Service  string        // the workers that run its tasks
	Target   time.Duration // added to the slowdown for the objective
	Slowdown float64       // objective as a multiple of the longest chain
	Priority Priority
	Attempts int // fails of a task that fail its job
	Open     bool
}

// Space is a workspace.
type Space struct {
	Name   fleet.SpaceID
	Keys   []string
	Accels fleet.Accels // guaranteed to its jobs of priority 0
}

// Config is one version of the operator's configuration. It never changes.
type Config struct {
	Version int64
	Queues  []Queue
	Spaces  []Space
	MaxBody int // bytes

	keys   map[string]fleet.SpaceID
	byName map[string]*Queue
}

// New returns a configuration that can be asked.
func New(c Config) *Config {
	c.keys = map[string]fleet.SpaceID{}
	for _, s := range c.Spaces {
		for _, k := range s.Keys {
			c.keys[k] = s.Name
		}
	}
	c.byName = make(map[string]*Queue, len(c.Queues))
	for i := range c.Queues {
		c.byName[c.Queues[i].Name] = &c.Queues[i]
	}
	return &c
}

// Match returns the queue with the longest prefix of a path at a host, and the
// rest of the path; nil if there is none.
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

// Queue returns a queue by its name, or nil.
func (c *Config) Queue(name string) *Queue {
	if c == nil {
		return nil
	}
	return c.byName[name]
}

// Holder returns the workspace that a key belongs to.
func (c *Config) Holder(key string) (fleet.SpaceID, bool) {
	s, ok := c.keys[key]
	return s, ok
}

// Guaranteed returns the accelerators that belong to a workspace.
func (c *Config) Guaranteed(name fleet.SpaceID) fleet.Accels {
	for _, s := range c.Spaces {
		if s.Name == name {
			return s.Accels
		}
	}
	return 0
}

// Orders are what the operator wants at one time.
type Orders struct {
	Config *Config // nil before the first
	Out    map[fleet.DomainID]bool
}
