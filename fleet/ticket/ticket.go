// Package ticket sees to it that a request that may not be repeated runs at
// most once. A daemon issues a ticket and alone honours it, by its memory; a
// ticket of an earlier process of the host tells that the outcome is unknown.
// So nothing is replicated and nothing is appended to the log.
package ticket

import (
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"
	"time"

	"dragonflydeck.example/fleet"
)

// Bounds of a book of tickets.
const (
	KeepSpan = 10 * time.Minute // from the issue on
	MaxOpen  = 65536            // tickets in one book
)

// ID is a ticket as callers hold it.
type ID string

// Name is what a ticket says of its issuer.
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

// Result is the final answer of a request, kept for repeats.
type Result struct {
	Body   []byte
	Runner fleet.HostID
	Err    error
}

// entry is the fate of one ticket.
type entry struct {
	id    ID
	until time.Time
	used  bool
	done  chan struct{} // closed once result is set
	res   Result
}

// Book holds the tickets of one process. Callers serialize its use.
type Book struct {
	host  fleet.HostID
	inc   fleet.Incarnation
	open  map[ID]*entry
	order []*entry
}

// New returns an empty book.
func New(host fleet.HostID, inc fleet.Incarnation) *Book {
	return &Book{host: host, inc: inc, open: map[ID]*entry{}}
}

// Issue returns a new ticket and when it expires.
func (b *Book) Issue(now time.Time) (ID, time.Time, error) {
	b.expire(now)
	if len(b.order) >= MaxOpen {
		return "", time.Time{}, &Error{Op: "issue ticket", Kind: Full, Text: fmt.Sprintf("%d tickets are open", MaxOpen)}
	}
	id := ID(fmt.Sprintf("%s.%s.%s", b.host, strconv.FormatInt(int64(b.inc), 36), rand.Text()))
	e := &entry{id: id, until: now.Add(KeepSpan), done: make(chan struct{})}
	b.open[id] = e
	b.order = append(b.order, e)
	return id, e.until, nil
}

// expire forgets old tickets. One in use stays until its request has ended.
func (b *Book) expire(now time.Time) {
	for len(b.order) > 0 && now.After(b.order[0].until) {
		delete(b.open, b.order[0].id)
		b.order = b.order[1:]
	}
}

// Use begins a request. First is true for the one caller that runs it; others
// wait on done and then call Result. Unlike an unknown ticket, an expired one
// of this process surely does not run again.
func (b *Book) Use(id ID, now time.Time) (first bool, done <-chan struct{}, err error) {
	b.expire(now)
	e, ok := b.open[id]
	if !ok {
		return false, nil, &Error{Op: "use ticket", Kind: Expired, Text: fmt.Sprintf("%s has expired or was never issued", id)}
	}
	first = !e.used
	e.used = true
	return first, e.done, nil
}

// Free gives a ticket back whose request surely did not run, so that the
// caller may use it again.
func (b *Book) Free(id ID, res Result) {
	e, ok := b.open[id]
	if !ok {
		return
	}
	e.res = res
	close(e.done)
	e.done, e.used = make(chan struct{}), false
}

// End keeps the answer of a request for repeats.
func (b *Book) End(id ID, res Result) {
	e, ok := b.open[id]
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

// Result returns the kept answer.
func (b *Book) Result(id ID) (Result, bool) {
	e, ok := b.open[id]
	if !ok {
		return Result{}, false
	}
	return e.res, true
}

// Len counts the open tickets.
func (b *Book) Len() int { return len(b.order) }
