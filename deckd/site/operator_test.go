package site

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"testing"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/logger"
	"dragonflydeck.example/fleet/loop"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	"dragonflydeck.example/platform"
	"dragonflydeck.example/standin/store"
	qt "github.com/frankban/quicktest"
)

// The platform's names.
const (
	operatorTopic = "keyed.op"
	outOfD1       = "evacuate/d1"
	outOfD2       = "evacuate/d2"
)

// operatorRig is the part of a daemon that follows the operator's records, with a
// stand-in for the store. Its control loop is not running, so that events stay in its queue.
type operatorRig struct {
	*operatorRecords
	t        *testing.T
	store    *store.Store
	follower *follower
	events   chan sched.Event
	log      bytes.Buffer
}

func newOperatorRig(t *testing.T) *operatorRig {
	t.Helper()
	standin, client := newStandinStore(t)
	return newOperatorRigOn(t, standin, client)
}

// newOperatorRigOn returns a further daemon on the same store.
func newOperatorRigOn(t *testing.T, standin *store.Store, client fleet.Store) *operatorRig {
	t.Helper()
	r := &operatorRig{t: t, store: standin, events: make(chan sched.Event, 16)}
	s := &Site{self: testSelf, deps: Dependencies{Store: client, Reader: platform.Reader{}}, members: newMembers()}
	s.logger = logger.New(testSelf.Host, "info", 100, &r.log)
	s.loop = loop.New[*sched.Scheduler](nil, nil, r.events, nil)
	s.operator = newOperatorRecords(s)
	s.view.Store(&leadView{})
	r.operatorRecords = s.operator
	r.follower = s.operator.newFollower(t.Context())
	r.follower.wait = 0
	return r
}

func (r *operatorRig) put(key string, value any) {
	r.t.Helper()
	qt.Assert(r.t, r.store.Put(operatorTopic, key, value), qt.IsNil)
}

// read makes the given number of reads of the store.
func (r *operatorRig) read(times int) {
	r.t.Helper()
	for range times {
		qt.Assert(r.t, r.follower.step(r.t.Context()), qt.IsNil)
	}
}

// outOfService returns the failure domains that are out of service by the newest event
// for the scheduler.
func (r *operatorRig) outOfService() []fleet.DomainID {
	r.t.Helper()
	var newest sched.ConfigChanged
	for len(r.events) > 0 {
		newest = (<-r.events).(sched.ConfigChanged)
	}
	qt.Assert(r.t, newest.End > 0, qt.IsTrue, qt.Commentf("the scheduler was told nothing"))
	return slices.Sorted(maps.Keys(newest.OutOfService))
}

func (r *operatorRig) metrics() string {
	var w strings.Builder
	r.writeMetrics(&w)
	return w.String()
}

func TestDomainsThatGoOutAndComeBackAreShown(t *testing.T) {
	r := newOperatorRig(t)
	r.put(outOfD1, map[string]any{})
	r.read(1)
	r.put(outOfD2, map[string]any{})
	r.put(outOfD1, nil)
	r.read(1)
	qt.Check(t, r.outOfService(), qt.DeepEquals, []fleet.DomainID{"d2"})
	qt.Check(t, r.metrics(), qt.Equals, "deckd_orders_end 3\ndeckd_domain_out{domain=\"d2\"} 1\n")
	var shown []string
	for line := range strings.Lines(r.log.String()) {
		_, line, _ = strings.Cut(line, `"code":`)
		shown = append(shown, strings.TrimSpace(line))
	}
	qt.Check(t, shown, qt.DeepEquals, []string{
		`403,"event":"domain-out","host":"e-a-1","about":"d1","message":"end=1 from=the store"}`,
		`403,"event":"domain-out","host":"e-a-1","about":"d2","message":"end=3 from=the store"}`,
		`404,"event":"domain-back","host":"e-a-1","about":"d1","message":"end=3 from=the store"}`,
	})
}

func TestHistoryThatIsGoneIsLogged(t *testing.T) {
	r := newOperatorRig(t)
	r.put(outOfD1, map[string]any{})
	r.read(1)
	r.put(outOfD2, map[string]any{})
	r.store.Compact(operatorTopic)
	r.read(1)
	qt.Check(t, r.log.String(), qt.Contains, `"event":"records-gone","host":"e-a-1","about":"keyed.op","message":"next=1"`)
	r.read(1)
	qt.Check(t, r.outOfService(), qt.DeepEquals, []fleet.DomainID{"d1", "d2"})
}

// Guards against review/2: the order to take a failure domain out of service was kept for
// good when the record of its removal expired before this daemon had read it.
func TestDomainTakenBackWhileTheHistoryGoesIsUsedAgain(t *testing.T) {
	r := newOperatorRig(t)
	r.put("config", map[string]any{"version": 1})
	r.put(outOfD1, map[string]any{})
	r.put(outOfD2, map[string]any{})
	r.read(1)
	qt.Assert(t, r.outOfService(), qt.DeepEquals, []fleet.DomainID{"d1", "d2"})
	r.put(outOfD1, nil)
	r.store.Compact(operatorTopic)
	r.read(2) // one that finds the records gone, and the listing
	qt.Check(t, r.outOfService(), qt.DeepEquals, []fleet.DomainID{"d2"})
	qt.Check(t, r.config.Load().Version, qt.Equals, int64(1))
	r.put(outOfD2, nil)
	r.read(1)
	qt.Check(t, r.outOfService(), qt.HasLen, 0)
}

// askPeerOf applies the answer of another daemon to this one.
func (r *operatorRig) askPeerOf(peer *operatorRig) {
	r.applyReply(peer.reply(r.endOffset()), "e-b-1")
}

// Guards against the cause of review/2 in answers of peers: a daemon that the store turns
// away kept an order for good if its peer had started after the order was removed, and
// ignored the store's own answer later, as its end was known already.
func TestRemovalIsLearnedFromAPeerThatNeverKnewTheOrder(t *testing.T) {
	r := newOperatorRig(t)
	r.put("config", map[string]any{"version": 1})
	r.put(outOfD1, map[string]any{})
	r.read(1)
	r.put(outOfD1, nil)
	peer := newOperatorRigOn(t, r.store, r.site.deps.Store)
	peer.read(1)
	r.askPeerOf(peer)
	qt.Check(t, r.outOfService(), qt.HasLen, 0)
	qt.Check(t, r.config.Load().Version, qt.Equals, int64(1))
}

// A peer that read the removal from the store tells of it.
func TestRemovalIsLearnedFromAPeerThatReadIt(t *testing.T) {
	r := newOperatorRig(t)
	peer := newOperatorRigOn(t, r.store, r.site.deps.Store)
	r.put(outOfD1, map[string]any{})
	r.read(1)
	peer.read(1)
	r.put(outOfD1, nil)
	peer.read(1)
	r.askPeerOf(peer)
	qt.Check(t, r.outOfService(), qt.HasLen, 0)
}

// The answer of a peer that was on its way while the history went must not bring an
// order back that was removed meanwhile.
func TestLateAnswerOfAPeerBringsNoOrderBack(t *testing.T) {
	r := newOperatorRig(t)
	peer := newOperatorRigOn(t, r.store, r.site.deps.Store)
	r.put("config", map[string]any{"version": 1})
	r.read(1)
	r.put(outOfD1, map[string]any{})
	peer.read(1)
	late := peer.reply(r.endOffset())
	r.put(outOfD1, nil)
	r.store.Compact(operatorTopic)
	r.read(2)
	r.applyReply(late, "e-b-1")
	r.put("config", map[string]any{"version": 2})
	r.read(1)
	qt.Check(t, r.outOfService(), qt.HasLen, 0)
}

// While daemons are upgraded, the answer of an older one is left out and the store's own
// answer, which follows, counts.
func TestAnswerOfAnOlderDaemonIsLeftOut(t *testing.T) {
	r := newOperatorRig(t)
	r.put(outOfD1, map[string]any{})
	r.read(1)
	r.put(outOfD1, nil)
	r.applyReply(&wire.OrdersReply{End: 2}, "e-b-1")
	qt.Check(t, r.log.String(), qt.Contains, "the daemon is of an older version")
	r.read(1)
	qt.Check(t, r.outOfService(), qt.HasLen, 0)
}
