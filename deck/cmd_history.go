package main

import (
	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
)

// cmdHistory tells what the log says.
func cmdHistory(a *app) *cobra.Command {
	var most int32
	cmd := &cobra.Command{
		Use:   "history [NAME]",
		Short: "Tell what the log says of a name, or of everything, as far back as it is kept",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			q := &wire.HistoryAsk{Max: most}
			if len(args) > 0 {
				q.Name = args[0]
			}
			r, err := ask(a, "history", q, wire.Desk.History)
			if err != nil {
				return err
			}
			return a.print(r, noteHead, noteRows(r.Notes))
		},
	}
	cmd.Flags().Int32Var(&most, "max", 100, "newest records to show")
	return cmd
}
