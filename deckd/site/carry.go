package site

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/helm"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

// topicJobs holds the claims of leads and the jobs. Only a lead writes to it.
const topicJobs fleet.Topic = "keyed.jobs"

// carrier carries out what the helm wants done, each action in a goroutine that
// ends with an event.
type carrier struct {
	ctx   context.Context
	site  *Site
	group sync.WaitGroup
}

func (c *carrier) carry(actions []helm.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case helm.SendBeat:
			c.site.air.send(a.Beat)
		case helm.AnswerHand:
			c.site.hands.answer(a.Waiter, a.Reply)
		case helm.AnswerDrop:
			c.site.drops.answer(a.Waiter, a.Reply)
		default:
			c.group.Go(func() { c.call(a) })
		}
	}
}

func (c *carrier) call(a helm.Action) {
	switch a := a.(type) {
	case helm.AskPeers:
		c.askPeers(a.All)
	case helm.Claim:
		c.site.loop.Post(c.claim(a.Known))
	case helm.Probe:
		_, err := c.site.edges.Store.Newest(c.ctx, topicHosts, "")
		c.site.loop.Post(helm.Probed{Err: err})
	case helm.Append:
		end, err := timed("append", func() (fleet.Offset, error) { return c.put(a.Span, topicJobs, a.At, a.Records) })
		c.site.loop.Post(helm.Appended{Batch: a.Batch, End: end, Err: err})
	case helm.Check:
		c.site.loop.Post(c.check(a))
	case helm.Start:
		clock, err := timed("start", func() (fleet.Ticks, error) { return c.site.edges.Exec.Start(c.ctx, a.Place, a.Order) })
		c.site.loop.Post(helm.Started{Host: a.Place.Host, Key: a.Key, Clock: clock, Err: err})
	case helm.Stop:
		clock, err := timed("stop", func() (fleet.Ticks, error) { return c.site.edges.Exec.Stop(c.ctx, a.Place, a.Order) })
		c.site.loop.Post(helm.Stopped{Host: a.Place.Host, Key: a.Key, Clock: clock, Err: err})
	case helm.Look:
		at := time.Now()
		s, err := timed("look", func() (fleet.Sight, error) { return c.site.edges.Exec.Look(c.ctx, a.Place, a.Order) })
		c.site.loop.Post(helm.Looked{Host: a.Place.Host, Term: a.Order.Term, Taken: a.Order.Taken, At: at, Sight: s, Err: err})
	}
}

// ownSpan is how long a daemon waits for its own claim or entry to be stored.
const ownSpan = 500 * time.Millisecond

func (c *carrier) put(span time.Duration, topic fleet.Topic, at fleet.Offset, records []fleet.Record) (fleet.Offset, error) {
	ctx, cancel := context.WithTimeout(c.ctx, span)
	defer cancel()
	return c.site.edges.Store.Append(ctx, topic, at, records)
}

// timed makes a call and notes how long it took and how it ended.
func timed[T any](name string, call func() (T, error)) (T, error) {
	begun := time.Now()
	v, err := call()
	outSeconds(name).UpdateDuration(begun)
	outCount(name, err)
	return v, err
}

// newest reads the newest record of every key of a topic, and where the topic
// ended when the first page was read: the pages are a snapshot if it still does.
func newest(ctx context.Context, store fleet.Store, topic fleet.Topic) ([]fleet.Record, fleet.Offset, error) {
	p, err := store.Newest(ctx, topic, "")
	out, end := p.Records, p.End
	for err == nil && p.Next != "" {
		p, err = store.Newest(ctx, topic, p.Next)
		out = append(out, p.Records...)
	}
	return out, end, err
}

// check reads what lies where an append was tried. If the store has forgotten
// that, the newest record of each key tells enough.
func (c *carrier) check(a helm.Check) helm.Checked {
	b, err := c.site.edges.Store.Read(c.ctx, topicJobs, a.At, 0)
	if err == nil || fleet.KindOf(err) != fleet.Forgotten {
		return helm.Checked{Batch: a.Batch, Records: b.Records, End: b.Next, Err: err}
	}
	all, end, err := newest(c.ctx, c.site.edges.Store, topicJobs)
	since := slices.DeleteFunc(all, func(r fleet.Record) bool { return r.Offset < a.At })
	return helm.Checked{Batch: a.Batch, Records: since, End: end, Err: err}
}

// claim appends a claim where the topic ended when its records were read, so
// that of several claims one is taken and the records are all there are. A claim newer than the one known is told instead: it may be this
// daemon's own, whose answer was lost.
func (c *carrier) claim(known fleet.Term) helm.Claimed {
	store, self := c.site.edges.Store, c.site.self
	records, end, err := newest(c.ctx, store, topicJobs)
	if err != nil {
		return helm.Claimed{Err: err}
	}
	before, term, err := newestLead(records)
	if err != nil {
		return helm.Claimed{Err: err}
	}
	if term > known {
		return helm.Claimed{Lead: before, Term: term, End: end, Records: records}
	}
	mine := &wire.Lead{Host: string(self.Host), Addr: self.Addr, Inc: int64(self.Inc), Epoch: before.Epoch + 1}
	value, err := proto.Marshal(mine)
	if err != nil {
		return helm.Claimed{Err: err}
	}
	after, err := c.put(ownSpan, topicJobs, end, []fleet.Record{{Key: helm.LeadKey, Value: value}})
	if err != nil {
		return helm.Claimed{Err: err}
	}
	return helm.Claimed{Lead: mine, Term: fleet.Term(after), End: after, Records: records}
}

// newestLead returns the newest claim and its term, which is where the topic
// ended after it; zero before the first claim.
func newestLead(records []fleet.Record) (*wire.Lead, fleet.Term, error) {
	lead := &wire.Lead{}
	for _, r := range records {
		if r.Key == helm.LeadKey {
			err := proto.Unmarshal(r.Value, lead)
			return lead, fleet.Term(r.Offset + 1), err
		}
	}
	return lead, 0, nil
}

// askPeers asks other daemons, all or some drawn by chance, whether they hear the
// lead.
func (c *carrier) askPeers(all bool) {
	var group sync.WaitGroup
	peers := c.site.members.others(c.site.self.Host)
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	if !all {
		peers = peers[:min(len(peers), elect.AskMost)]
	}
	for _, m := range peers {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(c.ctx, elect.AskSpan)
			defer cancel()
			r, err := c.site.pool.Site(m.Addr).Sight(ctx, &wire.SightAsk{})
			if err != nil {
				c.site.tellCall("ask whether it hears the lead", m.Host, err)
				return
			}
			c.site.loop.Post(helm.Sighted{Reply: r})
		})
	}
	group.Wait()
}
