package daemon

import (
	"context"
	"fmt"
	"time"

	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/event"
)

// StopPollInterval is how often a graceful stop checks for remaining work.
const StopPollInterval = 100 * time.Millisecond

// Shutdown begins a graceful stop. It returns when no request is in flight, the
// lead is handed over and the seats are released, or when the context ends. The
// daemon still accepts requests for the lame-duck time, so that the load balancer
// notices it is leaving.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.logEvent(event.ProcessLeaving, "graceful stop begun; no new work is requested")
	start := time.Now()
	_ = d.loop.do(ctx, "graceful stop", func(c *core.Core) { c.Board.Leaving = true })
	for {
		remaining := d.remaining()
		if remaining == "" && time.Since(start) >= d.settings.LameDuck {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Op: "graceful stop", Kind: StopTimeout, Text: remaining}
		case <-time.After(StopPollInterval):
		}
	}
}

// remaining describes what a graceful stop still waits for.
func (d *Daemon) remaining() string {
	if n := d.dispatcher.inFlight(); n > 0 {
		return fmt.Sprintf("%d requests in flight", n)
	}
	text := ""
	_ = d.loop.do(context.Background(), "graceful stop", func(c *core.Core) { text = remainingWork(c) })
	return text
}

func remainingWork(c *core.Core) string {
	b := c.Board
	switch {
	case b.Lead.Mine && c.Gangs.Busy():
		return "gangs that are being started or stopped"
	case b.Lead.Mine && canHandOver(c):
		return "the lead of " + string(b.Self.Domain)
	case b.Outbox.Len() > 0:
		return fmt.Sprintf("%d records waiting for the log", b.Outbox.Len())
	case len(heldSeats(c)) > 0 && !b.Log.Down:
		return fmt.Sprintf("seats %v", heldSeats(c))
	}
	return ""
}

// canHandOver reports whether another daemon of the domain can take the lead.
func canHandOver(c *core.Core) bool {
	return len(c.Board.Members.LocalLive()) > 0 && !c.Board.Log.Down
}

func heldSeats(c *core.Core) []int32 {
	var out []int32
	for key, s := range c.Board.State.Seats {
		if s.Host == string(c.Board.Self.Host) && s.Inc == int64(c.Board.Self.Inc) {
			out = append(out, key.Seat)
		}
	}
	return out
}

// Close ends the daemon's goroutines. After a failed Shutdown, unfinished names
// the work that was cut off.
func (d *Daemon) Close(unfinished error) {
	d.cancel()
	<-d.loop.Ended()
	d.timer.Wait()
	d.exec.group.Wait()
	if unfinished != nil {
		d.logEvent(event.ProcessCut, unfinished.Error())
		return
	}
	d.logEvent(event.ProcessStopped, "no work was cut off")
}
