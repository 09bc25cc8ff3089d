package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"dragonflydeck.example/deckd/daemon"
	"dragonflydeck.example/fleet/config"
	"dragonflydeck.example/fleet/serve"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// cmdRun runs the daemon until SIGTERM or SIGINT.
func cmdRun() (*cobra.Command, error) {
	s := &daemon.Settings{}
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run the daemon; SIGTERM stops it gracefully, a second SIGTERM at once",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := s.Check(); err != nil {
				return err
			}
			return run(cmd.Context(), s)
		},
	}
	return cmd, config.Bind(cmd.Flags(), daemon.Prefix, s)
}

func run(ctx context.Context, s *daemon.Settings) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d := daemon.New(s, newClients(s), os.Stderr)
	server, err := serve.Listen(s.Listen, d.Routes(), d.Pages())
	if err != nil {
		return exitError{err, exitFailed}
	}
	var group errgroup.Group
	group.Go(server.Run)
	<-signals
	unfinished := shutdown(ctx, d, s, signals)
	stopCtx, cancel := context.WithTimeout(context.Background(), serve.ReadTimeout)
	defer cancel()
	err = errors.Join(server.Stop(stopCtx), group.Wait())
	d.Close(unfinished)
	if unfinished != nil {
		return exitError{unfinished, exitStopTimeout}
	}
	if err != nil {
		return exitError{err, exitFailed}
	}
	return nil
}

// shutdown stops the daemon gracefully. It stops waiting after the drain
// timeout or at a second signal.
func shutdown(ctx context.Context, d *daemon.Daemon, s *daemon.Settings, signals <-chan os.Signal) error {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithTimeout(ctx, s.Drain)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := d.Shutdown(ctx)
	cancel()
	<-ended
	return err
}
