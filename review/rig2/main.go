// Reviewrig2 runs a case of the review: the project's daemons as processes of their own, with
// stand-ins for the platform's store, runners, links and requesters.
//
//	reviewrig2 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 it does the same without the disruption.
package main

import (
	"errors"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"time"
)

// errRun is the error of a case that could not run.
var errRun = errors.New("the case could not run")

var cases = map[string]func(s *site, trouble bool) error{
	"split": split, "memory": memory, "large": large, "guarantee": guarantee, "replaced": replaced, "renamed": renamed,
	"crashes": crashes, "lasting": lasting, "long": long, "pending": pending,
}

func newQuietLogger() *log.Logger { return log.New(quietLog{}, "", 0) }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewrig2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, folder string, trouble bool) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec := &recorder{out: out, begun: time.Now(), said: map[string]bool{}}
	rec.notef("case %s, disruption: %t", name, trouble)
	s := newSite(rec, dir)
	go s.tickRunners()
	err = cases[name](s, trouble)
	s.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs are in", dir)
	}
	switch {
	case err != nil:
		rec.notef("the case could not run: %v", err)
		return 2
	case rec.breaches() > 0:
		rec.notef("the rule was broken: %d breaches", rec.breaches())
		return 1
	}
	rec.notef("the rule held")
	return 0
}
