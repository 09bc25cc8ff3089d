package main

import (
	"fmt"

	"dragonflydeck.example/fleet"
	"github.com/spf13/cobra"
)

// cmdVersion prints the version.
func cmdVersion(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(*cobra.Command, []string) { fmt.Fprintln(a.out, fleet.Version) },
	}
}
