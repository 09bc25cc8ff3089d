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

// sitePrefix is the prefix of the environment variables of a site's daemon.
const sitePrefix = "DECKD"

// cmdSite runs the daemon of a site on the platform that the settings file
// describes.
func cmdSite() (*cobra.Command, error) {
	options := &site.Options{}
	cmd := &cobra.Command{
		Use:   "site",
		Short: "Run the daemon of a site on the platform whose settings file " + platform.SettingsVar + " names",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := config.Check(sitePrefix, options); err != nil {
				return err
			}
			path, ok := os.LookupEnv(platform.SettingsVar)
			if !ok {
				return fmt.Errorf("the environment variable %s must be set to the path of the settings file", platform.SettingsVar)
			}
			read := func() (fleet.SiteSettings, error) { return platform.ReadSettings(path) }
			s, err := read()
			if err != nil {
				return err
			}
			return runSite(s, *options, read)
		},
	}
	return cmd, config.Bind(cmd.Flags(), sitePrefix, options)
}

func runSite(s fleet.SiteSettings, options site.Options, read func() (fleet.SiteSettings, error)) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	daemon := site.New(s, options, site.Dependencies{
		Store: platform.NewStore(s.Store), Exec: platform.NewWorkers(), Reader: platform.Reader{},
		NewFrontend: func(i fleet.Intake) site.Frontend { return platform.NewFrontend(i) },
	}, os.Stdout)
	reloaded := make(chan struct{})
	go func() {
		defer close(reloaded)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
				daemon.Reload(read())
			}
		}
	}()
	err := daemon.Run(ctx)
	stop()
	<-reloaded
	if err != nil {
		return exitError{err, exitFailed}
	}
	return nil
}
