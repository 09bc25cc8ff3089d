package fleet

import "time"

// SiteSettings are the settings that a daemon of a site reads from the platform's settings
// file.
type SiteSettings struct {
	Host   HostID   `validate:"required"`
	Domain DomainID `validate:"required"`

	Front string `validate:"tcp_addr"` // for callers
	Ready string `validate:"tcp_addr"` // for readiness probes
	Peer  string `validate:"tcp_addr"` // for calls of other daemons and for heartbeats
	IP    string `validate:"ip"`
	Store string `validate:"tcp_addr"`

	Lease  time.Duration `validate:"min=1s"`    // longest permitted worker lease
	Stop   time.Duration `validate:"min=1ms"`   // upper bound on the duration of a stop
	Gang   time.Duration `validate:"min=100ms"` // time within which every task of a gang must have started
	Drain  time.Duration `validate:"min=1ms"`   // shortest time for which a draining worker stays up
	Status time.Duration `validate:"min=1s"`    // how long the status of an ended job is kept
	Grace  time.Duration `validate:"min=100ms"` // time from the termination signal until the process is killed
	Power  Millicores    `validate:"min=1"`     // processor limit of this process
	Memory Mebibytes     `validate:"min=32"`    // memory limit, above which this process is killed
	Record Bytes         `validate:"min=1024"`  // largest record that the store takes
}
