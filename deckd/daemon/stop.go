package daemon

import (
	"context"
	"fmt"
	"time"

	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/event"
)

// StopStep is how often a stop looks whether it may go on.
const StopStep = 100 * time.Millisecond

// Leave begins a graceful stop and returns when nothing is in flight, the lead
// has passed on and the seats are given back, or when the context ends. New
// requests are taken for the lame span, so that the balancer sees it leave.
func (d *Daemon) Leave(ctx context.Context) error {
	d.tell(event.ProcessLeaving, "no new work is asked for")
	begun := time.Now()
	_ = d.loop.do(ctx, "leave", func(c *core.Core) { c.Board.Leaving = true })
	for {
		rest := d.left()
		if rest == "" && time.Since(begun) >= d.settings.Lame {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Op: "leave", Kind: Cut, Text: rest}
		case <-time.After(StopStep):
		}
	}
}

// left names what a stop still waits for.
func (d *Daemon) left() string {
	if n := d.traffic.inFlight(); n > 0 {
		return fmt.Sprintf("%d requests in flight", n)
	}
	text := ""
	_ = d.loop.do(context.Background(), "leave", func(c *core.Core) { text = leftOf(c) })
	return text
}

func leftOf(c *core.Core) string {
	b := c.Board
	switch {
	case b.Lead.Mine && c.Gangs.Busy():
		return "gangs that are being started or stopped"
	case b.Lead.Mine && heir(c):
		return "the lead of " + string(b.Self.Domain)
	case b.Outbox.Len() > 0:
		return fmt.Sprintf("%d records for the log", b.Outbox.Len())
	case len(held(c)) > 0 && !b.Log.Blind:
		return fmt.Sprintf("seats %v", held(c))
	}
	return ""
}

// heir reports whether another daemon of the domain can take the lead.
func heir(c *core.Core) bool {
	return len(c.Board.Members.Near()) > 0 && !c.Board.Log.Blind
}

func held(c *core.Core) []int32 {
	var out []int32
	for key, s := range c.Board.State.Seats {
		if s.Host == string(c.Board.Self.Host) && s.Inc == int64(c.Board.Self.Inc) {
			out = append(out, key.Seat)
		}
	}
	return out
}

// Close ends the daemon's goroutines. After a failed Leave it says what was cut.
func (d *Daemon) Close(left error) {
	d.cancel()
	<-d.loop.Ended()
	d.timer.Wait()
	d.exec.group.Wait()
	if left != nil {
		d.tell(event.ProcessCut, left.Error())
		return
	}
	d.tell(event.ProcessStopped, "nothing was cut")
}
