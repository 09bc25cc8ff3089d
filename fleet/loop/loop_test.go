package loop_test

import (
	"context"
	"testing"
	"time"

	"dragonflydeck.example/fleet/loop"
	qt "github.com/frankban/quicktest"
)

func TestLoopTakesEventsInBatchesAndCallsInTurn(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	sum := 0
	events := make(chan int, loop.EventQueue)
	l := loop.New(&sum, nil, events, func(batch []int, _ bool) {
		for _, n := range batch {
			sum += n
		}
	})
	for n := range 1000 {
		l.Post(n)
	}
	go l.Run(ctx)
	for got := 0; got != 499500; {
		qt.Assert(t, l.Do(nil, func(s *int) { got = *s }), qt.Equals, loop.Done)
	}
	cancel()
	<-l.Ended()
	qt.Assert(t, l.Do(nil, func(*int) {}) >= loop.Closed, qt.IsTrue)
	l.Post(1) // does not block
}

func TestCallThatTheLoopDoesNotTakeInTimeDoesNotRun(t *testing.T) {
	l := loop.New(0, nil, make(chan int), func([]int, bool) {})
	giveUp := make(chan struct{})
	for range loop.CallQueue {
		go l.Do(nil, func(int) {})
	}
	time.Sleep(50 * time.Millisecond)
	close(giveUp)
	qt.Assert(t, l.Do(giveUp, func(int) { t.Error("it ran") }), qt.Equals, loop.Late)
}
