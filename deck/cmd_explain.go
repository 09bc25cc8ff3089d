package main

import (
	"fmt"

	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
)

// cmdExplain shows the decisions that led to the present state of a job, request,
// host, workspace or failure domain.
func cmdExplain(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "explain NAME",
		Short: "Show the chain of decisions about a job, request, host, workspace or failure domain",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			r, err := callDesk(a, "explain", &wire.ExplainAsk{Name: args[0]}, wire.Desk.Explain)
			if err != nil {
				return err
			}
			return a.print(r, noteHeader, noteRows(r.Notes))
		},
	}
}

const noteHeader = "TIME CODE EVENT HOST ABOUT TEXT"

func noteRows(notes []*wire.Note) [][]string {
	var rows [][]string
	for _, n := range notes {
		rows = append(rows, []string{
			formatTime(n.At), fmt.Sprint(n.Code), event.Code(n.Code).String(), orDash(n.Host), orDash(n.About), n.Text,
		})
	}
	return rows
}
