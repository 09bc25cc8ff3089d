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

// load describes a series of requests.
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
		Short: "Send a request and print the answer; with --count, send many and print a summary",
		Long: "Send a request and print the answer.\n\n" +
			"With --once the request runs at most once: the command gets a ticket and\n" +
			"reuses it for every retry. With --count it sends many requests, replacing\n" +
			"%d in the body by the number of the request, and prints a summary.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := l.check(); err != nil {
				return exitError{err, exitUsage}
			}
			if l.count > 1 {
				return l.run(a, args[0])
			}
			r, err := l.send(a, 0, args[0])
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
	cmd.Flags().BoolVar(&l.once, "once", false, "run the request at most once")
	cmd.Flags().Int32Var(&l.rank, "rank", 5, "priority from 0 (first) to 9 (last)")
	cmd.Flags().IntVar(&l.count, "count", 1, "number of requests to send")
	cmd.Flags().IntVar(&l.parallel, "parallel", 8, "number of requests in flight at a time")
	cmd.Flags().IntVar(&l.tries, "tries", 3, "maximum number of attempts, made while a retry is safe")
	return cmd
}

// check checks the flags.
func (l *load) check() error {
	for _, f := range []struct {
		name  string
		value int
	}{{"count", l.count}, {"parallel", l.parallel}, {"tries", l.tries}} {
		if f.value < 1 {
			return fmt.Errorf("%s is %d: must be at least 1", f.name, f.value)
		}
	}
	return nil
}

// send sends a request and retries it while the refusal says that this is safe.
func (l *load) send(a *app, n int, body string) (*wire.CallReply, error) {
	q := &wire.CallAsk{
		Caller: l.caller, Repeat: !l.once, Rank: l.rank,
		Limit: a.settings.Limit.Milliseconds(), Body: []byte(strings.ReplaceAll(body, "%d", fmt.Sprint(n))),
	}
	client := *a
	client.settings.Addr = rotate(a.settings.Addr, n)
	if l.once {
		t, err := callDesk(&client, "ticket", &wire.TicketAsk{}, wire.Desk.Ticket)
		if err != nil {
			return nil, err
		}
		q.Ticket = t.Ticket
	}
	var r *wire.CallReply
	var err error
	for try := range l.tries {
		client.settings.Addr = rotate(a.settings.Addr, n+try)
		if r, err = callDesk(&client, "request", q, wire.Desk.Call); err == nil {
			return r, nil
		}
		refusal := err.(*refuse.Error)
		if refusal.RetryAfter == 0 {
			return nil, err
		}
		time.Sleep(refusal.RetryAfter)
	}
	return nil, err
}

// rotate moves the first n addresses of a list to its end.
func rotate(addrs string, n int) string {
	list := strings.Split(addrs, ",")
	n %= len(list)
	return strings.Join(append(append([]string{}, list[n:]...), list[:n]...), ",")
}

// loadStats counts the outcomes of a load.
type loadStats struct {
	mu        sync.Mutex
	answered  int
	notRun    int
	unknown   int
	wrong     int
	latencies []time.Duration
	lastErr   error
}

func (l *load) run(a *app, body string) error {
	t := &loadStats{}
	var group errgroup.Group
	group.SetLimit(max(l.parallel, 1))
	for n := range l.count {
		group.Go(func() error {
			started := time.Now()
			r, err := l.send(a, n, body)
			t.add(r, err, strings.ReplaceAll(body, "%d", fmt.Sprint(n)), time.Since(started))
			return nil
		})
	}
	_ = group.Wait()
	fmt.Fprintf(a.out, "requests=%d answered=%d notrun=%d unknown=%d wrong=%d p50=%s p99=%s\n",
		l.count, t.answered, t.notRun, t.unknown, t.wrong, t.percentile(0.5), t.percentile(0.99))
	switch {
	case t.wrong > 0:
		return exitError{fmt.Errorf("%d answers belong to other requests", t.wrong), exitFailed}
	case t.unknown > 0 || t.notRun > 0:
		return t.lastErr
	}
	return nil
}

func (t *loadStats) add(r *wire.CallReply, err error, body string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.answered++
		t.latencies = append(t.latencies, latency)
		if !strings.HasSuffix(string(r.Body), body) {
			t.wrong++
		}
		return
	}
	t.lastErr = err
	if refusal, ok := err.(*refuse.Error); ok && refusal.Ran == refuse.No {
		t.notRun++
		return
	}
	t.unknown++
}

func (t *loadStats) percentile(fraction float64) time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	sort.Slice(t.latencies, func(a, b int) bool { return t.latencies[a] < t.latencies[b] })
	return t.latencies[int(fraction*float64(len(t.latencies)-1))].Round(100 * time.Microsecond)
}
