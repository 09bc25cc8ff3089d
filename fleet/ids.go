package fleet

// HostID names a host: an entry host, a worker or a runner.
type HostID string

// DomainID names a failure domain.
type DomainID string

// SpaceID names a workspace.
type SpaceID string

// JobID names a job.
type JobID string

// EntryID names a log entry and makes it idempotent.
type EntryID string

// Offset is a position in the platform's log. It also serves as a revision.
type Offset int64

// Term orders the leads of one failure domain, or of a site. In a failure domain
// it is the offset of the claim, in a site the offset after it, so that no claim
// has the term 0.
type Term int64

// Incarnation tells two processes of one host apart. It is the start time in
// unix milliseconds.
type Incarnation int64

// Attempt counts the placements of one job, from 1.
type Attempt int32

// Rack numbers a rack in its failure domain; neighbours differ by one.
type Rack int32
