package main

import (
	"fmt"

	"dragonflydeck.example/fleet"
	"github.com/spf13/cobra"
)

// cmdVersion prints the version.
func cmdVersion() (*cobra.Command, error) {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), fleet.Version) },
	}, nil
}
