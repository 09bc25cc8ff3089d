package mirror_test

import (
	"maps"
	"slices"
	"testing"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/mirror"
	"pgregory.net/rapid"
)

// topic is a naive topic: every record is kept, and each question is answered from all of them.
type topic struct {
	records []fleet.Record
	first   fleet.Offset // records before it have expired
}

func (p *topic) end() fleet.Offset { return fleet.Offset(len(p.records)) }

func (p *topic) put(key, value string) {
	p.records = append(p.records, fleet.Record{Key: key, Value: []byte(value), Offset: p.end()})
}

// at returns the newest record of each key with a value, as of an offset.
func (p *topic) at(end fleet.Offset) map[string]fleet.Record {
	out := map[string]fleet.Record{}
	for _, r := range p.records[:end] {
		out[r.Key] = r
		if len(r.Value) == 0 {
			delete(out, r.Key)
		}
	}
	return out
}

// history is a random history of a topic and of the daemons that follow it.
type history struct {
	t       *rapid.T
	topic   topic
	daemons []*daemon
}

// daemon follows the topic, and asks other daemons for what it lacks.
type daemon struct {
	copy    *mirror.Mirror
	next    fleet.Offset            // to read from next; negative before a listing
	answers []mirror.Update         // of the store, in the order of the reads
	replies []mirror.Update         // of other daemons, in any order
	listing *listing                // its pages are read one by one
	newest  map[string]fleet.Offset // of the records that the copy has held
}

func newDaemon() *daemon {
	return &daemon{copy: mirror.New(), next: -1, newest: map[string]fleet.Offset{}}
}

// listing is a listing whose pages are not from one moment.
type listing struct {
	update mirror.Update
	after  string
}

var keys = []string{"a", "b", "c"}

func newHistory(t *rapid.T) *history {
	h := &history{t: t}
	for range 2 {
		h.daemons = append(h.daemons, newDaemon())
	}
	return h
}

func (h *history) pick() *daemon { return rapid.SampledFrom(h.daemons).Draw(h.t, "daemon") }

func (h *history) write() {
	value := rapid.SampledFrom([]string{"", "1", "2", "3"}).Draw(h.t, "value")
	h.topic.put(rapid.SampledFrom(keys).Draw(h.t, "key"), value)
}

func (h *history) expire() {
	h.topic.first = fleet.Offset(rapid.IntRange(int(h.topic.first), len(h.topic.records)).Draw(h.t, "first"))
}

func (h *history) restart() { *h.pick() = *newDaemon() }

func (h *history) read() { h.readBy(h.pick()) }

// readBy makes one read of a daemon: of the next page of a listing, or of what follows.
func (h *history) readBy(d *daemon) {
	if d.next >= 0 && d.next < h.topic.first {
		d.next = -1
	}
	if d.next >= 0 {
		end := fleet.Offset(rapid.IntRange(int(d.next), len(h.topic.records)).Draw(h.t, "end"))
		d.answers = append(d.answers, mirror.Update{Records: h.topic.records[d.next:end], End: end})
		d.next = end
		return
	}
	if d.listing == nil {
		d.listing = &listing{update: mirror.Update{Whole: true, End: h.topic.end()}}
	}
	h.readPage(d)
}

// readPage reads one or more keys of a listing, and ends the listing if there are no more.
func (h *history) readPage(d *daemon) {
	l, now := d.listing, h.topic.at(h.topic.end())
	last := rapid.SampledFrom(keys).Draw(h.t, "last")
	for _, key := range keys {
		if r, ok := now[key]; ok && key > l.after && key <= last {
			l.update.Records = append(l.update.Records, r)
		}
	}
	l.after = max(l.after, last)
	if l.after < keys[len(keys)-1] {
		return
	}
	d.answers = append(d.answers, l.update)
	d.next, d.listing = l.update.End, nil
}

// ask asks another daemon for what a daemon lacks.
func (h *history) ask() {
	d, peer := h.pick(), h.pick()
	d.replies = append(d.replies, peer.copy.Since(d.copy.End()))
}

// hear applies any of the answers of other daemons.
func (h *history) hear() {
	d := h.pick()
	if len(d.replies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.replies)-1).Draw(h.t, "reply")
	d.copy.Apply(d.replies[i])
	d.replies = slices.Delete(d.replies, i, i+1)
}

// arrive applies an answer of the store. Those to one daemon arrive in order.
func (h *history) arrive() {
	d := h.pick()
	if len(d.answers) == 0 {
		return
	}
	d.copy.Apply(d.answers[0])
	d.answers = d.answers[1:]
}

// check compares each copy with the whole history: for each key, it holds what the topic
// held at some offset that is not before the end of the copy, and never goes back.
func (h *history) check() {
	for _, d := range h.daemons {
		have := live(d.copy)
		for _, key := range keys {
			if !h.heldSince(d.copy.End(), key, have[key]) {
				h.t.Fatalf("the copy up to %d of %d has %q for %q", d.copy.End(), h.topic.end(), have[key], key)
			}
			if r, ok := d.copy.Records()[key]; ok && r.Offset < d.newest[key] {
				h.t.Fatalf("the copy up to %d went back to record %d of %q", d.copy.End(), r.Offset, key)
			} else if ok {
				d.newest[key] = r.Offset
			}
		}
	}
}

func (h *history) heldSince(from fleet.Offset, key, value string) bool {
	for end := from; end <= h.topic.end(); end++ {
		if string(h.topic.at(end)[key].Value) == value {
			return true
		}
	}
	return false
}

// settle reads until each daemon has reached the end, and compares the copies with the topic.
func (h *history) settle() {
	want := map[string]string{}
	for key, r := range h.topic.at(h.topic.end()) {
		want[key] = string(r.Value)
	}
	for _, d := range h.daemons {
		for d.next < h.topic.end() || d.next < 0 {
			h.readBy(d)
		}
		for _, u := range append(d.answers, d.replies...) {
			d.copy.Apply(u)
		}
		if got := live(d.copy); !maps.Equal(got, want) {
			h.t.Fatalf("at the end the copy is %v, the topic %v", got, want)
		}
	}
}

// Differential test against a topic that keeps every record: whatever expires, whoever
// restarts, and whatever is written between the pages of a listing, a copy is never older
// than its end says, and ends like the topic.
func TestCopyIsLikeTheTopic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		steps := []func(){h.write, h.write, h.expire, h.read, h.read, h.read, h.arrive, h.arrive, h.arrive, h.ask, h.hear, h.restart}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			rapid.SampledFrom(steps).Draw(t, "step")()
			h.check()
		}
		h.settle()
	})
}
