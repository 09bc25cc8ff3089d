package main

import (
	"fmt"
	"strconv"
	"strings"

	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
)

// cmdDomain takes failure domains out, brings them back and lists them.
func cmdDomain(a *app) *cobra.Command {
	cmd := &cobra.Command{Use: "domain", Short: "Take failure domains out, bring them back, list them"}
	cmd.AddCommand(cmdDomainTurn(a, true), cmdDomainTurn(a, false), cmdDomainList(a))
	return cmd
}

func cmdDomainTurn(a *app, out bool) *cobra.Command {
	var base int64
	var why, id, drain string
	cmd := &cobra.Command{
		Use: "back DOMAIN", Short: "Bring a failure domain back into service",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			mode, ok := wire.Drain_value[strings.ToUpper(drain)]
			if !ok {
				return status{fmt.Errorf("drain is %q: move, finish or lost is allowed", drain), exitUsage}
			}
			q := &wire.TurnAsk{Name: args[0], Out: out, Drain: wire.Drain(mode), Base: base, Why: why, Id: id}
			return turn(a, q, base < 0)
		},
	}
	drain = "move"
	if out {
		cmd.Use, cmd.Short = "out DOMAIN", "Take a failure domain out of service"
		cmd.Flags().StringVar(&drain, "drain", "move", "what runs there: move (checkpoint and run elsewhere), finish, or lost (it is down already)")
	}
	cmd.Flags().Int64Var(&base, "base", -1, "revision that the change is based on; by default the newest")
	cmd.Flags().StringVar(&why, "why", "", "reason, for the history")
	cmd.Flags().StringVar(&id, "id", "", "id of the change, to ask again safely")
	return cmd
}

func turn(a *app, q *wire.TurnAsk, newest bool) error {
	if newest {
		r, err := ask(a, "list failure domains", &wire.DomainsAsk{}, wire.Desk.Domains)
		if err != nil {
			return err
		}
		q.Base = revOf(r, q.Name)
	}
	r, err := ask(a, "turn failure domain", q, wire.Desk.TurnDomain)
	if err != nil {
		return err
	}
	if r.Held {
		fmt.Fprintln(a.out, "held: the log does not answer; this host and those it reaches obey, the record follows")
	}
	return a.print(r, domainHead, [][]string{domainRow(r.Domain)})
}

func revOf(r *wire.DomainsReply, name string) int64 {
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
		Short: "List failure domains and who places work in them",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := ask(a, "list failure domains", &wire.DomainsAsk{}, wire.Desk.Domains)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, d := range r.Domains {
				rows = append(rows, domainRow(d))
			}
			return a.print(r, domainHead, rows)
		},
	}
}

const domainHead = "DOMAIN STATE REVISION LEAD TERM SINCE WHY"

func domainRow(d *wire.Domain) []string {
	state := "in"
	if d.GetOut() {
		state = "out (" + word(d.Drain) + ")"
	}
	return []string{
		d.GetName(), state, strconv.FormatInt(d.GetRev(), 10), dash(d.GetLead()),
		strconv.FormatInt(d.GetTerm(), 10), when(d.GetSince()), dash(d.GetWhy()),
	}
}
