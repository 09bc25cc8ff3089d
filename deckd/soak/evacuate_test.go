package soak

import (
	"strings"
	"testing"
	"time"

	"dragonflydeck.example/standin/engine"
	"dragonflydeck.example/standin/relay"
	"dragonflydeck.example/standin/store"
	qt "github.com/frankban/quicktest"
)

const (
	orderTime  = 5 * time.Second // for an order of the operator to be in force everywhere
	readerTime = 3 * time.Second // longer than a read of the store takes until it gives up
)

// holdsOut reports whether a daemon shows a failure domain as out of service; ok is false
// if its metrics page does not answer.
func (d *daemon) holdsOut(domain string) (out, ok bool) {
	page := d.metricsPage()
	return strings.Contains(page, `deckd_domain_out{domain="`+domain+`"} 1`), page != ""
}

// turn takes a failure domain out of service, or back.
func (r *rig) turn(domain string, out bool) {
	r.t.Helper()
	var order any // nil removes the key
	if out {
		order = map[string]any{}
	}
	qt.Check(r.t, r.store.Put(topicOperator, "evacuate/"+domain, order), qt.IsNil)
}

// awaitOut waits until every daemon shows a failure domain as out of service, or none does.
func (r *rig) awaitOut(domain string, want bool) {
	r.t.Helper()
	waitFor(r.t, orderTime, "agreement of all daemons on "+domain, func() bool {
		for _, d := range r.daemons {
			if out, ok := d.holdsOut(domain); !ok || out != want {
				return false
			}
		}
		return true
	})
}

// Guards against review/2 with real processes: a failure domain is taken back while the
// store does not answer, and the store forgets its history meanwhile. One daemon is turned
// away by the store afterwards, and another one is started anew.
func TestDomainTakenBackWhileTheHistoryGoesServesJobs(t *testing.T) {
	r := newRig(t)
	waitFor(t, 10*time.Second, "lead", func() bool { return r.otherLead(nil) != nil })
	r.turn("d0", true)
	r.awaitOut("d0", true)
	r.store.SetMode(store.Silent)
	time.Sleep(readerTime)
	r.turn("d0", false)
	r.store.Compact(topicOperator)
	turnedAway, started := r.daemons[0], r.daemons[1]
	turnedAway.storeRelay.SetMode(relay.Reset)
	started.kill()
	r.store.SetMode(store.Normal)
	started.resume(t)
	r.awaitOut("d0", false)
	turnedAway.storeRelay.SetMode(relay.Pass)

	need := engine.Need{Cores: 1000, Mem: 256, Accels: fullRoom.Accels, Gang: engineCount/2 + 1, Span: 500 * time.Millisecond}
	wide := newStep(need.Gang, need)
	wide["gang"] = true
	j := jobOf("00000000000000d0", "long", need, wide) // wider than one of the two failure domains
	r.accept(j)
	r.complete(j)
	qt.Check(t, r.auditor.Violations(), qt.HasLen, 0)
}
