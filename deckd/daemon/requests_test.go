package daemon

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/wire"
	"dragonflydeck.example/standin/runner"
	qt "github.com/frankban/quicktest"
	"github.com/twitchtv/twirp"
)

func (s *site) call(at, ticket, body string, limit time.Duration) (*wire.CallReply, *refuse.Error) {
	d := s.get(at)
	if d == nil {
		return nil, refuse.NotRun("call", twirp.Unavailable, time.Second, "%s is down", at)
	}
	r, err := d.Desk().Call(context.Background(), &wire.CallAsk{
		Caller: "test", Ticket: ticket, Repeat: ticket == "", Limit: limit.Milliseconds(), Rank: 5, Body: []byte(body),
	})
	if err != nil {
		return nil, refuse.From("call", err)
	}
	return r, nil
}

func (s *site) mustSucceed(err *refuse.Error) {
	s.t.Helper()
	qt.Check(s.t, err == nil, qt.IsTrue, qt.Commentf("%v", err))
}

func (s *site) ticket(at string) string {
	r, err := s.get(at).Desk().Ticket(context.Background(), &wire.TicketAsk{})
	qt.Assert(s.t, err, qt.IsNil)
	return r.Ticket
}

// runs counts how often a request ran, over all runners.
func (s *site) runs(body string) int {
	n := 0
	for _, r := range s.runners {
		n += r.Runs(body)
	}
	return n
}

var busy = plan{domains: 2, entries: 2, workers: 1, runners: 2, seats: 2}

// sendLoad sends requests from every host and counts their outcomes.
func (s *site) sendLoad(n int, gap time.Duration, once bool) (answered, notRun, unknown int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	hosts := []string{"e11", "e12", "e21", "e22"}
	for i := range n {
		at := hosts[i%len(hosts)]
		if s.get(at) == nil {
			at = s.other(at, "")
		}
		group.Go(func() {
			body := fmt.Sprintf("body %d.", i)
			ticket := ""
			if once {
				ticket = s.ticket(at)
			}
			r, err := s.call(at, ticket, body, 5*time.Second)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				answered++
				qt.Check(s.t, string(r.Body), qt.Equals, "answer to "+body)
			case err.Ran == refuse.No:
				notRun++
				qt.Check(s.t, s.runs(body), qt.Equals, 0, qt.Commentf("refused as not run: %v", err))
			default:
				unknown++
			}
			if once {
				qt.Check(s.t, s.runs(body) <= 1, qt.IsTrue)
			}
		})
		time.Sleep(gap)
	}
	group.Wait()
	return answered, notRun, unknown
}

func (s *site) checkSlots() {
	s.t.Helper()
	for id, r := range s.runners {
		qt.Check(s.t, r.PeakRequests() <= 8, qt.IsTrue, qt.Commentf("%s had %d requests at once", id, r.PeakRequests()))
	}
	qt.Check(s.t, s.conns.maxOpen <= 8, qt.IsTrue, qt.Commentf("a runner had %d connections", s.conns.maxOpen))
}

func TestEveryRequestIsAnswered(t *testing.T) {
	withSite(t, busy, func(s *site) {
		answered, _, _ := s.sendLoad(400, 3*time.Millisecond, false)
		qt.Assert(s.t, answered, qt.Equals, 400)
		s.checkSlots()
	})
}

// A request breaks each runner that serves it. It may be repeated, and is not sent to one
// runner after the other.
func TestRequestThatBreaksItsRunnersIsGivenUp(t *testing.T) {
	withSite(t, busy, func(s *site) {
		for _, r := range s.runners {
			r.Breaks = func(body []byte) bool { return string(body) == "deadly" }
		}
		_, err := s.call("e11", "", "deadly", 5*time.Second)
		qt.Assert(s.t, err, qt.Not(qt.IsNil))
		qt.Check(s.t, err.Ran, qt.Equals, refuse.Unknown)
		qt.Check(s.t, s.runs("deadly") <= 2, qt.IsTrue, qt.Commentf("%d runs", s.runs("deadly")))
		answered, _, _ := s.sendLoad(100, 3*time.Millisecond, false)
		qt.Check(s.t, answered, qt.Equals, 100)
	})
}

func TestCrossedAnswersReachTheirCallers(t *testing.T) {
	withSite(t, busy, func(s *site) {
		for _, r := range s.runners {
			r.On(runner.Crossed, 0)
		}
		answered, _, _ := s.sendLoad(200, 3*time.Millisecond, true)
		qt.Assert(s.t, answered, qt.Equals, 200)
	})
}

func TestLateAnswerIsKeptForTheTicket(t *testing.T) {
	withSite(t, busy, func(s *site) {
		for _, r := range s.runners {
			r.On(runner.Late, time.Second)
		}
		ticket := s.ticket("e11")
		begun := time.Now()
		_, err := s.call("e11", ticket, "late", 500*time.Millisecond)
		qt.Assert(s.t, err.Ran, qt.Equals, refuse.Unknown)
		qt.Assert(s.t, time.Since(begun), qt.Equals, 500*time.Millisecond)
		time.Sleep(5 * time.Second)
		r, err := s.call("e22", ticket, "late", time.Second)
		s.mustSucceed(err)
		qt.Assert(s.t, string(r.Body), qt.Equals, "answer to late")
		qt.Assert(s.t, s.runs("late"), qt.Equals, 1)
	})
}

func TestRepeatAtAnotherHostRunsOnce(t *testing.T) {
	withSite(t, busy, func(s *site) {
		ticket := s.ticket("e12")
		var group sync.WaitGroup
		for _, at := range []string{"e11", "e12", "e21", "e22"} {
			group.Go(func() {
				r, err := s.call(at, ticket, "bill", 5*time.Second)
				s.mustSucceed(err)
				qt.Check(s.t, string(r.GetBody()), qt.Equals, "answer to bill")
			})
		}
		group.Wait()
		qt.Assert(s.t, s.runs("bill"), qt.Equals, 1)
	})
}

func TestTicketOfADeadIssuerIsUnknown(t *testing.T) {
	withSite(t, busy, func(s *site) {
		ticket := s.ticket("e11")
		_, err := s.call("e11", ticket, "bill", 5*time.Second)
		s.mustSucceed(err)
		s.kill("e11")
		_, err = s.call("e21", ticket, "bill", time.Second)
		qt.Assert(s.t, err.Ran, qt.Equals, refuse.Unknown)
		s.start("e11", "d1", 2)
		time.Sleep(5 * time.Second)
		_, err = s.call("e21", ticket, "bill", time.Second)
		qt.Assert(s.t, err.Ran, qt.Equals, refuse.Unknown)
		qt.Assert(s.t, s.runs("bill"), qt.Equals, 1)
	})
}

func TestTicketAcrossACutIsUnknown(t *testing.T) {
	withSite(t, busy, func(s *site) {
		ticket := s.ticket("e11")
		_, err := s.call("e11", ticket, "bill", 5*time.Second)
		s.mustSucceed(err)
		s.cutLink("e11", "e2", true) // the request arrives, the answer is lost
		_, err = s.call("e21", ticket, "bill", time.Second)
		qt.Assert(s.t, err.Ran, qt.Equals, refuse.Unknown)
		qt.Assert(s.t, s.runs("bill"), qt.Equals, 1)
	})
}

func TestBrokenRunnersDoNotRunARequestTwice(t *testing.T) {
	withSite(t, busy, func(s *site) {
		for _, id := range []string{"r11", "r21"} {
			s.runners[id].On(runner.Broken, 0)
		}
		_, _, unknown := s.sendLoad(100, 10*time.Millisecond, true)
		qt.Assert(s.t, unknown > 0 && unknown < 30, qt.IsTrue, qt.Commentf("%d unknown", unknown))
	})
}

func TestRepeatableRequestsAreRetriedWithinABudget(t *testing.T) {
	withSite(t, busy, func(s *site) {
		s.runners["r11"].On(runner.Broken, 0)
		answered, _, _ := s.sendLoad(200, 10*time.Millisecond, false)
		qt.Assert(s.t, answered, qt.Equals, 200)
	})
}

// More requests arrive than can be served. The excess must be refused early, with
// the truth about whether they ran, and no runner may exceed its slots.
func TestOverloadIsRefusedEarly(t *testing.T) {
	withSite(t, busy, func(s *site) {
		answered, notRun, unknown := s.sendLoad(8000, time.Millisecond, false)
		qt.Check(s.t, answered+notRun+unknown, qt.Equals, 8000)
		qt.Check(s.t, unknown, qt.Equals, 0)
		qt.Check(s.t, notRun > 1000, qt.IsTrue, qt.Commentf("%d refused", notRun))
		qt.Check(s.t, answered > 4000, qt.IsTrue, qt.Commentf("%d answered", answered))
		s.checkSlots()
	})
}

func TestGracefulStopCutsNoRequest(t *testing.T) {
	withSite(t, busy, func(s *site) {
		done := make(chan int)
		go func() {
			answered, _, _ := s.sendLoad(300, 10*time.Millisecond, true)
			done <- answered
		}()
		time.Sleep(time.Second)
		qt.Check(s.t, s.get("e12").Shutdown(s.t.Context()), qt.IsNil)
		qt.Check(s.t, s.get("e12").dispatcher.inFlight(), qt.Equals, 0)
		qt.Assert(s.t, <-done, qt.Equals, 300)
	})
}

func TestLeavingRunnerGetsNothingNew(t *testing.T) {
	withSite(t, busy, func(s *site) {
		s.list.Leave("r11", true)
		time.Sleep(4 * time.Second)
		before := s.runners["r11"].Total()
		answered, _, _ := s.sendLoad(200, 5*time.Millisecond, false)
		qt.Assert(s.t, answered, qt.Equals, 200)
		qt.Assert(s.t, s.runners["r11"].Total(), qt.Equals, before)
	})
}

func TestCutOffDomainServesRequestsOrRefusesAsSet(t *testing.T) {
	withSite(t, busy, func(s *site) {
		s.partition("e1", "e2", true)
		s.partition("e1", "log", true)
		s.partition("e1", "list", true)
		time.Sleep(30 * time.Second)
		_, err := s.call("e11", "", "alone", time.Second)
		s.mustSucceed(err)
		s.get("e11").dispatcher.whenIsolated = "refuse"
		_, err = s.call("e11", "", "refused", time.Second)
		qt.Assert(s.t, err.Ran, qt.Equals, refuse.No)
		qt.Assert(s.t, err.RetryAfter > 0, qt.IsTrue)
	})
}

func TestBadRequestsGetAClearError(t *testing.T) {
	withSite(t, busy, func(s *site) {
		desk := s.get("e11").Desk()
		for _, c := range []struct {
			ask  *wire.CallAsk
			want string
		}{
			{&wire.CallAsk{}, ".*caller must name the caller.*"},
			{&wire.CallAsk{Caller: "a"}, ".*limit is 0 ms; 1 to 30000 are allowed.*"},
			{&wire.CallAsk{Caller: "a", Limit: 10, Rank: 10}, ".*rank is 10; 0 to 9 are allowed.*"},
			{&wire.CallAsk{Caller: "a", Limit: 10}, ".*ticket is needed.*"},
			{&wire.CallAsk{Caller: "a", Limit: 10, Ticket: "x"}, ".*not host.incarnation.key.*"},
			{&wire.CallAsk{Caller: "a", Limit: 10, Repeat: true, Body: make([]byte, MaxBody+1)}, ".*body has 1048577 bytes.*"},
		} {
			_, err := desk.Call(context.Background(), c.ask)
			qt.Check(s.t, err, qt.ErrorMatches, c.want)
			qt.Check(s.t, refuse.From("call", err).Ran, qt.Equals, refuse.No)
		}
	})
}

// Any host explains a request from the events of the host that received it.
func TestRequestIsExplained(t *testing.T) {
	withSite(t, busy, func(s *site) {
		r, no := s.call("e11", "", "why", time.Second)
		s.mustSucceed(no)
		for _, at := range []string{"e11", "e22"} {
			e, err := s.get(at).Desk().Explain(context.Background(), &wire.ExplainAsk{Name: r.Id})
			qt.Assert(s.t, err, qt.IsNil)
			codes := []int32{}
			for _, n := range e.Notes {
				codes = append(codes, n.Code)
			}
			qt.Check(s.t, codes, qt.DeepEquals, []int32{201, 202}, qt.Commentf("at %s", at))
		}
	})
}

// Any host explains a job from the log even after the lead that decided is gone.
func TestJobIsExplainedAfterItsLeadIsGone(t *testing.T) {
	withSite(t, small, func(s *site) {
		s.setSpace("e11", "orders")
		s.mustSubmit("e11", "orders", "j", 8, 5*time.Second)
		s.untilPhase("e11", "j", wire.Phase_DONE, 20*time.Second)
		home := s.job("e11", "j").Home
		lead := s.leadOf("e11", home)
		s.kill(lead)
		h, err := s.get(s.other(lead, "")).Desk().History(context.Background(), &wire.HistoryAsk{Name: "j"})
		qt.Assert(s.t, err, qt.IsNil)
		codes := []int32{}
		for _, n := range h.Notes {
			codes = append(codes, n.Code)
		}
		qt.Assert(s.t, codes, qt.DeepEquals, []int32{301, 302, 306})
	})
}
