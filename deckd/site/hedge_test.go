package site

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Load pattern: the store is away and leaves calls unanswered. A read that was sent
// before it is back never gets an answer, so the list of workers would be renewed
// only after the timeout of that read.
func TestReadIsAnsweredSoonAfterTheStoreIsBack(t *testing.T) {
	const (
		away    = 250 * time.Millisecond
		delay   = 100 * time.Millisecond
		timeout = 2 * time.Second
	)
	var group sync.WaitGroup
	begun := time.Now()
	got, err := hedge(context.Background(), delay, group.Go, func() (string, error) {
		if time.Since(begun) < away {
			time.Sleep(timeout)
			return "", errors.New("timeout")
		}
		return "list", nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, "list")
	qt.Assert(t, time.Since(begun) < timeout/2, qt.IsTrue, qt.Commentf("answered after %s", time.Since(begun)))
	group.Wait()
}

// An error is an outcome, too: the caller decides what to do.
func TestHedgeReturnsTheFirstOutcome(t *testing.T) {
	var group sync.WaitGroup
	rejected := errors.New("rejected")
	_, err := hedge(context.Background(), time.Minute, group.Go, func() (int, error) { return 0, rejected })
	qt.Assert(t, err, qt.Equals, rejected)
	ctx, cancel := context.WithCancel(context.Background())
	release := make(chan struct{})
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = hedge(ctx, time.Minute, group.Go, func() (int, error) { <-release; return 0, nil })
	qt.Assert(t, err, qt.Equals, context.Canceled)
	close(release)
	group.Wait()
}
