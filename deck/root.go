package main

import (
	"fmt"
	"io"
	"time"

	"dragonflydeck.example/fleet/config"
	"dragonflydeck.example/fleet/refuse"
	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailed  = 1 // any other failure
	exitUsage   = 2 // invalid command line or setting
	exitNotRun  = 3 // refused; the work did not run
	exitUnknown = 4 // the outcome is unknown
	exitEnded   = 5 // the awaited job ended in a state other than done
)

// envPrefix is the prefix of the environment variables.
const envPrefix = "DECK"

// settings apply to every command.
type settings struct {
	Addr  string        `env:"ADDR" envDefault:"127.0.0.1:7070" validate:"required" help:"addresses of the balancer or of entry hosts, as IP:PORT, separated by commas"`
	Limit time.Duration `env:"LIMIT" envDefault:"10s" validate:"min=1ms,max=10m" help:"timeout of a call"`
	JSON  bool          `env:"JSON" help:"print JSON"`
}

// app holds what the commands share.
type app struct {
	settings settings
	out      io.Writer
}

// exitError is an error that carries the exit status of the process.
type exitError struct {
	error
	code int
}

// Main runs the command line and returns the exit status.
func Main(args []string, out, errOut io.Writer) int {
	a := &app{out: out}
	root := &cobra.Command{
		Use:   "deck",
		Short: "Command-line client of dragonflydeck for callers and operators",
		Long: "Command-line client of dragonflydeck for callers and operators.\n\n" +
			"Exit statuses: 0 done; 1 failed; 2 invalid usage; 3 refused, not run;\n" +
			"4 outcome unknown; 5 the job ended in a state other than done.",
		SilenceErrors: true, SilenceUsage: true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return a.checkSettings() },
	}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := config.Bind(root.PersistentFlags(), envPrefix, &a.settings); err != nil {
		fmt.Fprintln(errOut, "deck:", err)
		return exitUsage
	}
	root.AddCommand(cmdSpace(a), cmdJob(a), cmdFlow(a), cmdTrace(a), cmdRequest(a), cmdDomain(a), cmdHosts(a),
		cmdExplain(a), cmdHistory(a), cmdHealth(a), cmdVersion(a))
	if err := root.Execute(); err != nil {
		fmt.Fprintln(errOut, "deck:", err)
		return exitStatus(err)
	}
	return exitOK
}

func (a *app) checkSettings() error {
	if err := config.Check(envPrefix, &a.settings); err != nil {
		return exitError{err, exitUsage}
	}
	return nil
}

func exitStatus(err error) int {
	if s, ok := err.(exitError); ok {
		return s.code
	}
	r, ok := err.(*refuse.Error)
	switch {
	case !ok:
		return exitUsage
	case r.Ran == refuse.No:
		return exitNotRun
	case r.Ran == refuse.Unknown:
		return exitUnknown
	}
	return exitFailed
}
