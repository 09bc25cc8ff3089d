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
	var requestTime time.Duration
	cmd := &cobra.Command{
		Use:   "backend",
		Short: "Serve the workers and runners of one failure domain",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			known, err := readHosts(hosts)
			if err != nil {
				return err
			}
			var endpoints []endpoint
			for _, h := range known {
				if p, ok := backendEndpoint(h, requestTime); ok && h.Domain == domain {
					endpoints = append(endpoints, p)
				}
			}
			if len(endpoints) == 0 {
				return fmt.Errorf("the host list has no backend server in failure domain %q", domain)
			}
			return serveAll(endpoints)
		},
	}
	cmd.Flags().StringVar(&hosts, "hosts", "hosts.json", "file with the host list")
	cmd.Flags().StringVar(&domain, "domain", "", "failure domain to serve")
	cmd.Flags().DurationVar(&requestTime, "took", 20*time.Millisecond, "run time of a request")
	return cmd
}

func backendEndpoint(h *wire.Host, requestTime time.Duration) (endpoint, bool) {
	switch h.Role {
	case wire.Role_WORKER:
		w := worker.New(h.Id, fleet.ResOf(h.Total))
		return endpoint{h.Addr, routes(wire.NewWorkerServer(w), wire.NewFaultServer(w))}, true
	case wire.Role_RUNNER:
		r := runner.New(int(h.Slots), requestTime)
		return endpoint{h.Addr, routes(wire.NewRunnerServer(r), wire.NewFaultServer(r))}, true
	}
	return endpoint{}, false
}
