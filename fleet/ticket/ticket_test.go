package ticket_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet/ticket"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Whatever callers do with a ticket, its request does not run again unless the
// earlier run is known not to have happened.
func TestATicketRunsItsRequestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := ticket.New("e1", 1)
		now := time.Unix(1000, 0)
		var open []ticket.ID
		running, ran := map[ticket.ID]bool{}, map[ticket.ID]int{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "seconds")) * time.Second)
			if len(open) == 0 || rapid.Bool().Draw(t, "issue") {
				id, _, err := b.Issue(now)
				if err != nil {
					t.Fatal(err)
				}
				open = append(open, id)
				continue
			}
			id := rapid.SampledFrom(open).Draw(t, "ticket")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				if first, _, err := b.Use(id, now); err == nil && first {
					if running[id] || ran[id] > 0 {
						t.Fatalf("%s runs again", id)
					}
					running[id] = true
				}
			case 1:
				if running[id] {
					running[id] = false
					ran[id]++
					b.Complete(id, ticket.Result{Body: []byte("a")})
				}
			case 2:
				if running[id] {
					running[id] = false
					b.Release(id, ticket.Result{Err: fmt.Errorf("not run")})
				}
			}
		}
	})
}

func TestRepeatsGetTheKeptAnswer(t *testing.T) {
	b := ticket.New("e1", 7)
	now := time.Unix(1000, 0)
	id, _, err := b.Issue(now)
	qt.Assert(t, err, qt.IsNil)
	first, _, err := b.Use(id, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first, qt.IsTrue)
	first, done, err := b.Use(id, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first, qt.IsFalse)
	b.Complete(id, ticket.Result{Body: []byte("42")})
	<-done
	res, ok := b.Result(id)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, string(res.Body), qt.Equals, "42")
	_, _, err = b.Use(id, now.Add(ticket.Lifetime+time.Second))
	qt.Assert(t, err, qt.ErrorMatches, "use ticket: .* has expired or was never issued")
}

func ExampleParse() {
	n, err := ticket.Parse("e1.7.KEY")
	fmt.Println(n.Host, n.Inc, n.Key, err)
	_, err = ticket.Parse("nonsense")
	fmt.Println(err)
	// Output:
	// e1 7 KEY <nil>
	// read ticket: "nonsense" is not host.incarnation.key
}

// A request may take longer than its ticket is valid. Repeats must still wait for its
// answer, and must not be told that it was never issued.
func TestTicketInUseOutlivesItsTime(t *testing.T) {
	b := ticket.New("e1", 7)
	now := time.Unix(1000, 0)
	id, _, err := b.Issue(now)
	qt.Assert(t, err, qt.IsNil)
	_, _, err = b.Use(id, now)
	qt.Assert(t, err, qt.IsNil)
	later := now.Add(ticket.Lifetime + time.Second)
	_, _, err = b.Issue(later)
	qt.Assert(t, err, qt.IsNil)
	first, done, err := b.Use(id, later)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first, qt.IsFalse)
	b.Complete(id, ticket.Result{Body: []byte("42")})
	<-done
	res, ok := b.Result(id)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, string(res.Body), qt.Equals, "42")
	_, _, err = b.Use(id, later.Add(2*ticket.Lifetime))
	qt.Assert(t, err, qt.ErrorMatches, ".* has expired or was never issued")
}
