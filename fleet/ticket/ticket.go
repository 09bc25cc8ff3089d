// Package ticket ensures that a request that is not repeatable runs at most once.
// A ticket is an idempotency key that only the daemon that issued it accepts. The
// daemon keeps its tickets in memory, so nothing is replicated or appended to the
// log. A ticket of an earlier process of the host means an unknown outcome.
package ticket

import (
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"
	"time"

	"dragonflydeck.example/fleet"
)

// Limits of a Book.
const (
	Lifetime = 10 * time.Minute // validity of a ticket from its issue
	MaxOpen  = 65536            // valid tickets in one Book
)

// ID is a ticket in the form that callers hold.
type ID string

// Name is a parsed ticket, which names its issuer.
type Name struct {
	Host fleet.HostID
	Inc  fleet.Incarnation
	Key  string
}

// Parse reads a ticket.
func Parse(id ID) (Name, error) {
	p := strings.Split(string(id), ".")
	if len(p) != 3 || p[0] == "" || p[2] == "" {
		return Name{}, &Error{Op: "read ticket", Kind: Malformed, Text: fmt.Sprintf("%q is not host.incarnation.key", id)}
	}
	inc, err := strconv.ParseInt(p[1], 36, 64)
	if err != nil {
		return Name{}, &Error{Op: "read ticket", Kind: Malformed, Text: fmt.Sprintf("incarnation %q: %v", p[1], err)}
	}
	return Name{Host: fleet.HostID(p[0]), Inc: fleet.Incarnation(inc), Key: p[2]}, nil
}

// Result is the final answer to a request, kept for repeated calls.
type Result struct {
	Body   []byte
	Runner fleet.HostID
	Err    error
}

// entry is the state of one ticket.
type entry struct {
	id    ID
	until time.Time
	used  bool
	done  chan struct{} // closed once res is set
	res   Result
}

// Book holds the tickets of one process. Callers serialize its use.
type Book struct {
	host     fleet.HostID
	inc      fleet.Incarnation
	entries  map[ID]*entry
	byExpiry []*entry
}

// New returns an empty Book.
func New(host fleet.HostID, inc fleet.Incarnation) *Book {
	return &Book{host: host, inc: inc, entries: map[ID]*entry{}}
}

// Issue returns a new ticket and when it expires.
func (b *Book) Issue(now time.Time) (ID, time.Time, error) {
	b.removeExpired(now)
	if len(b.byExpiry) >= MaxOpen {
		return "", time.Time{}, &Error{Op: "issue ticket", Kind: Full, Text: fmt.Sprintf("%d tickets are open", MaxOpen)}
	}
	id := ID(fmt.Sprintf("%s.%s.%s", b.host, strconv.FormatInt(int64(b.inc), 36), rand.Text()))
	e := &entry{id: id, until: now.Add(Lifetime), done: make(chan struct{})}
	b.entries[id] = e
	b.byExpiry = append(b.byExpiry, e)
	return id, e.until, nil
}

// removeExpired removes expired tickets. One whose request has not ended stays valid,
// as repeats of the request wait for its answer.
func (b *Book) removeExpired(now time.Time) {
	for len(b.byExpiry) > 0 && now.After(b.byExpiry[0].until) {
		e := b.byExpiry[0]
		b.byExpiry = b.byExpiry[1:]
		if e.inUse() {
			e.until = now.Add(Lifetime)
			b.byExpiry = append(b.byExpiry, e)
			continue
		}
		delete(b.entries, e.id)
	}
}

// inUse reports whether the ticket's request has begun and not ended.
func (e *entry) inUse() bool {
	select {
	case <-e.done:
		return false
	default:
		return e.used
	}
}

// Use begins the request of a ticket. First is true for the one caller that must
// run it; other callers wait for done and then call Result. A ticket of this
// process that has expired never runs a request again.
func (b *Book) Use(id ID, now time.Time) (first bool, done <-chan struct{}, err error) {
	b.removeExpired(now)
	e, ok := b.entries[id]
	if !ok {
		return false, nil, &Error{Op: "use ticket", Kind: Expired, Text: fmt.Sprintf("%s has expired or was never issued", id)}
	}
	first = !e.used
	e.used = true
	return first, e.done, nil
}

// Release releases a ticket whose request certainly did not run, so that the caller
// may use it again.
func (b *Book) Release(id ID, res Result) {
	e, ok := b.entries[id]
	if !ok {
		return
	}
	e.res = res
	close(e.done)
	e.done, e.used = make(chan struct{}), false
}

// Complete stores the answer to a request for repeated calls.
func (b *Book) Complete(id ID, res Result) {
	e, ok := b.entries[id]
	if !ok {
		return
	}
	select {
	case <-e.done:
	default:
		e.res = res
		close(e.done)
	}
}

// Result returns the stored answer.
func (b *Book) Result(id ID) (Result, bool) {
	e, ok := b.entries[id]
	if !ok {
		return Result{}, false
	}
	return e.res, true
}

// Len counts the valid tickets.
func (b *Book) Len() int { return len(b.byExpiry) }
