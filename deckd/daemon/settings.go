package daemon

import (
	"fmt"
	"time"

	"dragonflydeck.example/fleet/config"
)

// Prefix is the first word of the daemon's environment variables.
const Prefix = "DECKD"

// Settings are the daemon's settings.
type Settings struct {
	Host     string        `env:"HOST" validate:"required,excludesall=. /" help:"name of this host in the platform's list"`
	Domain   string        `env:"DOMAIN" validate:"required,excludesall=. /" help:"failure domain of this host"`
	Listen   string        `env:"LISTEN" envDefault:"127.0.0.1:7070" validate:"required,tcp_addr" help:"address for callers, operators and peers, as IP:PORT"`
	Log      string        `env:"LOG" validate:"required,tcp_addr" help:"address of the platform's log, as IP:PORT"`
	Roster   string        `env:"ROSTER" validate:"required,tcp_addr" help:"address of the platform's host list, as IP:PORT"`
	Seats    int           `env:"SEATS" envDefault:"3" validate:"min=1,max=8" help:"parts that a failure domain's runner slots are split into; the same on every host"`
	Queue    int           `env:"QUEUE" envDefault:"4096" validate:"min=1,max=65536" help:"requests that may wait for a slot"`
	Isolated string        `env:"ISOLATED" envDefault:"serve" validate:"oneof=serve refuse" help:"what requests get while this failure domain is cut off from platform and peers: serve or refuse"`
	Lame     time.Duration `env:"LAME" envDefault:"2s" validate:"min=0s,max=1m" help:"how long a leaving daemon still takes requests, so that the balancer sees it leave"`
	Drain    time.Duration `env:"DRAIN" envDefault:"40s" validate:"min=1s,max=10m" help:"limit of a graceful stop"`
	Level    string        `env:"LEVEL" envDefault:"info" validate:"oneof=debug info warn error" help:"least level of log lines"`
	Lines    int           `env:"LINES" envDefault:"200" validate:"min=1,max=100000" help:"log lines a second for each kind of event; the rest is counted"`
}

// Check returns why the settings can't be used, or nil.
func (s *Settings) Check() error {
	if err := config.Check(Prefix, s); err != nil {
		return err
	}
	if s.Drain <= s.Lame {
		return &Error{Op: "check settings", Kind: Setting, Text: fmt.Sprintf("--drain (%s_DRAIN) is %q: it must be longer than lame, which is %s", Prefix, s.Drain, s.Lame)}
	}
	return nil
}
