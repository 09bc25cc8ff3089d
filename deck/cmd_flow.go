package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"dragonflydeck.example/fleet/client"
	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protojson"
)

// flowHeader is the header of the table that shows a job of steps.
const flowHeader = "JOB QUEUE VERDICT STAGE"

// flowIDFormat describes the id of a job of steps.
const flowIDFormat = "16 hexadecimal digits"

// cmdFlow submits, shows and cancels jobs of steps on a site with a single lead.
func cmdFlow(a *app) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "flow",
		Short: "Submit, show and cancel jobs of steps on a site with a single lead",
		Long: "Submit, show and cancel jobs of steps on a site with a single lead.\n" +
			"--addr lists the addresses on which the daemons of the site serve each other.",
	}
	cmd.AddCommand(cmdFlowSubmit(a), cmdFlowStatus(a), cmdFlowDrop(a), cmdFlowBacklog(a), cmdFlowLead(a), cmdFlowSpaces(a), cmdFlowWorkers(a))
	return cmd
}

func cmdFlowSubmit(a *app) *cobra.Command {
	var space string
	cmd := &cobra.Command{
		Use:   "submit QUEUE ID FILE",
		Short: "Submit the job that a file describes; repeating it with the same id is safe",
		Long: "Submit the job that a file describes; repeating it with the same id is safe.\n" +
			"The id is " + flowIDFormat + ". The file is JSON, as in\n\n" +
			`  {"spec": "x", "steps": [{"count": 4, "each": {"cores": 1000, "mem": 256, "accels": 1}, "span": 900},` + "\n" +
			`   {"count": 1, "each": {"cores": 500}, "span": 200, "after": [0]}]}`,
		Args: cobra.ExactArgs(3),
		RunE: func(_ *cobra.Command, args []string) error {
			f, err := readFlow(args[2])
			if err != nil {
				return exitError{err, exitUsage}
			}
			f.Queue, f.Id, f.Space = args[0], args[1], space
			op := "submit " + f.Id
			r, err := callLead(a, op, &wire.HandAsk{Flow: f, Limit: a.settings.Limit.Milliseconds()}, wire.Site.Hand)
			if err != nil {
				return err
			}
			return a.printFlow(op, f.Queue, f.Id, r.Verdict, 0, r.Why)
		},
	}
	cmd.Flags().StringVar(&space, "space", "", "workspace that the job belongs to")
	return cmd
}

// readFlow reads a job from a file. The error names the file.
func readFlow(path string) (*wire.Flow, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &wire.Flow{}
	if err := protojson.Unmarshal(data, f); err != nil {
		return nil, fmt.Errorf("%s is not a job description: %w", path, err)
	}
	if len(f.Steps) == 0 {
		return nil, fmt.Errorf("%s has no steps", path)
	}
	for i, s := range f.Steps {
		if s.Count < 1 {
			return nil, fmt.Errorf("step %d in %s has no tasks", i, path)
		}
		for _, d := range s.After {
			if d < 0 || int(d) >= i {
				return nil, fmt.Errorf("step %d in %s comes after step %d, which is not an earlier step", i, path, d)
			}
		}
	}
	return f, nil
}

func cmdFlowStatus(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "status QUEUE ID",
		Short: "Show the state of a job",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return a.callFlow("status", args, wire.Site.Status)
		},
	}
}

func cmdFlowDrop(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "drop QUEUE ID",
		Short: "Cancel a job",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return a.callFlow("drop", args, wire.Site.Drop)
		},
	}
}

// callFlow makes a call about one job and prints the reply.
func (a *app) callFlow(verb string, args []string, call func(wire.Site, context.Context, *wire.FlowAsk) (*wire.FlowReply, error)) error {
	op := verb + " " + args[1]
	r, err := callLead(a, op, &wire.FlowAsk{Queue: args[0], Id: args[1], Limit: a.settings.Limit.Milliseconds()}, call)
	if err != nil {
		return err
	}
	return a.printFlow(op, args[0], args[1], r.Verdict, r.Stage, "")
}

// printFlow prints the outcome of a call about a job, or returns it as an error.
func (a *app) printFlow(op, queue, id string, v wire.Verdict, stage wire.Stage, why string) error {
	switch v {
	case wire.Verdict_OK:
		row := []string{id, queue, lowerName(v), orDash(strings.TrimSuffix(lowerName(stage), "stage_unset"))}
		return a.print(&wire.FlowReply{Verdict: v, Stage: stage}, flowHeader, [][]string{row})
	case wire.Verdict_REFUSED:
		return exitError{fmt.Errorf("%s: refused, not run: %s", op, why), exitNotRun}
	case wire.Verdict_ABSENT:
		return exitError{fmt.Errorf("%s: queue %q has no job %q", op, queue, id), exitFailed}
	case wire.Verdict_ASTRAY:
		return exitError{fmt.Errorf("%s: the lead has changed and nothing was done; retry", op), exitNotRun}
	}
	return exitError{fmt.Errorf("%s: outcome unknown: %s", op, orDash(why)), exitUnknown}
}

func cmdFlowBacklog(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "backlog QUEUE",
		Short: "Show how many accepted jobs of a queue have not started",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			r, err := callLead(a, "backlog", &wire.BacklogAsk{Queue: args[0]}, wire.Site.Backlog)
			if err != nil {
				return err
			}
			return a.print(r, "QUEUE WAITING", [][]string{{args[0], fmt.Sprint(r.Waiting)}})
		},
	}
}

func cmdFlowLead(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "lead",
		Short: "Show the lead as known to the daemon that is asked",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := findLead(a)
			if err != nil {
				return err
			}
			return a.print(r, "LEAD ADDRESS TERM HEARD/MS", [][]string{{orDash(r.Host), orDash(r.Addr), fmt.Sprint(r.Term), fmt.Sprint(r.Age)}})
		},
	}
}

// findLead asks the first reachable daemon for the lead.
func findLead(a *app) (*wire.SightReply, error) {
	var errs []error
	for _, addr := range strings.Split(a.settings.Addr, ",") {
		ctx, cancel := context.WithTimeout(context.Background(), a.settings.Limit)
		r, err := connPool.Site(strings.TrimSpace(addr)).Sight(ctx, &wire.SightAsk{})
		cancel()
		if err == nil {
			return r, nil
		}
		errs = append(errs, err)
	}
	return nil, refuse.NotRun("find the lead", twirp.Unavailable, 0, "no daemon can be reached: %v", errors.Join(errs...))
}

// callLead calls the daemon that is the lead.
func callLead[Q, R any](a *app, op string, q Q, call func(wire.Site, context.Context, Q) (R, error)) (R, error) {
	var zero R
	lead, err := findLead(a)
	if err != nil {
		return zero, err
	}
	if lead.Addr == "" {
		return zero, refuse.NotRun(op, twirp.Unavailable, 0, "the site has no lead")
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.Limit)
	defer cancel()
	r, err := call(connPool.Site(lead.Addr), ctx, q)
	switch {
	case err == nil:
		return r, nil
	case client.NotSent(err):
		return zero, refuse.NotRun(op, twirp.Unavailable, 0, "the lead %s cannot be reached: %v", lead.Host, err)
	case isBadRoute(err):
		return zero, refuse.NotRun(op, twirp.BadRoute, 0, "the daemon of the lead %s is older than this command and does not know the call", lead.Host)
	}
	return zero, exitError{fmt.Errorf("%s: outcome unknown: %w", op, err), exitUnknown}
}

// isBadRoute reports whether the server does not have the method that was called.
func isBadRoute(err error) bool {
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == twirp.BadRoute
}
