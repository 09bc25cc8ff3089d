package main

import (
	"context"
	"fmt"
	"time"

	"dragonflydeck.example/fleet/link"
	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
)

// cmdFault switches a failure of a stand-in.
func cmdFault() *cobra.Command {
	var span time.Duration
	var off bool
	cmd := &cobra.Command{
		Use:   "fault ADDR NAME",
		Short: "Switch a failure of the stand-in at an address",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(context.Background(), link.DefaultLimit)
			defer cancel()
			reply, err := link.NewPool().Fault(args[0]).Set(ctx, &wire.FaultAsk{Name: args[1], On: !off, Span: span.Milliseconds()})
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "on:", reply.State)
			return nil
		},
	}
	cmd.Flags().DurationVar(&span, "span", 0, "how long the failure lasts; 0 is until it is switched off")
	cmd.Flags().BoolVar(&off, "off", false, "switch the failure off")
	return cmd
}
