// Package place decides where the jobs of one failure domain run. A Planner is
// told what exists and what happened, is asked for decisions at a given time,
// and does no I/O; the same calls always give the same decisions.
package place

import (
	"time"

	"dragonflydeck.example/fleet"
)

// Rules are the bounds a Planner works within.
type Rules struct {
	Holds    int           // waiting gangs that room is kept for
	Slack    float64       // how far a run may pass its estimate before it counts as late
	Ramp     time.Duration // how long a domain that comes back takes to fill
	Strikes  int           // jobs in a row that a worker may fail, and workers that a job may fail on
	Aside    time.Duration // first time out of use of a worker that fails everything
	MaxAside time.Duration // longest time out of use
	Depth    int           // waiting jobs looked at in one plan
}

// Defaults returns the rules the daemon uses.
func Defaults() Rules {
	return Rules{
		Holds: 1, Slack: 1.25, Ramp: 10 * time.Second,
		Strikes: 3, Aside: time.Minute, MaxAside: time.Hour, Depth: 512,
	}
}

// Job is a gang that waits for a place.
type Job struct {
	ID       fleet.JobID
	Space    fleet.SpaceID
	Tasks    int
	Each     fleet.Res // per task
	Urgent   bool
	Declared time.Duration // run time that its owner expects
	Spent    time.Duration // work that a checkpoint saved
	Since    time.Time     // when it was accepted
	After    time.Time     // not to be started before
	Faulty   []fleet.HostID
}

// Need returns what the whole gang holds.
func (j *Job) Need() fleet.Res { return j.Each.Times(j.Tasks) }

// Part is the share of a gang on one worker.
type Part struct {
	Worker fleet.HostID
	Tasks  int
}

// Kind sorts decisions.
type Kind int

// The kinds of decision.
const (
	Start Kind = iota + 1 // run the gang on Parts
	Evict                 // checkpoint the gang, stop it and let it wait again
)

// Decision is one step that the planner wants done.
type Decision struct {
	Kind  Kind
	Job   fleet.JobID
	Parts []Part
	Owned bool        // the gang runs on its workspace's guarantee
	For   fleet.JobID // the job that needs the room of an evicted one
	Why   string
}

// Planner holds the workers, guarantees, gangs and waiting jobs of one failure
// domain. It belongs to one goroutine.
type Planner struct {
	rules   Rules
	now     time.Time
	nodes   map[fleet.HostID]*node
	racks   []*rack
	spaces  map[fleet.SpaceID]*space
	waits   map[fleet.JobID]*wait
	gangs   map[fleet.JobID]*gang
	holds   []*hold
	gate    gate
	balance balance
	total   fleet.Res
	used    fleet.Res
	short   bool     // some spot has no room
	lent    []lender // of this plan, see lenders

	dirty bool      // something changed since the last whole plan
	wake  time.Time // when time alone calls for the next
}

// New returns a planner with no workers, closed for starts.
func New(rules Rules) *Planner {
	return &Planner{
		rules:  rules,
		nodes:  map[fleet.HostID]*node{},
		spaces: map[fleet.SpaceID]*space{},
		waits:  map[fleet.JobID]*wait{},
		gangs:  map[fleet.JobID]*gang{},
	}
}
