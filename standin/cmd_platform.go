package main

import (
	"time"

	"dragonflydeck.example/fleet/wire"
	"dragonflydeck.example/standin/ledger"
	"dragonflydeck.example/standin/roster"
	"github.com/spf13/cobra"
)

// cmdPlatform serves the log and the host list.
func cmdPlatform() *cobra.Command {
	var log, list, hosts string
	var opts ledger.Options
	var lag time.Duration
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the log and the host list",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			known, err := readHosts(hosts)
			if err != nil {
				return err
			}
			l, r := ledger.New(opts), roster.New(lag, known...)
			return serveAll([]endpoint{
				{log, routes(wire.NewLogServer(l), wire.NewFaultServer(l))},
				{list, routes(wire.NewRosterServer(r), wire.NewFaultServer(r))},
			})
		},
	}
	cmd.Flags().StringVar(&log, "log", "127.0.0.1:7001", "address of the log")
	cmd.Flags().StringVar(&list, "list", "127.0.0.1:7002", "address of the host list")
	cmd.Flags().StringVar(&hosts, "hosts", "hosts.json", "file with the host list")
	cmd.Flags().IntVar(&opts.Keep, "keep", 20000, "maximum number of records that the log keeps")
	cmd.Flags().IntVar(&opts.Rate, "rate", 400, "maximum number of appends per second")
	cmd.Flags().DurationVar(&lag, "lag", time.Second, "delay until the host list shows a change")
	return cmd
}
