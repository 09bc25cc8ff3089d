package site

import (
	"fmt"
	"io"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/sched"
	"dragonflydeck.example/fleet/wire"
)

// spaceMetricsTimeout is how long the metrics page waits for the control loop. A plan of a large
// site takes tens of milliseconds.
const spaceMetricsTimeout = 200 * time.Millisecond

// writeSpaceMetrics writes what workspaces use and wait for. It writes nothing if this daemon is
// not the lead, or if its control loop does not answer in time.
func (s *Site) writeSpaceMetrics(w io.Writer) {
	if !s.view.Load().leading {
		return
	}
	for _, u := range s.spaceUse(spaceMetricsTimeout).GetSpaces() {
		writeSpaceUse(w, u)
	}
}

// spaceUse returns what workspaces use, or nil if the control loop does not answer in time. A call
// that is queued on the loop cannot be taken back, so the wait for it is bounded here.
func (s *Site) spaceUse(timeout time.Duration) *wire.SpaceUseReply {
	done := make(chan *wire.SpaceUseReply, 1)
	go s.runOnLoop(time.Now().Add(timeout), func(sc *sched.Scheduler) { done <- sc.SpaceUse("") })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-done:
		return r
	case <-timer.C:
		return nil
	}
}

// hasWork reports whether a workspace has tasks that run or wait.
func hasWork(u *wire.SpaceUse) bool {
	return !fleet.ResOf(u.Used).Zero() || u.Capped+u.Deferred+u.Crowded > 0
}

// writeSpaceUse writes the metrics of a workspace; the cap only of limited resources.
func writeSpaceUse(w io.Writer, u *wire.SpaceUse) {
	for _, r := range []struct {
		name        string
		used, limit int64
	}{
		{"cores", u.Used.GetCores(), u.Cap.GetCores()},
		{"memory", u.Used.GetMem(), u.Cap.GetMem()},
		{"accels", u.Used.GetAccels(), u.Cap.GetAccels()},
	} {
		fmt.Fprintf(w, "deckd_space_used{space=%q,resource=%q} %d\n", u.Name, r.name, r.used)
		if r.limit > 0 {
			fmt.Fprintf(w, "deckd_space_cap{space=%q,resource=%q} %d\n", u.Name, r.name, r.limit)
		}
	}
	if hasWork(u) { // capacity is divided only among the workspaces with work
		fmt.Fprintf(w, "deckd_space_share{space=%q} %g\n", u.Name, u.Share)
	}
	for _, t := range []struct {
		why   string
		tasks int32
	}{{"cap", u.Capped}, {"share", u.Deferred}, {"room", u.Crowded}} {
		fmt.Fprintf(w, "deckd_space_waiting_tasks{space=%q,why=%q} %d\n", u.Name, t.why, t.tasks)
	}
}
