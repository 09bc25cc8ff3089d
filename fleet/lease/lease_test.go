package lease

import (
	"errors"
	"testing"
	"time"

	"dragonflydeck.example/fleet/board"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

// Guards against a gang that counts as running where nothing runs: its worker's process was
// replaced, and the reports of the new one have reached the number of the newest known one.
func TestReportOfANewProcessIsReadWhateverItsVersion(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	b, c := board.New(board.Identity{Host: "e1", Domain: "d1"}), New()
	b.Lead.Mine, b.Lead.Term, b.Lead.Lease = true, 7, 8*time.Second
	b.Hosts["w1"] = &wire.Host{Id: "w1", Domain: "d1", Role: wire.Role_WORKER, Addr: "w1:1"}
	step := func(events ...board.Event) {
		now = now.Add(time.Second)
		b.Now, b.Events = now, events
		c.Step(b)
	}
	answer := func(job string) board.Renewed {
		return board.Renewed{
			Worker: "w1", Term: 7, AskedAt: now, LeaseGranted: true,
			Reply: &wire.RenewReply{Version: 3, Gangs: []*wire.Report{{Job: job, Attempt: 1, Tasks: 1, Run: wire.Run_RUNNING}}},
		}
	}
	step()
	step(answer("former"))
	step(board.Renewed{Worker: "w1", Term: 7, AskedAt: now, LeaseGranted: true, Err: errors.New("connection reset")})
	step(answer("later"))
	qt.Assert(t, b.Workers["w1"].Report("former", 1), qt.IsNil)
	qt.Assert(t, b.Workers["w1"].Report("later", 1), qt.Not(qt.IsNil))
}
