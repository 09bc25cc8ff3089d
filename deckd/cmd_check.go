package main

import (
	"fmt"

	"dragonflydeck.example/deckd/daemon"
	"dragonflydeck.example/fleet/config"
	"github.com/spf13/cobra"
)

// cmdCheck checks the settings and prints the effective ones.
func cmdCheck() (*cobra.Command, error) {
	s := &daemon.Settings{}
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check the settings and print the effective ones",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := s.Check(); err != nil {
				return err
			}
			for _, line := range config.Lines(s) {
				fmt.Fprintln(cmd.OutOrStdout(), line)
			}
			return nil
		},
	}
	return cmd, config.Bind(cmd.Flags(), daemon.Prefix, s)
}
