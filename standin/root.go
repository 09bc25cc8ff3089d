package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"dragonflydeck.example/fleet/serve"
	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protojson"
)

// Main runs the command line and returns the exit status.
func Main(args []string, out, errOut io.Writer) int {
	root := &cobra.Command{
		Use: "standin", Short: "Stand-ins for the platform and the backend servers",
		SilenceErrors: true, SilenceUsage: true,
	}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	root.AddCommand(cmdPlatform(), cmdBackend(), cmdFault())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(errOut, "standin:", err)
		return 1
	}
	return 0
}

// readHosts reads a host list from a JSON file that holds a ListReply.
func readHosts(path string) ([]*wire.Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	list := &wire.ListReply{}
	if err := protojson.Unmarshal(data, list); err != nil {
		return nil, fmt.Errorf("read host list %s: %w", path, err)
	}
	return list.Hosts, nil
}

// twirpServer is a Twirp service and the path that it is served under.
type twirpServer interface {
	http.Handler
	PathPrefix() string
}

func routes(servers ...twirpServer) []serve.Route {
	var out []serve.Route
	for _, s := range servers {
		out = append(out, serve.Route{Prefix: s.PathPrefix(), Handler: s})
	}
	return out
}

// endpoint is an address and the routes served there.
type endpoint struct {
	addr   string
	routes []serve.Route
}

// serveAll serves all endpoints until SIGTERM or SIGINT arrives.
func serveAll(endpoints []endpoint) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var group errgroup.Group
	var servers []*serve.Server
	for _, p := range endpoints {
		s, err := serve.Listen(p.addr, p.routes, nil)
		if err != nil {
			return err
		}
		servers = append(servers, s)
		group.Go(s.Run)
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), serve.ReadTimeout)
	defer cancel()
	for _, s := range servers {
		group.Go(func() error { return s.Stop(stopCtx) })
	}
	return group.Wait()
}
