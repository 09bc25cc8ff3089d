package route_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/route"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var begin = time.Unix(1000, 0)

func newRouter(slots ...int) *route.Router {
	r := route.New(route.Defaults(), 1)
	var list []route.Runner
	for i, n := range slots {
		list = append(list, route.Runner{ID: fleet.HostID(fmt.Sprint("r", i)), Slots: n})
	}
	r.SetRunners(list)
	return r
}

func request(id string, now time.Time, limit time.Duration) route.Request {
	return route.Request{ID: route.RequestID(id), Rank: 5, Deadline: now.Add(limit)}
}

// auditor tracks a router's decisions independently and checks each of them.
type auditor struct {
	t       *rapid.T
	r       *route.Router
	now     time.Time
	slots   map[fleet.HostID]int
	running map[route.RequestID]fleet.HostID
	waiting map[route.RequestID]time.Time
	n       int
}

func (a *auditor) record(id route.RequestID, until time.Time, v route.Verdict) {
	switch v.Kind {
	case route.Go:
		if _, twice := a.running[id]; twice {
			a.t.Fatalf("%s is sent twice", id)
		}
		a.running[id] = v.Runner
		busy := 0
		for _, at := range a.running {
			if at == v.Runner {
				busy++
			}
		}
		if busy > a.slots[v.Runner] {
			a.t.Fatalf("%s has %d requests on %d slots", v.Runner, busy, a.slots[v.Runner])
		}
		if until.Before(a.now) {
			a.t.Fatalf("%s is sent after its caller's time limit", id)
		}
	case route.Wait:
		a.waiting[id] = until
	case route.Refuse:
		if v.RetryAfter <= 0 || v.Why == "" {
			a.t.Fatalf("%s is refused without a reason or a time: %+v", id, v)
		}
	}
}

func (a *auditor) sweep() {
	for _, g := range a.r.Sweep(a.now) {
		until, ok := a.waiting[g.ID]
		if !ok {
			a.t.Fatalf("%s gets a verdict but does not wait", g.ID)
		}
		delete(a.waiting, g.ID)
		a.record(g.ID, until, g.Verdict)
	}
}

// No runner gets more requests than slots, each request gets one verdict, and none waits
// beyond its time limit.
func TestRouterKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &auditor{
			t: t, now: begin, slots: map[fleet.HostID]int{"r0": 2, "r1": 1},
			r: newRouter(2, 1), running: map[route.RequestID]fleet.HostID{}, waiting: map[route.RequestID]time.Time{},
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			a.now = a.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			if len(a.running) > 0 && rapid.IntRange(0, 2).Draw(t, "end") > 0 {
				a.finishOne()
			} else {
				a.n++
				id := route.RequestID(fmt.Sprint(a.n))
				until := a.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "limit")) * time.Millisecond)
				a.record(id, until, a.r.Offer(route.Request{ID: id, Rank: a.n % 10, Deadline: until}, a.now))
			}
			a.sweep()
			for id, until := range a.waiting {
				if until.Before(a.now) {
					t.Fatalf("%s still waits after its time limit", id)
				}
			}
		}
	})
}

func (a *auditor) finishOne() {
	for i := 1; i <= a.n; i++ {
		id := route.RequestID(fmt.Sprint(i))
		if at, ok := a.running[id]; ok {
			delete(a.running, id)
			res := route.Result(rapid.IntRange(1, 4).Draw(a.t, "result"))
			a.r.Finish(at, res, 30*time.Millisecond, a.now)
			return
		}
	}
}

// A peer whose heartbeats arrive through others, but that this host cannot reach,
// gets no requests during a backoff.
func TestPeerThatDoesNotAnswerIsLeftAlone(t *testing.T) {
	r := newRouter()
	r.SetPeers([]route.Peer{{ID: "e2", FreeSlots: 8, Near: true}})
	v := r.Offer(request("a", begin, time.Second), begin)
	qt.Assert(t, v.Kind, qt.Equals, route.Relay)
	r.PeerFailed("e2", begin)
	r.SetPeers([]route.Peer{{ID: "e2", FreeSlots: 8, Near: true}}) // a heartbeat that arrived through another host
	v = r.Offer(request("b", begin, time.Second), begin.Add(100*time.Millisecond))
	qt.Assert(t, v.Kind, qt.Not(qt.Equals), route.Relay)
	later := begin.Add(2 * time.Second)
	v = r.Offer(request("c", later, time.Second), later)
	qt.Assert(t, v.Kind, qt.Equals, route.Relay)
}

// A waiting request whose answer would hardly arrive in time is refused, not sent.
func TestNothingIsSentInTheLastMoment(t *testing.T) {
	r := newRouter(1)
	for i := range 20 {
		id := fmt.Sprint("warm", i)
		qt.Assert(t, r.Offer(request(id, begin, time.Second), begin).Kind, qt.Equals, route.Go)
		r.Finish("r0", route.Answered, 50*time.Millisecond, begin)
	}
	qt.Assert(t, r.Offer(request("a", begin, time.Second), begin).Kind, qt.Equals, route.Go)
	qt.Assert(t, r.Offer(request("b", begin, 200*time.Millisecond), begin).Kind, qt.Equals, route.Wait)
	late := begin.Add(120 * time.Millisecond)
	r.Finish("r0", route.Answered, 120*time.Millisecond, late)
	grants := r.Sweep(late)
	qt.Assert(t, grants, qt.HasLen, 1)
	qt.Assert(t, grants[0].Kind, qt.Equals, route.Refuse)
}

// Retries use a budget, so that a wave of failures does not double the load.
func TestRetriesDrawOnABudget(t *testing.T) {
	r := newRouter(1000)
	sent := 0
	for i := range 1000 {
		q := request(fmt.Sprint(i), begin, time.Second)
		r.Offer(q, begin)
		if r.Retry(q, begin).Kind == route.Go {
			sent++
		}
	}
	qt.Assert(t, sent <= 121, qt.IsTrue, qt.Commentf("%d retries of 1000 requests", sent))
}

// A runner whose answers are slow gets one request at a time.
func TestSlowRunnerIsFoundByItsAnswers(t *testing.T) {
	r := newRouter(4, 4, 4)
	took := map[fleet.HostID]time.Duration{"r0": 50, "r1": 50, "r2": 400}
	for n := range 10 { // fill every slot, then answer all
		var on []fleet.HostID
		for i := range 12 {
			if v := r.Offer(request(fmt.Sprint(n, "/", i), begin, time.Minute), begin); v.Kind == route.Go {
				on = append(on, v.Runner)
			}
		}
		for _, id := range on {
			r.Finish(id, route.Answered, took[id]*time.Millisecond, begin)
		}
		r.Sweep(begin.Add(time.Hour)) // clear the queue
	}
	got := map[fleet.HostID]int{}
	for i := range 12 {
		v := r.Offer(request(fmt.Sprint(i), begin, 10*time.Second), begin)
		got[v.Runner]++
	}
	qt.Assert(t, got["r2"] <= 1, qt.IsTrue, qt.Commentf("%v", got))
}

func ExampleRouter_Offer() {
	r := route.New(route.Defaults(), 1)
	r.SetRunners([]route.Runner{{ID: "r1", Slots: 1}})
	now := time.Unix(1000, 0)
	for i := range 2 {
		v := r.Offer(route.Request{ID: route.RequestID(fmt.Sprint(i)), Deadline: now.Add(time.Second)}, now)
		fmt.Println(v.Kind == route.Go, v.Kind == route.Wait, v.Why)
	}
	// Output:
	// true false shortest expected answer time of the runners with a free slot
	// false true all slots are busy
}
