package sched_test

import (
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/queue"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// deskQueue is a queue of the tests of renamed queues and workspaces.
func deskQueue(name, prefix string) queue.Queue {
	return queue.Queue{Name: name, Host: "Desk.example", Prefix: prefix, Service: service, Attempts: 3, Slowdown: 3, Target: time.Second, Priority: 1}
}

func keyed(name string, keys ...string) queue.Space {
	return queue.Space{Name: fleet.SpaceID(name), Keys: keys}
}

func (w *world) setConfig(queues []queue.Queue, spaces ...queue.Space) {
	w.config = queue.New(queue.Config{Version: w.config.Version + 3, Queues: queues, Spaces: spaces})
	w.postConfig()
	w.step()
}

// hand submits a job as the daemon does that a caller with a key calls.
func (w *world) hand(id, path, key string) (*wire.Flow, *wire.HandReply) {
	q, _ := w.config.Match("desk.example", path)
	space, _ := w.config.SpaceOf(key)
	f := newFlow(id, "long", taskStep(1, 1, time.Hour))
	f.Queue, f.Address, f.Open, f.Space, f.Mark = q.Name, q.Address(), q.Open, string(space), uint64(queue.MarkOf(key))
	waiter := w.submit(f)
	w.runUntil(time.Second, "answer", func() bool { return w.submitReplies[waiter] != nil })
	return f, w.submitReplies[waiter]
}

// ask asks for a job as the daemon does that a caller with a key calls.
func (w *world) ask(id, path, key string) wire.Verdict {
	q, _ := w.config.Match("desk.example", path)
	if q == nil {
		return wire.Verdict_VERDICT_UNSET
	}
	space, _ := w.config.SpaceOf(key)
	return w.scheduler.Status(&wire.FlowAsk{Id: id, Queue: q.Name, Space: string(space), Mark: uint64(queue.MarkOf(key))}).Verdict
}

// Guards against an accepted job that is unknown to its callers once the operator has given its queue or
// workspace another name (review/10), and against one that another workspace sees by that.
func TestJobIsKnownToItsCallersInEveryVersion(t *testing.T) {
	one := []queue.Queue{deskQueue("jobs", "/jobs/")}
	for _, c := range []struct {
		name   string
		queues []queue.Queue
		spaces []queue.Space
		path   string // of the calls after the change
		owner  string // key that sees the job
		other  string // key that does not
	}{
		{"queue-renamed", []queue.Queue{deskQueue("other", "/jobs/")}, nil, "/jobs/", "ka", "kb"},
		{"queue-moved", []queue.Queue{deskQueue("jobs", "/moved/")}, nil, "/moved/", "ka", "kb"},
		{"queue-renamed-and-moved", []queue.Queue{deskQueue("other", "/moved/")}, nil, "/moved/", "ka", "kb"},
		{"queues-joined", []queue.Queue{deskQueue("all", "/")}, nil, "/", "ka", "kb"},
		{"queue-split", []queue.Queue{deskQueue("jobs", "/jobs/"), deskQueue("more", "/more/")}, nil, "/more/", "ka", "kb"},
		{"workspace-renamed", one, []queue.Space{keyed("c", "ka", "ka2"), keyed("b", "kb")}, "/jobs/", "ka", "kb"},
		{"workspace-renamed-other-key", one, []queue.Space{keyed("c", "ka", "ka2"), keyed("b", "kb")}, "/jobs/", "ka2", "kb"},
		{"workspaces-change-names", one, []queue.Space{keyed("b", "ka", "ka2"), keyed("a", "kb")}, "/jobs/", "ka", "kb"},
		{"workspaces-joined", one, []queue.Space{keyed("b", "ka", "ka2", "kb"), keyed("d", "kd")}, "/jobs/", "kb", "kd"},
		{"workspace-split", one, []queue.Space{keyed("a", "ka"), keyed("c", "ka2"), keyed("b", "kb")}, "/jobs/", "ka", "ka2"},
		{"key-replaced", one, []queue.Space{keyed("a", "ka3"), keyed("b", "kb")}, "/jobs/", "ka3", "kb"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 1, 1)
			w.becomeLead()
			w.setConfig(one, keyed("a", "ka", "ka2"), keyed("b", "kb"))
			id := "00-" + c.name
			runTimes[fleet.JobID(id)] = time.Hour
			_, r := w.hand(id, "/jobs/", "ka")
			qt.Assert(t, r.Verdict, qt.Equals, wire.Verdict_OK)
			spaces := c.spaces
			if spaces == nil {
				spaces = w.config.Spaces
			}
			w.setConfig(c.queues, spaces...)
			check := func(when string) {
				qt.Check(t, w.ask(id, c.path, c.owner), qt.Equals, wire.Verdict_OK, qt.Commentf("%s: its callers", when))
				qt.Check(t, w.ask(id, c.path, c.other), qt.Equals, wire.Verdict_ABSENT, qt.Commentf("%s: others", when))
			}
			check("at once")
			w.run(time.Second)
			w.restartDaemon()
			w.becomeLead()
			w.run(time.Second)
			check("from a new lead")
			q, _ := w.config.Match("desk.example", c.path)
			space, _ := w.config.SpaceOf(c.owner)
			w.cancelAs(&wire.FlowAsk{Id: id, Queue: q.Name, Space: string(space), Mark: uint64(queue.MarkOf(c.owner))})
			qt.Check(t, w.running(fleet.JobID(id)), qt.Equals, 0)
		})
	}
}

// cancelAs cancels a job as a caller, and waits until its runs are gone.
func (w *world) cancelAs(ask *wire.FlowAsk) {
	w.waiters++
	id := w.waiters
	w.post(sched.CancelRequested{Waiter: id, Ask: ask, Deadline: w.local().Add(3 * time.Second)})
	w.runUntil(time.Second, "answer", func() bool { return w.cancelReplies[id] != nil })
	qt.Check(w.t, w.cancelReplies[id].Verdict, qt.Equals, wire.Verdict_OK)
	w.run(time.Second)
}

// Guards against an owner that is forgotten: a workspace is renamed, and only later the key goes with
// which a job was submitted. A lead that starts after that knows the job's workspace from its record.
func TestRenamedWorkspaceKeepsItsJobsWhenTheirKeyGoes(t *testing.T) {
	one := []queue.Queue{deskQueue("jobs", "/jobs/")}
	w := newWorld(t, 1, 1)
	w.becomeLead()
	w.setConfig(one, keyed("a", "k1"))
	runTimes["00-kept"] = time.Hour
	_, r := w.hand("00-kept", "/jobs/", "k1")
	qt.Assert(t, r.Verdict, qt.Equals, wire.Verdict_OK)
	w.setConfig(one, keyed("c", "k1", "k2"))
	w.run(time.Second)
	qt.Check(t, w.eventCount(event.JobReowned), qt.Equals, 1)
	w.setConfig(one, keyed("c", "k2"), keyed("a", "k3"))
	w.run(time.Second)
	w.restartDaemon()
	w.becomeLead()
	w.run(time.Second)
	qt.Check(t, w.ask("00-kept", "/jobs/", "k2"), qt.Equals, wire.Verdict_OK)
	qt.Check(t, w.ask("00-kept", "/jobs/", "k3"), qt.Equals, wire.Verdict_ABSENT)
}

// A renamed workspace keeps its guarantee for the jobs that it has submitted before, and what they use counts for it.
func TestRenamedWorkspaceIsChargedForItsJobs(t *testing.T) {
	one := []queue.Queue{deskQueue("jobs", "/jobs/")}
	w := newWorld(t, 1, 1)
	w.becomeLead()
	w.setConfig(one, keyed("a", "k1"))
	runTimes["00-charged"] = time.Hour
	w.hand("00-charged", "/jobs/", "k1")
	w.runUntil(time.Second, "start", func() bool { return w.startCount("00-charged") == 1 })
	w.setConfig(one, keyed("c", "k1"))
	for name, want := range map[fleet.SpaceID]int64{"a": 0, "c": 1} {
		used := int64(0)
		for _, s := range w.scheduler.SpaceUse(name).Spaces {
			used += s.Used.GetAccels()
		}
		qt.Check(t, used, qt.Equals, want, qt.Commentf("workspace %s", name))
	}
}

// Callers without a key see the jobs of open queues only, whatever these are called now.
func TestOpenQueueThatIsRenamedKnowsItsJobs(t *testing.T) {
	open := func(name string) queue.Queue {
		q := deskQueue(name, "/open/")
		q.Open = true
		return q
	}
	w := newWorld(t, 1, 1)
	w.becomeLead()
	w.setConfig([]queue.Queue{open("o"), deskQueue("jobs", "/jobs/")}, keyed("a", "ka"))
	for id, path := range map[string]string{"00-open": "/open/", "00-open-keyed": "/open/", "00-closed": "/jobs/"} {
		key := ""
		if id != "00-open" {
			key = "ka"
		}
		runTimes[fleet.JobID(id)] = time.Hour
		_, r := w.hand(id, path, key)
		qt.Assert(t, r.Verdict, qt.Equals, wire.Verdict_OK)
	}
	w.setConfig([]queue.Queue{open("renamed"), deskQueue("jobs", "/jobs/")}, keyed("a", "ka"))
	qt.Check(t, w.ask("00-open", "/open/", ""), qt.Equals, wire.Verdict_OK)
	qt.Check(t, w.ask("00-open-keyed", "/open/", ""), qt.Equals, wire.Verdict_OK)
	qt.Check(t, w.ask("00-closed", "/open/", ""), qt.Equals, wire.Verdict_ABSENT)
}

// Jobs that wait count for the queue that has taken the place of theirs.
func TestBacklogFollowsARenamedQueue(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	w.setConfig([]queue.Queue{deskQueue("jobs", "/jobs/")}, keyed("a", "ka"))
	runTimes["fills"] = time.Hour
	w.submitAccepted(newFlow("fills", "bulk", taskStep(1, 8, time.Hour)))
	w.runUntil(time.Second, "start", func() bool { return w.startCount("fills") == 1 })
	w.hand("00-waits", "/jobs/", "ka")
	for _, c := range []struct {
		name   string
		queues []queue.Queue
		counts string
	}{
		{"renamed", []queue.Queue{deskQueue("other", "/jobs/")}, "other"},
		{"moved", []queue.Queue{deskQueue("jobs", "/moved/")}, "jobs"},
		{"names-change", []queue.Queue{deskQueue("jobs", "/moved/"), deskQueue("other", "/jobs/")}, "other"},
		{"joined", []queue.Queue{deskQueue("all", "/")}, "all"},
	} {
		w.setConfig(c.queues, keyed("a", "ka"))
		for _, q := range c.queues {
			want := int32(0)
			if q.Name == c.counts {
				want = 1
			}
			qt.Check(t, w.scheduler.Backlog(&wire.BacklogAsk{Queue: q.Name}).Waiting, qt.Equals, want, qt.Commentf("%s: queue %s", c.name, q.Name))
		}
	}
}

// Guards against a false answer: a job under an id that another workspace uses was answered as accepted, and
// never ran.
func TestIDOfAnotherWorkspaceIsRefused(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.becomeLead()
	w.setConfig([]queue.Queue{deskQueue("jobs", "/jobs/")}, keyed("a", "ka"), keyed("b", "kb"))
	runTimes["00-taken"] = time.Hour
	_, r := w.hand("00-taken", "/jobs/", "ka")
	qt.Assert(t, r.Verdict, qt.Equals, wire.Verdict_OK)
	_, r = w.hand("00-taken", "/jobs/", "ka")
	qt.Check(t, r.Verdict, qt.Equals, wire.Verdict_OK)
	_, r = w.hand("00-taken", "/jobs/", "kb")
	qt.Check(t, r.Verdict, qt.Equals, wire.Verdict_REFUSED)
	qt.Check(t, r.Why, qt.Equals, `the id "00-taken" is that of a job of another workspace`)
}
