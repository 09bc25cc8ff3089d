package main

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
	"dragonflydeck.example/standin/runner"
	"dragonflydeck.example/standin/worker"
	"github.com/spf13/cobra"
)

// cmdBackend serves the workers and runners of one failure domain.
func cmdBackend() *cobra.Command {
	var hosts, domain string
	var took time.Duration
	cmd := &cobra.Command{
		Use:   "backend",
		Short: "Serve the workers and runners of one failure domain",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			known, err := readHosts(hosts)
			if err != nil {
				return err
			}
			var ports []port
			for _, h := range known {
				if p, ok := backend(h, took); ok && h.Domain == domain {
					ports = append(ports, p)
				}
			}
			if len(ports) == 0 {
				return fmt.Errorf("the host list names no backend server in %q", domain)
			}
			return serveAll(ports)
		},
	}
	cmd.Flags().StringVar(&hosts, "hosts", "hosts.json", "file with the host list")
	cmd.Flags().StringVar(&domain, "domain", "", "failure domain to serve")
	cmd.Flags().DurationVar(&took, "took", 20*time.Millisecond, "how long a request takes")
	return cmd
}

func backend(h *wire.Host, took time.Duration) (port, bool) {
	switch h.Role {
	case wire.Role_WORKER:
		w := worker.New(h.Id, fleet.ResOf(h.Total))
		return port{h.Addr, routes(wire.NewWorkerServer(w), wire.NewFaultServer(w))}, true
	case wire.Role_RUNNER:
		r := runner.New(int(h.Slots), took)
		return port{h.Addr, routes(wire.NewRunnerServer(r), wire.NewFaultServer(r))}, true
	}
	return port{}, false
}
