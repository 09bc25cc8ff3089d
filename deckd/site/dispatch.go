package site

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/clock"
	"dragonflydeck.example/fleet/elect"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/voter"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/proto"
)

// topicJobs holds the jobs and the claims to lead. Apart from such claims, only
// the lead writes to it.
const topicJobs fleet.Topic = "keyed.jobs"

// dispatcher performs the actions that the control loop asks for. Actions that
// may block run in a goroutine of their own and post their outcome to the loop
// as an event.
type dispatcher struct {
	ctx   context.Context
	site  *Site
	group sync.WaitGroup
}

func (d *dispatcher) dispatch(actions []sched.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case sched.SendBeat:
			d.site.members.noteReading(clock.Reading(a.Beat.Clock))
			d.site.heartbeats.send(a.Beat)
		case sched.AnswerSubmit:
			d.site.submitWaiters.answer(a.Waiter, a.Reply)
		case sched.AnswerCancel:
			d.site.cancelWaiters.answer(a.Waiter, a.Reply)
		case sched.AnswerStatus:
			d.site.statusWaiters.answer(a.Waiter, a.Reply)
		default:
			d.group.Go(func() { d.perform(a) })
		}
	}
}

func (d *dispatcher) perform(a sched.Action) {
	switch a := a.(type) {
	case sched.AskPeers:
		d.askPeers(a)
	case sched.MarkLost:
		d.markLost(a.Process)
	case sched.Claim:
		d.site.loop.Post(d.claim(a))
	case sched.Probe:
		_, err := d.site.deps.Store.Newest(d.ctx, topicHosts, "")
		d.site.loop.Post(sched.Probed{Err: err})
	case sched.Append:
		sentAt := time.Now()
		end, err := timed("append", func() (fleet.Offset, error) { return d.appendRecords(a.Timeout, topicJobs, a.At, a.Records) })
		d.site.loop.Post(sched.Appended{Batch: a.Batch, End: end, SentAt: sentAt, Err: err})
	case sched.Check:
		d.site.loop.Post(d.check(a))
	case sched.Start:
		at := time.Now()
		clock, err := timed("start", func() (fleet.Ticks, error) { return d.site.deps.Exec.Start(d.ctx, a.Endpoint, a.Order) })
		d.site.loop.Post(sched.Started{Endpoint: a.Endpoint, Term: a.Order.Term, SentAt: at, Key: a.Key, Clock: clock, Err: err})
	case sched.Stop:
		at := time.Now()
		clock, err := timed("stop", func() (fleet.Ticks, error) { return d.site.deps.Exec.Stop(d.ctx, a.Endpoint, a.Order) })
		d.site.loop.Post(sched.Stopped{Endpoint: a.Endpoint, Term: a.Order.Term, SentAt: at, Key: a.Key, Clock: clock, Err: err})
	case sched.Poll:
		at := time.Now()
		s, err := timed("look", func() (fleet.WorkerReport, error) { return d.site.deps.Exec.Poll(d.ctx, a.Endpoint, a.Order) })
		d.site.loop.Post(sched.Polled{Endpoint: a.Endpoint, Term: a.Order.Term, Acked: a.Order.Acked, At: at, Wait: a.Order.Wait, Report: s, Err: err})
	}
}

// claimTimeout bounds the append of a claim to the lead.
const claimTimeout = 500 * time.Millisecond

func (d *dispatcher) appendRecords(timeout time.Duration, topic fleet.Topic, at fleet.Offset, records []fleet.Record) (fleet.Offset, error) {
	ctx, cancel := context.WithTimeout(d.ctx, timeout)
	defer cancel()
	return d.site.deps.Store.Append(ctx, topic, at, records)
}

// timed makes a call and records its duration and outcome in the metrics.
func timed[T any](name string, call func() (T, error)) (T, error) {
	started := time.Now()
	v, err := call()
	outSeconds(name).UpdateDuration(started)
	outCount(name, err)
	return v, err
}

// readNewest reads the newest record of every key of a topic, page by page, and
// returns the end of the topic as of the first page. The records are a
// consistent snapshot only if the topic still ends there.
func readNewest(ctx context.Context, store fleet.Store, topic fleet.Topic) ([]fleet.Record, fleet.Offset, error) {
	p, err := store.Newest(ctx, topic, "")
	out, end := p.Records, p.End
	for err == nil && p.Next != "" {
		p, err = store.Newest(ctx, topic, p.Next)
		out = append(out, p.Records...)
	}
	return out, end, err
}

// check reads the records from the offset at which an append was tried, to find
// out whether it took effect. If the store no longer has them, the newest record
// of each key is enough to decide.
func (d *dispatcher) check(a sched.Check) sched.Checked {
	sentAt := time.Now()
	b, err := d.site.deps.Store.Read(d.ctx, topicJobs, a.At, 0)
	if err == nil || fleet.KindOf(err) != fleet.Forgotten {
		return sched.Checked{Batch: a.Batch, Records: b.Records, End: b.Next, SentAt: sentAt, Err: err}
	}
	all, end, err := readNewest(d.ctx, d.site.deps.Store, topicJobs)
	since := slices.DeleteFunc(all, func(r fleet.Record) bool { return r.Offset < a.At })
	return sched.Checked{Batch: a.Batch, Records: since, End: end, SentAt: sentAt, Err: err}
}

// claim tries to make this daemon the lead. It reads all records and appends the
// claim on the condition that the topic still ends there, so that only one of
// several concurrent claims succeeds and the winner has seen every record. If
// there already is a claim newer than the known term, claim returns that one
// instead: it may be this daemon's own, whose response was lost.
func (d *dispatcher) claim(a sched.Claim) sched.Claimed {
	store, self, sentAt := d.site.deps.Store, d.site.self, time.Now()
	records, end, err := readNewest(d.ctx, store, topicJobs)
	if err != nil {
		return sched.Claimed{Err: err}
	}
	before, term, err := newestClaim(records)
	if err != nil {
		return sched.Claimed{Err: err}
	}
	if term > a.Known {
		roll, err := sched.ReadRoll(records)
		return sched.Claimed{Lead: before, Roll: roll, Term: term, End: end, Records: records, SentAt: sentAt, Err: err}
	}
	mine := &wire.Lead{Host: string(self.Host), Addr: self.Addr, Inc: int64(d.site.incarnation()), Epoch: before.Epoch + 1}
	roll, err := sched.SucceedRoll(records, before, voter.Process{Host: self.Host, Inc: d.site.incarnation()}, a.Voters)
	if err != nil {
		return sched.Claimed{Err: err}
	}
	claim, err := sched.ClaimRecords(mine, roll)
	if err != nil {
		return sched.Claimed{Err: err}
	}
	sentAt = time.Now()
	after, err := d.appendRecords(claimTimeout, topicJobs, end, claim)
	if err != nil {
		return sched.Claimed{Err: err}
	}
	return sched.Claimed{Lead: mine, Roll: roll, Term: fleet.Term(after), End: after, Records: records, SentAt: sentAt}
}

// newestClaim returns the newest claim and its term, which is the offset after
// it; the term is zero before the first claim.
func newestClaim(records []fleet.Record) (*wire.Lead, fleet.Term, error) {
	lead := &wire.Lead{}
	for _, r := range records {
		if r.Key == sched.LeadKey {
			err := proto.Unmarshal(r.Value, lead)
			return lead, fleet.Term(r.Offset + 1), err
		}
	}
	return lead, 0, nil
}

// peersToAsk returns other daemons: those on the given hosts, all of them, or a random sample.
// Silent ones are among all of them, as they may be voters of a former lead.
func (d *dispatcher) peersToAsk(a sched.AskPeers) []*wire.Member {
	peers := d.site.members.reachable(d.site.self.Host)
	if len(a.Hosts) > 0 {
		return slices.DeleteFunc(peers, func(m *wire.Member) bool { return !slices.Contains(a.Hosts, fleet.HostID(m.Host)) })
	}
	if a.All {
		return peers
	}
	peers = d.site.members.others(d.site.self.Host)
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	return peers[:min(len(peers), elect.MaxAsked)]
}

// askPeers asks other daemons at the same time whether they hear the lead, and waits for their
// answers.
func (d *dispatcher) askPeers(a sched.AskPeers) {
	askedAt := time.Now()
	var group sync.WaitGroup
	for _, m := range d.peersToAsk(a) {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(d.ctx, elect.AskTimeout)
			defer cancel()
			r, err := d.site.pool.Site(m.Addr).Sight(ctx, &wire.SightAsk{})
			if err != nil {
				d.site.logCallFailure("ask whether it hears the lead", m.Host, err)
				return
			}
			d.site.loop.Post(sched.PeerAnswered{Host: fleet.HostID(m.Host), AskedAt: askedAt, Reply: r})
		})
	}
	group.Wait()
}
