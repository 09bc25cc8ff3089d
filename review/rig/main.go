package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// Outcomes of a case, which are the exit codes of its script.
const (
	held    = 0 // the rule held
	broken  = 1
	unclear = 2 // the case could not run
)

var cases = map[string]func(rec *record, deckd []string, trouble bool) int{
	"evacuation": evacuation,
	"kind":       kind,
	"large-job":  largeJob,
	"partition":  partition,
}

// main runs: reviewrig CASE RECORD DECKD...
func main() {
	if len(os.Args) < 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewrig CASE RECORD DECKD...")
		os.Exit(unclear)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unclear)
	}
	rec := &record{out: out, begun: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, trouble=%t, daemons run %q", os.Args[1], trouble, strings.Join(os.Args[3:], " "))
	code := cases[os.Args[1]](rec, os.Args[3:], trouble)
	rec.logf("exit %d", code)
	out.Close()
	os.Exit(code)
}
