package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// maxLine bounds a log line that is read.
const maxLine = 1 << 20 // bytes

// line is a log line of a daemon, as far as a trace shows it.
type line struct {
	Time    string `json:"time"`
	Code    int    `json:"code"`
	Event   string `json:"event"`
	Host    string `json:"host"`
	About   string `json:"about"`
	Message string `json:"message"`
	Skipped int    `json:"skipped"`
}

// cmdTrace explains a job from the log lines of the daemons alone.
func cmdTrace(a *app) *cobra.Command {
	var with []string
	cmd := &cobra.Command{
		Use:   "trace ID [FILE...]",
		Short: "Show every decision about a job or host, from log lines in files or on standard input",
		Long: "Show every decision about a job or host, from log lines in files or on standard\n" +
			"input, in the order of time. What stands before the first brace of a line is\n" +
			"left out; lines that are not a daemon's are counted.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ids := append([]string{args[0]}, with...)
			if len(args) == 1 {
				return a.trace(ids, cmd.InOrStdin())
			}
			var all []io.Reader
			for _, path := range args[1:] {
				f, err := os.Open(path)
				if err != nil {
					return status{err, exitUsage}
				}
				defer f.Close()
				all = append(all, f, strings.NewReader("\n"))
			}
			return a.trace(ids, io.MultiReader(all...))
		},
	}
	cmd.Flags().StringSliceVar(&with, "with", nil, "also show lines about these, such as the lead or a worker")
	return cmd
}

// trace prints the lines about some ids.
func (a *app) trace(ids []string, r io.Reader) error {
	found, other, err := readLines(ids, r)
	if err != nil {
		return err
	}
	for _, l := range found {
		skipped := ""
		if l.Skipped > 0 {
			skipped = fmt.Sprintf(" (%d lines of this kind left out before)", l.Skipped)
		}
		fmt.Fprintf(a.out, "%s %s %d %s %s: %s%s\n", l.Time, l.Host, l.Code, l.Event, l.About, l.Message, skipped)
	}
	if other > 0 {
		fmt.Fprintf(a.out, "%d lines are not a daemon's\n", other)
	}
	if len(found) == 0 {
		return status{fmt.Errorf("no line is about %s", strings.Join(ids, ", ")), exitFailed}
	}
	return nil
}

// readLines returns the lines about some ids in the order of time, and how many
// lines could not be read.
func readLines(ids []string, r io.Reader) (found []line, other int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		text := in.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		var l line
		i := strings.IndexByte(text, '{')
		if i < 0 || json.Unmarshal([]byte(text[i:]), &l) != nil || l.Event == "" {
			other++
			continue
		}
		if slices.Contains(ids, l.About) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b line) int { return strings.Compare(a.Time, b.Time) })
	return found, other, in.Err()
}
