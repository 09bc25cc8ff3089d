package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	exitOK             = 0
	exitInvalidSetting = 2 // a setting is invalid
	exitFailed         = 1 // the daemon failed
	exitStopTimeout    = 3 // a graceful stop timed out and work was cut off
)

// exitError is an error with the exit status of the process.
type exitError struct {
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
	if s, ok := err.(exitError); ok {
		return s.code
	}
	return exitInvalidSetting
}
