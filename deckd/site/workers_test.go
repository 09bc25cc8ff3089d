package site

import (
	"io"
	"testing"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/logger"
	"dragonflydeck.example/platform"
	qt "github.com/frankban/quicktest"
)

const workersTopic = "keyed.servers"

// Guards against the cause of review/2 in the list of workers: a worker whose removal has
// expired before it was read must not stay listed.
func TestWorkerThatLeftWhileTheHistoryGoesIsNotListed(t *testing.T) {
	standin, client := newStandinStore(t)
	s := &Site{deps: Dependencies{Store: client, Reader: platform.Reader{}}, logger: logger.New("e1", "error", 1, io.Discard)}
	w := &workerFollower{site: s}
	f := follower{site: s, topic: workersTopic, apply: w.apply}
	entry := map[string]any{"service": "desk", "address": "127.0.0.1:1", "zone": "d1", "state": "ready", "capacity": map[string]any{"cpu": 1, "memMb": 1}}
	for _, id := range []string{"w1", "w2"} {
		qt.Assert(t, standin.Put(workersTopic, id, entry), qt.IsNil)
	}
	qt.Assert(t, f.step(t.Context()), qt.IsNil)
	qt.Assert(t, w.entries, qt.HasLen, 2)
	qt.Assert(t, standin.Put(workersTopic, "w1", nil), qt.IsNil)
	standin.Compact(workersTopic)
	for range 2 {
		qt.Assert(t, f.step(t.Context()), qt.IsNil)
	}
	_, listed := w.entries[fleet.HostID("w1")]
	qt.Check(t, listed, qt.IsFalse)
	qt.Check(t, w.entries, qt.HasLen, 1)
}
