package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"dragonflydeck.example/fleet/link"
	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protojson"
)

// flowHead is the head of the table of a job of steps.
const flowHead = "JOB QUEUE VERDICT STAGE"

// idForm is what the id of a job of steps looks like.
const idForm = "16 hexadecimal digits"

// cmdFlow submits, shows and cancels jobs of steps on a site with one lead.
func cmdFlow(a *app) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "flow",
		Short: "Submit, show and cancel jobs of steps on a site that one lead schedules",
		Long: "Submit, show and cancel jobs of steps on a site that one lead schedules.\n" +
			"--addr names the addresses at which the daemons of the site talk to each other.",
	}
	cmd.AddCommand(cmdFlowSubmit(a), cmdFlowStatus(a), cmdFlowDrop(a), cmdFlowBacklog(a), cmdFlowLead(a))
	return cmd
}

func cmdFlowSubmit(a *app) *cobra.Command {
	var space string
	cmd := &cobra.Command{
		Use:   "submit QUEUE ID FILE",
		Short: "Submit the job that a file describes; asking again with the same id is safe",
		Long: "Submit the job that a file describes; asking again with the same id is safe.\n" +
			"The id is " + idForm + ". The file is JSON, as in\n\n" +
			`  {"spec": "x", "steps": [{"count": 4, "each": {"cores": 1000, "mem": 256, "accels": 1}, "span": 900},` + "\n" +
			`   {"count": 1, "each": {"cores": 500}, "span": 200, "after": [0]}]}`,
		Args: cobra.ExactArgs(3),
		RunE: func(_ *cobra.Command, args []string) error {
			f, err := readFlow(args[2])
			if err != nil {
				return status{err, exitUsage}
			}
			f.Queue, f.Id, f.Space = args[0], args[1], space
			op := "submit " + f.Id
			r, err := atLead(a, op, &wire.HandAsk{Flow: f, Limit: a.settings.Limit.Milliseconds()}, wire.Site.Hand)
			if err != nil {
				return err
			}
			return a.flow(op, f.Queue, f.Id, r.Verdict, 0, r.Why)
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
		return nil, fmt.Errorf("%s is not a job: %w", path, err)
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
				return nil, fmt.Errorf("step %d in %s comes after step %d, which does not stand before it", i, path, d)
			}
		}
	}
	return f, nil
}

func cmdFlowStatus(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "status QUEUE ID",
		Short: "Show how far a job has come",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return a.ofFlow("status", args, wire.Site.Status)
		},
	}
}

func cmdFlowDrop(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "drop QUEUE ID",
		Short: "Cancel a job",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return a.ofFlow("drop", args, wire.Site.Drop)
		},
	}
}

// ofFlow makes a call about one job and prints the answer.
func (a *app) ofFlow(word string, args []string, call func(wire.Site, context.Context, *wire.FlowAsk) (*wire.FlowReply, error)) error {
	op := word + " " + args[1]
	r, err := atLead(a, op, &wire.FlowAsk{Queue: args[0], Id: args[1], Limit: a.settings.Limit.Milliseconds()}, call)
	if err != nil {
		return err
	}
	return a.flow(op, args[0], args[1], r.Verdict, r.Stage, "")
}

// flow prints what became of a call about a job, or returns it as an error.
func (a *app) flow(op, queue, id string, v wire.Verdict, stage wire.Stage, why string) error {
	switch v {
	case wire.Verdict_OK:
		row := []string{id, queue, word(v), dash(strings.TrimSuffix(word(stage), "stage_unset"))}
		return a.print(&wire.FlowReply{Verdict: v, Stage: stage}, flowHead, [][]string{row})
	case wire.Verdict_REFUSED:
		return status{fmt.Errorf("%s: refused, not run: %s", op, why), exitNotRun}
	case wire.Verdict_ABSENT:
		return status{fmt.Errorf("%s: queue %q has no job %q", op, queue, id), exitFailed}
	case wire.Verdict_ASTRAY:
		return status{fmt.Errorf("%s: the lead has changed, nothing was done; ask again", op), exitNotRun}
	}
	return status{fmt.Errorf("%s: outcome unknown: %s", op, dash(why)), exitUnknown}
}

func cmdFlowBacklog(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "backlog QUEUE",
		Short: "Show how many jobs of a queue are accepted and have not begun",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			r, err := atLead(a, "backlog", &wire.BacklogAsk{Queue: args[0]}, wire.Site.Backlog)
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
		Short: "Show which daemon leads, as the asked one knows it",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := sight(a)
			if err != nil {
				return err
			}
			return a.print(r, "LEAD ADDRESS TERM HEARD/MS", [][]string{{dash(r.Host), dash(r.Addr), fmt.Sprint(r.Term), fmt.Sprint(r.Age)}})
		},
	}
}

// sight asks the first daemon that can be reached who leads.
func sight(a *app) (*wire.SightReply, error) {
	var errs []error
	for _, addr := range strings.Split(a.settings.Addr, ",") {
		ctx, cancel := context.WithTimeout(context.Background(), a.settings.Limit)
		r, err := pool.Site(strings.TrimSpace(addr)).Sight(ctx, &wire.SightAsk{})
		cancel()
		if err == nil {
			return r, nil
		}
		errs = append(errs, err)
	}
	return nil, refuse.NotRun("ask for the lead", twirp.Unavailable, 0, "no daemon can be reached: %v", errors.Join(errs...))
}

// atLead makes a call at the daemon that leads.
func atLead[Q, R any](a *app, op string, q Q, call func(wire.Site, context.Context, Q) (R, error)) (R, error) {
	var none R
	lead, err := sight(a)
	if err != nil {
		return none, err
	}
	if lead.Addr == "" {
		return none, refuse.NotRun(op, twirp.Unavailable, 0, "the site has no lead")
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.Limit)
	defer cancel()
	r, err := call(pool.Site(lead.Addr), ctx, q)
	switch {
	case err == nil:
		return r, nil
	case link.NotSent(err):
		return none, refuse.NotRun(op, twirp.Unavailable, 0, "the lead %s cannot be reached: %v", lead.Host, err)
	}
	return none, status{fmt.Errorf("%s: outcome unknown: %w", op, err), exitUnknown}
}
