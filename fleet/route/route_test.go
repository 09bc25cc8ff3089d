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
	r.Set(list)
	return r
}

func request(id string, now time.Time, limit time.Duration) route.Request {
	return route.Request{ID: route.RequestID(id), Rank: 5, Until: now.Add(limit)}
}

// account is the plainest count of what a router decided.
type account struct {
	t     *rapid.T
	r     *route.Router
	now   time.Time
	slots map[fleet.HostID]int
	on    map[route.RequestID]fleet.HostID
	waits map[route.RequestID]time.Time
	n     int
}

func (a *account) take(id route.RequestID, until time.Time, v route.Verdict) {
	switch v.Kind {
	case route.Go:
		if _, twice := a.on[id]; twice {
			a.t.Fatalf("%s is sent twice", id)
		}
		a.on[id] = v.Runner
		busy := 0
		for _, at := range a.on {
			if at == v.Runner {
				busy++
			}
		}
		if busy > a.slots[v.Runner] {
			a.t.Fatalf("%s has %d requests on %d slots", v.Runner, busy, a.slots[v.Runner])
		}
		if until.Before(a.now) {
			a.t.Fatalf("%s is sent after its caller's limit", id)
		}
	case route.Wait:
		a.waits[id] = until
	case route.Refuse:
		if v.After <= 0 || v.Why == "" {
			a.t.Fatalf("%s is refused without a reason or a time: %+v", id, v)
		}
	}
}

func (a *account) sweep() {
	for _, g := range a.r.Sweep(a.now) {
		until, ok := a.waits[g.ID]
		if !ok {
			a.t.Fatalf("%s gets a verdict but does not wait", g.ID)
		}
		delete(a.waits, g.ID)
		a.take(g.ID, until, g.Verdict)
	}
}

// Slots are never passed, every request gets one verdict, and none is kept
// beyond its limit.
func TestRouterKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &account{
			t: t, now: begin, slots: map[fleet.HostID]int{"r0": 2, "r1": 1},
			r: newRouter(2, 1), on: map[route.RequestID]fleet.HostID{}, waits: map[route.RequestID]time.Time{},
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			a.now = a.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			if len(a.on) > 0 && rapid.IntRange(0, 2).Draw(t, "end") > 0 {
				a.end()
			} else {
				a.n++
				id := route.RequestID(fmt.Sprint(a.n))
				until := a.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "limit")) * time.Millisecond)
				a.take(id, until, a.r.Offer(route.Request{ID: id, Rank: a.n % 10, Until: until}, a.now))
			}
			a.sweep()
			for id, until := range a.waits {
				if until.Before(a.now) {
					t.Fatalf("%s waits on after its limit", id)
				}
			}
		}
	})
}

func (a *account) end() {
	for i := 1; i <= a.n; i++ {
		id := route.RequestID(fmt.Sprint(i))
		if at, ok := a.on[id]; ok {
			delete(a.on, id)
			res := route.Result(rapid.IntRange(1, 4).Draw(a.t, "result"))
			a.r.Finish(at, res, 30*time.Millisecond, a.now)
			return
		}
	}
}

// A peer that others hear and this host cannot reach is left alone for a while.
func TestPeerThatDoesNotAnswerIsLeftAlone(t *testing.T) {
	r := newRouter()
	r.SetPeers([]route.Peer{{ID: "e2", Room: 8, Near: true}})
	v := r.Offer(request("a", begin, time.Second), begin)
	qt.Assert(t, v.Kind, qt.Equals, route.Relay)
	r.PeerFailed("e2", begin)
	r.SetPeers([]route.Peer{{ID: "e2", Room: 8, Near: true}}) // a beat that came another way
	v = r.Offer(request("b", begin, time.Second), begin.Add(100*time.Millisecond))
	qt.Assert(t, v.Kind, qt.Not(qt.Equals), route.Relay)
	later := begin.Add(2 * time.Second)
	v = r.Offer(request("c", later, time.Second), later)
	qt.Assert(t, v.Kind, qt.Equals, route.Relay)
}

// A request whose answer would hardly come in time is refused at once.
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

// Retries draw on a budget, so that a wave of failures does not double the load.
func TestRetriesDrawOnABudget(t *testing.T) {
	r := newRouter(1000)
	sent := 0
	for i := range 1000 {
		q := request(fmt.Sprint(i), begin, time.Second)
		r.Offer(q, begin)
		if r.Again(q, begin).Kind == route.Go {
			sent++
		}
	}
	qt.Assert(t, sent <= 121, qt.IsTrue, qt.Commentf("%d retries of 1000 requests", sent))
}

// A runner is found slow by its answers and gets one request at a time.
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
		r.Sweep(begin.Add(time.Hour)) // forget what waits
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
	r.Set([]route.Runner{{ID: "r1", Slots: 1}})
	now := time.Unix(1000, 0)
	for i := range 2 {
		v := r.Offer(route.Request{ID: route.RequestID(fmt.Sprint(i)), Until: now.Add(time.Second)}, now)
		fmt.Println(v.Kind == route.Go, v.Kind == route.Wait, v.Why)
	}
	// Output:
	// true false expected to answer first of those with a free slot
	// false true every slot is taken
}
