package main

import (
	"fmt"

	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
)

// cmdHealth shows the state of one entry host.
func cmdHealth(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "health",
		Short: "Show the state of the entry host that is asked; exit status 1 if it is not ready",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := callDesk(a, "health", &wire.HealthAsk{}, wire.Desk.Health)
			if err != nil {
				return err
			}
			row := []string{
				r.Host, r.Domain, fmt.Sprint(r.Ready), fmt.Sprint(r.Rev), fmt.Sprint(r.Age), orDash(r.Lead),
				fmt.Sprint(r.Queued), fmt.Sprint(r.Running), orDash(r.Why),
			}
			if err := a.print(r, "HOST DOMAIN READY REVISION LOGAGE/MS LEAD WAITING RUNNING WHY", [][]string{row}); err != nil {
				return err
			}
			if !r.Ready {
				return exitError{fmt.Errorf("%s is not ready: %s", r.Host, r.Why), exitFailed}
			}
			return nil
		},
	}
}
