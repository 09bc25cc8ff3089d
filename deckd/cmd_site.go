package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"dragonflydeck.example/deckd/site"
	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/config"
	"dragonflydeck.example/platform"
	"github.com/spf13/cobra"
)

// ownPrefix is the first word of the environment variables of a site's daemon.
const ownPrefix = "DECKD"

// cmdSite runs the daemon of a site on the users' platform.
func cmdSite() (*cobra.Command, error) {
	own := &site.Own{}
	cmd := &cobra.Command{
		Use:   "site",
		Short: "Run the daemon of a site on the platform whose settings file " + platform.SettingsVar + " names",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := config.Check(ownPrefix, own); err != nil {
				return err
			}
			path, ok := os.LookupEnv(platform.SettingsVar)
			if !ok {
				return fmt.Errorf("the environment variable %s must name the settings file", platform.SettingsVar)
			}
			s, err := platform.ReadSettings(path)
			if err != nil {
				return err
			}
			return runSite(s, *own)
		},
	}
	return cmd, config.Bind(cmd.Flags(), ownPrefix, own)
}

func runSite(s fleet.SiteSettings, own site.Own) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	client := platform.NewClient()
	one := site.New(s, own, site.Edges{
		Store: platform.NewStore(client, s.Store), Exec: platform.NewWorkers(client), Reader: platform.Reader{},
		Front: func(i fleet.Intake) site.Front { return platform.NewFront(i) },
	}, os.Stdout)
	if err := one.Run(ctx); err != nil {
		return status{err, exitFailed}
	}
	return nil
}
