package helm

import (
	"time"

	"dragonflydeck.example/fleet/crew"
	"dragonflydeck.example/fleet/event"
)

// When a run is moved off a worker that leaves.
const (
	drainSlack         = 2 * time.Second        // workers that drain mostly stay a little longer than they say
	shortNoticeSlack   = -1 * time.Second       // those that are taken away do not: half a second until the notice is read, as much for a stop to be listed
	shortNoticeMargin  = 250 * time.Millisecond // by which what is left of a drain is less when it is read
	minMeasuredPercent = 10                     // progress that tells more than an estimate
)

// leaves notes when a worker that drains will be gone. One that is taken away
// says so at shorter notice than one that drains.
func (sc *Helm) noteDrain(w *crew.Worker) {
	w.Gone = sc.now.Add(w.Left)
	w.Short = w.Left < sc.limits.Drain-shortNoticeMargin
	sc.logf(event.WorkerLeaves, string(w.Place.Host), "runs=%d left=%s short=%t", len(w.Runs), w.Left, w.Short)
	sc.stopUnfinished(w)
}

// clearOut stops the runs of a worker that leaves which would not end before it
// is gone: those that keep checkpoints lose next to nothing, the others would lose
// more later, and be missed until the worker's lease has lapsed.
func (sc *Helm) stopUnfinished(w *crew.Worker) {
	for _, r := range w.Sorted() {
		j, s := sc.stepOf(r.Task)
		if s == nil || r.Phase != crew.Running {
			continue
		}
		left := w.Gone.Sub(sc.now)
		switch {
		case w.Short:
			left += shortNoticeSlack
		case !s.Spec.Saves:
			left += drainSlack
		}
		if sc.remainingTime(j, r) > left {
			sc.evict(r, "its worker leaves")
		}
	}
}

// remaining estimates how long a run still takes.
func (sc *Helm) remainingTime(j *job, r *crew.Run) time.Duration {
	return max(sc.totalTime(j, r)*time.Duration(100-r.From)/100-sc.now.Sub(r.Since), 0)
}

// whole estimates how long a run takes from its beginning to its end.
func (sc *Helm) totalTime(j *job, r *crew.Run) time.Duration {
	if done := r.Percent - r.From; done >= minMeasuredPercent {
		return sc.now.Sub(r.Since) * 100 / time.Duration(done)
	}
	return sc.expectedRunTime(j, j.Step(r.Task))
}
