package site

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

var (
	arrived  = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	refused  = &wire.HandReply{Verdict: wire.Verdict_REFUSED}
	accepted = &wire.HandReply{Verdict: wire.Verdict_OK}
	unknown  = &wire.HandReply{Verdict: wire.Verdict_UNKNOWN}
	astray   = &wire.HandReply{Verdict: wire.Verdict_ASTRAY}
)

func newForwarding() *forwarding {
	return &forwarding{started: arrived, until: arrived.Add(3 * time.Second)}
}

func afterArrival(d time.Duration) time.Time { return arrived.Add(d) }

// Callers in a failure domain that is cut off: a daemon that knows it is isolated
// refuses them at once. Before it knows, it sends nothing to a lead it does not
// hear, since the answer might get lost.
func TestCallersOfAnIsolatedDomainAreRefusedAtOnce(t *testing.T) {
	fw := newForwarding()
	qt.Assert(t, fw.decide(leadView{term: 7, responsive: true}, arrived), qt.Equals, sendToLead)
	qt.Assert(t, fw.decide(leadView{term: 7}, arrived), qt.Equals, waitForLead)
	qt.Assert(t, fw.decide(leadView{term: 7}, afterArrival(noLeadTimeout)), qt.Equals, refuse)
	qt.Assert(t, fw.decide(leadView{term: 7, isolated: true}, arrived), qt.Equals, refuse)
	qt.Assert(t, fw.decide(leadView{term: 7, isolated: true, responsive: true}, arrived), qt.Equals, refuse)
	qt.Assert(t, fw.decide(leadView{term: 7, isolated: true, leading: true}, arrived), qt.Equals, refuse)
}

// A lead is lost while jobs are on their way to it. Only the next lead can tell
// whether they were accepted.
func TestJobInDoubtIsSettledByTheNextLead(t *testing.T) {
	fw := newForwarding()
	old, next := leadView{term: 7, responsive: true}, leadView{term: 9, responsive: true}
	qt.Assert(t, fw.record(old, nil, true), qt.IsFalse)
	qt.Assert(t, fw.decide(leadView{term: 7}, afterArrival(time.Second)), qt.Equals, waitForLead)
	qt.Assert(t, fw.record(old, refused, false), qt.IsFalse, qt.Commentf("the first attempt may still reach the old lead"))
	qt.Assert(t, fw.decide(next, afterArrival(time.Second)), qt.Equals, sendToLead)
	qt.Assert(t, fw.record(next, refused, false), qt.IsTrue)
	qt.Assert(t, fw.record(next, accepted, false), qt.IsTrue)
}

func TestJobInDoubtIsNeverReportedAsRefused(t *testing.T) {
	fw := newForwarding()
	fw.record(leadView{term: 7}, unknown, false)
	qt.Assert(t, fw.decide(leadView{term: 7, isolated: true}, afterArrival(time.Second)), qt.Equals, answerUnknown)
	qt.Assert(t, fw.decide(leadView{term: 7}, afterArrival(doubtTimeout)), qt.Equals, answerUnknown)
	qt.Assert(t, fw.decide(leadView{term: 9, responsive: true}, afterArrival(doubtTimeout)), qt.Equals, answerUnknown)
}

func TestAnswersOfALeadWithoutDoubt(t *testing.T) {
	v := leadView{term: 7, responsive: true}
	qt.Assert(t, newForwarding().record(v, refused, false), qt.IsTrue)
	qt.Assert(t, newForwarding().record(v, accepted, false), qt.IsTrue)
	qt.Assert(t, newForwarding().record(v, astray, false), qt.IsFalse)
	qt.Assert(t, newForwarding().record(v, nil, false), qt.IsFalse)
}

// A caller with no time left still gets one attempt.
func TestFirstTryIsAlwaysMade(t *testing.T) {
	fw := &forwarding{started: arrived, until: arrived}
	qt.Assert(t, fw.decide(leadView{term: 7, responsive: true}, arrived), qt.Equals, sendToLead)
	qt.Assert(t, fw.decide(leadView{term: 7, responsive: true}, afterArrival(time.Millisecond)), qt.Equals, refuse)
}
