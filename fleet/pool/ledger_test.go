package pool_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/pool"
	"pgregory.net/rapid"
)

// The use of a workspace must remain the sum over the runs, whatever the service discovery says
// about their workers meanwhile. A drift would lower its cap for good, or let it exceed it.
func TestLedgerIsTheSumOfTheRuns(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := pool.New(6 * time.Second)
		now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
		services, spaces := []string{"", "desk", "train"}, []fleet.SpaceID{"a", "b"}
		for step := range rapid.IntRange(1, 60).Draw(r, "steps") {
			host := fleet.HostID(fmt.Sprint("w", rapid.IntRange(0, 2).Draw(r, "host")))
			w, known := p.Workers[host]
			switch rapid.IntRange(0, 4).Draw(r, "what") {
			case 0:
				p.Update(fleet.WorkerEntry{
					Endpoint: fleet.Endpoint{Host: host}, Service: rapid.SampledFrom(services).Draw(r, "service"),
					Inc: fleet.Incarnation(rapid.IntRange(0, 3).Draw(r, "inc")),
				}, "", now)
			case 1:
				if known {
					each := fleet.Res{Accels: fleet.Accels(rapid.IntRange(0, 3).Draw(r, "accels")), Cores: 500}
					task := fleet.Task{Job: "j", Index: rapid.IntRange(0, 9).Draw(r, "task")}
					w.Add(&pool.Run{Task: task, No: fleet.Run(step % 3), Each: each, Counts: each, Space: rapid.SampledFrom(spaces).Draw(r, "space")})
				}
			case 2:
				if known && len(w.Runs) > 0 {
					run := rapid.SampledFrom(w.Sorted()).Draw(r, "run")
					w.Drop(pool.Key{Task: run.Task, No: run.No})
				}
			case 3:
				p.Unlist(host)
			case 4:
				p.Sweep(now)
			}
			type account struct {
				space   fleet.SpaceID
				service string
			}
			sums, used := map[account]fleet.Res{}, map[fleet.SpaceID]fleet.Res{}
			for _, w := range p.Workers {
				for _, run := range w.Runs {
					a := account{run.Space, w.Service}
					sums[a], used[run.Space] = sums[a].Add(run.Counts), used[run.Space].Add(run.Counts)
				}
			}
			for _, space := range spaces {
				if got, want := p.Ledger.Used(space), used[space]; got != want {
					r.Fatalf("ledger %s, runs %s", got, want)
				}
				for _, service := range services {
					if got, want := p.Ledger.UsedOf(space, service), sums[account{space, service}]; got != want {
						r.Fatalf("ledger %s, runs %s", got, want)
					}
				}
			}
		}
	})
}
