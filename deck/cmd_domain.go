package main

import (
	"fmt"
	"strconv"
	"strings"

	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
)

// cmdDomain takes failure domains out of service, brings them back and lists them.
func cmdDomain(a *app) *cobra.Command {
	cmd := &cobra.Command{Use: "domain", Short: "Take failure domains out of service, bring them back, list them"}
	cmd.AddCommand(cmdDomainChange(a, true), cmdDomainChange(a, false), cmdDomainList(a))
	return cmd
}

func cmdDomainChange(a *app, out bool) *cobra.Command {
	var base int64
	var why, id, drain string
	cmd := &cobra.Command{
		Use: "back DOMAIN", Short: "Bring a failure domain back into service",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			mode, ok := wire.Drain_value[strings.ToUpper(drain)]
			if !ok {
				return exitError{fmt.Errorf("drain is %q: must be move, finish or lost", drain), exitUsage}
			}
			q := &wire.TurnAsk{Name: args[0], Out: out, Drain: wire.Drain(mode), Base: base, Why: why, Id: id}
			return changeDomain(a, q, base < 0)
		},
	}
	drain = "move"
	if out {
		cmd.Use, cmd.Short = "out DOMAIN", "Take a failure domain out of service"
		cmd.Flags().StringVar(&drain, "drain", "move", "what happens to running jobs: move (checkpoint them and run them elsewhere), finish (let them end), or lost (the domain is already down)")
	}
	cmd.Flags().Int64Var(&base, "base", -1, "revision that the change is based on; a negative one means the newest")
	cmd.Flags().StringVar(&why, "why", "", "reason shown in the history")
	cmd.Flags().StringVar(&id, "id", "", "id of the change, for safe retries")
	return cmd
}

func changeDomain(a *app, q *wire.TurnAsk, baseOnNewest bool) error {
	if baseOnNewest {
		r, err := callDesk(a, "list failure domains", &wire.DomainsAsk{}, wire.Desk.Domains)
		if err != nil {
			return err
		}
		q.Base = domainRev(r, q.Name)
	}
	r, err := callDesk(a, "change failure domain", q, wire.Desk.TurnDomain)
	if err != nil {
		return err
	}
	if r.Held {
		fmt.Fprintln(a.out, "held: the log does not answer; this host and the hosts it reaches apply the change now, and it is recorded later")
	}
	return a.print(r, domainHeader, [][]string{domainRow(r.Domain)})
}

func domainRev(r *wire.DomainsReply, name string) int64 {
	for _, d := range r.Domains {
		if d.Name == name {
			return d.Rev
		}
	}
	return 0
}

func cmdDomainList(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List failure domains and the lead of each",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := callDesk(a, "list failure domains", &wire.DomainsAsk{}, wire.Desk.Domains)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, d := range r.Domains {
				rows = append(rows, domainRow(d))
			}
			return a.print(r, domainHeader, rows)
		},
	}
}

const domainHeader = "DOMAIN STATE REVISION LEAD TERM SINCE WHY"

func domainRow(d *wire.Domain) []string {
	state := "in"
	if d.GetOut() {
		state = "out (" + lowerName(d.Drain) + ")"
	}
	return []string{
		d.GetName(), state, strconv.FormatInt(d.GetRev(), 10), orDash(d.GetLead()),
		strconv.FormatInt(d.GetTerm(), 10), formatTime(d.GetSince()), orDash(d.GetWhy()),
	}
}
