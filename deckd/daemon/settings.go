package daemon

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet/config"
)

// Prefix is the prefix of the daemon's environment variables.
const Prefix = "DECKD"

// Settings holds the daemon's settings.
type Settings struct {
	Host     string        `env:"HOST" validate:"required,excludesall=. /" help:"name of this host in the platform's host list"`
	Domain   string        `env:"DOMAIN" validate:"required,excludesall=. /" help:"failure domain of this host"`
	Listen   string        `env:"LISTEN" envDefault:"127.0.0.1:7070" validate:"required,tcp_addr" help:"address for callers, operators and peers, as IP:PORT"`
	Log      string        `env:"LOG" validate:"required,tcp_addr" help:"address of the platform's log, as IP:PORT"`
	Roster   string        `env:"ROSTER" validate:"required,tcp_addr" help:"address of the platform's host list, as IP:PORT"`
	Seats    int           `env:"SEATS" envDefault:"3" validate:"min=1,max=8" help:"number of parts into which the runner slots of a failure domain are split; the same on every host"`
	Queue    int           `env:"QUEUE" envDefault:"4096" validate:"min=1,max=65536" help:"requests that may wait for a slot"`
	Isolated string        `env:"ISOLATED" envDefault:"serve" validate:"oneof=serve refuse" help:"what to do with requests while this failure domain is cut off from the platform and its peers: serve or refuse"`
	LameDuck time.Duration `env:"LAME" envDefault:"2s" validate:"min=0s,max=1m" help:"how long a stopping daemon still accepts requests, so that the load balancer notices it is leaving"`
	Drain    time.Duration `env:"DRAIN" envDefault:"40s" validate:"min=1s,max=10m" help:"time limit of a graceful stop"`
	Level    string        `env:"LEVEL" envDefault:"info" validate:"oneof=debug info warn error" help:"minimum level of log lines"`
	Lines    int           `env:"LINES" envDefault:"200" validate:"min=1,max=100000" help:"log lines per second for each kind of event; further lines are only counted"`
}

// Check returns an error if the settings are invalid.
func (s *Settings) Check() error {
	if err := config.Check(Prefix, s); err != nil {
		return err
	}
	if s.Drain <= s.LameDuck {
		return &Error{Op: "check settings", Kind: InvalidSetting, Text: fmt.Sprintf("--drain (%s_DRAIN) is %q: it must be longer than lame, which is %s", Prefix, s.Drain, s.LameDuck)}
	}
	return nil
}
