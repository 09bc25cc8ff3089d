package fleet

// HostID identifies a host: an entry host, a worker or a runner.
type HostID string

// DomainID identifies a failure domain.
type DomainID string

// SpaceID identifies a workspace.
type SpaceID string

// KeyMark is a digest that tells API keys apart without giving them away. It is 0 without a key.
type KeyMark uint64

// JobID identifies a job.
type JobID string

// EntryID identifies a log entry; appending the same ID again has no effect.
type EntryID string

// Offset is a position in the platform's log. It also serves as a revision number.
type Offset int64

// Term orders the successive leads of a failure domain or of a site, and serves
// as their fencing token. In a failure domain it is the offset of the claim; in
// a site it is the offset after the claim, so that no claim has the term 0.
type Term int64

// Incarnation distinguishes successive processes on one host. It is the start time in
// unix milliseconds.
type Incarnation int64

// Attempt counts the placements of one job, from 1.
type Attempt int32

// Rack numbers a rack within its failure domain; adjacent racks differ by one.
type Rack int32
