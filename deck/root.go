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
	exitFailed  = 1 // something else went wrong
	exitUsage   = 2 // the command line or a setting is wrong
	exitNotRun  = 3 // refused, the work did not run
	exitUnknown = 4 // the outcome is unknown
	exitEnded   = 5 // the job that was waited for ended otherwise than done
)

// prefix is the first word of the environment variables.
const prefix = "DECK"

// settings apply to every command.
type settings struct {
	Addr  string        `env:"ADDR" envDefault:"127.0.0.1:7070" validate:"required" help:"addresses of the balancer or of entry hosts, as IP:PORT, separated by commas"`
	Limit time.Duration `env:"LIMIT" envDefault:"10s" validate:"min=1ms,max=10m" help:"how long to wait for an answer"`
	JSON  bool          `env:"JSON" help:"print JSON"`
}

// app is what commands work with.
type app struct {
	settings settings
	out      io.Writer
}

// status is an error with the exit status that it asks for.
type status struct {
	error
	code int
}

// Main runs the command line and returns the exit status.
func Main(args []string, out, errOut io.Writer) int {
	a := &app{out: out}
	root := &cobra.Command{
		Use:   "deck",
		Short: "Command line of dragonflydeck for callers and operators",
		Long: "Command line of dragonflydeck for callers and operators.\n\n" +
			"Exit statuses: 0 done; 1 failed; 2 wrong usage; 3 refused, not run;\n" +
			"4 outcome unknown; 5 the job ended otherwise than done.",
		SilenceErrors: true, SilenceUsage: true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return a.check() },
	}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := config.Bind(root.PersistentFlags(), prefix, &a.settings); err != nil {
		fmt.Fprintln(errOut, "deck:", err)
		return exitUsage
	}
	root.AddCommand(cmdSpace(a), cmdJob(a), cmdFlow(a), cmdTrace(a), cmdRequest(a), cmdDomain(a), cmdHosts(a),
		cmdExplain(a), cmdHistory(a), cmdHealth(a), cmdVersion(a))
	if err := root.Execute(); err != nil {
		fmt.Fprintln(errOut, "deck:", err)
		return code(err)
	}
	return exitOK
}

func (a *app) check() error {
	if err := config.Check(prefix, &a.settings); err != nil {
		return status{err, exitUsage}
	}
	return nil
}

func code(err error) int {
	if s, ok := err.(status); ok {
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
