package main

import (
	"context"
	"fmt"
	"time"

	"dragonflydeck.example/fleet/client"
	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
)

// cmdFault turns a failure of a stand-in on or off.
func cmdFault() *cobra.Command {
	var duration time.Duration
	var off bool
	cmd := &cobra.Command{
		Use:   "fault ADDR NAME",
		Short: "Turn a failure of the stand-in at an address on or off",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(context.Background(), client.DefaultLimit)
			defer cancel()
			reply, err := client.NewPool().Fault(args[0]).Set(ctx, &wire.FaultAsk{Name: args[1], On: !off, Span: duration.Milliseconds()})
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "on:", reply.State)
			return nil
		},
	}
	cmd.Flags().DurationVar(&duration, "span", 0, "duration of the failure; 0 means until it is turned off")
	cmd.Flags().BoolVar(&off, "off", false, "turn the failure off")
	return cmd
}
