// Package store stands in for the platform's store: topics of keyed records
// over HTTP, and the failures of the real store.
package store

import (
	"encoding/binary"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	maxPageRecords = 500 // records in one answer to /log-newest
	pollInterval   = 5 * time.Millisecond
	maxWait        = 30 * time.Second
	lateTime       = 2 * time.Second
)

// Mode is how the store answers.
type Mode int

// The modes of the store.
const (
	Normal    Mode = iota
	Silent         // it does nothing and holds every call for maxWait
	Busy           // it does nothing and answers 503
	ReplyLost      // appends take effect, but are held for maxWait without an answer
	Late           // appends take effect after lateTime
)

// record is one record of a topic.
type record struct {
	key    string
	value  []byte
	offset int64
}

// topic holds the records of one topic from the offset first on, and the newest
// record of each key.
type topic struct {
	first   int64
	records []record
	newest  map[string]record
}

// Store simulates the store.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	mode   Mode
}

// New returns an empty store.
func New() *Store { return &Store{topics: map[string]*topic{}} }

// SetMode sets the mode for all callers.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Compact drops the records of a topic except the newest of each key.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

// Put appends a record, as the operator and the workers do. A nil value removes
// the key from the newest records.
func (s *Store) Put(name, key string, value any) error {
	var data []byte
	if value != nil {
		var err error
		if data, err = json.Marshal(value); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(key, data)
	return nil
}

func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]record{}}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

func (t *topic) add(key string, value []byte) {
	r := record{key, value, t.end()}
	t.records = append(t.records, r)
	if len(value) == 0 {
		delete(t.newest, key)
		return
	}
	t.newest[key] = r
}

// Handle serves one call.
func (s *Store) Handle(ctx *fasthttp.RequestCtx) {
	switch s.currentMode() {
	case Silent:
		time.Sleep(maxWait)
		return
	case Busy:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case ReplyLost:
		if string(ctx.Path()) == "/log-append" {
			s.append(ctx)
			time.Sleep(maxWait)
			return
		}
	case Late:
		if string(ctx.Path()) == "/log-append" {
			time.Sleep(lateTime)
		}
	}
	switch string(ctx.Path()) {
	case "/log-append":
		s.append(ctx)
	case "/log-read":
		s.read(ctx)
	case "/log-newest":
		s.readNewest(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Store) currentMode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

func (s *Store) append(ctx *fasthttp.RequestCtx) {
	records, ok := parseRecords(ctx.PostBody())
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(string(ctx.QueryArgs().Peek("topic")))
	if at := ctx.QueryArgs().Peek("at"); at != nil && string(at) != strconv.FormatInt(t.end(), 10) {
		reply(ctx, fasthttp.StatusPreconditionFailed, map[string]int64{"end": t.end()})
		return
	}
	offset := t.end()
	for _, r := range records {
		t.add(r.key, r.value)
	}
	reply(ctx, fasthttp.StatusOK, map[string]int64{"offset": offset, "end": t.end()})
}

// parseRecords decodes records, each framed by its length and the length of its
// key.
func parseRecords(body []byte) ([]record, bool) {
	var out []record
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 || 1+int(body[4]) > n {
			return nil, false
		}
		data := body[4 : 4+n]
		key := 1 + int(data[0])
		out = append(out, record{key: string(data[1:key]), value: append([]byte(nil), data[key:]...)})
		body = body[4+n:]
	}
	return out, true
}

func (s *Store) read(ctx *fasthttp.RequestCtx) {
	name := string(ctx.QueryArgs().Peek("topic"))
	from := int64(ctx.QueryArgs().GetUintOrZero("from"))
	deadline := time.Now().Add(min(time.Duration(ctx.QueryArgs().GetUintOrZero("waitMs"))*time.Millisecond, maxWait))
	for {
		if s.readNow(ctx, name, from) || !time.Now().Before(deadline) {
			return
		}
		time.Sleep(pollInterval)
	}
}

// readNow answers with the records from an offset on. It reports false if there
// are none yet, so that the caller may wait for one.
func (s *Store) readNow(ctx *fasthttp.RequestCtx, name string, from int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from < t.first {
		reply(ctx, fasthttp.StatusGone, map[string]int64{"first": t.first})
		return true
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	for _, r := range t.records[min(from-t.first, int64(len(t.records))):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
	ctx.SetBody(out)
	return from < t.end()
}

// item is one record in the answer to /log-newest.
type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// readNewest answers with a page of the newest record of each key, in the order of
// the keys.
func (s *Store) readNewest(ctx *fasthttp.RequestCtx) {
	after := string(ctx.QueryArgs().Peek("dependsOn"))
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(string(ctx.QueryArgs().Peek("topic")))
	body := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		End       int64  `json:"end"`
	}{Items: []item{}, End: t.end()}
	for _, key := range sortedAfter(t.newest, after) {
		if len(body.Items) == maxPageRecords {
			body.Truncated = true
			break
		}
		body.Items = append(body.Items, item{key, t.newest[key].value, t.newest[key].offset})
	}
	reply(ctx, fasthttp.StatusOK, body)
}

func reply(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = fasthttp.StatusInternalServerError
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
