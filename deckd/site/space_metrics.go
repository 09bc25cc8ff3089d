package site

import (
	"fmt"
	"io"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

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
