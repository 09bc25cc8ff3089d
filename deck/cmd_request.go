package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// load is a series of requests.
type load struct {
	caller   string
	once     bool
	rank     int32
	count    int
	parallel int
	tries    int
}

// cmdRequest sends one request, or many as a load.
func cmdRequest(a *app) *cobra.Command {
	l := load{}
	cmd := &cobra.Command{
		Use:   "request BODY",
		Short: "Send a request and print the whole answer; with --count, a load and its summary",
		Long: "Send a request and print the whole answer.\n\n" +
			"With --once the request may run at most once: the command takes a ticket\n" +
			"and uses it again whenever it asks again. With --count it sends a load, in\n" +
			"which %d of the body is the number of the request, and prints a summary.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if l.count > 1 {
				return l.run(a, args[0])
			}
			r, err := l.one(a, 0, args[0])
			if err != nil {
				return err
			}
			if a.settings.JSON {
				return a.print(r, "", nil)
			}
			fmt.Fprintln(a.out, string(r.Body))
			return nil
		},
	}
	cmd.Flags().StringVar(&l.caller, "caller", "deck", "name of the caller")
	cmd.Flags().BoolVar(&l.once, "once", false, "the request may not be repeated")
	cmd.Flags().Int32Var(&l.rank, "rank", 5, "priority, 0 first, 9 last")
	cmd.Flags().IntVar(&l.count, "count", 1, "how many requests to send")
	cmd.Flags().IntVar(&l.parallel, "parallel", 8, "how many at a time")
	cmd.Flags().IntVar(&l.tries, "tries", 3, "how often to ask, while that is safe")
	return cmd
}

// one sends a request and asks again while that is safe and of use.
func (l *load) one(a *app, n int, body string) (*wire.CallReply, error) {
	q := &wire.CallAsk{
		Caller: l.caller, Repeat: !l.once, Rank: l.rank,
		Limit: a.settings.Limit.Milliseconds(), Body: []byte(strings.ReplaceAll(body, "%d", fmt.Sprint(n))),
	}
	at := *a
	at.settings.Addr = rotate(a.settings.Addr, n)
	if l.once {
		t, err := ask(&at, "ticket", &wire.TicketAsk{}, wire.Desk.Ticket)
		if err != nil {
			return nil, err
		}
		q.Ticket = t.Ticket
	}
	var r *wire.CallReply
	var err error
	for try := range l.tries {
		at.settings.Addr = rotate(a.settings.Addr, n+try)
		if r, err = ask(&at, "request", q, wire.Desk.Call); err == nil {
			return r, nil
		}
		no := err.(*refuse.Error)
		if no.After == 0 {
			return nil, err
		}
		time.Sleep(no.After)
	}
	return nil, err
}

// rotate starts the list of addresses at another one.
func rotate(addrs string, n int) string {
	list := strings.Split(addrs, ",")
	n %= len(list)
	return strings.Join(append(append([]string{}, list[n:]...), list[:n]...), ",")
}

// tally sums a load up.
type tally struct {
	mu       sync.Mutex
	answered int
	notRun   int
	unknown  int
	wrong    int
	took     []time.Duration
	last     error
}

func (l *load) run(a *app, body string) error {
	t := &tally{}
	var group errgroup.Group
	group.SetLimit(max(l.parallel, 1))
	for n := range l.count {
		group.Go(func() error {
			begun := time.Now()
			r, err := l.one(a, n, body)
			t.add(r, err, strings.ReplaceAll(body, "%d", fmt.Sprint(n)), time.Since(begun))
			return nil
		})
	}
	_ = group.Wait()
	fmt.Fprintf(a.out, "requests=%d answered=%d notrun=%d unknown=%d wrong=%d p50=%s p99=%s\n",
		l.count, t.answered, t.notRun, t.unknown, t.wrong, t.at(0.5), t.at(0.99))
	switch {
	case t.wrong > 0:
		return status{fmt.Errorf("%d answers belong to other requests", t.wrong), exitFailed}
	case t.unknown > 0 || t.notRun > 0:
		return t.last
	}
	return nil
}

func (t *tally) add(r *wire.CallReply, err error, body string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.answered++
		t.took = append(t.took, took)
		if !strings.HasSuffix(string(r.Body), body) {
			t.wrong++
		}
		return
	}
	t.last = err
	if no, ok := err.(*refuse.Error); ok && no.Ran == refuse.No {
		t.notRun++
		return
	}
	t.unknown++
}

func (t *tally) at(q float64) time.Duration {
	if len(t.took) == 0 {
		return 0
	}
	sort.Slice(t.took, func(a, b int) bool { return t.took[a] < t.took[b] })
	return t.took[int(q*float64(len(t.took)-1))].Round(100 * time.Microsecond)
}
