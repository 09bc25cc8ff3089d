package event

// The event codes: 1xx for the process, 2xx for requests, 3xx for
// jobs, 4xx for configuration, 5xx for the fleet, 6xx for backend servers.
const (
	ProcessStarted  Code = 101
	ProcessReady    Code = 102
	ProcessLeaving  Code = 103
	ProcessStopped  Code = 104
	ProcessCut      Code = 105
	ProcessUnready  Code = 106
	Reloaded        Code = 107
	ReloadFailed    Code = 108
	NoMetrics       Code = 109
	RequestRouted   Code = 201
	RequestAnswered Code = 202
	RequestRefused  Code = 203
	RequestRetried  Code = 204
	RequestUnknown  Code = 205
	RequestRelayed  Code = 206
	AnswerCrossed   Code = 207
	AnswerLate      Code = 208
	RunnerSuspended Code = 209
	RunnerRestored  Code = 210
	CallRefused     Code = 211
	CallAnswered    Code = 212
	JobAccepted     Code = 301
	JobPlaced       Code = 302
	JobRunning      Code = 303
	JobEvicted      Code = 304
	JobUndone       Code = 305
	JobDone         Code = 306
	JobRequeued     Code = 307
	JobParked       Code = 308
	JobCancelled    Code = 309
	JobMoved        Code = 310
	JobAdopted      Code = 311
	JobOrphan       Code = 312
	JobRefused      Code = 313
	RunEnded        Code = 314
	RunStopped      Code = 315
	StartFailed     Code = 316
	RunStarted      Code = 317
	RunLost         Code = 318
	JobCapped       Code = 319
	JobForgotten    Code = 322
	EndsStored      Code = 323
	EndTold         Code = 324
	JobRestored     Code = 325
	JobReowned      Code = 326
	RecordCut       Code = 327
	ClaimUnserved   Code = 328
	SpaceSet        Code = 401
	SpaceDropped    Code = 402
	DomainOut       Code = 403
	DomainBack      Code = 404
	ChangeRefused   Code = 405
	DomainHeld      Code = 406
	GuaranteeShort  Code = 407
	ConfigRead      Code = 408
	ConfigBad       Code = 409
	CapsChanged     Code = 410
	LeadTaken       Code = 501
	LeadReady       Code = 502
	LeadLost        Code = 503
	GateClosed      Code = 504
	GateOpened      Code = 505
	LogBlind        Code = 506
	LogSeen         Code = 507
	PeerSuspect     Code = 508
	PeerDead        Code = 509
	PeerAlive       Code = 510
	SeatTaken       Code = 511
	SeatGiven       Code = 512
	ImageKept       Code = 513
	StateLoaded     Code = 514
	ClaimFailed     Code = 515
	LeadSeen        Code = 516
	StoreFailed     Code = 517
	RecordBad       Code = 518
	CallFailed      Code = 519
	RecordsGone     Code = 520
	LeadSettled     Code = 521
	HostGone        Code = 522
	VotersChanged   Code = 523
	HostLost        Code = 524
	HostLeft        Code = 525
	WorkerLost      Code = 601
	WorkerBack      Code = 602
	WorkerAside     Code = 603
	WorkerFenced    Code = 604
	WorkerGone      Code = 605
	LookFailed      Code = 606
	WorkerLeaves    Code = 607
	DomainMuted     Code = 608
	DomainHeard     Code = 609
	WorkersRead     Code = 610
	WorkersUnread   Code = 611
	WorkerSpeed     Code = 612
)

// Entry is the catalogue's entry for one code.
type Entry struct {
	Code    Code
	Name    string
	Level   Level
	Meaning string
	Action  string // what an operator should do
}

// Catalogue lists every code in ascending order.
var Catalogue = []Entry{
	{ProcessStarted, "process-started", Info, "the daemon started; the line lists its settings", "nothing"},
	{ProcessReady, "process-ready", Info, "the state is loaded and the daemon serves callers", "nothing"},
	{ProcessLeaving, "process-leaving", Info, "a graceful shutdown began: the daemon accepts no new work and announces this to its peers and the load balancer", "nothing"},
	{ProcessStopped, "process-stopped", Info, "the graceful shutdown ended and interrupted no work", "nothing"},
	{ProcessCut, "process-cut", Error, "the shutdown reached its time limit or a second signal; the line lists the interrupted work", "raise the drain setting if this recurs"},
	{ProcessUnready, "process-unready", Warn, "the daemon reports not ready, so that callers go to other daemons; the line says why", "nothing during a shutdown; else check the log and the links to peers"},
	{Reloaded, "reloaded", Info, "changed settings took effect", "nothing"},
	{ReloadFailed, "reload-failed", Error, "changed settings are invalid; the previous ones stay in effect", "correct the settings file"},
	{NoMetrics, "no-metrics", Error, "the metrics page could not listen on its address; the daemon runs without it", "free the port or configure another"},
	{RequestRouted, "request-routed", Debug, "a request was sent to a runner; the line says why to this one", "nothing"},
	{RequestAnswered, "request-answered", Debug, "the caller got its answer", "nothing"},
	{RequestRefused, "request-refused", Warn, "a request was refused; it did not run", "add runners if this lasts"},
	{RequestRetried, "request-retried", Info, "a request was sent again because it is repeatable or had not been sent at all", "nothing"},
	{RequestUnknown, "request-unknown", Warn, "it is unknown whether a request ran", "nothing; the caller repeats the request with its ticket"},
	{RequestRelayed, "request-relayed", Debug, "a request was relayed to a peer with free slots, or to the issuer of its ticket", "nothing"},
	{AnswerCrossed, "answer-crossed", Warn, "an answer arrived on the connection of another request and was delivered to its own caller", "check the runner named"},
	{AnswerLate, "answer-late", Info, "an answer arrived after its caller's time limit; if the request has a ticket, the answer is kept for the next call", "nothing"},
	{RunnerSuspended, "runner-suspended", Warn, "a runner failed several times in a row or is far slower than the others", "check the runner named"},
	{RunnerRestored, "runner-restored", Info, "a suspended runner answers normally again", "nothing"},
	{CallRefused, "call-refused", Info, "the current configuration does not allow a call, so it was refused; the line says why", "compare the version in the line with that of the operator's configuration"},
	{CallAnswered, "call-answered", Info, "a call about a job was answered; the line holds the verdict, the address of the lead and the time it took", "nothing"},
	{JobAccepted, "job-accepted", Info, "a job was accepted and is in the log", "nothing"},
	{JobPlaced, "job-placed", Info, "an attempt of a job was placed on workers; the line says why on these", "nothing"},
	{JobRunning, "job-running", Info, "every task of the gang started", "nothing"},
	{JobEvicted, "job-evicted", Info, "a gang is checkpointed and stopped; the line names the job that gets its place, if any", "nothing"},
	{JobUndone, "job-undone", Warn, "not every task of a gang could start, so the attempt is rolled back", "check the worker named"},
	{JobDone, "job-done", Info, "every task of the job ended", "nothing"},
	{JobRequeued, "job-requeued", Info, "a job is queued again and keeps the work saved by its checkpoints", "nothing"},
	{JobParked, "job-parked", Warn, "a job failed on several healthy workers, or workers crashed under one of its tasks, and it is not retried; the line says which", "tell its owner"},
	{JobCancelled, "job-cancelled", Info, "a job was cancelled", "nothing"},
	{JobMoved, "job-moved", Info, "a waiting job was handed to the lead of another failure domain", "nothing"},
	{JobAdopted, "job-adopted", Info, "a new lead found every task of a gang running and adopted the gang", "nothing"},
	{JobOrphan, "job-orphan", Warn, "a worker runs tasks that are not in the state; they are stopped", "nothing"},
	{JobRefused, "job-refused", Info, "a job was refused and will not run; the line says when to retry", "add workers if this lasts"},
	{RunEnded, "run-ended", Info, "a worker reported the end of a task's run", "nothing"},
	{RunStopped, "run-stopped", Info, "a worker was ordered to stop a task's run; the line says why", "nothing"},
	{StartFailed, "start-failed", Warn, "a worker refused a start, or did not answer it", "check the worker named"},
	{RunStarted, "run-started", Info, "a worker confirmed that a run started, in its answer to the order or when polled", "nothing"},
	{RunLost, "run-lost", Warn, "a run was lost with its worker; the line says how long after its start the worker was last heard, how many other runs stood beside it and how many were just starting, and how much its task is to blame", "if the same task often has `blame=likely`, it crashes its workers and is given up (308)"},
	{JobCapped, "job-capped", Info, "a job waits because its workspace has all running that its cap allows; the line holds what the job needs, what the workspace uses and the cap", "raise the cap if the workspace is meant to have more"},
	{JobForgotten, "job-forgotten", Info, "the status of a job that ended is no longer kept, and its record is deleted; the line says how long it was kept, and whether a former lead accepted the job", "nothing"},
	{EndsStored, "ends-stored", Info, "the store holds ends of a job's runs, so that workers may forget them; the line says how many, the offset after the record, how long after the first of them was reported, and whether the job has ended", "nothing"},
	{EndTold, "end-told", Info, "the lead told how a job ended, for the first time in its term; the line says for how long the end has been stored, or that a former lead stored it", "nothing"},
	{JobRestored, "job-restored", Info, "a new lead goes on with a job that has not ended; the line says how many of its tasks are unfinished by the job's record, and how old that record is", "nothing"},
	{JobReowned, "job-reowned", Info, "a job belongs to another workspace than before, which has the key that it was submitted with", "nothing; the operator has renamed, split or joined workspaces"},
	{RecordCut, "record-cut", Warn, "the progress of a job does not fit into a record of the store; the checkpoints that do not fit are not stored", "ask the owner of the job for smaller checkpoints or fewer tasks"},
	{ClaimUnserved, "claim-unserved", Warn, "no runs can be stopped to make room for a job that claims the guarantee of its workspace", "if it lasts, compare the guarantees with the capacity of the workers that are ready; look for 601 and for domains out of service"},
	{SpaceSet, "space-set", Info, "a workspace was created or changed", "nothing"},
	{SpaceDropped, "space-dropped", Info, "a workspace was removed", "nothing"},
	{DomainOut, "domain-out", Warn, "a failure domain was taken out of service", "nothing"},
	{DomainBack, "domain-back", Info, "a failure domain was brought back into service", "nothing"},
	{ChangeRefused, "change-refused", Info, "a record had no effect; the line says why", "read the newer revision and decide again"},
	{DomainHeld, "domain-held", Warn, "a failure domain is kept out of service by order of an operator although the log is unavailable and does not hold the order yet", "check that the log has the record once it is available again"},
	{GuaranteeShort, "guarantee-short", Error, "the remaining workers of a failure domain do not have the capacity for a guarantee", "bring workers back or resize the workspace"},
	{ConfigRead, "config-read", Info, "a newer version of the operator's configuration took effect", "nothing"},
	{ConfigBad, "config-bad", Error, "the operator's configuration is invalid; the previous one stays in effect", "correct the configuration"},
	{CapsChanged, "caps-changed", Info, "caps or weights of workspaces changed with a configuration; the line lists them", "nothing"},
	{LeadTaken, "lead-taken", Info, "a daemon became lead of its failure domain", "nothing"},
	{LeadReady, "lead-ready", Info, "for each worker, the lead knows what it runs or that its lease expired", "nothing"},
	{LeadLost, "lead-lost", Info, "a daemon is no longer lead", "nothing"},
	{GateClosed, "gate-closed", Warn, "no tasks may start in this failure domain; the line says why", "check the cause named in the line"},
	{GateOpened, "gate-opened", Info, "tasks may start again", "nothing"},
	{LogBlind, "log-blind", Warn, "the platform's log does not answer the daemon", "check the log service"},
	{LogSeen, "log-seen", Info, "the platform's log answers again", "nothing"},
	{PeerSuspect, "peer-suspect", Info, "no heartbeat of a peer arrived for a while", "nothing"},
	{PeerDead, "peer-dead", Warn, "no heartbeat of a peer arrived for so long that it counts as dead", "nothing; replace the host if the platform has not"},
	{PeerAlive, "peer-alive", Info, "a peer joined, or its heartbeats arrive again", "nothing"},
	{SeatTaken, "seat-taken", Info, "a daemon got a seat (a share of its failure domain's runner slots), or the seats that it uses changed", "nothing"},
	{SeatGiven, "seat-given", Info, "a seat (a share of a failure domain's runner slots) was released", "nothing"},
	{ImageKept, "image-kept", Info, "an image (a snapshot of the state) was appended to the log before the log drops its oldest records", "nothing"},
	{StateLoaded, "state-loaded", Info, "the state was loaded from an image in the log or from a peer", "nothing"},
	{ClaimFailed, "claim-failed", Warn, "a daemon could not claim to be the lead, or could not read the jobs", "check the store"},
	{LeadSeen, "lead-seen", Info, "a daemon learned of a new lead", "nothing"},
	{StoreFailed, "store-failed", Warn, "a call to the store failed and is retried", "check the store"},
	{RecordBad, "record-bad", Warn, "a record of the store cannot be decoded and is ignored", "find out who wrote it"},
	{CallFailed, "call-failed", Warn, "a call to another daemon failed", "check the link between the two"},
	{RecordsGone, "records-gone", Info, "the store no longer holds the records of a topic that a daemon would read next, so the daemon reads the newest record of each key", "nothing"},
	{LeadSettled, "lead-settled", Info, "so many voters of the former leads know a new lead that none of these is confirmed any more; the line says how many daemons know it, and how long it took. Until then, work on workers that the new lead does not reach is not started again", "if it does not follow soon after lead-taken (501), look for a cut between the daemons"},
	{HostGone, "host-gone", Info, "an entry host has not renewed its entry for a day and is no longer taken for present", "nothing if the host was removed; else check its link to the store"},
	{VotersChanged, "voters-changed", Info, "the lead stores which daemons may confirm it while the store does not answer; the line says how many, and how many former leads may still act", "nothing; if former stays above 0, look for daemons that were lost together with a former lead"},
	{HostLost, "host-lost", Warn, "a daemon has not answered the lead 15 times in a row and is no longer taken for present, until it stores its entry again", "nothing if the host was removed; else check the daemon and its links"},
	{HostLeft, "host-left", Info, "a daemon says that it shuts down; it confirms no lead any more", "nothing"},
	{WorkerLost, "worker-lost", Warn, "the lease of a worker expired; its gangs are requeued", "nothing; the platform replaces it"},
	{WorkerBack, "worker-back", Info, "a worker answers again", "nothing"},
	{WorkerAside, "worker-aside", Warn, "a worker failed several jobs in a row and is quarantined until it is probed", "check the worker named"},
	{WorkerFenced, "worker-fenced", Warn, "a worker refused an order because the order's term is older than the newest that the worker has seen", "nothing"},
	{WorkerGone, "worker-gone", Info, "a worker is no longer listed in the service discovery", "nothing"},
	{LookFailed, "look-failed", Warn, "a worker did not answer a poll for its runs", "check the worker named if this lasts"},
	{WorkerLeaves, "worker-leaves", Info, "a worker announced that it is shutting down; runs that would not end in time are moved", "nothing"},
	{DomainMuted, "domain-muted", Warn, "no worker of a failure domain answers the lead; nothing starts there until one answers", "check the links of the failure domain if this lasts"},
	{DomainHeard, "domain-heard", Info, "workers of a failure domain answer again", "nothing"},
	{WorkersRead, "workers-read", Info, "the lead read the list of workers for the first time, or for the first time in more than a second; the line says how old it is and how old the one before was", "check the store if `before` is often long in the middle of a term"},
	{WorkersUnread, "workers-unread", Warn, "the list of workers is too old to place by, as a worker may have announced that it leaves; nothing starts until the list is read again (610)", "check the store"},
	{WorkerSpeed, "worker-speed", Debug, "the lead learned that a worker belongs to another class of speed; the line holds the estimate", "check the worker if it is slower than its hardware"},
}

// Lookup returns the entry for a code.
func Lookup(c Code) (Entry, bool) {
	for _, e := range Catalogue {
		if e.Code == c {
			return e, true
		}
	}
	return Entry{}, false
}

// String returns the name of c, or "unknown".
func (c Code) String() string {
	e, ok := Lookup(c)
	if !ok {
		return "unknown"
	}
	return e.Name
}
