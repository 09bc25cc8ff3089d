package main

import (
	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
)

// cmdHistory shows the records of the log.
func cmdHistory(a *app) *cobra.Command {
	var limit int32
	cmd := &cobra.Command{
		Use:   "history [NAME]",
		Short: "Show the retained log records about a name, or all of them",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			q := &wire.HistoryAsk{Max: limit}
			if len(args) > 0 {
				q.Name = args[0]
			}
			r, err := callDesk(a, "history", q, wire.Desk.History)
			if err != nil {
				return err
			}
			return a.print(r, noteHeader, noteRows(r.Notes))
		},
	}
	cmd.Flags().Int32Var(&limit, "max", 100, "number of newest records to show")
	return cmd
}
