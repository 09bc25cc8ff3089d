package main

import (
	"fmt"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
)

// cmdHosts lists entry hosts and backend servers.
func cmdHosts(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "hosts",
		Short: "List entry hosts and backend servers as seen by the host that is asked",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := callDesk(a, "list hosts", &wire.HostsAsk{}, wire.Desk.Hosts)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, s := range r.Hosts {
				rows = append(rows, hostRow(s))
			}
			return a.print(r, "HOST ROLE DOMAIN RACK ADDRESS STATE SIZE WHY", rows)
		},
	}
}

func hostRow(seen *wire.Seen) []string {
	h := seen.Host
	size := "-"
	switch h.Role {
	case wire.Role_WORKER:
		size = fleet.ResOf(h.Total).String()
	case wire.Role_RUNNER:
		size = fmt.Sprintf("%d slots, %d connections", h.Slots, h.Conns)
	}
	return []string{h.Id, lowerName(h.Role), h.Domain, fmt.Sprint(h.Rack), h.Addr, seen.State, size, orDash(seen.Why)}
}
