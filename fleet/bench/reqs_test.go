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

// The model of requests, as at both users today.
const (
	reqRunners = 51
	reqDaemons = 8
	reqDomains = 3
	reqSlots   = 8
	reqMean    = 50 * time.Millisecond
	reqLimit   = time.Second
	reqHop     = 3 * time.Millisecond // to a peer and back
	reqBroken  = 0.01                 // of the tries fail with the answer owed
	reqOnce    = 0.3                  // of the requests may not be repeated
)

var reqSpan = flag.Duration("reqs", 4*time.Second, "virtual time of request arrivals")

// req is a request of the model.
type req struct {
	id     route.RequestID
	at     time.Duration
	served time.Duration // work it takes
	once   bool
	runs   int
	hops   int
	began  time.Duration // of the try that was answered
	state  int           // 0 open, 1 answered in time, 2 refused or late
	not    fleet.HostID
	why    string
}

// pool is the runners as they are.
type pool struct {
	rng   *rand.Rand
	slow  map[fleet.HostID]float64
	busy  map[fleet.HostID]int
	worst int
}

func runnerID(i int) fleet.HostID { return fleet.HostID(fmt.Sprintf("r%02d", i)) }

// world drives either version of the daemons.
type world struct {
	rng   *rand.Rand
	pool  *pool
	heap  moments
	seq   int
	now   time.Duration
	reqs  []*req
	twice int
	v     router
}

// router is what is measured.
type router interface {
	arrive(w *world, daemon int, q *req)
	done(w *world, daemon int, on fleet.HostID, q *req, ok bool, took time.Duration)
	tick(w *world)
}

func (w *world) after(d time.Duration, do func()) {
	heap.Push(&w.heap, &moment{at: w.now + d, seq: w.seq, do: func(*moment) { do() }})
	w.seq++
}

func (w *world) clock() time.Time { return start.Add(w.now) }

// send puts a request on a runner.
func (w *world) send(daemon int, on fleet.HostID, q *req) {
	w.pool.busy[on]++
	w.pool.worst = max(w.pool.worst, w.pool.busy[on])
	q.runs++
	if q.once && q.runs > 1 {
		w.twice++
	}
	q.began = w.now
	took := q.served
	if f := w.pool.slow[on]; f > 0 {
		took = time.Duration(f * float64(took))
	}
	ok := w.rng.Float64() >= reqBroken
	w.after(took, func() {
		w.pool.busy[on]--
		if ok && q.state == 0 {
			q.state = 2
			if w.now-q.at <= reqLimit {
				q.state = 1
			}
		}
		w.v.done(w, daemon, on, q, ok, took)
	})
}

func runWorld(v router, load float64, span time.Duration, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 3)), v: v}
	w.pool = &pool{slow: map[fleet.HostID]float64{runnerID(5): 4, runnerID(30): 4}, busy: map[fleet.HostID]int{}}
	rate := load * reqRunners * reqSlots / reqMean.Seconds()
	n := 0
	var next func()
	next = func() {
		if w.now >= span {
			return
		}
		q := &req{id: route.RequestID(fmt.Sprint(n)), at: w.now, once: w.rng.Float64() < reqOnce}
		q.served = time.Duration(math.Exp(w.rng.NormFloat64()*0.8-0.32) * float64(reqMean))
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
		m := heap.Pop(&w.heap).(*moment)
		w.now = m.at
		m.do(m)
	}
	return w
}

// waits returns the waiting of the requests answered in time.
func (w *world) waits() []float64 {
	var out []float64
	for _, q := range w.reqs {
		if q.state == 1 {
			out = append(out, (q.began-q.at).Seconds()*1000)
		} else {
			out = append(out, reqLimit.Seconds()*1000)
		}
	}
	return out
}

// refused is the share not answered in time that capacity could have served.
func (w *world) refused(span time.Duration) float64 {
	good := 0
	for _, q := range w.reqs {
		if q.state == 1 {
			good++
		}
	}
	could := min(float64(len(w.reqs)), reqRunners*reqSlots*span.Seconds()/reqMean.Seconds())
	return max(1-float64(good)/could, 0)
}

// naiveReq shares slots equally, takes runners in turn and retries any error.
type naiveReq struct {
	busy  [reqDaemons]map[fleet.HostID]int
	queue [reqDaemons][]*req
	turn  [reqDaemons]int
}

func newNaiveReq() *naiveReq {
	n := &naiveReq{}
	for i := range n.busy {
		n.busy[i] = map[fleet.HostID]int{}
	}
	return n
}

func (n *naiveReq) tick(*world) {}

func (n *naiveReq) arrive(w *world, d int, q *req) {
	n.queue[d] = append(n.queue[d], q)
	n.pump(w, d)
}

func (n *naiveReq) pump(w *world, d int) {
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

func (n *naiveReq) free(d int) fleet.HostID {
	for range reqRunners {
		n.turn[d] = (n.turn[d] + 1) % reqRunners
		if id := runnerID(n.turn[d]); n.busy[d][id] < reqSlots/reqDaemons {
			return id
		}
	}
	return ""
}

func (n *naiveReq) done(w *world, d int, on fleet.HostID, q *req, ok bool, _ time.Duration) {
	n.busy[d][on]--
	if !ok {
		n.queue[d] = append(n.queue[d], q)
	}
	n.pump(w, d)
}

// oursReq is a router for each daemon with the seats of its domain.
type oursReq struct {
	routers [reqDaemons]*route.Router
	open    map[route.RequestID]*req
}

func newOursReq() *oursReq {
	o := &oursReq{open: map[route.RequestID]*req{}}
	for d := range o.routers {
		o.routers[d] = route.New(route.Defaults(), uint64(d))
		o.routers[d].Set(shareOf(d))
	}
	return o
}

// shareOf gives a daemon its seats: domains have three, three and two daemons
// and three seats each.
func shareOf(d int) []route.Runner {
	domain, n := d%reqDomains, d/reqDomains
	s := board.Share{Of: 3, Seats: []int32{int32(n)}}
	if domain == 2 && n == 0 {
		s.Seats = []int32{0, 2}
	}
	var out []route.Runner
	for i := domain; i < reqRunners; i += reqDomains {
		out = append(out, route.Runner{ID: runnerID(i), Slots: int(seat.Slots(s, reqSlots))})
	}
	return out
}

// tick sweeps, and tells of rooms as beats do, which are up to a second old.
func (o *oursReq) tick(w *world) {
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
				peers = append(peers, route.Peer{ID: fleet.HostID(fmt.Sprint(e)), Room: other.Room(w.clock()), Near: e%reqDomains == d%reqDomains})
			}
		}
		r.SetPeers(peers)
	}
}

func (o *oursReq) arrive(w *world, d int, q *req) {
	o.open[q.id] = q
	o.follow(w, d, q, o.routers[d].Offer(o.request(q), w.clock()))
}

func (o *oursReq) request(q *req) route.Request {
	return route.Request{ID: q.id, Rank: 5, Until: start.Add(q.at + reqLimit), Hops: q.hops, Not: q.not}
}

func (o *oursReq) follow(w *world, d int, q *req, v route.Verdict) {
	switch v.Kind {
	case route.Go:
		w.send(d, v.Runner, q)
	case route.Refuse:
		q.state, q.why = 2, v.Why
	case route.Relay:
		var to int
		peer := v.Peer
		fmt.Sscan(string(v.Peer), &to)
		w.after(reqHop, func() {
			q.hops++
			guest := o.request(q)
			guest.Guest = true
			v := o.routers[to].Offer(guest, w.clock())
			o.routers[d].PeerRoom(peer, o.routers[to].Room(w.clock()))
			if v.Kind == route.Refuse {
				v = o.routers[d].Back(o.request(q), w.clock())
				o.follow(w, d, q, v)
				return
			}
			o.follow(w, to, q, v)
		})
	}
}

func (o *oursReq) grants(w *world, d int, list []route.Grant) {
	for _, g := range list {
		o.follow(w, d, o.open[g.ID], g.Verdict)
	}
}

func (o *oursReq) done(w *world, d int, on fleet.HostID, q *req, ok bool, took time.Duration) {
	res := route.Answered
	if !ok {
		res = route.Broken
	}
	o.routers[d].Finish(on, res, took, w.clock())
	if !ok && !q.once && q.state == 0 {
		q.not = on
		o.follow(w, d, q, o.routers[d].Again(o.request(q), w.clock()))
	}
	o.grants(w, d, o.routers[d].Sweep(w.clock()))
}

// TestRequests holds the router's promises on a seeded load; with -full it
// prints the figures beside the naive version's.
func TestRequests(t *testing.T) {
	span := *reqSpan
	if *full {
		span = 20 * time.Second
	}
	for _, load := range []float64{0.9, 1.5} {
		a := runWorld(newOursReq(), load, span, *seed)
		qt.Check(t, a.twice, qt.Equals, 0)
		qt.Check(t, a.pool.worst <= reqSlots, qt.IsTrue, qt.Commentf("a runner had %d requests", a.pool.worst))
		if !*full {
			continue
		}
		b := runWorld(newNaiveReq(), load, span, *seed)
		if load < 1 {
			showReq("reqwait", quantile(a.waits(), 0.99), quantile(b.waits(), 0.99))
		} else {
			showReq("refused", a.refused(span), b.refused(span))
		}
		showReq(fmt.Sprintf("violations@%g", load), float64(a.twice+max(a.pool.worst-reqSlots, 0)), float64(b.twice+max(b.pool.worst-reqSlots, 0)))
	}
}

func showReq(name string, ours, naive float64) {
	show("today", []string{name}, map[string]float64{name: ours}, map[string]float64{name: naive})
}
