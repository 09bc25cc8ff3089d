package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as in the settings file.
const (
	recordBytes    = 262144
	callBytes      = 2097152
	maxPageRecords = 500
	maxPageBytes   = 1 << 20
)

type record struct {
	key    string
	value  []byte
	offset int64
}

type topic struct {
	records []record
	newest  map[string]record
}

// store is the platform's store: linearizable, and it loses nothing.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed at each append
	rec     *recorder
}

func newStore(rec *recorder) *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{}), rec: rec}
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]record{}}
		s.topics[name] = t
	}
	return t
}

func (s *store) add(t *topic, key string, value []byte) {
	r := record{key, value, int64(len(t.records))}
	t.records = append(t.records, r)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record as the operator or a runner does. A nil value removes the key.
func (s *store) put(name, key string, value any) {
	var data []byte
	if value != nil {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), key, data)
}

// view is how one daemon reaches the store: whether the path is cut, and the addresses by which
// it reaches others.
type view struct {
	cut     func() <-chan struct{} // nil if the path works; else a channel that is closed at its end
	rewrite func([]byte) []byte    // puts the addresses of this side's gateways into a value
}

// handler serves the store to one daemon.
func (s *store) handler(name string, v view) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		v.wait()
		switch r.URL.Path {
		case "/log-append":
			s.append(w, r, name, body)
		case "/log-read":
			s.read(w, r, v)
		case "/log-newest":
			s.readNewest(w, r, v)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
		v.wait()
	})
}

// wait holds a call while the path is cut, and then ends its connection: bytes that a partition holds up are lost.
func (v view) wait() {
	if v.cut == nil {
		return
	}
	if end := v.cut(); end != nil {
		<-end
		panic(http.ErrAbortHandler)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) append(w http.ResponseWriter, r *http.Request, name string, body []byte) {
	q := r.URL.Query()
	if len(body) > callBytes {
		s.rec.once("too-large-call", "store: append by %s of %d bytes in one call, more than callBytes=%d: 413", name, len(body), callBytes)
		answer(w, http.StatusRequestEntityTooLarge, map[string]string{"reason": "callBytes"})
		return
	}
	var add []record
	for rest := body; len(rest) > 0; {
		if len(rest) < 6 {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		rest = rest[4:]
		if n < 1 || n > len(rest) || 1+int(rest[0]) > n {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		key := string(rest[1 : 1+int(rest[0])])
		if n > recordBytes {
			s.rec.once("too-large-record", "store: append by %s to %s with a record %s of %d bytes, more than recordBytes=%d: 413", name, q.Get("topic"), key, n, recordBytes)
			answer(w, http.StatusRequestEntityTooLarge, map[string]string{"reason": "recordBytes"})
			return
		}
		add = append(add, record{key: key, value: append([]byte(nil), rest[1+int(rest[0]):n]...)})
		rest = rest[n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	end := int64(len(t.records))
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		answer(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	for _, a := range add {
		if a.key == "lead" {
			s.rec.notef("store: %s claims the lead, term %d", name, int64(len(t.records))+1)
		}
		s.add(t, a.key, a.value)
	}
	answer(w, http.StatusOK, map[string]int64{"offset": end, "end": int64(len(t.records))})
}

func number(v string, none int64) int64 {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return none
	}
	return n
}

func (s *store) read(w http.ResponseWriter, r *http.Request, v view) {
	q := r.URL.Query()
	from, limit := number(q.Get("from"), 0), 1024*number(q.Get("maxKb"), 1024)
	deadline := time.After(time.Duration(min(number(q.Get("waitMs"), 0), 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topic(q.Get("topic")), s.changed
		records := append([]record(nil), t.records[min(from, int64(len(t.records))):]...)
		end := int64(len(t.records))
		s.mu.Unlock()
		late := false
		if len(records) == 0 {
			select {
			case <-changed:
				continue
			case <-deadline:
				late = true
			case <-r.Context().Done():
				return
			}
		}
		if len(records) > 0 || late {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, a := range records {
				value := v.value(a.value)
				if int64(len(out)+len(value)) > limit && len(out) > 16 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(a.key)+len(value)))
				out = append(append(append(out, byte(len(a.key))), a.key...), value...)
			}
			v.wait()
			w.Header().Set("Content-Length", strconv.Itoa(len(out)))
			_, _ = w.Write(out)
			return
		}
	}
}

func (v view) value(b []byte) []byte {
	if v.rewrite == nil {
		return b
	}
	return v.rewrite(b)
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request, v view) {
	q := r.URL.Query()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	body := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		End       int64  `json:"end"`
	}{Items: []item{}}
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	body.End = int64(len(t.records))
	var keys []string
	for k := range t.newest {
		if k > q.Get("dependsOn") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	size := 0
	for _, k := range keys {
		n := t.newest[k]
		if len(body.Items) == maxPageRecords || size+len(n.value) > maxPageBytes && size > 0 {
			body.Truncated = true
			break
		}
		size += len(n.value)
		body.Items = append(body.Items, item{k, base64.StdEncoding.EncodeToString(v.value(n.value)), n.offset})
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, body)
}

// recorder writes record.txt.
type recorder struct {
	mu     sync.Mutex
	out    io.Writer
	begun  time.Time
	said   map[string]bool
	broken []string
}

func (r *recorder) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *recorder) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.begun).Seconds(), strings.TrimRight(fmt.Sprintf(format, args...), "\n"))
}

// once notes something that happens again and again the first time only.
func (r *recorder) once(what, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.said[what] {
		r.said[what] = true
		r.line(format+" (the first of its kind; later ones are not recorded)", args...)
	}
}

// breakf notes a breach of the rule.
func (r *recorder) breakf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
	r.line("BROKEN "+format, args...)
}

func (r *recorder) breaches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}
