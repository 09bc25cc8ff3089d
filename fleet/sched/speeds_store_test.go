package sched_test

import (
	"strings"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

// recordedSpeeds returns the hosts with a stored speed.
func (w *world) recordedSpeeds() []string {
	var out []string
	for _, r := range w.store.newest() {
		if host, ok := strings.CutPrefix(r.Key, "speed/"); ok {
			out = append(out, host)
		}
	}
	return out
}

// The record of a worker that left while no daemon led must be deleted, or the store grows with
// each worker that ever ran.
func TestSpeedOfAWorkerThatLeftBeforeTheLeadIsDeleted(t *testing.T) {
	w := newWorld(t, 1, 2)
	for i, host := range []string{"gone", "w0-0"} {
		value, err := proto.Marshal(&wire.Speed{Host: host, Inc: 1, Service: service, Mean: 0.2, Spread: 0.1, Count: 9})
		qt.Assert(t, err, qt.IsNil)
		w.store.records = append(w.store.records, fleet.Record{Key: "speed/" + host, Value: value, Offset: fleet.Offset(i)})
	}
	w.becomeLead()
	w.run(time.Second)
	f := flowOf("a", "any", "bulk", taskStep(1, 1, time.Second))
	w.submitAccepted(f)
	w.awaitCompleted(f, 5*time.Second)
	qt.Assert(t, w.recordedSpeeds(), qt.DeepEquals, []string{"w0-0"})
}
