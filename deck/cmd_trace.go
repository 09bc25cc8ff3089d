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

// maxLineBytes bounds a log line; a longer one ends the reading with an error.
const maxLineBytes = 1 << 20

// logLine holds the fields of a daemon's log line that a trace shows.
type logLine struct {
	Time    string `json:"time"`
	Code    int    `json:"code"`
	Event   string `json:"event"`
	Host    string `json:"host"`
	About   string `json:"about"`
	Message string `json:"message"`
	Skipped int    `json:"skipped"`
}

// cmdTrace shows the decisions about a job or host, using only log lines of the
// daemons.
func cmdTrace(a *app) *cobra.Command {
	var extra []string
	cmd := &cobra.Command{
		Use:   "trace ID [FILE...]",
		Short: "Show every decision about a job or host, from log lines in files or on standard input",
		Long: "Show every decision about a job or host, from log lines in files or on standard\n" +
			"input, ordered by time. Text before the first brace of a line is ignored;\n" +
			"lines that no daemon wrote are counted.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ids := append([]string{args[0]}, extra...)
			if len(args) == 1 {
				return a.trace(ids, cmd.InOrStdin())
			}
			var all []io.Reader
			for _, path := range args[1:] {
				f, err := os.Open(path)
				if err != nil {
					return exitError{err, exitUsage}
				}
				defer f.Close()
				all = append(all, f, strings.NewReader("\n"))
			}
			return a.trace(ids, io.MultiReader(all...))
		},
	}
	cmd.Flags().StringSliceVar(&extra, "with", nil, "further ids to show lines about, such as the lead or a worker")
	return cmd
}

// trace prints the log lines about the given ids.
func (a *app) trace(ids []string, r io.Reader) error {
	found, unparsed, err := readLines(ids, r)
	if err != nil {
		return err
	}
	for _, l := range found {
		skipped := ""
		if l.Skipped > 0 {
			skipped = fmt.Sprintf(" (%d earlier lines of this kind were skipped)", l.Skipped)
		}
		fmt.Fprintf(a.out, "%s %s %d %s %s: %s%s\n", l.Time, l.Host, l.Code, l.Event, l.About, l.Message, skipped)
	}
	if unparsed > 0 {
		fmt.Fprintf(a.out, "%d lines are not log lines of a daemon\n", unparsed)
	}
	if len(found) == 0 {
		return exitError{fmt.Errorf("no line is about %s", strings.Join(ids, ", ")), exitFailed}
	}
	return nil
}

// readLines returns the log lines about the given ids, ordered by time, and the
// number of lines that could not be parsed.
func readLines(ids []string, r io.Reader) (found []logLine, unparsed int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		text := in.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		var l logLine
		i := strings.IndexByte(text, '{')
		if i < 0 || json.Unmarshal([]byte(text[i:]), &l) != nil || l.Event == "" {
			unparsed++
			continue
		}
		if slices.Contains(ids, l.About) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	return found, unparsed, in.Err()
}
