package sched

import (
	"slices"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"dragonflydeck.example/fleet/voter"
)

// How a lead notices that a daemon is gone that has not said that it leaves.
const (
	watchInterval = time.Second // between two rounds of questions
	lostAfter     = 15          // questions in a row without an answer; most partitions are shorter
)

// watch is what a lead knows about which daemons answer it.
type watch struct {
	askedAt time.Time             // when the newest round was sent
	asked   map[fleet.HostID]bool // without an answer so far
	misses  map[fleet.HostID]int  // rounds in a row without an answer
	last    fleet.HostID          // that was asked in turn
}

func newWatch() watch { return watch{asked: map[fleet.HostID]bool{}, misses: map[fleet.HostID]int{}} }

// noteAnswer notes that a daemon answers.
func (w *watch) noteAnswer(host fleet.HostID) {
	delete(w.asked, host)
	delete(w.misses, host)
}

// checkMembers asks one daemon in turn, and all that did not answer before, and marks those as lost
// that remain silent. Load pattern: the hosts of a site are replaced one after the other for
// years, some without a word. Asking one at a time costs the same at every size of a site.
//
// A lead that does not reach the store marks nobody: it could not store it, and may be the one that is cut off.
func (sc *Scheduler) checkMembers() {
	w := &sc.watch
	if sc.now.Sub(w.askedAt) < watchInterval {
		return
	}
	w.askedAt = sc.now
	for host := range w.asked {
		w.misses[host]++
	}
	clear(w.asked)
	peers := sc.present()
	peers = slices.DeleteFunc(peers, func(p voter.Process) bool { return p.Host == sc.self.Host })
	var ask []fleet.HostID
	turn := sc.nextInTurn(peers)
	for _, p := range peers {
		if w.misses[p.Host] >= lostAfter && sc.isRecent(sc.quorum.confirmedAt) {
			sc.logf(event.HostLost, string(p.Host), "inc=%d unanswered=%d", p.Inc, w.misses[p.Host])
			sc.emit(MarkLost{p})
			delete(w.misses, p.Host)
			continue
		}
		if w.misses[p.Host] > 0 || p.Host == turn {
			ask = append(ask, p.Host)
			w.asked[p.Host] = true
		}
	}
	if len(ask) > 0 {
		sc.emit(AskPeers{Hosts: ask})
	}
}

// nextInTurn returns the host after the one that was asked in turn before; empty without peers.
func (sc *Scheduler) nextInTurn(peers voter.Set) fleet.HostID {
	if len(peers) == 0 {
		return ""
	}
	i := slices.IndexFunc(peers, func(p voter.Process) bool { return p.Host > sc.watch.last })
	sc.watch.last = peers[max(i, 0)].Host
	return sc.watch.last
}
