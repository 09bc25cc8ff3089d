package main

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
)

// flowWorkerHeader is the header of the table that shows how fast workers are.
const flowWorkerHeader = "HOST DOMAIN SERVICE SLOWDOWN SPREAD TRANSIENT MEASUREMENTS"

// flowWorkersLong explains the columns of the table.
const flowWorkersLong = "Show how fast the lead estimates the workers to be.\n\n" +
	"SLOWDOWN is the run time on the worker over the mean of its service; below 1 it\n" +
	"is faster. SPREAD is the standard deviation of the logarithm of SLOWDOWN.\n" +
	"TRANSIENT is the factor by which the worker is slower at the moment.\n" +
	"MEASUREMENTS counts the runs of the present process; with 0 the estimate is that\n" +
	"for any worker of the service."

func cmdFlowWorkers(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "workers [DOMAIN]",
		Short: "Show how fast workers are, from the progress of their runs",
		Long:  flowWorkersLong,
		Args:  cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			domain := ""
			if len(args) > 0 {
				domain = args[0]
			}
			r, err := a.askWorkers(domain)
			if err != nil {
				return err
			}
			if len(args) > 0 && len(r.Workers) == 0 {
				return a.unknownDomain(domain)
			}
			return a.printWorkerSpeeds(r)
		},
	}
}

// askWorkers asks the lead about the workers of a failure domain, or about all if the name is empty.
func (a *app) askWorkers(domain string) (*wire.WorkerSpeedReply, error) {
	const op = "workers"
	r, err := callLead(a, op, &wire.WorkerSpeedAsk{Domain: domain}, wire.Site.Workers)
	if err != nil {
		return nil, err
	}
	if r.Verdict != wire.Verdict_OK {
		return nil, a.printFlow(op, "", "", r.Verdict, wire.Stage_STAGE_UNSET, "")
	}
	return r, nil
}

// unknownDomain returns the error for a failure domain without workers, with those that have some.
func (a *app) unknownDomain(domain string) error {
	r, err := a.askWorkers("")
	if err != nil {
		return err
	}
	known := map[string]bool{}
	for _, w := range r.Workers {
		known[w.Domain] = true
	}
	names := strings.Join(slices.Sorted(maps.Keys(known)), ", ")
	return exitError{fmt.Errorf("domain %q has no workers; known: %s", domain, orDash(names)), exitFailed}
}

func (a *app) printWorkerSpeeds(r *wire.WorkerSpeedReply) error {
	var rows [][]string
	for _, w := range r.Workers {
		rows = append(rows, workerSpeedRow(w))
	}
	return a.print(r, flowWorkerHeader, rows)
}

func workerSpeedRow(w *wire.WorkerSpeed) []string {
	return []string{
		w.Host, orDash(w.Domain), orDash(w.Service),
		formatFactor(w.Slowdown), formatFactor(w.Spread), formatFactor(w.Transient), fmt.Sprint(w.Count),
	}
}

// formatFactor formats an estimate, of which more than two decimals are noise.
func formatFactor(x float64) string { return strconv.FormatFloat(x, 'f', 2, 64) }
