// Package place schedules gangs on workers. A gang is the set of tasks of a job,
// which run all at once or not at all. A Planner holds the state of one
// failure domain and returns decisions for a given time. It does no I/O and is
// deterministic: the same calls always give the same decisions. Functions of the
// package choose the failure domain of a job and admit guarantees.
package place

import (
	"time"

	"dragonflydeck.example/fleet"
)

// Rules are the limits of a Planner.
type Rules struct {
	Reservations  int           // waiting gangs that have a reservation at a time
	Slack         float64       // factor on a job's estimated run time when its end is compared with a reservation
	Ramp          time.Duration // how long starts are limited in a domain that returns to service
	FailureLimit  int           // failed jobs in a row that quarantine a worker; healthy workers on which a job fails before it is parked
	Quarantine    time.Duration // first quarantine of a worker; each further one lasts twice as long
	MaxQuarantine time.Duration // longest quarantine
	PlanDepth     int           // waiting jobs considered in one plan, those that waited longest apart
}

// Defaults returns the rules that the daemon uses.
func Defaults() Rules {
	return Rules{
		Reservations: 1, Slack: 1.25, Ramp: 10 * time.Second,
		FailureLimit: 3, Quarantine: time.Minute, MaxQuarantine: time.Hour, PlanDepth: 512,
	}
}

// Job is a gang to be scheduled: all of its tasks run at once or none does.
type Job struct {
	ID       fleet.JobID
	Space    fleet.SpaceID
	Tasks    int
	Each     fleet.Res // per task
	Urgent   bool
	Declared time.Duration  // run time declared by its owner; zero if none
	Spent    time.Duration  // run time covered by its last checkpoint
	Since    time.Time      // when the job was accepted
	After    time.Time      // earliest start
	Faulty   []fleet.HostID // workers on which it failed
}

// Need returns the resources of the whole gang.
func (j *Job) Need() fleet.Res { return j.Each.Times(j.Tasks) }

// Part is the tasks of a gang on one worker.
type Part struct {
	Worker fleet.HostID
	Tasks  int
}

// Kind is the kind of a decision.
type Kind int

// The kinds of decision.
const (
	Start Kind = iota + 1 // run the gang on Parts
	Evict                 // checkpoint the gang, stop it and queue it again
)

// Decision is one action for the caller to carry out.
type Decision struct {
	Kind  Kind
	Job   fleet.JobID
	Parts []Part
	Owned bool        // the gang runs within a guarantee of its workspace
	For   fleet.JobID // for Evict: the job that gets the room, if any
	Why   string
}

// Planner schedules the jobs of one failure domain. It must be used by one
// goroutine only.
type Planner struct {
	rules        Rules
	now          time.Time
	nodes        map[fleet.HostID]*node
	racks        []*rack
	spaces       map[fleet.SpaceID]*space
	waiting      map[fleet.JobID]*waitingJob
	gangs        map[fleet.JobID]*gang
	reservations []*reservation
	gate         gate
	balance      balance
	total        fleet.Res
	used         fleet.Res
	shortOfRoom  bool          // some allotment has no workers
	preemptibles []preemptible // cache of one plan, see preemptibleGangs

	dirty  bool      // something changed since the last plan
	planAt time.Time // when the next plan is due without a change
}

// New returns a planner without workers. It starts nothing until Open.
func New(rules Rules) *Planner {
	return &Planner{
		rules:   rules,
		nodes:   map[fleet.HostID]*node{},
		spaces:  map[fleet.SpaceID]*space{},
		waiting: map[fleet.JobID]*waitingJob{},
		gangs:   map[fleet.JobID]*gang{},
	}
}
