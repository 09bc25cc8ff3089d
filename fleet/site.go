package fleet

import "time"

// SiteSettings is what a daemon of a site learns from the platform's settings
// file.
type SiteSettings struct {
	Host   HostID   `validate:"required"`
	Domain DomainID `validate:"required"`

	Front string `validate:"tcp_addr"` // where callers connect
	Ready string `validate:"tcp_addr"` // where readiness is asked for
	Peer  string `validate:"tcp_addr"` // where other daemons connect, and where beats arrive
	IP    string `validate:"ip"`
	Store string `validate:"tcp_addr"`

	Lease  time.Duration `validate:"min=1s"`    // longest lease of a worker
	Stop   time.Duration `validate:"min=1ms"`   // a stop takes at most so long
	Gang   time.Duration `validate:"min=100ms"` // a gang must be whole within this
	Drain  time.Duration `validate:"min=1ms"`   // a worker that drains stays so long at least
	Status time.Duration `validate:"min=1s"`    // an ended job is told for so long
	Grace  time.Duration `validate:"min=100ms"` // from the signal to stop until the process is killed
	Power  Millicores    `validate:"min=1"`     // that the process may use
	Memory Mebibytes     `validate:"min=32"`    // beyond it the process is killed
}
