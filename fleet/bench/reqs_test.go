package bench

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/route"
	"dragonflydeck.example/fleet/seat"
	qt "github.com/frankban/quicktest"
)

// Parameters of the request model, as both users have them today.
const (
	reqRunners   = 51
	reqDaemons   = 8
	reqDomains   = 3
	reqSlots     = 8
	reqMean      = 50 * time.Millisecond
	reqLimit     = time.Second
	reqRelayTime = 3 * time.Millisecond // round trip to a peer
	reqFailShare = 0.01                 // share of tries that fail without an answer
	reqOnceShare = 0.3                  // share of requests that are not repeatable
)

var reqSpan = flag.Duration("reqs", 4*time.Second, "virtual time during which requests arrive")

// req is a simulated request.
type req struct {
	id        route.RequestID
	arrivedAt time.Duration
	workTime  time.Duration // time that it takes on a runner of normal speed
	once      bool
	runs      int
	hops      int
	sentAt    time.Duration // start of the latest try
	state     int           // 0 open, 1 answered in time, 2 refused or answered late
	exclude   fleet.HostID
	why       string
}

// pool is the actual state of the runners.
type pool struct {
	rng      *rand.Rand
	slow     map[fleet.HostID]float64
	busy     map[fleet.HostID]int
	mostBusy int
}

func runnerID(i int) fleet.HostID { return fleet.HostID(fmt.Sprintf("r%02d", i)) }

// requestSim simulates requests through either implementation of routing.
type requestSim struct {
	rng      *rand.Rand
	pool     *pool
	heap     eventHeap
	seq      int
	now      time.Duration
	reqs     []*req
	runTwice int
	router   router
}

// router is an implementation of routing to measure.
type router interface {
	arrive(w *requestSim, daemon int, q *req)
	done(w *requestSim, daemon int, on fleet.HostID, q *req, ok bool, took time.Duration)
	tick(w *requestSim)
}

func (w *requestSim) after(d time.Duration, do func()) {
	heap.Push(&w.heap, &simEvent{at: w.now + d, seq: w.seq, do: func(*simEvent) { do() }})
	w.seq++
}

func (w *requestSim) clock() time.Time { return start.Add(w.now) }

// send starts a try of a request on a runner.
func (w *requestSim) send(daemon int, on fleet.HostID, q *req) {
	w.pool.busy[on]++
	w.pool.mostBusy = max(w.pool.mostBusy, w.pool.busy[on])
	q.runs++
	if q.once && q.runs > 1 {
		w.runTwice++
	}
	q.sentAt = w.now
	took := q.workTime
	if f := w.pool.slow[on]; f > 0 {
		took = time.Duration(f * float64(took))
	}
	ok := w.rng.Float64() >= reqFailShare
	w.after(took, func() {
		w.pool.busy[on]--
		if ok && q.state == 0 {
			q.state = 2
			if w.now-q.arrivedAt <= reqLimit {
				q.state = 1
			}
		}
		w.router.done(w, daemon, on, q, ok, took)
	})
}

func runRequests(v router, load float64, span time.Duration, seed uint64) *requestSim {
	w := &requestSim{rng: rand.New(rand.NewPCG(seed, 3)), router: v}
	w.pool = &pool{slow: map[fleet.HostID]float64{runnerID(5): 4, runnerID(30): 4}, busy: map[fleet.HostID]int{}}
	rate := load * reqRunners * reqSlots / reqMean.Seconds()
	n := 0
	var next func()
	next = func() {
		if w.now >= span {
			return
		}
		q := &req{id: route.RequestID(fmt.Sprint(n)), arrivedAt: w.now, once: w.rng.Float64() < reqOnceShare}
		q.workTime = time.Duration(math.Exp(w.rng.NormFloat64()*0.8-0.32) * float64(reqMean))
		n++
		w.reqs = append(w.reqs, q)
		v.arrive(w, w.rng.IntN(reqDaemons), q)
		w.after(time.Duration(w.rng.ExpFloat64()/rate*1e9), next)
	}
	var tick func()
	tick = func() {
		v.tick(w)
		if w.now < span+5*time.Second {
			w.after(100*time.Millisecond, tick)
		}
	}
	w.after(0, tick)
	w.after(time.Millisecond, next)
	for w.heap.Len() > 0 {
		m := heap.Pop(&w.heap).(*simEvent)
		w.now = m.at
		m.do(m)
	}
	return w
}

// waits returns the waiting time of each request in milliseconds, and the time limit if it had no answer in time.
func (w *requestSim) waits() []float64 {
	var out []float64
	for _, q := range w.reqs {
		if q.state == 1 {
			out = append(out, (q.sentAt-q.arrivedAt).Seconds()*1000)
		} else {
			out = append(out, reqLimit.Seconds()*1000)
		}
	}
	return out
}

// refused returns the share of the requests within capacity that got no answer in time.
func (w *requestSim) refused(span time.Duration) float64 {
	good := 0
	for _, q := range w.reqs {
		if q.state == 1 {
			good++
		}
	}
	could := min(float64(len(w.reqs)), reqRunners*reqSlots*span.Seconds()/reqMean.Seconds())
	return max(1-float64(good)/could, 0)
}

// naiveRouters is the baseline: it divides slots equally, picks runners round robin and retries any error.
type naiveRouters struct {
	busy  [reqDaemons]map[fleet.HostID]int
	queue [reqDaemons][]*req
	turn  [reqDaemons]int
}

func newNaiveRouters() *naiveRouters {
	n := &naiveRouters{}
	for i := range n.busy {
		n.busy[i] = map[fleet.HostID]int{}
	}
	return n
}

func (n *naiveRouters) tick(*requestSim) {}

func (n *naiveRouters) arrive(w *requestSim, d int, q *req) {
	n.queue[d] = append(n.queue[d], q)
	n.sendQueued(w, d)
}

func (n *naiveRouters) sendQueued(w *requestSim, d int) {
	for len(n.queue[d]) > 0 {
		on := n.free(d)
		if on == "" {
			return
		}
		q := n.queue[d][0]
		n.queue[d] = n.queue[d][1:]
		n.busy[d][on]++
		w.send(d, on, q)
	}
}

func (n *naiveRouters) free(d int) fleet.HostID {
	for range reqRunners {
		n.turn[d] = (n.turn[d] + 1) % reqRunners
		if id := runnerID(n.turn[d]); n.busy[d][id] < reqSlots/reqDaemons {
			return id
		}
	}
	return ""
}

func (n *naiveRouters) done(w *requestSim, d int, on fleet.HostID, q *req, ok bool, _ time.Duration) {
	n.busy[d][on]--
	if !ok {
		n.queue[d] = append(n.queue[d], q)
	}
	n.sendQueued(w, d)
}

// planRouters is the implementation under test: a router for each daemon, with its seats.
type planRouters struct {
	routers [reqDaemons]*route.Router
	open    map[route.RequestID]*req
}

func newRouters() *planRouters {
	o := &planRouters{open: map[route.RequestID]*req{}}
	for d := range o.routers {
		o.routers[d] = route.New(route.Defaults(), uint64(d))
		o.routers[d].SetRunners(shareOf(d))
	}
	return o
}

// shareOf returns the runners of a daemon's domain with its share of their slots.
// The domains have three, three and two daemons, and three seats each.
func shareOf(d int) []route.Runner {
	domain, n := d%reqDomains, d/reqDomains
	s := board.Share{Total: 3, Seats: []int32{int32(n)}}
	if domain == 2 && n == 0 {
		s.Seats = []int32{0, 2}
	}
	var out []route.Runner
	for i := domain; i < reqRunners; i += reqDomains {
		out = append(out, route.Runner{ID: runnerID(i), Slots: int(seat.Slots(s, reqSlots))})
	}
	return out
}

// tick sweeps the routers. Once a second it updates the free slots of peers, as heartbeats do.
func (o *planRouters) tick(w *requestSim) {
	for d, r := range o.routers {
		o.grants(w, d, r.Sweep(w.clock()))
	}
	if w.now%time.Second != 0 {
		return
	}
	for d, r := range o.routers {
		var peers []route.Peer
		for e, other := range o.routers {
			if e != d {
				peers = append(peers, route.Peer{ID: fleet.HostID(fmt.Sprint(e)), FreeSlots: other.FreeSlots(w.clock()), Near: e%reqDomains == d%reqDomains})
			}
		}
		r.SetPeers(peers)
	}
}

func (o *planRouters) arrive(w *requestSim, d int, q *req) {
	o.open[q.id] = q
	o.follow(w, d, q, o.routers[d].Offer(o.request(q), w.clock()))
}

func (o *planRouters) request(q *req) route.Request {
	return route.Request{ID: q.id, Rank: 5, Deadline: start.Add(q.arrivedAt + reqLimit), Hops: q.hops, Exclude: q.exclude}
}

func (o *planRouters) follow(w *requestSim, d int, q *req, v route.Verdict) {
	switch v.Kind {
	case route.Go:
		w.send(d, v.Runner, q)
	case route.Refuse:
		q.state, q.why = 2, v.Why
	case route.Relay:
		var to int
		peer := v.Peer
		fmt.Sscan(string(v.Peer), &to)
		w.after(reqRelayTime, func() {
			q.hops++
			relayed := o.request(q)
			relayed.Relayed = true
			v := o.routers[to].Offer(relayed, w.clock())
			o.routers[d].SetPeerSlots(peer, o.routers[to].FreeSlots(w.clock()))
			if v.Kind == route.Refuse {
				v = o.routers[d].Reoffer(o.request(q), w.clock())
				o.follow(w, d, q, v)
				return
			}
			o.follow(w, to, q, v)
		})
	}
}

func (o *planRouters) grants(w *requestSim, d int, list []route.Grant) {
	for _, g := range list {
		o.follow(w, d, o.open[g.ID], g.Verdict)
	}
}

func (o *planRouters) done(w *requestSim, d int, on fleet.HostID, q *req, ok bool, took time.Duration) {
	res := route.Answered
	if !ok {
		res = route.Broken
	}
	o.routers[d].Finish(on, res, took, w.clock())
	if !ok && !q.once && q.state == 0 {
		q.exclude = on
		o.follow(w, d, q, o.routers[d].Retry(o.request(q), w.clock()))
	}
	o.grants(w, d, o.routers[d].Sweep(w.clock()))
}

// TestRequests checks the router's guarantees under a seeded load. With -full it
// also prints its figures next to those of the naive baseline.
func TestRequests(t *testing.T) {
	span := *reqSpan
	if *full {
		span = 20 * time.Second
	}
	for _, load := range []float64{0.9, 1.5} {
		a := runRequests(newRouters(), load, span, *seed)
		qt.Check(t, a.runTwice, qt.Equals, 0)
		qt.Check(t, a.pool.mostBusy <= reqSlots, qt.IsTrue, qt.Commentf("a runner had %d requests", a.pool.mostBusy))
		if !*full {
			continue
		}
		b := runRequests(newNaiveRouters(), load, span, *seed)
		if load < 1 {
			showRequests("reqwait", quantile(a.waits(), 0.99), quantile(b.waits(), 0.99))
		} else {
			showRequests("refused", a.refused(span), b.refused(span))
		}
		showRequests(fmt.Sprintf("violations@%g", load), float64(a.runTwice+max(a.pool.mostBusy-reqSlots, 0)), float64(b.runTwice+max(b.pool.mostBusy-reqSlots, 0)))
	}
}

func showRequests(name string, ours, naive float64) {
	show("today", []string{name}, map[string]float64{name: ours}, map[string]float64{name: naive})
}
