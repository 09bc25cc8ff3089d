package main

import (
	"fmt"

	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
)

// cmdExplain tells why something is as it is.
func cmdExplain(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "explain NAME",
		Short: "Tell the chain of decisions about a job, request, host, workspace or failure domain",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			r, err := ask(a, "explain", &wire.ExplainAsk{Name: args[0]}, wire.Desk.Explain)
			if err != nil {
				return err
			}
			return a.print(r, noteHead, noteRows(r.Notes))
		},
	}
}

const noteHead = "TIME CODE EVENT HOST ABOUT TEXT"

func noteRows(notes []*wire.Note) [][]string {
	var rows [][]string
	for _, n := range notes {
		rows = append(rows, []string{
			when(n.At), fmt.Sprint(n.Code), event.Code(n.Code).String(), dash(n.Host), dash(n.About), n.Text,
		})
	}
	return rows
}
