package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	exitOK      = 0
	exitSetting = 2 // a setting is wrong
	exitFailed  = 1 // the daemon could not run
	exitCut     = 3 // a stop hit its limit, work was cut
)

// status is an error with the exit status that it asks for.
type status struct {
	error
	code int
}

// Main runs the command line and returns the exit status.
func Main(args []string, out, errOut io.Writer) int {
	root := &cobra.Command{
		Use: "deckd", Short: "Daemon of an entry host of dragonflydeck",
		SilenceErrors: true, SilenceUsage: true,
	}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	for _, add := range []func() (*cobra.Command, error){cmdRun, cmdSite, cmdCheck, cmdVersion} {
		cmd, err := add()
		if err != nil {
			return fail(errOut, err)
		}
		root.AddCommand(cmd)
	}
	if err := root.Execute(); err != nil {
		return fail(errOut, err)
	}
	return exitOK
}

func fail(w io.Writer, err error) int {
	fmt.Fprintln(w, "deckd:", err)
	if s, ok := err.(status); ok {
		return s.code
	}
	return exitSetting
}
